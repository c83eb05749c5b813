"""Backend servers of one host's forwarded requests and batch items."""

from __future__ import annotations

import random
import threading
from collections.abc import Callable, Mapping
from itertools import starmap

from guavadyke.adapters.ports import (
    BackendFault,
    BatchCount,
    Clock,
    OnlineCount,
    PeerNotice,
    StoredObject,
)
from guavadyke.controllers.mirror import MirrorSink
from guavadyke.controllers.wait_estimator import ServerWaits, WaitSources
from guavadyke.decisions.load_balancing import (
    ANY_SERVER,
    LoadBalancer,
    group_by_service,
)
from guavadyke.decisions.server_registry import (
    ListedServer,
    ServerLease,
    ServerRegistry,
)
from guavadyke.decisions.slot import HostLocation
from guavadyke.log import EventLogger

_UNREACHABLE = frozenset((BackendFault.not_reached, BackendFault.silent))

ServerDecoder = Callable[[StoredObject], ListedServer | None]


class ServerPool(MirrorSink):
    """Knows the servers and what is in flight at each.

    Safe for threads.

    Args:
        here: this host.
        decode: reads a server's entry; None for one that names no server.
        clock: gives the time.
        rng: breaks ties.
        logger: told of servers that come and go.
    """

    def __init__(
        self,
        here: HostLocation,
        decode: ServerDecoder,
        clock: Clock,
        rng: random.Random,
        logger: EventLogger,
    ) -> None:
        self._decode = decode
        self._clock = clock
        self._logger = logger
        self._lock = threading.Lock()
        self._list = ServerRegistry()
        self._table = LoadBalancer(here, rng)
        self.waits = ServerWaits(
            WaitSources(self._lock, self._table, self._servers, clock),
            rng,
        )
        self._by_service: Mapping[str, tuple[ListedServer, ...]] = {}
        self._known: frozenset[ListedServer] = frozenset()

    def replace(
        self,
        objects: tuple[StoredObject, ...],
        *,
        after_outage: bool,
    ) -> None:
        """Take a full list of entries."""
        decoded = [self._decode(stored) for stored in objects]
        with self._lock:
            self._list.replace(
                (server for server in decoded if server is not None),
                self._clock.monotonic(),
                after_outage=after_outage,
            )
            self._refresh()

    def put(self, stored: StoredObject) -> None:
        """Take an entry that was written."""
        server = self._decode(stored)
        with self._lock:
            if server is None:
                self._list.remove(stored.name)
            else:
                self._list.put(server)
            self._refresh()

    def remove(self, name: str) -> None:
        """Take the removal of an entry."""
        with self._lock:
            self._list.remove(name)
            self._refresh()

    def acquire_online(
        self,
        service: str,
        excluded: frozenset[str],
        key: str,
    ) -> ServerLease | None:
        """Return a place for an online request, None without servers."""
        with self._lock:
            now = self._clock.monotonic()
            chosen = self._table.choose_online(
                self._servers(service, now),
                excluded,
                key,
                now,
            )
            if chosen is None:
                return None
            self._table.own_online[chosen.server_id] += 1
            return ServerLease(chosen, batch=False, taken_at=now)

    def take_batch(
        self,
        service: str,
        excluded: frozenset[str],
    ) -> ServerLease | None:
        """Return a place for a batch item, None where there is no room."""
        with self._lock:
            now = self._clock.monotonic()
            chosen = self._table.choose_batch(
                self._servers(service, now),
                excluded,
                now,
            )
            if chosen is None:
                return None
            self._table.own_batch[chosen.server_id] += 1
            self._table.own_waiting -= 1
            return ServerLease(chosen, batch=True, taken_at=now)

    def give_back(
        self,
        lease: ServerLease,
        fault: BackendFault | None = None,
    ) -> None:
        """Give a place back; ``fault`` tells how the call failed."""
        with self._lock:
            server_id = lease.server.server_id
            held = (
                self._table.own_batch if lease.batch else self._table.own_online
            )
            held[server_id] -= 1
            if held[server_id] <= 0:
                held.pop(server_id)
            health = self._table.health(lease.server)
            now = self._clock.monotonic()
            if lease.batch and fault is BackendFault.refused:
                self._table.refused(server_id, now)
            if fault is None:
                health.succeeded(now)
            elif fault is not BackendFault.refused:
                health.failed(now, unreachable=fault in _UNREACHABLE)

    def want(self, items: int, due_order: tuple[str, ...]) -> None:
        """Note what waits for a place.

        Args:
            items: how many items of this host do.
            due_order: the hosts that have jobs, the first due first.
        """
        with self._lock:
            self._table.own_waiting = items
            self._table.due_order = due_order

    def surplus(self) -> dict[str, int]:
        """Return how many items are to give way at each server."""
        with self._lock:
            now = self._clock.monotonic()
            owed = {
                server.server_id: self._table.surplus(server, now)
                for server in self._known
                if server.server_id in self._table.own_batch
            }
            return {name: count for name, count in owed.items() if count}

    def counts(self) -> PeerNotice:
        """Return what this host has in flight at each server."""
        with self._lock:
            return PeerNotice(
                counts=tuple(
                    OnlineCount(name, held, 0)
                    for name, held in self._table.own_online.items()
                ),
                batch_counts=tuple(
                    starmap(BatchCount, self._batch_counts().items()),
                ),
            )

    def note(self, host_id: str, notice: PeerNotice) -> None:
        """Take what another host has in flight."""
        with self._lock:
            now = self._clock.monotonic()
            for count in notice.counts:
                self._table.online_elsewhere.note(
                    host_id,
                    count.backend_id,
                    count.in_flight,
                    now,
                )
            for held in notice.batch_counts:
                self._table.batch_elsewhere.note(
                    host_id,
                    held.backend_id,
                    held.in_flight,
                    now,
                )

    def _batch_counts(self) -> dict[str, int]:
        held = dict(self._table.own_batch)
        waiting = self._table.own_waiting
        return {**held, ANY_SERVER: waiting} if waiting > 0 else held

    def _servers(self, service: str, now: float) -> tuple[ListedServer, ...]:
        due = self._list.due()
        if due is not None and due <= now:
            self._refresh()
        return self._by_service.get(service, ())

    def _refresh(self) -> None:
        servers = frozenset(self._list.current(self._clock.monotonic()))
        if servers == self._known:
            return
        for appeared in servers - self._known:
            self._logger.info(
                'backend_server_listed',
                backend_server=appeared.server_id,
                service=appeared.service,
                address=appeared.address,
                leaving=appeared.leaving,
            )
        ids = {server.server_id for server in servers}
        for known in self._known:
            if known.server_id not in ids:
                self._logger.info(
                    'backend_server_gone',
                    backend_server=known.server_id,
                )
        self._known = servers
        self._by_service = group_by_service(servers)
        self._table.forget(servers)
