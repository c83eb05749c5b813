"""Callers that use one connection for several requests."""

from __future__ import annotations

import dataclasses
import socket
from collections.abc import Mapping
from http import client

from urllib3.util.wait import wait_for_read

_TIMEOUT_S = 10.0


@dataclasses.dataclass(frozen=True)
class KeptAnswer:
    """How a request on a kept connection ended.

    ``status`` is None if the connection was closed before a whole answer.
    """

    request_id: str
    status: int | None = None
    body: bytes = b''
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)

    @property
    def closes(self) -> bool:
        """Whether the connection is of no further use."""
        return self.status is None or self.headers.get('connection') == 'close'


class KeptConnection:
    """A connection that is never opened a second time.

    Args:
        ip: address of the host.
        port: its caller port.
    """

    def __init__(self, ip: str, port: int) -> None:
        self._connection = client.HTTPConnection(ip, port, timeout=_TIMEOUT_S)
        self._connection.connect()
        self._connection.auto_open = 0

    @property
    def closed_by_host(self) -> bool:
        """Whether the host has closed the connection."""
        return self.is_closed_by_host(_TIMEOUT_S)

    def is_closed_by_host(self, within_s: float) -> bool:
        """Return whether the host closes the connection in that time."""
        opened = self._connection.sock
        if not wait_for_read(opened, within_s):
            return False
        opened.settimeout(_TIMEOUT_S)
        return not opened.recv(1, socket.MSG_PEEK)

    def call(
        self,
        target: str,
        request_id: str,
        headers: Mapping[str, str],
        body: bytes = b'text',
    ) -> KeptAnswer:
        """Send a request and read its answer."""
        named = {**headers, 'Request-Id': request_id}
        try:
            self._connection.request('POST', target, body, named)
            answer = self._connection.getresponse()
            body = answer.read()
        except (OSError, client.HTTPException):
            return KeptAnswer(request_id)
        lowered = {name.lower(): text for name, text in answer.getheaders()}
        return KeptAnswer(request_id, answer.status, body, lowered)

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()
