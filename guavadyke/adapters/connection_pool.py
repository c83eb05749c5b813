"""HTTP connections and the pool that reuses them."""

from __future__ import annotations

import collections
import io
import itertools
import re
import socket
import threading
import time
from http import client
from typing import Any

from urllib3.connection import HTTPConnection, HTTPSConnection
from urllib3.util import parse_url

from guavadyke.adapters.response_framing import check_head

_MAX_IDLE_CONNECTIONS = 64
# A server may send interim responses, such as 100, before its answer.
_MAX_HEADS = 8
_MAX_TRAILER_LINES = 100
_MAX_LINE_BYTES = 65_536
_MAX_SHOWN_BYTES = 80
_BLOCK_BYTES = 65_536
# Other status lines are taken for no answer: the base class accepts statuses
# up to 999, signs and underscores, and passes on every interim answer but 100.
_STATUS_LINE = re.compile(
    rb'(?P<version>HTTP/1\.\d) +(?P<status>[1-5]\d\d)'
    rb'(?P<reason> [^\r\n]*)?\r?\n'
)
_FIRST_FINAL_STATUS = 200
_SWITCHING_PROTOCOLS = 101
_CONTINUE = 100
# A peer can vanish without closing its connections. TCP keepalive detects
# this after three seconds: TCP_USER_TIMEOUT, not the number of probes, decides
# when they give up. It notices no peer that acknowledges and does not answer.
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 1
_MAX_UNACKNOWLEDGED_MS = 2500
SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _MAX_UNACKNOWLEDGED_MS),
)


def set_socket_options(opened: socket.socket) -> None:
    """Set the options of all connections on an open socket.

    Raises:
        OSError: the connection has ended.
    """
    for option in SOCKET_OPTIONS:
        opened.setsockopt(*option)


class _WholeLineReader(io.BufferedReader):
    """Reads lines, and takes one without its end for a broken connection.

    The base class of responses takes a head that breaks off for a whole one.
    """

    def readline(self, size: int | None = -1, /) -> bytes:
        """Return a line with its end, or the first ``size`` bytes of one.

        Raises:
            IncompleteRead: the connection ended within the line.
        """
        line = super().readline(size)
        if line.endswith(b'\n') or len(line) == size:
            return line
        raise client.IncompleteRead(line)


class BoundedHeadResponse(client.HTTPResponse):
    """A response with a valid head, few interim heads and a short trailer.

    The base class bounds the lines of a head, but neither the heads nor the
    trailer after a body in chunks.
    """

    _heads = 0

    def __init__(self, opened: socket.socket, *args: Any, **named: Any) -> None:
        super().__init__(opened, *args, **named)
        self.fp = _WholeLineReader(self.fp.detach())

    def begin(self) -> None:
        """Read the head.

        Raises:
            HTTPException: it is malformed or does not end.
        """
        super().begin()
        check_head(self.msg)

    def _read_status(self) -> tuple[str, int, str]:
        self._heads += 1
        if self._heads > _MAX_HEADS:
            raise client.HTTPException('too many interim responses')
        line = self.fp.readline(_MAX_LINE_BYTES)
        found = _STATUS_LINE.fullmatch(line)
        if found is None:
            raise client.BadStatusLine(repr(line[:_MAX_SHOWN_BYTES]))
        status = int(found['status'])
        if status == _SWITCHING_PROTOCOLS:
            raise client.BadStatusLine('no other protocol was asked for')
        if status < _FIRST_FINAL_STATUS:
            # The base class skips the heads of this status only.
            status = _CONTINUE
        reason = (found['reason'] or b'').decode('iso-8859-1')
        return found['version'].decode(), status, reason

    def _read_and_discard_trailer(self) -> None:
        for _ in range(_MAX_TRAILER_LINES):
            if not self.fp.readline(_MAX_LINE_BYTES).strip():
                return
        raise client.HTTPException('the trailer does not end')


class ConnectionPool:
    """Idle connections by origin; the most recently used is reused first.

    Args:
        idle_s: seconds after which an idle connection is not reused.
    """

    def __init__(self, idle_s: float) -> None:
        self._idle_s = idle_s
        self._lock = threading.Lock()
        self._idle: dict[str, collections.deque[tuple[float, HTTPConnection]]]
        self._idle = collections.defaultdict(collections.deque)
        self._next_sweep_at = time.monotonic() + idle_s

    def acquire(self, origin: str) -> HTTPConnection | None:
        """Return an idle connection that is still open, or None."""
        idle_since_limit = time.monotonic() - self._idle_s
        while True:
            with self._lock:
                waiting = self._idle[origin]
                if not waiting:
                    return None
                idle_since, connection = waiting.pop()
            if idle_since >= idle_since_limit and connection.is_connected:
                return connection
            connection.close()

    def release(self, origin: str, connection: HTTPConnection) -> None:
        """Return a connection whose last answer was read completely."""
        with self._lock:
            waiting = self._idle[origin]
            waiting.append((time.monotonic(), connection))
            surplus = self._remove_expired()
            if len(waiting) > _MAX_IDLE_CONNECTIONS:
                surplus.append(waiting.popleft()[1])
        for unused in surplus:
            unused.close()

    def close_idle(self, origin: str) -> None:
        """Close all idle connections to an origin after a failure."""
        with self._lock:
            waiting = tuple(self._idle.pop(origin, ()))
        for _since, connection in waiting:
            connection.close()

    def close_all_idle(self) -> None:
        """Close all idle connections, because none of them can be trusted."""
        with self._lock:
            waiting = tuple(itertools.chain.from_iterable(self._idle.values()))
            self._idle.clear()
        for _since, connection in waiting:
            connection.close()

    def _remove_expired(self) -> list[HTTPConnection]:
        """Remove expired connections of all origins, once per idle time."""
        now = time.monotonic()
        if now < self._next_sweep_at:
            return []
        self._next_sweep_at = now + self._idle_s
        idle_since_limit = now - self._idle_s
        expired = [
            connection
            for waiting in self._idle.values()
            for idle_since, connection in waiting
            if idle_since < idle_since_limit
        ]
        self._idle = collections.defaultdict(
            collections.deque,
            {
                origin: collections.deque(
                    idle_connection
                    for idle_connection in waiting
                    if idle_connection[0] >= idle_since_limit
                )
                for origin, waiting in self._idle.items()
                if waiting and waiting[-1][0] >= idle_since_limit
            },
        )
        return expired


class TunnelledConnection(HTTPConnection):
    """A connection over a socket that another host has connected."""

    opened: socket.socket

    def _new_conn(self) -> socket.socket:
        return self.opened


def connection_over(opened: socket.socket, origin: str) -> HTTPConnection:
    """Return a connection to an origin over an open socket."""
    url = parse_url(origin)
    connection = TunnelledConnection(
        url.hostname or '', url.port, blocksize=_BLOCK_BYTES
    )
    connection.opened = opened
    connection.response_class = BoundedHeadResponse
    connection.connect()
    return connection


def new_connection(origin: str, connect_timeout_s: float) -> HTTPConnection:
    """Return a connection to an origin without opening it.

    Args:
        origin: URL with scheme, IP address and port.
        connect_timeout_s: timeout of opening the connection, in seconds.
    """
    url = parse_url(origin)
    factory = HTTPSConnection if url.scheme == 'https' else HTTPConnection
    connection = factory(
        url.hostname or '',
        url.port,
        timeout=connect_timeout_s,
        blocksize=_BLOCK_BYTES,
        socket_options=list(SOCKET_OPTIONS),
    )
    connection.response_class = BoundedHeadResponse
    return connection
