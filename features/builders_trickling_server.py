"""A backend server that sends one event of a stream in small parts."""

from __future__ import annotations

import contextlib
import socket
import time

from features import builders_forward as build
from features.builders_loopback_server import (
    LoopbackServer,
    requests,
    send_chunk,
)
from features.builders_pausing_server import STREAM_HEAD

_PART_EVERY_S = 0.05


class TricklingServer(LoopbackServer):
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
        self.requests = 0
        self._after = after
        self._part_bytes = part_bytes
        self._padding = padding
        super().__init__(name)

    def _serve(self, connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            # A connection that closes with unread bytes loses what was sent.
            next(requests(connection))
            self.requests += 1
            self._send_stream(connection)

    def _send_stream(self, connection: socket.socket) -> None:
        connection.sendall(STREAM_HEAD)
        for number in range(1, build.EVENTS + 1):
            event = build.event(number)
            if number == self._after + 1:
                event = b': %b\n%b' % (b'x' * self._padding, event)
                self._send_parts(connection, event)
            else:
                send_chunk(connection, event)
        connection.sendall(b'0\r\n\r\n')

    def _send_parts(self, connection: socket.socket, event: bytes) -> None:
        for at in range(0, len(event), self._part_bytes):
            send_chunk(connection, event[at : at + self._part_bytes])
            time.sleep(_PART_EVERY_S)
