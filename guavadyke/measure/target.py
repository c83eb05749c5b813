"""The fleet that is measured: its ports and its backend servers."""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Callable, Mapping

from guavadyke.catalogue import (
    POLICY_NAME,
    BackendServerEntry,
    PolicyEntry,
    entry_document,
    parse_entry,
)
from guavadyke.client import Client
from guavadyke.errors import ErrorCode, GuavadykeError
from guavadyke.measure.client import StreamRequest, chat_body

CHAT_PATH = '/v1/chat/completions'
EMBEDDED = 'embedded'
_POLICY_PATH = f'/operator/catalogue/{POLICY_NAME}'
_CALL_TIMEOUT_S = 30
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True)
class Target:
    """A running fleet.

    ``caller_urls`` are caller ports of entry hosts, ``operator_url`` is one
    operator port. ``entry`` takes online requests and ``batch_entry`` batch
    jobs; ``model`` is what engines know ``entry`` as.
    ``platform_address`` is the platform stand-in's, for its counts;
    ``host_pid`` is the process of the first entry host; ``lose_host`` ends
    an entry host, given its id, without a planned stop.
    """

    caller_urls: tuple[str, ...]
    key: str
    entry: str
    batch_entry: str
    model: str
    operator_url: str = ''
    operator_token: str = ''
    platform_address: str = ''
    host_pid: int | None = None
    lose_host: Callable[[str], None] | None = None
    place: str = EMBEDDED

    @property
    def caller(self) -> Client:
        """Client of the first caller port."""
        return Client(self.caller_urls[0], self.key, _CALL_TIMEOUT_S)

    @property
    def operator(self) -> Client:
        """Client of the operator port.

        Raises:
            GuavadykeError: no operator port was given.
        """
        if not self.operator_url:
            raise GuavadykeError(
                ErrorCode.bad_request,
                'this measurement needs --operator-url and --operator-token',
            )
        return Client(
            self.operator_url,
            self.operator_token,
            _CALL_TIMEOUT_S,
        )

    def request(
        self,
        number: int,
        prompt: str,
        tokens: int,
        deadline_s: float,
    ) -> StreamRequest:
        """Return an online request; hosts take turns by its number."""
        url = self.caller_urls[number % len(self.caller_urls)]
        return StreamRequest(
            url=url,
            path=CHAT_PATH,
            headers={
                'Authorization': f'Bearer {self.key}',
                'Content-Type': 'application/json',
                'Guavadyke-Deadline-Ms': str(round(deadline_s * _MS_PER_S)),
            },
            body=chat_body(self.entry, prompt, tokens),
            deadline_s=deadline_s,
        )

    def engines(self) -> Mapping[str, BackendServerEntry]:
        """Return the engines of the catalogue that serve the entry."""
        listed = self.operator.expect('GET', '/operator/catalogue').document()
        parsed = {
            one['name']: parse_entry(json.dumps(one['entry']).encode())
            for one in listed['objects']
        }
        return {
            name: entry
            for name, entry in parsed.items()
            if isinstance(entry, BackendServerEntry)
            and entry.role == 'engine'
            and self.entry in entry.serves
        }

    def tail_weight(self) -> float:
        """Return the policy's weight of the tail."""
        answer = self.operator.expect('GET', _POLICY_PATH)
        entry = parse_entry(json.dumps(answer.document()['entry']).encode())
        if isinstance(entry, PolicyEntry):
            return entry.tail_weight
        raise GuavadykeError(ErrorCode.bad_request, 'there is no policy')

    def put_tail_weight(self, tail_weight: float) -> None:
        """Edit the policy."""
        policy = PolicyEntry(tail_weight=tail_weight)
        self.operator.expect(
            'PUT',
            _POLICY_PATH,
            json.dumps(entry_document(policy)).encode(),
        )


def direct_request(
    address: str,
    model: str,
    prompt: str,
    tokens: int,
    deadline_s: float,
) -> StreamRequest:
    """Return a request that goes to an engine without an entry host."""
    return StreamRequest(
        url=f'http://{address}',
        path=CHAT_PATH,
        headers={'Content-Type': 'application/json'},
        body=chat_body(model, prompt, tokens),
        deadline_s=deadline_s,
    )
