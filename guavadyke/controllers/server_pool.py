"""Backend servers known to this host and their requests in flight."""

from __future__ import annotations

import random
import threading
from collections.abc import Callable, Collection, Iterable, Mapping
from itertools import starmap

from guavadyke.adapters.ports import (
    BackendFault,
    BatchCount,
    Clock,
    OnlineCount,
    PeerNotice,
    StoredObject,
)
from guavadyke.controllers.fault_exchange import (
    FaultExchange,
    leaving_incarnations,
)
from guavadyke.controllers.mirror import MirrorSink
from guavadyke.controllers.other_servers import OtherServers
from guavadyke.controllers.placement import Placement
from guavadyke.controllers.pool_parts import PoolParts
from guavadyke.controllers.preemption_check import PreemptionCheck
from guavadyke.controllers.urgent_notices import UrgentNotices
from guavadyke.controllers.wait_estimator import WaitEstimator
from guavadyke.decisions.load_balancing import (
    LoadBalancer,
    group_by_service,
)
from guavadyke.decisions.request_cost import NO_SIZE, RequestSize
from guavadyke.decisions.server_registry import (
    ListedServer,
    ServerLease,
    ServerRegistry,
    that_may_resume,
)
from guavadyke.decisions.slot import HostLocation
from guavadyke.log import EventLogger

_MS_PER_S = 1000
_UNREACHABLE = frozenset((BackendFault.not_reached, BackendFault.silent))


def _alone() -> int:
    return 1


def _ignore(_servers: Iterable[ListedServer]) -> None:
    """Do nothing where no one wants to know of the servers."""


ServerDecoder = Callable[[StoredObject], ListedServer | None]


