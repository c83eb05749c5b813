"""Simulates a load on the server pools of several hosts, in virtual time.

Servers admit requests in order of arrival, as engines do. Hosts learn of
each other's requests by load notices. Refused callers retry once, after the
retry time that they got.
"""

from __future__ import annotations

import collections
import dataclasses
import functools
import heapq
import itertools
import random
from collections.abc import Callable, Sequence

from features import builders_forward as build
from guavadyke.adapters.ports import BackendFault
from guavadyke.controllers.server_pool import ServerPool
from guavadyke.decisions.forward_routes import ForwardRoute
from guavadyke.decisions.load_shedding import longest_wait_s
from guavadyke.decisions.server_registry import ServerLease
from guavadyke.decisions.slot import HostLocation
from guavadyke.log import EventLogger
from guavadyke.settings import ForwardSettings

# The longest wait on a route without an objective, by default settings.
UNBOUND_WAIT_S = ForwardSettings().longest_wait_s
NOTICE_S = 0.1
# Time from getting a slot to the first event.
_FIRST_EVENT_DELAY_S = 0.025
# Callers wait before a retry for at most this share of the time left.
_MAX_RETRY_WAIT_SHARE = 1 / 3
# A retry and its answer take at least this long; callers with less time left
# do not retry.
_MIN_RETRY_LEFT_S = 0.1

# A time in seconds, and the arrival rate from then on as a multiple of the
# rate that the servers can serve.
Step = tuple[float, float]


@dataclasses.dataclass(frozen=True)
class Load:
    """A load and the fleet that serves it.

    ``lost`` servers are removed halfway through.
    """

    steps: Sequence[Step]
    length_s: float
    servers: int = 5
    slots: int = 8
    hosts: int = 10
    held_s: float = 0.7
    lost: int = 0
    seed: int = 1

    @property
    def rate_per_s(self) -> float:
        """Requests per second that the servers can serve."""
        return self.servers * self.slots / self.held_s

    @property
    def servable(self) -> float:
        """Expected number of requests that find a slot when they arrive."""
        times = [
            number * NOTICE_S for number in range(int(self.length_s / NOTICE_S))
        ]
        shares = [
            min(self.factor(at), self.available_share(at)) for at in times
        ]
        return sum(shares) * NOTICE_S * self.rate_per_s

    def available_share(self, at: float) -> float:
        """Return the share of the servers that are up at a time."""
        lost = self.lost if at >= self.length_s / 2 else 0
        return 1 - lost / self.servers

    def factor(self, at: float) -> float:
        """Return the arrival rate at a time, as a multiple of that rate."""
        return [share for since, share in self.steps if since <= at][-1]


@dataclasses.dataclass(eq=False)
class Caller:
    """A caller and its outcome; times are seconds since the start."""

    arrived_at: float
    host: int
    held_s: float
    sent_at: float = 0
    refusals: int = 0
    first_event_s: float | None = None
    retry_delays_s: list[float] = dataclasses.field(default_factory=list)

    @property
    def deadline(self) -> float:
        """When the caller gives up."""
        return self.arrived_at + build.DEADLINE_S

    @property
    def in_time(self) -> bool:
        """Whether the first event of the last attempt met the objective."""
        return (
            self.first_event_s is not None
            and self.first_event_s <= build.OBJECTIVE_S
        )


class _Server:
    """A server's free slots and its queue."""

    def __init__(self, slots: int) -> None:
        self.free = slots
        self.fifo: collections.deque[tuple[Caller, ServerLease]] = (
            collections.deque()
        )


