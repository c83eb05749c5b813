"""Places requests by expected cost where servers of a service differ."""

from __future__ import annotations

import dataclasses
import re
from collections.abc import Callable, Iterable, Sequence

from guavadyke.decisions.cached_parts import CachedParts
from guavadyke.decisions.load_balancing import LoadBalancer
from guavadyke.decisions.remaining_work import PlacedRequest
from guavadyke.decisions.remote_work import RemoteWork
from guavadyke.decisions.request_cost import NO_SIZE, CostModel, RequestSize
from guavadyke.decisions.server_registry import ListedServer, ServerLease
from guavadyke.decisions.server_speed import MethodSwitch, ServerSpeeds
from guavadyke.decisions.work_placement import (
    Candidate,
    choose_by_work,
    queue_wait_s,
    that_have_memory,
    without_memory,
)
from guavadyke.log import EventLogger
from guavadyke.metrics import HostMetrics

# The speeds of all servers of a service are compared at most this often: it
# takes 3 ms at 2,700 servers.
_COMPARE_INTERVAL_S = 1.0
# Speeds are learned from the times between events alone, of answers with at
# least so many. First events may have waited behind requests of other hosts,
# and answers without events may have any length: at equal servers both would
# look like speeds that differ by more than 1.5.
_MIN_EVENTS = 4
_MS_PER_S = 1000
# A report is a thrift i32.
_MAX_WORK_MS = 2**31 - 1
_NOT_IN_METRIC = re.compile(r'[^a-zA-Z0-9_]')


def _no_memory(_service: str) -> int:
    return 0


@dataclasses.dataclass(frozen=True)
class PlacementOptions:
    """When and with what placement by work is used.

    ``speed_spread`` is the ratio of speeds from which it is used, 0 for never;
    ``memory_tokens`` returns how many tokens a server of a service holds, 0 if
    not known; ``metrics`` counts choices and records errors of estimates.
    """

    speed_spread: float = 0
    memory_tokens: Callable[[str], int] = _no_memory
    metrics: HostMetrics = dataclasses.field(default_factory=HostMetrics)


class _Service:
    """What is learned of one service."""

    def __init__(self, service: str, speed_spread: float) -> None:
        self.costs = CostModel()
        self.speeds = ServerSpeeds()
        self.switch = MethodSwitch(speed_spread)
        self.compared_at: float = 0
        name = _NOT_IN_METRIC.sub('_', service)
        self.choices_metric = f'placements_by_work_{name}'


