"""A server that writes an earlier refusal once more on a kept connection."""

from __future__ import annotations

import contextlib
import functools
import re
import socket
import threading
from collections.abc import Iterator

from features import builders_forward as build
from guavadyke.decisions.server_registry import ListedServer

_MAX_REQUEST_BYTES = 65_536
_REQUEST_ID = re.compile(rb'(?i)request-id: (\S+)')
_BODY = build.request().body
_EARLIER_ID = b'request-of-another'


class RepeatingServer:
    """Keeps connections and refuses each request on one but the first.

    The refusals are copies of an earlier one; by then the server runs the
    request.

    Args:
        name: id of the server.
        names_request: whether refusals name the request that they were for.
        whole: number of requests that a connection answers before.
    """

    def __init__(self, name: str, *, names_request: bool, whole: int) -> None:
        self.name = name
        self.run_ids: list[bytes] = []
        self._names_request = names_request
        self._whole = whole
        self._socket = socket.create_server((build.LOOPBACK, 0))
        threading.Thread(target=self._run, daemon=True).start()

    @property
    def listed(self) -> ListedServer:
        """The server as hosts list it."""
        ip, port = self._socket.getsockname()
        return ListedServer(
            self.name, build.SERVICE, f'{ip}:{port}', build.ZONE, 8
        )

    def close(self) -> None:
        """Stop listening."""
        self._socket.close()

    def _run(self) -> None:
        with contextlib.suppress(OSError):
            for connection, _address in iter(self._socket.accept, None):
                threading.Thread(
                    target=self._serve, args=(connection,), daemon=True
                ).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            for number, request in enumerate(_requests(connection)):
                request_id = _REQUEST_ID.search(request)[1]
                self.run_ids.append(request_id)
                if number < self._whole:
                    connection.sendall(_answer(request_id))
                else:
                    earlier = _EARLIER_ID if self._names_request else b''
                    connection.sendall(_refusal(earlier))


def _requests(connection: socket.socket) -> Iterator[bytes]:
    """Yield the requests of a connection, whose bodies are all the same."""
    received = b''
    receive = functools.partial(connection.recv, _MAX_REQUEST_BYTES)
    for piece in iter(receive, b''):
        received += piece
        if received.endswith(_BODY):
            yield received
            received = b''


def _answer(request_id: bytes) -> bytes:
    return (
        b'HTTP/1.1 200 OK\r\n'
        b'Request-Id: %b\r\n'
        b'Response-Signature: 3e1b\r\n'
        b'Content-Length: 4\r\n\r\ntext' % request_id
    )


def _refusal(request_id: bytes) -> bytes:
    named = b'Request-Id: %b\r\n' % request_id if request_id else b''
    return (
        b'HTTP/1.1 503 Service Unavailable\r\n'
        b'Not-Executed: 1\r\n%bContent-Length: 0\r\n\r\n' % named
    )
