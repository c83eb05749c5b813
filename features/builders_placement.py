"""Builders for placement by expected cost and remaining work."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Sequence

from features import builders_forward as build
from guavadyke.controllers.placement import PlacementOptions
from guavadyke.controllers.server_pool import ServerPool
from guavadyke.decisions.request_cost import RequestSize
from guavadyke.decisions.server_registry import ListedServer, ServerLease
from guavadyke.decisions.slot import HostLocation
from guavadyke.log import EventLogger
from guavadyke.metrics import HostMetrics

EVENT_S = 0.03
SPREAD = 1.5
PROMPT_TOKENS = 60
MAX_TOKENS = 40
HINT = 10


def size(hint: int = HINT, maximum: int = MAX_TOKENS) -> RequestSize:
    """Return the size that a request states."""
    return RequestSize(PROMPT_TOKENS, maximum, hint, (), 'replies', '')


def server(number: int, slots: int = 8) -> ListedServer:
    """Return a server that started once."""
    name = f's{number}'
    return dataclasses.replace(build.server(name, slots=slots), born_ms=1)


class Host:
    """A host whose requests at servers run at the servers' speeds.

    Args:
        number: number of the host.
        servers: the servers it knows.
        spread: the setting ``speed_spread``.
        memory: tokens that a server holds, 0 if not known.
        clock: the clock that all hosts share.
    """

    def __init__(
        self,
        number: int,
        servers: Sequence[ListedServer],
        *,
        spread: float = SPREAD,
        memory: int = 0,
        clock: build.ManualClock | None = None,
    ) -> None:
        self.name = f'host-{number}'
        self.clock = clock or build.ManualClock()
        self.metrics = HostMetrics()
        self.pool = ServerPool(
            HostLocation(self.name, build.ZONE),
            build.decode_server,
            self.clock,
            random.Random(number),
            EventLogger(),
        )
        self.list(servers)
        self.pool.placement.enable(
            PlacementOptions(spread, lambda _service: memory, self.metrics)
        )

    def list(self, servers: Sequence[ListedServer]) -> None:
        """List servers in place of those known before."""
        self._servers = tuple(servers)
        self.pool.replace(
            tuple(map(build.server_object, servers)), after_outage=False
        )

    def acquire(
        self, key: str = 'any', excluded: Sequence[str] = (), **stated: int
    ) -> ServerLease | None:
        """Place an online request of a stated size."""
        return self.pool.acquire_online(
            build.SERVICE, frozenset(excluded), key, None, size(**stated)
        )

    def learn(
        self,
        one: ListedServer,
        speed: float,
        requests: int = 1,
        events: int = HINT,
        wait_s: float = 0,
    ) -> None:
        """Complete requests, one after the other, at a server."""
        others = tuple(
            other.server_id for other in self._servers if other != one
        )
        for _ in range(requests):
            lease = self.acquire(excluded=others)
            assert lease is not None and lease.placed is not None
            self.clock.sleep(wait_s)
            for _ in range(events):
                self.clock.sleep(EVENT_S / speed)
                lease.placed.record_event(self.clock.monotonic())
            lease.placed.completed = True
            self.pool.release(lease)

    def learn_speeds(
        self,
        servers: Sequence[ListedServer],
        speeds: Sequence[float],
        rounds: int = 8,
    ) -> None:
        """Complete requests at all servers in turn."""
        for _ in range(rounds):
            for one, speed in zip(servers, speeds, strict=True):
                self.learn(one, speed)

    def speed(self, one: ListedServer) -> float:
        """Return what the host has learned of a server's speed."""
        return self.pool.placement.speed(one, self.clock.monotonic())

    @property
    def by_work(self) -> bool:
        """Whether it places requests by work."""
        return self.pool.placement.by_work(build.SERVICE)
