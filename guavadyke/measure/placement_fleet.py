"""Server pools of several hosts in front of uneven stand-ins of engines."""

from __future__ import annotations

import dataclasses
import enum
import itertools
import random
import time
from collections.abc import Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection, HTTPException

from guavadyke.adapters.clock import SystemClock
from guavadyke.adapters.ports import BackendFault, StoredObject
from guavadyke.controllers.placement import PlacementOptions
from guavadyke.controllers.server_pool import ServerPool
from guavadyke.decisions.forward_routes import ForwardRoute
from guavadyke.decisions.load_shedding import longest_wait_s
from guavadyke.decisions.request_cost import RequestSize
from guavadyke.decisions.server_registry import ListedServer, ServerLease
from guavadyke.decisions.slot import HostLocation
from guavadyke.guarded_threads import BackgroundTask
from guavadyke.log import EventLogger
from guavadyke.measure.stream_client import chat_body
from guavadyke.settings import ForwardSettings
from guavadyke.standins.continuous_batching import ContinuousBatchSpec
from guavadyke.standins.engine import EngineSpec, EngineStandin

ZONES = ('a', 'b', 'c')
_SPEEDS = (0.7, 0.7, 1.7)
_SLOTS = 4
_HOSTS = 6
# Of an engine of usual speed.
_EVENT_S = 0.03
_PREFILL_TOKENS_PER_S = 4000.0
_CHARS_PER_TOKEN = 4
_SERVICE = 'engines'
_IP = '127.0.0.1'
_NOTICE_INTERVAL_S = ForwardSettings().notice_interval_s
_MAX_OUTPUT = 128
_MAX_IN_FLIGHT = 160
_TIMEOUT_S = 20.0
_EVENT_MARKER = b'"content"'
_STATUS_OK = 200


class Method(enum.StrEnum):
    """How servers are chosen."""

    counts = 'counts'
    two_choices = 'two_choices'
    work = 'work'


@dataclasses.dataclass(frozen=True)
class SizedRequest:
    """A request that is sent ``at`` seconds after the start."""

    at: float
    prompt_tokens: int
    events: int
    hint: int
    large: bool
    streamed: bool
    route: ForwardRoute

    @property
    def slot_seconds(self) -> float:
        """Slot-seconds that it takes of an engine of usual speed.

        While an engine reads a prompt, all its slots wait.
        """
        prefill_s = self.prompt_tokens / _PREFILL_TOKENS_PER_S
        return _SLOTS * prefill_s + self.events * _EVENT_S

    @property
    def size(self) -> RequestSize:
        """What it states of its size."""
        return RequestSize(
            self.prompt_tokens,
            _MAX_OUTPUT,
            self.hint,
            route=self.route.name,
        )


@dataclasses.dataclass(frozen=True)
class PlacedResult:
    """What became of a request that a host in ``zone`` placed.

    Times are seconds since it was to be sent, None if there was no such event.
    ``lag_s`` is how late it was sent.
    """

    request: SizedRequest
    zone: str
    lag_s: float
    refused: bool = False
    first_s: float | None = None
    whole_s: float | None = None


def mean_capacity() -> float:
    """Slot-seconds at usual speed that all engines serve in a second."""
    return len(ZONES) * _SLOTS * sum(_SPEEDS)