class ServerPool(MirrorSink):
    """Assigns requests and batch items to backend servers. Thread-safe.

    Counts the requests in flight at each server: those of this host by its
    leases, those of other hosts by their load notices.

    Args:
        here: the id and the zone of this host.
        decode: decodes a server's entry; None for one that names no server.
        clock: a monotonic clock.
        rng: breaks ties between servers.
        logger: logs servers that appear, disappear and fail.
        live_hosts: returns the number of live hosts of the fleet.
        on_listed: called with all servers whenever one has changed.
    """

    def __init__(
        self,
        here: HostLocation,
        decode: ServerDecoder,
        clock: Clock,
        rng: random.Random,
        logger: EventLogger,
        live_hosts: Callable[[], int] = _alone,
        on_listed: Callable[[Iterable[ListedServer]], object] = _ignore,
    ) -> None:
        self._on_listed = on_listed
        self._decode = decode
        self._clock = clock
        self._logger = logger
        self._lock = threading.Lock()
        self._server_registry = ServerRegistry()
        self._load_balancer = LoadBalancer(here, rng)
        self._preemption_check = PreemptionCheck(self._load_balancer)
        self.placement = Placement(self._load_balancer, here.zone, logger)
        parts = PoolParts(
            self._lock,
            self._load_balancer,
            self._servers,
            clock,
            self.placement,
        )
        self._in_flight = parts.in_flight
        self.wait_estimator = WaitEstimator(parts, rng)
        self.others = OtherServers(parts)
        self.urgent = UrgentNotices()
        self._fault_exchange = FaultExchange(
            here,
            self._load_balancer.fault_reports,
            self.urgent,
            live_hosts,
            logger,
        )
        self._by_service: Mapping[str, tuple[ListedServer, ...]] = {}
        self._listed_servers: frozenset[ListedServer] = frozenset()

    def replace(
        self,
        objects: tuple[StoredObject, ...],
        *,
        after_outage: bool,
    ) -> None:
        """Replace all servers by those of a full list."""
        decoded = [self._decode(stored) for stored in objects]
        with self._lock:
            self._server_registry.replace(
                (server for server in decoded if server is not None),
                self._clock.monotonic(),
                after_outage=after_outage,
            )
            self._refresh()

    def put(self, stored: StoredObject) -> None:
        """Add or replace a server."""
        server = self._decode(stored)
        with self._lock:
            if server is None:
                self._server_registry.remove(stored.name)
            else:
                self._server_registry.update(server)
            self._refresh()

    def remove(self, name: str) -> None:
        """Remove a server."""
        with self._lock:
            self._server_registry.remove(name)
            self._refresh()

    def acquire_online(
        self,
        service: str,
        excluded: frozenset[str],
        key: str,
        software: str | None = None,
        size: RequestSize = NO_SIZE,
    ) -> ServerLease | None:
        """Lease a server for an online request.

        The request may have to queue at the server.

        Args:
            service: the service that has to serve the request.
            excluded: ids of servers not to use.
            key: requests with the same key prefer the same server.
            software: the only software version to use, None for any.
            size: what the request states of its size.

        Returns:
            The lease, None if there is no usable server.
        """
        with self._lock:
            now = self._clock.monotonic()
            chosen = self.placement.choose_online(
                that_may_resume(
                    self._servers(service, now), software, excluded
                ),
                excluded,
                key,
                size,
                now,
            )
            if chosen is None:
                return None
            load = self._load_balancer.load(chosen.server_id, now)
            holders = self._load_balancer.batch_by_host(chosen.server_id, now)
            self._load_balancer.own_online[chosen.server_id] += 1
            lease = ServerLease(
                chosen,
                batch=False,
                taken_at=now,
                online_before=load.online,
                batch_before=load.batch,
                placed=self.placement.placed(
                    chosen,
                    size,
                    now,
                    batch=False,
                    queued=load.total >= chosen.slots,
                ),
            )
            self._in_flight.add(lease)
        if load.total >= chosen.slots:
            self.urgent.add_contention(chosen.server_id, holders)
        return lease

    def acquire_batch(
        self,
        service: str,
        excluded: frozenset[str],
        software: str | None = None,
        size: RequestSize = NO_SIZE,
    ) -> ServerLease | None:
        """Lease a slot for a batch item, None if no server has one free.

        Args:
            service: the service that has to run the item.
            excluded: ids of servers not to use.
            software: the only software version to use, None for any.
            size: what the item states of its size.
        """
        with self._lock:
            now = self._clock.monotonic()
            servers = that_may_resume(
                self._servers(service, now), software, excluded
            )
            chosen = self._load_balancer.choose_batch(
                servers,
                excluded | self.placement.without_memory(servers, size, now),
                now,
            )
            if chosen is None:
                return None
            self._load_balancer.own_batch[chosen.server_id] += 1
            self._load_balancer.own_waiting -= 1
            return ServerLease(
                chosen,
                batch=True,
                taken_at=now,
                placed=self.placement.placed(chosen, size, now, batch=True),
            )

    def release(
        self,
        lease: ServerLease,
        fault: BackendFault | None = None,
    ) -> None:
        """Release a lease and update the server's health.

        Args:
            lease: the lease.
            fault: how the call failed, None if it did not.
        """
        with self._lock:
            server_id = lease.server.server_id
            held = (
                self._load_balancer.own_batch
                if lease.batch
                else self._load_balancer.own_online
            )
            held[server_id] -= 1
            if held[server_id] <= 0:
                held.pop(server_id)
            self._in_flight.remove(lease)
            health = self._load_balancer.health(lease.server)
            now = self._clock.monotonic()
            self.placement.ended(lease, now)
            if lease.batch and fault is BackendFault.refused:
                self._load_balancer.refused(server_id, now)
            if fault is None:
                health.succeeded(now)
                self._fault_exchange.succeeded(server_id)
            elif fault is not BackendFault.refused and health.failed(
                now, unreachable=fault in _UNREACHABLE
            ):
                self._fault_exchange.ejected(server_id, now)

    def said_leaving(self, server: ListedServer) -> None:
        """Send nothing more to a server that has said that it leaves.

        The other hosts are told at once.
        """
        with self._lock:
            now = self._clock.monotonic()
            if self._server_registry.say_leaving(server.incarnation, now):
                self._fault_exchange.said_leaving(server)
                self._refresh()

    def set_batch_backlog(
        self,
        items: int,
        in_time: int,
        due_order: tuple[str, ...],
        *,
        pressing: bool,
    ) -> None:
        """Record the items that wait for a slot.

        Args:
            items: how many items of this host wait for a slot.
            in_time: how many of all that wait would not be late.
            due_order: the hosts with open jobs, that of the job that goes
                first first.
            pressing: whether items would be late without the slots that are
                kept for the next peak of online requests.
        """
        with self._lock:
            self._load_balancer.pressing = pressing
            self._load_balancer.own_waiting = items
            self._load_balancer.own_late = max(0, items - in_time)
            self._load_balancer.due_order = due_order

    def items_to_preempt(self) -> dict[str, int]:
        """Return how many of this host's items to preempt, by server id."""
        with self._lock:
            now = self._clock.monotonic()
            self._preemption_check.sample_peaks(self._by_service.values(), now)
            return self._preemption_check.items_due(now)

    def load_notice(self) -> PeerNotice:
        """Return this host's in-flight counts as a notice to other hosts."""
        with self._lock:
            now = self._clock.monotonic()
            return PeerNotice(
                counts=tuple(
                    OnlineCount(
                        name, count, 0, self.placement.reported_ms(name, now)
                    )
                    for name, count in self._load_balancer.own_online.items()
                ),
                batch_counts=tuple(
                    starmap(
                        BatchCount, self._load_balancer.batch_counts().items()
                    ),
                ),
            )

    def online_notice(self, server_ids: Collection[str]) -> PeerNotice:
        """Return this host's online requests at some servers as a notice."""
        with self._lock:
            now = self._clock.monotonic()
            online = self._load_balancer.own_online
            return PeerNotice(
                counts=tuple(
                    OnlineCount(
                        name,
                        online[name],
                        0,
                        self.placement.reported_ms(name, now),
                    )
                    for name in server_ids
                ),
            )

    def record_notice(self, host_id: str, notice: PeerNotice) -> None:
        """Record the in-flight counts of another host."""
        self._record_counts(host_id, notice)
        named = {count.backend_id for count in notice.counts}
        if not named:
            return
        with self._lock:
            now = self._clock.monotonic()
            self._preemption_check.sample_peaks(self._by_service.values(), now)
            due = self._preemption_check.items_due(now, named)
        if due:
            self.urgent.yield_own()

    def _record_counts(self, host_id: str, notice: PeerNotice) -> None:
        with self._lock:
            now = self._clock.monotonic()
            for count in notice.counts:
                self._load_balancer.online_elsewhere.record_count(
                    host_id,
                    count.backend_id,
                    count.in_flight,
                    now,
                )
                self.placement.remote.record(
                    host_id,
                    count.backend_id,
                    count.in_flight,
                    _work_s(count),
                    now,
                )
            for held in notice.batch_counts:
                self._load_balancer.batch_elsewhere.record_count(
                    host_id,
                    held.backend_id,
                    held.in_flight,
                    now,
                )
            self._fault_exchange.received(host_id, notice.faults, now)
            heard = [
                self._server_registry.say_leaving(incarnation, now)
                for incarnation in leaving_incarnations(notice.faults)
            ]
            if any(heard):
                self._refresh()

    def _servers(self, service: str, now: float) -> tuple[ListedServer, ...]:
        due = self._server_registry.next_change_at()
        if due is not None and due <= now:
            self._refresh()
        return self._by_service.get(service, ())

    def _refresh(self) -> None:
        servers = frozenset(
            self._server_registry.current(self._clock.monotonic())
        )
        if servers == self._listed_servers:
            return
        for appeared in servers - self._listed_servers:
            self._logger.info(
                'backend_server_listed',
                backend_server=appeared.server_id,
                service=appeared.service,
                address=appeared.address,
                software=appeared.software,
                leaving=appeared.leaving,
            )
        ids = {server.server_id for server in servers}
        for known in self._listed_servers:
            if known.server_id not in ids:
                self._logger.info(
                    'backend_server_gone',
                    backend_server=known.server_id,
                )
        self._listed_servers = servers
        self._on_listed(servers)
        self._by_service = group_by_service(servers)
        self._preemption_check.list_servers(servers)
        self._load_balancer.keep_health_of(servers)
        self.placement.list_servers(servers)


def _work_s(count: OnlineCount) -> float | None:
    return None if count.work_ms is None else count.work_ms / _MS_PER_S


def tell_each(
    *listeners: Callable[[Iterable[ListedServer]], object],
) -> Callable[[Iterable[ListedServer]], None]:
    """Return what calls each listener with all servers."""

    def tell(servers: Iterable[ListedServer]) -> None:
        listed = tuple(servers)
        for listener in listeners:
            listener(listed)

    return tell
