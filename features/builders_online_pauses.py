"""Engines over sockets that stand still in the middle of an answer."""

from __future__ import annotations

import contextlib
import dataclasses
import json
import socket
import threading
import time
from collections.abc import Iterator

from features import builders_online as online
from features.builders_loopback_server import requests, send_chunk
from guavadyke.adapters.ports import BackendCall
from guavadyke.catalogue import parse_entry
from guavadyke.decisions.answer_stream import encode_event, event_documents
from guavadyke.snapshots import CatalogueSnapshot

LOOPBACK = '127.0.0.1'
MODEL = 'desk'
SERVICE = 'open-booking'
SERVICE_BODY = b'{"room": "1212121212121212"}'
_EVENT_S = 0.01
_TRICKLE_S = 0.05
_PIECES = 16
_HEAD = (
    b'HTTP/1.1 200 OK\r\n'
    b'Content-Type: %b\r\n'
    b'Connection: close\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
_ROLES = (('engine', MODEL), ('service', SERVICE))


@dataclasses.dataclass(frozen=True)
class Pause:
    """A pause after a piece of an answer, 0 for before its head.

    ``trickled`` bytes of the next piece are sent each 50 ms meanwhile;
    ``padding`` bytes are put before that piece, in the same event.
    """

    after: int
    seconds: float
    trickled: int = 0
    padding: int = 0


class PausingEngines:
    """Engines, and services, that pause in their first answers.

    The n-th request, whichever engine gets it, meets the n-th pause.

    Args:
        count: number of engines.
        pauses: pauses of the first requests; later ones meet none.
        slots: requests that each engine runs at once.
    """

    def __init__(
        self, count: int, pauses: tuple[Pause, ...], slots: int = 4
    ) -> None:
        self.requests = 0
        self._pauses = pauses
        self._slots = slots
        self._lock = threading.Lock()
        self._sockets = [
            socket.create_server((LOOPBACK, 0)) for _number in range(count)
        ]
        for listening in self._sockets:
            threading.Thread(
                target=self._run, args=(listening,), daemon=True
            ).start()

    @property
    def catalogue(self) -> CatalogueSnapshot:
        """Catalogue of a model and a service at all of them."""
        base = online.catalogue()
        servers = {
            f'{role}-{number}': _parse({
                'kind': 'backend_server',
                'role': role,
                'zone': 'cali-norte',
                'address': f'{LOOPBACK}:{listening.getsockname()[1]}',
                'serves': [entry_name],
                'slots': self._slots,
            })
            for number, listening in enumerate(self._sockets)
            for role, entry_name in _ROLES
        }
        service = {'kind': 'service', 'owner': 'pesebres', 'idempotent': True}
        return dataclasses.replace(
            base,
            entries={**base.entries, SERVICE: _parse(service)},
            backend_servers=servers,
        )

    def close(self) -> None:
        """Stop listening."""
        for listening in self._sockets:
            listening.close()

    def _run(self, listening: socket.socket) -> None:
        with contextlib.suppress(OSError):
            for connection, _address in iter(listening.accept, None):
                threading.Thread(
                    target=self._serve, args=(connection,), daemon=True
                ).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            request = next(requests(connection))
            if request.path == '/load':
                return
            pause = self._next_pause()
            content_type, pieces = _answer(request.path, request.body)
            if pause.after == 0:
                time.sleep(pause.seconds)
            connection.sendall(_HEAD % content_type)
            for number, piece in enumerate(pieces, start=1):
                rest = piece
                if number == pause.after + 1 and pause.after:
                    rest = _stand_still(connection, piece, pause)
                send_chunk(connection, rest)
                time.sleep(_EVENT_S)
            connection.sendall(b'0\r\n\r\n')

    def _next_pause(self) -> Pause:
        with self._lock:
            number = self.requests
            self.requests += 1
        if number < len(self._pauses):
            return self._pauses[number]
        return Pause(0, 0)


def _stand_still(
    connection: socket.socket, piece: bytes, pause: Pause
) -> bytes:
    """Pause before a piece; return what is left of it."""
    if not pause.trickled:
        time.sleep(pause.seconds)
        return piece
    piece = b': %b\n%b' % (b'x' * pause.padding, piece)
    ends_at = time.monotonic() + pause.seconds
    while len(piece) > pause.trickled and time.monotonic() < ends_at:
        send_chunk(connection, piece[: pause.trickled])
        piece = piece[pause.trickled :]
        time.sleep(_TRICKLE_S)
    return piece


def _answer(path: str, body: bytes) -> tuple[bytes, list[bytes]]:
    """Return the content type and the pieces of an answer."""
    if not path.startswith('/v1/'):
        return b'application/json', list(_split(SERVICE_BODY))
    call = BackendCall('stub', '', 'POST', path, {}, body, 1, 1, 1)
    events = online.token_events(call)
    if json.loads(body).get('n', 1) > 1:
        events = [_second_choice(events[0]), *events]
    if json.loads(body).get('stream'):
        return b'text/event-stream', events
    return b'application/json', list(_split(_whole_answer(events)))


def _second_choice(event: bytes) -> bytes:
    """Return an event of the same answer that begins a second choice."""
    document = next(event_documents(event))
    choice = {'index': 1, 'delta': {'role': 'assistant'}}
    return encode_event({**document, 'choices': [choice]})


def _whole_answer(events: list[bytes]) -> bytes:
    texts = (
        document['choices'][0]['delta'].get('content', '')
        for document in event_documents(b''.join(events))
    )
    message = {'role': 'assistant', 'content': ''.join(texts)}
    choice = {'index': 0, 'message': message, 'finish_reason': 'stop'}
    return json.dumps({'id': 'stub', 'choices': [choice]}).encode()


def _split(body: bytes) -> Iterator[bytes]:
    size = -(-len(body) // _PIECES)
    return (body[at : at + size] for at in range(0, len(body), size))


def _parse(document: dict[str, object]) -> object:
    return parse_entry(json.dumps(document).encode())