class Placement:
    """Learns costs and speeds, and chooses servers by remaining work.

    Not thread-safe: the pool calls it while it holds its lock.

    Args:
        table: requests in flight at each server, and the choice by counts.
        zone: the availability zone of this host.
        logger: logs changes of the method of a service.

    Attributes:
        remote: what other hosts report of their work.
    """

    def __init__(
        self, table: LoadBalancer, zone: str, logger: EventLogger
    ) -> None:
        self._table = table
        self._zone = zone
        self._logger = logger
        self._options = PlacementOptions()
        self._services: dict[str, _Service] = {}
        self._own: dict[str, set[PlacedRequest]] = {}
        self.remote = RemoteWork()
        self._cached = CachedParts()

    def enable(self, options: PlacementOptions) -> None:
        """Learn, and choose by work as the options say."""
        self._options = options

    def by_work(self, service: str) -> bool:
        """Return whether servers of a service are chosen by work."""
        found = self._services.get(service)
        return found is not None and found.switch.by_work

    def speed(self, server: ListedServer, now: float) -> float:
        """Return the learned speed of a server, 1 for the usual one."""
        learned = self._service(server.service)
        return learned.speeds.speed(server.incarnation, now)

    def choose_online(
        self,
        servers: Sequence[ListedServer],
        excluded: frozenset[str],
        key: str,
        size: RequestSize,
        now: float,
    ) -> ListedServer | None:
        """Return the server for an online request, None if there is none."""
        if not servers or not self.by_work(servers[0].service):
            return self._table.choose_online(servers, excluded, key, now)
        usable = self._table.usable(servers, excluded, now)
        if not usable:
            return None
        service = servers[0].service
        learned = self._services[service]
        self._options.metrics.increment(learned.choices_metric)
        candidates = that_have_memory(
            self._candidates(usable, size, now),
            size.memory_tokens,
            self._options.memory_tokens(service),
        )
        return choose_by_work(
            candidates, self._zone, key, learned.costs.mean_cost_s
        )

    def without_memory(
        self, servers: Sequence[ListedServer], size: RequestSize, now: float
    ) -> frozenset[str]:
        """Return the ids of servers whose memory does not hold an item."""
        if not servers or not self.by_work(servers[0].service):
            return frozenset()
        memory = self._options.memory_tokens(servers[0].service)
        if not memory:
            return frozenset()
        return without_memory(
            self._candidates(servers, size, now), size.memory_tokens, memory
        )

    def placed(
        self,
        server: ListedServer,
        size: RequestSize,
        now: float,
        *,
        batch: bool,
        queued: bool = False,
    ) -> PlacedRequest | None:
        """Begin to observe a request, None where nothing is learned."""
        if not self._options.speed_spread:
            return None
        learned = self._service(server.service)
        cached = self._cached.tokens(server.incarnation, size.parts)
        placed = PlacedRequest(
            size,
            cached,
            learned.costs.expect(size, cached),
            learned.speeds.speed(server.incarnation, now),
            now,
            service=server.service,
            batch=batch,
            queued=queued,
        )
        self._own.setdefault(server.server_id, set()).add(placed)
        return placed

    def ended(self, lease: ServerLease, now: float) -> None:
        """Stop counting a request; learn from it if its answer was whole."""
        placed = lease.placed
        server = lease.server
        if placed is None:
            return
        held = self._own.get(server.server_id, set())
        held.discard(placed)
        if not held:
            self._own.pop(server.server_id, None)
        if placed.completed:
            self._cached.add(server.incarnation, placed.size.parts)
            self._learn(server, placed, now)

    def list_servers(self, servers: Iterable[ListedServer]) -> None:
        """Drop what is known of servers that are gone or started again."""
        incarnations = frozenset(one.incarnation for one in servers)
        for learned in self._services.values():
            learned.speeds.keep(incarnations)

    def reported_ms(self, server_id: str, now: float) -> int | None:
        """Return this host's work at a server as other hosts are told.

        None where the speeds of the service do not call for it.
        """
        held = self._own.get(server_id)
        if not held:
            return None
        learned = self._services.get(next(iter(held)).service)
        if learned is None or not learned.switch.may_begin:
            return None
        work_s = sum(one.remaining_s(now) for one in held if not one.batch)
        return min(_MAX_WORK_MS, int(work_s * _MS_PER_S))

    def queue_wait_s(
        self, server: ListedServer, ahead: int, now: float
    ) -> float:
        """Return the expected wait at a server for ``ahead`` ends."""
        candidate = self._candidates((server,), NO_SIZE, now)[0]
        return queue_wait_s(
            candidate.work_s, candidate.online, ahead, candidate.capacity
        )

    def _candidates(
        self, servers: Sequence[ListedServer], size: RequestSize, now: float
    ) -> list[Candidate]:
        """Return what is known of servers of one service, for a request."""
        learned = self._service(servers[0].service)
        cost_s = learned.costs.expect(size).total_s
        return [
            self._candidate(server, learned, size, cost_s, now)
            for server in servers
        ]

    def _candidate(
        self,
        server: ListedServer,
        learned: _Service,
        size: RequestSize,
        cost_s: float,
        now: float,
    ) -> Candidate:
        server_id = server.server_id
        incarnation = server.incarnation
        load = self._table.load(server_id, now)
        mean_cost_s = learned.costs.mean_cost_s
        speed = learned.speeds.speed(incarnation, now)
        cached = self._cached.tokens(incarnation, size.parts)
        found = Candidate(
            server,
            load.online,
            load.batch,
            self.remote.remaining_s(
                server,
                load.online - self._table.own_online[server_id],
                speed,
                mean_cost_s,
                now,
            ),
            learned.costs.expect(size, cached).total_s if cached else cost_s,
            speed,
        )
        own = self._own.get(server_id, ())
        found.work_s += sum(
            one.remaining_s(now) for one in own if not one.batch
        )
        found.own_tokens = sum(one.size.memory_tokens for one in own)
        elsewhere = load.total - len(own)
        found.used_tokens = (
            found.own_tokens + elsewhere * learned.costs.mean_tokens
        )
        return found

    def _learn(
        self, server: ListedServer, placed: PlacedRequest, now: float
    ) -> None:
        learned = self._service(server.service)
        seen = placed.observed(now)
        observed_s = (seen.first_event_s or 0) + seen.events_s
        costs = learned.costs
        if costs.mean_cost_s and seen.first_event_s is not None:
            expected_s = placed.cost.total_s / placed.speed
            self._options.metrics.record(
                'placement_estimate_error', abs(expected_s - observed_s)
            )
        if seen.events >= _MIN_EVENTS:
            learned.speeds.observe(
                server.incarnation,
                costs.expected_events_s(seen.events),
                seen.events_s,
                now,
            )
        costs.observe(placed.size, placed.cached_tokens, seen)
        if now - learned.compared_at >= _COMPARE_INTERVAL_S:
            learned.compared_at = now
            self._compare(server.service, learned, now)

    def _compare(self, service: str, learned: _Service, now: float) -> None:
        if learned.switch.update(learned.speeds.spread(now)):
            self._options.metrics.increment('placement_method_changes')
            self._logger.info(
                'placement_method_changed',
                service=service,
                by_work=learned.switch.by_work,
                speed_ratio=round(learned.switch.spread, 2),
            )

    def _service(self, service: str) -> _Service:
        found = self._services.get(service)
        if found is None:
            found = _Service(service, self._options.speed_spread)
            self._services[service] = found
        return found
