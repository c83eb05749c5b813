"""Addresses and clients of the fleet that is measured."""

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
from guavadyke.measure.stream_client import StreamRequest, chat_body

CHAT_PATH = '/v1/chat/completions'
EMBEDDED = 'embedded'
_POLICY_PATH = f'/operator/catalogue/{POLICY_NAME}'
_CALL_TIMEOUT_S = 30
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True)
class Target:
    """A running fleet.

    ``caller_urls`` are the URLs of the entry hosts' caller ports,
    ``operator_url`` that of one operator port. ``entry`` is the catalogue
    entry for online requests, ``batch_entry`` the one for batch jobs, and
    ``model`` the engines' name for the model of ``entry``.
    ``platform_address`` is the address of the platform stand-in, whose
    calls are counted. ``host_pid`` is the process of the first entry host.
    ``kill_host`` stops the entry host with the given id without draining
    it. ``place`` describes the fleet in the report.
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
    kill_host: Callable[[str], None] | None = None
    place: str = EMBEDDED

    @property
    def caller(self) -> Client:
        """A client of the first caller port."""
        return Client(self.caller_urls[0], self.key, _CALL_TIMEOUT_S)

    @property
    def operator(self) -> Client:
        """A client of the operator port.

        Raises:
            GuavadykeError: the target has no operator URL.
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
        """Return an online request.

        Args:
            number: number of the request; it selects the entry host in
                round-robin order.
            prompt: text of the user message.
            tokens: tokens of the answer.
            deadline_s: deadline in seconds.
        """
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
        listing = self.operator.expect('GET', '/operator/catalogue').document()
        parsed = {
            catalogue_object['name']: parse_entry(
                json.dumps(catalogue_object['entry']).encode()
            )
            for catalogue_object in listing['objects']
        }
        return {
            name: entry
            for name, entry in parsed.items()
            if isinstance(entry, BackendServerEntry)
            and entry.role == 'engine'
            and self.entry in entry.serves
        }

    def tail_weight(self) -> float:
        """Return the tail weight of the policy in the catalogue.

        Raises:
            GuavadykeError: the catalogue object is not a policy.
        """
        answer = self.operator.expect('GET', _POLICY_PATH)
        entry = parse_entry(json.dumps(answer.document()['entry']).encode())
        if isinstance(entry, PolicyEntry):
            return entry.tail_weight
        raise GuavadykeError(ErrorCode.bad_request, 'there is no policy')

    def set_tail_weight(self, tail_weight: float) -> None:
        """Set the tail weight of the policy in the catalogue."""
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
    """Return a request that goes straight to an engine.

    Args:
        address: address of the engine, ``IP:PORT``.
        model: name of the model at the engine.
        prompt: text of the user message.
        tokens: tokens of the answer.
        deadline_s: deadline in seconds.
    """
    return StreamRequest(
        url=f'http://{address}',
        path=CHAT_PATH,
        headers={'Content-Type': 'application/json'},
        body=chat_body(model, prompt, tokens),
        deadline_s=deadline_s,
    )
