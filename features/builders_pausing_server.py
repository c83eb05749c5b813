"""Backend servers that stand still in the middle of an answer."""

from __future__ import annotations

import contextlib
import dataclasses
import itertools
import math
import socket
import threading
import time

from features import builders_forward as build
from features.builders_loopback_server import (
    LoopbackServer,
    requests,
    send_chunk,
)
from guavadyke.adapters.backend import HttpBackendServers
from guavadyke.adapters.clock import SystemClock
from guavadyke.adapters.ports import OnlineCount, PeerNotice
from guavadyke.decisions.request_permits import Permit
from guavadyke.decisions.server_limits import ServerLimit
from guavadyke.filters.caller_watch import CallerWatch
from guavadyke.filters.forward_attempt import ForwardRequest, ForwardTools
from guavadyke.platform.engine_adapter import EngineDialect

STREAM_HEAD = (
    b'HTTP/1.1 200 OK\r\n'
    b'Content-Type: text/event-stream\r\n'
    b'Response-Signature: 3e1b\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
_EVENT_S = 0.02
_SLOTS = 8
LONG_QUEUE = 10 * _SLOTS
_ANNOUNCED_EVERY_S = 0.2
_OTHER_HOST = 'host-2'


class PausingServer(LoopbackServer):
    """Sends a stream whose event follows 20 ms after the one before.

    Args:
        name: id of the server.
        pause_after: event after which it stands still; 0 for before its
            answer.
        pause_s: how long it stands still; infinity to break off there.
        reads_after_s: after how long it reads a request.
    """

    def __init__(
        self,
        name: str,
        pause_after: int,
        pause_s: float,
        reads_after_s: float = 0,
    ) -> None:
        self.requests = 0
        self._pause_after = pause_after
        self._pause_s = pause_s
        self._reads_after_s = reads_after_s
        super().__init__(name, _SLOTS)

    def _serve(self, connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            self.requests += 1
            time.sleep(self._reads_after_s)
            request = next(requests(connection))
            first = int(request.headers.get('last-event-id', '0')) + 1
            self._pause_at(0)
            connection.sendall(STREAM_HEAD)
            for number in range(first, build.EVENTS + 1):
                send_chunk(connection, build.event(number))
                time.sleep(_EVENT_S)
                self._pause_at(number)
            connection.sendall(b'0\r\n\r\n')

    def _pause_at(self, number: int) -> None:
        if number != self._pause_after:
            return
        if math.isinf(self._pause_s):
            raise ConnectionAbortedError
        time.sleep(self._pause_s)


class RefusingServer(PausingServer):
    """Says of each request that it has not run it."""

    def _serve(self, connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            next(requests(connection))
            self.requests += 1
            connection.sendall(
                b'HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n'
                b'Content-Length: 0\r\n\r\n'
            )


class QueueElsewhere:
    """Another host that announces more requests than a server has slots.

    Args:
        tools: the tools of the host that hears it.
        server_id: the server at which the requests are.
        requests: how many requests it announces.
        for_s: seconds after which it announces none.
    """

    def __init__(
        self,
        tools: ForwardTools,
        server_id: str,
        requests: int,
        for_s: float = math.inf,
    ) -> None:
        self._tools = tools
        self._server_id = server_id
        self._requests = requests
        self._for_s = for_s
        self._closed = threading.Event()
        self._record_service_time()
        self._announce(requests)
        threading.Thread(target=self._run, daemon=True).start()

    def close(self) -> None:
        """Announce nothing more."""
        self._closed.set()

    def _record_service_time(self) -> None:
        """Let the host know that a request takes a second."""
        lease = self._tools.pool.acquire_online(
            build.SERVICE, frozenset(), self._server_id
        )
        assert lease is not None
        self._tools.pool.wait_estimator.record_service_time(lease, 1)
        self._tools.pool.release(lease)

    def _run(self) -> None:
        ends_at = time.monotonic() + self._for_s
        while not self._closed.wait(_ANNOUNCED_EVERY_S):
            if time.monotonic() >= ends_at:
                self._announce(0)
                return
            self._announce(self._requests)

    def _announce(self, count: int) -> None:
        self._tools.pool.record_notice(
            _OTHER_HOST,
            PeerNotice(counts=(OnlineCount(self._server_id, count, 0),)),
        )


def exhaust_limit(tools: ForwardTools, server_id: str) -> None:
    """Let a server take no request for longer than a test lasts."""
    tools.limits.apply(ServerLimit(server_id, 0, 1))
    tools.limits.receive(
        _OTHER_HOST, PeerNotice(permits=(Permit(server_id, wait_s=30),))
    )


def real_time_tools(servers: tuple[PausingServer, ...]) -> ForwardTools:
    """Return the tools of a host that lists these servers."""
    watch = CallerWatch()
    watch.start()
    pool = build.pool(tuple(one.listed for one in servers), SystemClock())
    return dataclasses.replace(
        build.tools(HttpBackendServers(dialect=EngineDialect()), pool),
        clock=SystemClock(),
        watch=watch,
    )


_request_numbers = itertools.count(1)


def real_time_request(body_bytes: int = 4) -> ForwardRequest:
    """Return a request that is received now."""
    now = time.monotonic()
    return dataclasses.replace(
        build.request(f'request-{next(_request_numbers)}'),
        received_at=now,
        body=bytes(body_bytes),
        deadline=now + build.DEADLINE_S,
    )
