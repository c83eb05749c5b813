"""A server that answers before it has read a long upload."""

from __future__ import annotations

import contextlib
import socket
import struct
import time

from features.builders_loopback_server import LoopbackServer

_HEAD_BYTES = 4096
_LATER_S = 0.2
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class EarlyServer(LoopbackServer):
    """Reads the head of a request, sends its answer and ends the connection.

    Args:
        answer: what it sends, whatever the request.
        end: ``reset at once``, ``reset later`` or ``closed unread``, which
            ends the answer in order and then closes with the upload unread.
    """

    def __init__(self, answer: bytes, end: str) -> None:
        self.connections = 0
        self._answer = answer
        self._end = end
        super().__init__('s1')

    def _serve(self, connection: socket.socket) -> None:
        self.connections += 1
        with connection, contextlib.suppress(OSError):
            connection.recv(_HEAD_BYTES)
            connection.sendall(self._answer)
            if self._end == 'closed unread':
                # As servers of the standard library end a connection.
                connection.shutdown(socket.SHUT_WR)
                return
            if self._end == 'reset later':
                time.sleep(_LATER_S)
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
