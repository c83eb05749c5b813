"""A backend server that sends one event of a stream in small parts."""

from __future__ import annotations

import socket
import time

from features import builders_forward as build
from features.builders_pausing_server import PausingServer

_HEAD = (
    b'HTTP/1.1 200 OK\r\n'
    b'Content-Type: text/event-stream\r\n'
    b'Response-Signature: 3e1b\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
_PART_EVERY_S = 0.05


class TricklingServer(PausingServer):
    """Sends a stream, and a part of one event each 50 ms.

    Args:
        name: id of the server.
        after: event after which it sends parts.
        part_bytes: bytes of each part.
        padding: bytes before that event, which belong to it.
    """

    def __init__(
        self, name: str, after: int, part_bytes: int, padding: int
    ) -> None:
        self._after = after
        self._part_bytes = part_bytes
        self._padding = padding
        super().__init__(name, after, 0)

    def _serve(self, connection: socket.socket) -> None:
        with connection:
            _read_request(connection)
            self.requests += 1
            try:
                self._send_stream(connection)
            except OSError:
                return

    def _send_stream(self, connection: socket.socket) -> None:
        connection.sendall(_HEAD)
        for number in range(1, build.EVENTS + 1):
            event = build.event(number)
            if number == self._after + 1:
                event = b': %b\n%b' % (b'x' * self._padding, event)
                self._send_parts(connection, event)
            else:
                _send_chunk(connection, event)
        connection.sendall(b'0\r\n\r\n')

    def _send_parts(self, connection: socket.socket, event: bytes) -> None:
        for at in range(0, len(event), self._part_bytes):
            _send_chunk(connection, event[at : at + self._part_bytes])
            time.sleep(_PART_EVERY_S)


def _read_request(connection: socket.socket) -> None:
    # A connection that closes with unread bytes loses what was sent on it.
    reader = connection.makefile('rb')
    length = 0
    for line in iter(reader.readline, b'\r\n'):
        name, _colon, text = line.partition(b':')
        if name.lower() == b'content-length':
            length = int(text)
    reader.read(length)


def _send_chunk(connection: socket.socket, piece: bytes) -> None:
    connection.sendall(b'%x\r\n%b\r\n' % (len(piece), piece))
