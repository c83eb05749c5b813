"""How long online requests wait at backend servers."""

from __future__ import annotations

import dataclasses
import random
import threading
from collections.abc import Callable, Sequence

from guavadyke.adapters.ports import Clock
from guavadyke.decisions.load_balancing import LoadBalancer
from guavadyke.decisions.load_shedding import Overload, RetryScheduler
from guavadyke.decisions.request_queue import ServiceTimeEstimator
from guavadyke.decisions.server_registry import ListedServer, ServerLease


@dataclasses.dataclass(frozen=True)
class WaitSources:
    """What a pool lends its waits; ``lock`` guards ``table``.

    ``servers`` returns those of a service at a time, with the lock held.
    """

    lock: threading.Lock
    table: LoadBalancer
    servers: Callable[[str, float], Sequence[ListedServer]]
    clock: Clock


class ServerWaits:
    """Estimates waits from what is in flight and what requests took.

    Safe for threads.

    Args:
        sources: the pool's.
        rng: spreads returns.
    """

    def __init__(self, sources: WaitSources, rng: random.Random) -> None:
        self._sources = sources
        self._lock = sources.lock
        self._table = sources.table
        self._times = ServiceTimeEstimator()
        self._returns = RetryScheduler(rng)

    def record_service_time(self, lease: ServerLease, held_s: float) -> None:
        """Take the seconds for which a request held a server's slot."""
        with self._lock:
            self._times.note(lease.server.service, held_s)

    def queued_requests(self, lease: ServerLease) -> int:
        """Return the requests that wait before one at its server."""
        with self._lock:
            server = lease.server
            load = self._table.load(server.server_id, self._now())
            return max(0, load.total - server.slots)

    def wait_s(self, lease: ServerLease) -> float:
        """Return the seconds that a request will wait at its server.

        Batch items there do not count: they give way.
        """
        with self._lock:
            server = lease.server
            online = self._table.load(server.server_id, self._now()).online
            ahead = online - server.slots
            if ahead <= 0:
                return 0
            return self._times.wait_s(server.service, ahead - 1, server.slots)

    def retry_in_s(self, lease: ServerLease, excess_s: float) -> float:
        """Return the seconds after which a refused caller finds room.

        Args:
            lease: the place that it did not take.
            excess_s: by how much it would have waited too long.
        """
        with self._lock:
            service = lease.server.service
            now = self._now()
            servers = self._sources.servers(service, now)
            slots = sum(server.slots for server in servers)
            any_slot_s = self._times.wait_s(service, 0, slots)
            own_slot_s = any_slot_s / self._table.own_share(servers, now)
            crowd = Overload(excess_s, own_slot_s)
            return self._returns.reserve_retry_s(service, crowd, now)

    def _now(self) -> float:
        return self._sources.clock.monotonic()
