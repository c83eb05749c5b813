"""Plays a load on the pools of several hosts, in time of its own.

Servers admit in order of arrival, as engines do; hosts know of each other
by notices; callers who are refused come back once, when they are told to.
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

# Wait of a route without an objective, as a host is set up by itself.
UNBOUND_WAIT_S = ForwardSettings().longest_wait_s
NOTICE_S = 0.1
# From a slot to the first event, in seconds.
_FIRST_EVENT_S = 0.025
# Callers wait for a return up to this part of the time they have left.
_PATIENCE = 1 / 3
# A return and its answer take this long at least, in seconds.
_LEAST_LEFT_S = 0.1

# Seconds from which arrivals come that many times as often as the servers
# can serve them.
Step = tuple[float, float]


@dataclasses.dataclass(frozen=True)
class Load:
    """A load and the fleet that it meets.

    ``lost`` takes so many servers away at half of the time.
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
        """Requests in a second that the servers can serve."""
        return self.servers * self.slots / self.held_s

    @property
    def servable(self) -> float:
        """Return how many of the requests find a slot as they come."""
        moments = [
            number * NOTICE_S for number in range(int(self.length_s / NOTICE_S))
        ]
        shares = [min(self.factor(at), self.kept(at)) for at in moments]
        return sum(shares) * NOTICE_S * self.rate_per_s

    def kept(self, at: float) -> float:
        """Return the share of the servers that are there at a time."""
        lost = self.lost if at >= self.length_s / 2 else 0
        return 1 - lost / self.servers

    def factor(self, at: float) -> float:
        """Return the share of that rate at a time."""
        return [share for since, share in self.steps if since <= at][-1]


@dataclasses.dataclass(eq=False)
class Caller:
    """A caller and how it fared; times are seconds of the play."""

    came_at: float
    host: int
    held_s: float
    sent_at: float = 0
    refusals: int = 0
    first_event_s: float | None = None
    waits_promised: list[float] = dataclasses.field(default_factory=list)

    @property
    def deadline(self) -> float:
        """Until when the caller waits."""
        return self.came_at + build.DEADLINE_S

    @property
    def in_time(self) -> bool:
        """Whether the answer began in time after the last attempt."""
        return (
            self.first_event_s is not None
            and self.first_event_s <= build.OBJECTIVE_S
        )


class _Server:
    """A server's slots and its line."""

    def __init__(self, slots: int) -> None:
        self.free = slots
        self.line: collections.deque[tuple[Caller, ServerLease]] = (
            collections.deque()
        )


class Play:
    """One play of a load.

    Args:
        load: what comes.
        route: tells how long a request may wait.
    """

    def __init__(self, load: Load, route: ForwardRoute) -> None:
        self.callers: list[Caller] = []
        self._load = load
        self._route = route
        self._rng = random.Random(load.seed)
        self._clock = build.ManualClock(0)
        self._due: list[tuple[float, int, Callable[[], None]]] = []
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
        """Play it to the end and return the callers."""
        self._arrive()
        self._later(NOTICE_S, self._tell)
        if self._load.lost:
            self._later(self._load.length_s / 2, self._lose)
        while self._due:
            now, _order, action = heapq.heappop(self._due)
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

    def _later(self, seconds: float, action: Callable[[], None]) -> None:
        due = self._clock.now + seconds
        heapq.heappush(self._due, (due, next(self._order), action))

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
            self._later(gap_s, self._arrive)

    def _send(self, caller: Caller) -> None:
        caller.sent_at = self._clock.now
        pool = self._pools[caller.host]
        lease = pool.acquire_online(
            build.SERVICE,
            frozenset(),
            str(caller.came_at),
        )
        assert lease is not None
        left_s = caller.deadline - self._clock.now
        longest_s = longest_wait_s(self._route, left_s, UNBOUND_WAIT_S)
        wait_s = pool.waits.wait_s(lease)
        if wait_s > longest_s:
            pool.give_back(lease, BackendFault.refused)
            self._refuse(
                caller, pool.waits.retry_in_s(lease, wait_s - longest_s)
            )
            return
        server = self._servers[lease.server.server_id]
        server.line.append((caller, lease))
        self._begin(server)

    def _refuse(self, caller: Caller, retry_in_s: float) -> None:
        caller.refusals += 1
        caller.waits_promised.append(retry_in_s)
        left_s = caller.deadline - self._clock.now
        if caller.refusals == 1 and left_s > _LEAST_LEFT_S:
            self._later(
                min(retry_in_s, left_s * _PATIENCE),
                lambda: self._send(caller),
            )

    def _begin(self, server: _Server) -> None:
        while server.free > 0 and server.line:
            caller, lease = server.line.popleft()
            server.free -= 1
            caller.first_event_s = (
                self._clock.now - caller.sent_at + _FIRST_EVENT_S
            )
            end = functools.partial(self._end, caller, lease)
            self._later(caller.held_s, end)

    def _end(self, caller: Caller, lease: ServerLease) -> None:
        pool = self._pools[caller.host]
        pool.waits.record_service_time(lease, caller.held_s)
        pool.give_back(lease)
        server = self._servers[lease.server.server_id]
        server.free += 1
        self._begin(server)

    def _lose(self) -> None:
        for one in self._listed[: self._load.lost]:
            for pool in self._pools:
                pool.remove(one.server_id)

    def _tell(self) -> None:
        notices = [pool.counts() for pool in self._pools]
        for number, pool in enumerate(self._pools):
            for other, notice in enumerate(notices):
                if other != number:
                    pool.note(f'host-{other}', notice)
        if self._clock.now < self._load.length_s + build.DEADLINE_S:
            self._later(NOTICE_S, self._tell)
