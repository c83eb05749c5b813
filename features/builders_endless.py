"""A server that sends bytes without end to whoever connects."""

from __future__ import annotations

import itertools
import socket
import threading
import types

from features.builders_loopback_server import LoopbackServer

_HEAD = b'HTTP/1.1 200 OK\r\n\r\n'
_CHUNKED_HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
_CHUNK = b'%x\r\n%s\r\n' % (8192, b'x' * 8192)
# What is sent once, and what is sent again and again.
_SHAPES = types.MappingProxyType({
    'header lines': (b'HTTP/1.1 200 OK\r\n', b'X-Filler: 1\r\n' * 64),
    'interim responses': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    'a status line': (b'HTTP/1.1 200 ', b'x' * 8192),
    'a body without length': (_HEAD, b'x' * 8192),
    'a chunked body': (_CHUNKED_HEAD, _CHUNK),
    'one chunk': (b'%b40000000\r\n' % _CHUNKED_HEAD, b'x' * 8192),
    'a chunk size': (_CHUNKED_HEAD, b'0' * 8192),
    'a trailer': (b'%b0\r\n' % _CHUNKED_HEAD, b'X-Filler: 1\r\n' * 64),
    'an error without an end': (
        b'HTTP/1.1 500 Internal Server Error\r\n\r\n',
        b'x' * 8192,
    ),
    'events without ids': (_HEAD, b'data: filler\n\n'),
})
# More than any caller takes; a test fails that reaches it.
_MOST_BYTES = 67_108_864
_CLOSE_TIMEOUT_S = 20


class EndlessServer(LoopbackServer):
    """Answers each connection with one of the shapes.

    Args:
        shape: name of the shape.
    """

    def __init__(self, shape: str) -> None:
        self._shape = _SHAPES[shape]
        self._closed_by_caller = threading.Event()
        super().__init__('s1')

    def wait_until_closed(self) -> bool:
        """Return whether a caller has closed its connection."""
        return self._closed_by_caller.wait(_CLOSE_TIMEOUT_S)

    def _serve(self, connection: socket.socket) -> None:
        pieces = itertools.chain(
            self._shape[:1], itertools.repeat(self._shape[1])
        )
        sent = 0
        with connection:
            connection.recv(65_536)
            try:
                while sent < _MOST_BYTES:
                    piece = next(pieces)
                    connection.sendall(piece)
                    sent += len(piece)
            except OSError:
                self._closed_by_caller.set()
