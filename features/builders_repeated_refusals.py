"""A server that writes an earlier refusal once more on a kept connection."""

from __future__ import annotations

import contextlib
import re
import socket

from features import builders_forward as build
from features.builders_loopback_server import LoopbackServer, requests

_MAX_REQUEST_BYTES = 65_536
_REQUEST_ID = re.compile(rb'(?i)request-id: (\S+)')
_BODY = build.request().body
_EARLIER_ID = b'request-of-another'


class RepeatingServer(LoopbackServer):
    """Keeps connections and refuses each request on one but the first.

    The refusals are copies of an earlier one; by then the server runs the
    request.

    Args:
        name: id of the server.
        names_request: whether refusals name the request that they were for.
        whole: number of requests that a connection answers before.
    """

    def __init__(self, name: str, *, names_request: bool, whole: int) -> None:
        self.run_ids: list[bytes] = []
        self._names_request = names_request
        self._whole = whole
        super().__init__(name)

    def _serve(self, connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            for number, request in enumerate(requests(connection)):
                request_id = request.headers['request-id'].encode()
                self.run_ids.append(request_id)
                if number < self._whole:
                    connection.sendall(_answer(request_id))
                else:
                    earlier = _EARLIER_ID if self._names_request else b''
                    connection.sendall(_refusal(earlier))


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