class LoadSimulation:
    """Simulates a load once.

    Args:
        load: the load and the fleet.
        route: its objective bounds how long a request may wait.
    """

    def __init__(self, load: Load, route: ForwardRoute) -> None:
        self.callers: list[Caller] = []
        self._load = load
        self._route = route
        self._rng = random.Random(load.seed)
        self._clock = build.ManualClock(0)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._listed = tuple(
            build.server(f's{number}', slots=load.slots)
            for number in range(load.servers)
        )
        self._servers = {
            one.server_id: _Server(load.slots) for one in self._listed
        }
        self._pools = [self._pool(number) for number in range(load.hosts)]

    def run(self) -> list[Caller]:
        """Run to the end and return the callers."""
        self._arrive()
        self._schedule(NOTICE_S, self._send_notices)
        if self._load.lost:
            self._schedule(self._load.length_s / 2, self._remove_servers)
        while self._events:
            now, _order, action = heapq.heappop(self._events)
            self._clock.now = now
            action()
        return self.callers

    def _pool(self, number: int) -> ServerPool:
        pool = ServerPool(
            HostLocation(f'host-{number}', build.ZONE),
            build.decode_server,
            self._clock,
            random.Random(self._load.seed + number),
            EventLogger(),
        )
        pool.replace(
            tuple(map(build.server_object, self._listed)),
            after_outage=False,
        )
        return pool

    def _schedule(self, seconds: float, action: Callable[[], None]) -> None:
        due = self._clock.now + seconds
        heapq.heappush(self._events, (due, next(self._order), action))

    def _arrive(self) -> None:
        load = self._load
        now = self._clock.now
        if now > 0:
            caller = Caller(
                now,
                self._rng.randrange(load.hosts),
                self._rng.uniform(load.held_s / 2, 1.5 * load.held_s),
            )
            self.callers.append(caller)
            self._send(caller)
        rate_per_s = load.rate_per_s * load.factor(now)
        gap_s = self._rng.expovariate(rate_per_s)
        if now + gap_s < load.length_s:
            self._schedule(gap_s, self._arrive)

    def _send(self, caller: Caller) -> None:
        caller.sent_at = self._clock.now
        pool = self._pools[caller.host]
        lease = pool.acquire_online(
            build.SERVICE,
            frozenset(),
            str(caller.arrived_at),
        )
        assert lease is not None
        left_s = caller.deadline - self._clock.now
        longest_s = longest_wait_s(self._route, left_s, UNBOUND_WAIT_S)
        wait_s = pool.wait_estimator.estimate_wait_s(lease)
        if wait_s > longest_s:
            pool.release(lease, BackendFault.refused)
            self._refuse(
                caller,
                pool.wait_estimator.estimate_retry_after_s(
                    lease, wait_s - longest_s
                ),
            )
            return
        server = self._servers[lease.server.server_id]
        server.fifo.append((caller, lease))
        self._admit(server)

    def _refuse(self, caller: Caller, retry_in_s: float) -> None:
        caller.refusals += 1
        caller.retry_delays_s.append(retry_in_s)
        left_s = caller.deadline - self._clock.now
        if caller.refusals == 1 and left_s > _MIN_RETRY_LEFT_S:
            self._schedule(
                min(retry_in_s, left_s * _MAX_RETRY_WAIT_SHARE),
                lambda: self._send(caller),
            )

    def _admit(self, server: _Server) -> None:
        while server.free > 0 and server.fifo:
            caller, lease = server.fifo.popleft()
            server.free -= 1
            caller.first_event_s = (
                self._clock.now - caller.sent_at + _FIRST_EVENT_DELAY_S
            )
            end = functools.partial(self._end, caller, lease)
            self._schedule(caller.held_s, end)

    def _end(self, caller: Caller, lease: ServerLease) -> None:
        pool = self._pools[caller.host]
        pool.wait_estimator.record_service_time(lease, caller.held_s)
        pool.release(lease)
        server = self._servers[lease.server.server_id]
        server.free += 1
        self._admit(server)

    def _remove_servers(self) -> None:
        for one in self._listed[: self._load.lost]:
            for pool in self._pools:
                pool.remove(one.server_id)

    def _send_notices(self) -> None:
        notices = [pool.load_notice() for pool in self._pools]
        for number, pool in enumerate(self._pools):
            for sender_number, notice in enumerate(notices):
                if sender_number != number:
                    pool.record_notice(f'host-{sender_number}', notice)
        if self._clock.now < self._load.length_s + build.DEADLINE_S:
            self._schedule(NOTICE_S, self._send_notices)
