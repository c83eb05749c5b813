"""A server whose answers end in a given way."""

from __future__ import annotations

import collections
import contextlib
import socket
import struct
import time
import types
from collections.abc import Iterable

from features.builders_loopback_server import LoopbackServer

_MAX_REQUEST_BYTES = 65_536
_TAKEN_S = 0.2
_NO_LINGER = struct.pack('ii', 1, 0)
ODD_TEXT = b'the engine has failed'
_HEAD = (
    b'HTTP/1.1 200 OK\r\n'
    b'Content-Type: text/event-stream\r\n'
    b'Response-Signature: 3e1b\r\n'
)


def answer_bytes(framing: str, body: bytes) -> bytes:
    """Return an answer whose framing is complete, whatever its body.

    Args:
        framing: ``with a length``, ``in chunks``, or without either.
        body: the body.
    """
    if framing == 'with a length':
        return b'%bContent-Length: %d\r\n\r\n%b' % (_HEAD, len(body), body)
    if framing == 'in chunks':
        chunk = b'%x\r\n%b\r\n0\r\n\r\n' % (len(body), body)
        return b'%bTransfer-Encoding: chunked\r\n\r\n%b' % (_HEAD, chunk)
    return b'%bConnection: close\r\n\r\n%b' % (_HEAD, body)


_BROKEN_HEADS = types.MappingProxyType({
    'after the status line': b'HTTP/1.1 200 OK\r\n',
    'within the signature': (
        b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\nResponse-Signature: 3e'
    ),
    'before its empty line': b'%bContent-Length: 0\r\n' % _HEAD,
    'after the length of no body': (
        b'HTTP/1.1 200 OK\r\nResponse-Signature: 3e1b\r\nContent-Length: 0'
    ),
    'within a refusal': b'HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nX',
})
_LAST_CHUNKS = types.MappingProxyType({
    'within the last size': b'0',
    'before the last line': b'0\r\n',
    'without the last chunk': b'',
})


def broken_head(place: str) -> bytes:
    """Return what is sent of a head that breaks off."""
    return _BROKEN_HEADS[place]


def broken_chunks(place: str, body: bytes) -> bytes:
    """Return an answer in chunks without all of its end."""
    return b'%bTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n%b' % (
        _HEAD,
        len(body),
        body,
        _LAST_CHUNKS[place],
    )


def odd_answer(odd: str) -> bytes:
    """Return an answer that does not go on with a stream."""
    if odd.startswith('status 200 and a text'):
        end = b'\n\n' if odd.endswith('block') else b''
        return answer_bytes('with a length', ODD_TEXT + end)
    inner = b'HTTP/1.1 503 Unavailable\r\nX: y\r\n\r\n%b' % ODD_TEXT
    if odd == 'a head within a body':
        return answer_bytes('with a length', inner)
    status = odd.split()[1].encode()
    return b'HTTP/1.1 %b Error\r\nContent-Length: %d\r\n\r\n%b' % (
        status,
        len(ODD_TEXT),
        ODD_TEXT,
    )


class FramedServer(LoopbackServer):
    """Sends one given answer on each connection, then ends it.

    Args:
        name: id of the server.
        answers: the answers, one for each connection in turn.
        reset: whether connections end with a reset.
    """

    def __init__(
        self, name: str, answers: Iterable[bytes], *, reset: bool = False
    ) -> None:
        self.requests: list[bytes] = []
        self._answers = iter(answers)
        self._reset = reset
        super().__init__(name)

    def _run(self) -> None:
        with contextlib.suppress(OSError):
            for answer in self._answers:
                self._answer = answer
                self._serve(self._socket.accept()[0])

    def _serve(self, connection: socket.socket) -> None:
        with connection:
            self.requests.append(connection.recv(_MAX_REQUEST_BYTES))
            connection.sendall(self._answer)
            if self._reset:
                # A reset discards what the caller has not taken yet.
                time.sleep(_TAKEN_S)
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER
                )
                return
            # Unread bytes of the request would turn the end into a reset.
            connection.shutdown(socket.SHUT_WR)
            rest = iter(lambda: connection.recv(_MAX_REQUEST_BYTES), b'')
            collections.deque(rest, maxlen=0)
