"""Connections to the outside that are reused only while they are sound."""

from __future__ import annotations

import collections
import socket
import threading
import time

from urllib3.connection import HTTPConnection, HTTPSConnection
from urllib3.util import parse_url

_KEPT_CONNECTIONS = 64
# A connection can go silent without an end; probes of the kernel find it
# within about two seconds, as fast as a leaving server has to be noticed.
_PROBE_IDLE_S = 1
_PROBE_INTERVAL_S = 1
_PROBES = 1
_UNACKNOWLEDGED_MS = 2500
_SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS),
)


class ConnectionPool:
    """Idle connections by origin, the last used first.

    Args:
        idle_s: seconds after which an idle connection is not reused.
    """

    def __init__(self, idle_s: float) -> None:
        self._idle_s = idle_s
        self._lock = threading.Lock()
        self._idle: dict[str, collections.deque[tuple[float, HTTPConnection]]]
        self._idle = collections.defaultdict(collections.deque)
        self._sweep_at = time.monotonic() + idle_s

    def take(self, origin: str) -> HTTPConnection | None:
        """Return an idle connection that looks sound, or None."""
        oldest = time.monotonic() - self._idle_s
        while True:
            with self._lock:
                waiting = self._idle[origin]
                if not waiting:
                    return None
                since, connection = waiting.pop()
            if since >= oldest and connection.is_connected:
                return connection
            connection.close()

    def give(self, origin: str, connection: HTTPConnection) -> None:
        """Keep a connection whose last answer was read to its end."""
        with self._lock:
            waiting = self._idle[origin]
            waiting.append((time.monotonic(), connection))
            surplus = self._expired()
            if len(waiting) > _KEPT_CONNECTIONS:
                surplus.append(waiting.popleft()[1])
        for unused in surplus:
            unused.close()

    def drop(self, origin: str) -> None:
        """Close every idle connection to an origin that failed."""
        with self._lock:
            waiting = tuple(self._idle.pop(origin, ()))
        for _since, connection in waiting:
            connection.close()

    def _expired(self) -> list[HTTPConnection]:
        """Take out what is too old, of all origins, once in a while."""
        now = time.monotonic()
        if now < self._sweep_at:
            return []
        self._sweep_at = now + self._idle_s
        oldest = now - self._idle_s
        expired = [
            connection
            for waiting in self._idle.values()
            for since, connection in waiting
            if since < oldest
        ]
        self._idle = collections.defaultdict(
            collections.deque,
            {
                origin: collections.deque(
                    one for one in waiting if one[0] >= oldest
                )
                for origin, waiting in self._idle.items()
                if waiting and waiting[-1][0] >= oldest
            },
        )
        return expired


def new_connection(origin: str, connect_timeout_s: float) -> HTTPConnection:
    """Return a connection to an origin that is not connected yet.

    Args:
        origin: URL with scheme, IP number and port.
        connect_timeout_s: seconds that connecting may take.
    """
    url = parse_url(origin)
    factory = HTTPSConnection if url.scheme == 'https' else HTTPConnection
    return factory(
        url.hostname or '',
        url.port,
        timeout=connect_timeout_s,
        blocksize=65_536,
        socket_options=list(_SOCKET_OPTIONS),
    )
