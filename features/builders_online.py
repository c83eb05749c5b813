"""Builders and fakes for tests of online requests."""

from __future__ import annotations

import collections
import dataclasses
import hashlib
import io
import json
import random
from collections.abc import Callable, Iterator, Mapping
from typing import Any

from features import builders
from guavadyke.adapters.clock import SystemClock
from guavadyke.adapters.ports import (
    BackendCall,
    BackendFault,
    BackendServerError,
    PeerNotice,
    ReportedLoad,
)
from guavadyke.catalogue import parse_entry
from guavadyke.decisions.answer_stream import encode_event
from guavadyke.filters.base import Answer, Exchange
from guavadyke.log import EventLogger
from guavadyke.online_service import OnlineService
from guavadyke.settings import EntrySettings
from guavadyke.snapshots import (
    CatalogueSnapshot,
    FleetSnapshot,
    SnapshotCell,
)

CALLER_KEY = 'key-of-a-parish'
WORDS = tuple(f'w{number} ' for number in range(12))


def catalogue(**changes: Any) -> CatalogueSnapshot:
    """Return a catalogue with a model, a service, an owner and engines."""
    documents = {
        'desk': {'kind': 'model', 'owner': 'pesebres', 'model': 'desk'},
        'booking': {
            'kind': 'service',
            'owner': 'pesebres',
            'idempotent': False,
        },
        'nightly': {
            'kind': 'model',
            'owner': 'pesebres',
            'model': 'desk',
            'class': 'batch',
        },
    }
    servers = {
        f'engine-{number}': {
            'kind': 'backend_server',
            'zone': 'cali-norte',
            'address': f'127.0.0.1:{9000 + number}',
            'serves': ['desk', 'nightly'],
            'slots': 4,
        }
        for number in range(2)
    }
    servers['service-0'] = {
        'kind': 'backend_server',
        'role': 'service',
        'zone': 'cali-norte',
        'address': '127.0.0.1:9100',
        'serves': ['booking'],
        'slots': 4,
    }
    parsed = {
        name: parse_entry(json.dumps(document).encode())
        for name, document in (documents | servers).items()
    }
    hashed = hashlib.sha256(CALLER_KEY.encode()).hexdigest()
    snapshot = CatalogueSnapshot(
        revision=1,
        entries={name: parsed[name] for name in documents},
        backend_servers={name: parsed[name] for name in servers},
        owners_by_key_hash={hashed: 'pesebres'},
    )
    return dataclasses.replace(snapshot, **changes)


class FakeAnswer:
    """A backend server's response whose chunks come from an iterator."""

    def __init__(
        self,
        status: int,
        pieces: Iterator[bytes],
        headers: Mapping[str, str] | None = None,
    ) -> None:
        self.status = status
        self.headers = headers or {'content-type': 'application/json'}
        self._pieces = pieces

    def chunks(self) -> Iterator[bytes]:
        return self._pieces

    def cancel(self) -> None:
        """Do nothing; the fake holds no connection."""


def token_events(call: BackendCall) -> list[bytes]:
    """Return the events of an engine that answers with numbered words.

    A resumed request continues after the words that it already has.
    """
    document = json.loads(call.body)
    previous_text = ''
    if document.get('continue_final_message'):
        previous_text = document['messages'][-1]['content']
    first_word = previous_text.count('w')
    end = first_word + document.get('max_tokens', len(WORDS) - first_word)
    frame = {'id': f'cmpl-{call.request_id}', 'model': document['model']}
    events = [
        encode_event(
            frame | {'choices': [{'index': 0, 'delta': {'content': word}}]}
        )
        for word in WORDS[first_word:end]
    ]
    finish = {'index': 0, 'delta': {}, 'finish_reason': 'stop'}
    ending = (encode_event(frame | {'choices': [finish]}), b'data: [DONE]\n\n')
    return [*events, *ending]


def whole_stream(call: BackendCall) -> Iterator[bytes]:
    return iter(token_events(call))


def broken_stream(call: BackendCall) -> Iterator[bytes]:
    yield from token_events(call)[:5]
    yield b'data: {"id": "cmpl'
    raise BackendServerError(BackendFault.broken, 'reset', not_run=False)


def short_stream(call: BackendCall) -> Iterator[bytes]:
    yield from token_events(call)[:5]
    yield b'data: [DONE]\n\n'


def crossed_stream(call: BackendCall) -> Iterator[bytes]:
    other = dataclasses.replace(call, request_id='req-other')
    yield from token_events(call)[:3]
    yield token_events(other)[3]


def unfinished_stream(call: BackendCall) -> Iterator[bytes]:
    yield from token_events(call)[:4]


Behaviour = Callable[[BackendCall], Iterator[bytes]]


class FakeServers:
    """Backend servers with a planned behaviour for each call in turn."""

    def __init__(self, *behaviours: Behaviour) -> None:
        self.calls: list[BackendCall] = []
        self.behaviours = collections.deque(behaviours)
        self.reports: dict[str, ReportedLoad] = {}

    def send(self, call: BackendCall) -> FakeAnswer:
        self.calls.append(call)
        behaviour = whole_stream
        if self.behaviours:
            behaviour = self.behaviours.popleft()
        return FakeAnswer(200, behaviour(call))

    def load(self, address: str, timeout_s: float) -> ReportedLoad:
        if address not in self.reports:
            fault = BackendFault.not_reached
            raise BackendServerError(fault, 'no report', not_run=True)
        return self.reports[address]


class SilentMessenger:
    """A messenger that drops every notice."""

    def send(self, host_id: str, notice: PeerNotice) -> None:
        """Drop the notice."""

    def subscribe(self, receive: Callable[[str, PeerNotice], None]) -> None:
        """Never call ``receive``."""


def online_service(
    servers: Any,
    *,
    snapshot: CatalogueSnapshot | None = None,
    store: Any = None,
    **changes: object,
) -> OnlineService:
    """Return an online service whose threads are not started."""
    document = builders.entry_settings_document() | changes
    return OnlineService(
        settings=EntrySettings.model_validate(document),
        clock=SystemClock(),
        rng=random.Random(7),
        catalogue=SnapshotCell(snapshot or catalogue()),
        fleet=SnapshotCell(FleetSnapshot()),
        servers=servers,
        store=store,
        messenger=SilentMessenger(),
        logger=EventLogger(entry_host='entry-1'),
    )


def exchange(
    path: str,
    document: object,
    *,
    method: str = 'POST',
    **headers: str,
) -> Exchange:
    """Return a request of an authenticated caller."""
    body = document if isinstance(document, bytes) else _json(document)
    named = {name.replace('_', '-'): text for name, text in headers.items()}
    return Exchange(
        request_id='req-1',
        method=method,
        path=path,
        query={},
        headers={'authorization': f'Bearer {CALLER_KEY}'} | named,
        body_input=io.BytesIO(body),
        received_at=SystemClock().monotonic(),
        disconnected=bool,
    )


def body_of(answer: Answer) -> bytes:
    """Return the whole body of an answer."""
    if isinstance(answer.body, bytes):
        return answer.body
    return b''.join(answer.body)


def chat(**changes: object) -> dict[str, object]:
    """Return a chat request."""
    message = {'role': 'user', 'content': 'Is an angel, size M, free?'}
    return {'model': 'desk', 'messages': [message]} | changes


def _json(document: object) -> bytes:
    return json.dumps(document).encode()