class PlacementFleet:
    """Hosts and engines for one run with one method.

    Args:
        method: how servers are chosen.
        seed: of the choices.
    """

    def __init__(self, method: Method, seed: int) -> None:
        self._method = method
        self._rng = random.Random(seed)
        self._started_at: float = 0
        self._engines = [
            EngineStandin(ip=_IP, spec=_engine_spec(speed))
            for _zone in ZONES
            for speed in _SPEEDS
        ]
        self._servers = [
            ListedServer(
                f'engine-{number}',
                _SERVICE,
                engine.address,
                ZONES[number // len(_SPEEDS)],
                _SLOTS,
                born_ms=1,
            )
            for number, engine in enumerate(self._engines)
        ]
        self._pools = [self._pool(number) for number in range(_HOSTS)]

    def run(self, requests: Sequence[SizedRequest]) -> list[PlacedResult]:
        """Send the requests, each at its time, and wait for their ends."""
        for engine in self._engines:
            engine.start()
        self._started_at = time.monotonic()
        ends_at = self._started_at + requests[-1].at
        notices = BackgroundTask(
            lambda: self._exchange(ends_at), 'notices', EventLogger()
        )
        notices.start()
        try:
            with ThreadPoolExecutor(_MAX_IN_FLIGHT) as threads:
                pending = [
                    threads.submit(self._send, request, number)
                    for number, request in self._due(requests)
                ]
                return [one.result() for one in pending]
        finally:
            notices.wait(_NOTICE_INTERVAL_S)
            for engine in self._engines:
                engine.close()

    def _due(
        self, requests: Sequence[SizedRequest]
    ) -> Iterator[tuple[int, SizedRequest]]:
        """Yield each request when it is due."""
        for number, request in enumerate(requests):
            due = self._started_at + request.at
            time.sleep(max(0, due - time.monotonic()))
            yield number, request

    def _exchange(self, ends_at: float) -> None:
        """Let the hosts tell each other their load."""
        while time.monotonic() < ends_at:
            for sender, receiver in itertools.permutations(range(_HOSTS), 2):
                self._pools[receiver].record_notice(
                    f'host-{sender}', self._pools[sender].load_notice()
                )
            time.sleep(_NOTICE_INTERVAL_S)

    def _pool(self, number: int) -> ServerPool:
        pool = ServerPool(
            HostLocation(f'host-{number}', ZONES[number % len(ZONES)]),
            lambda stored: self._servers[int(stored.name)],
            SystemClock(),
            random.Random(number),
            EventLogger(),
        )
        pool.replace(
            tuple(
                StoredObject(_SERVICE, str(place), 1, b'')
                for place in range(len(self._servers))
            ),
            after_outage=False,
        )
        if self._method is Method.work:
            spread = ForwardSettings().speed_spread
            pool.placement.enable(PlacementOptions(spread))
        return pool

    def _send(self, request: SizedRequest, number: int) -> PlacedResult:
        host = number % _HOSTS
        pool = self._pools[host]
        due = self._started_at + request.at
        placed = PlacedResult(
            request, ZONES[host % len(ZONES)], time.monotonic() - due
        )
        lease = pool.acquire_online(
            _SERVICE, self._excluded(pool), str(number), None, request.size
        )
        if lease is None:
            return dataclasses.replace(placed, refused=True)
        longest_s = longest_wait_s(request.route, _TIMEOUT_S, _TIMEOUT_S)
        if pool.wait_estimator.estimate_wait_s(lease) > longest_s:
            pool.release(lease, BackendFault.refused)
            return dataclasses.replace(placed, refused=True)
        return _Call(request, lease, pool, due).run(placed)

    def _excluded(self, pool: ServerPool) -> frozenset[str]:
        """Return the servers that the method does not weigh.

        Power of two choices weighs two random ones by their counts.
        """
        if self._method is not Method.two_choices:
            return frozenset()
        weighed = self._rng.sample(self._servers, 2)
        return frozenset(
            server.server_id
            for server in self._servers
            if server not in weighed
        )


class _Call:
    """One request at its engine."""

    def __init__(
        self,
        request: SizedRequest,
        lease: ServerLease,
        pool: ServerPool,
        due: float,
    ) -> None:
        self._request = request
        self._lease = lease
        self._pool = pool
        self._due = due
        self._queued = pool.wait_estimator.queued_requests(lease) > 0
        self._first_at: float | None = None

    def run(self, placed: PlacedResult) -> PlacedResult:
        """Send the request, read its answer and release the lease."""
        connection = HTTPConnection(
            self._lease.server.address, timeout=_TIMEOUT_S
        )
        try:
            self._read(connection)
        except (OSError, HTTPException):
            self._pool.release(self._lease, BackendFault.broken)
            return placed
        finally:
            connection.close()
        ended_at = time.monotonic()
        self._end(ended_at)
        first_at = self._first_at or ended_at
        return dataclasses.replace(
            placed, first_s=first_at - self._due, whole_s=ended_at - self._due
        )

    def _read(self, connection: HTTPConnection) -> None:
        connection.request(
            'POST',
            '/v1/chat/completions',
            body=self._body(),
            headers={'Content-Type': 'application/json'},
        )
        response = connection.getresponse()
        if response.status != _STATUS_OK:
            raise HTTPException(f'status {response.status}')
        for line in response:
            if self._request.streamed and _EVENT_MARKER in line:
                self._record_event(time.monotonic())

    def _body(self) -> bytes:
        prompt = f'{self._due:.6f} '.ljust(
            self._request.prompt_tokens * _CHARS_PER_TOKEN, 'x'
        )
        body = chat_body('any', prompt, self._request.events)
        if self._request.streamed:
            return body
        return body.replace(b'"stream": true', b'"stream": false')

    def _record_event(self, now: float) -> None:
        if self._first_at is None:
            self._first_at = now
        if self._lease.placed is not None:
            self._lease.placed.record_event(now)

    def _end(self, now: float) -> None:
        if self._lease.placed is not None:
            self._lease.placed.completed = True
        began_at = self._first_at if self._queued else self._lease.taken_at
        if began_at is not None:
            self._pool.wait_estimator.record_service_time(
                self._lease, now - began_at
            )
        self._pool.release(self._lease)


def _engine_spec(speed: float) -> EngineSpec:
    return EngineSpec(
        batch=ContinuousBatchSpec(
            slots=_SLOTS,
            step_s=_EVENT_S / speed,
            step_growth_s=0,
            prefill_tokens_per_s=_PREFILL_TOKENS_PER_S * speed,
        )
    )
