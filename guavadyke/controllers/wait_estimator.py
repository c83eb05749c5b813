"""Estimates how long online requests wait for a slot at their servers."""

from __future__ import annotations

import dataclasses
import random

from guavadyke.controllers.pool_parts import PoolParts
from guavadyke.decisions.load_shedding import Overload, RetryScheduler
from guavadyke.decisions.request_queue import ServiceTimeEstimator
from guavadyke.decisions.requests_in_flight import InFlight
from guavadyke.decisions.server_registry import ServerLease


class WaitEstimator:
    """Estimates waits from in-flight counts and past service times.

    Thread-safe.

    Args:
        parts: state shared with the server pool.
        rng: adds jitter to the retry times of refused callers.
    """

    def __init__(self, parts: PoolParts, rng: random.Random) -> None:
        self._parts = parts
        self._lock = parts.lock
        self._table = parts.table
        self._service_times = ServiceTimeEstimator()
        self._retry_times = RetryScheduler(rng)

    def record_service_time(self, lease: ServerLease, held_s: float) -> None:
        """Record for how many seconds a request held a server's slot."""
        with self._lock:
            self._service_times.record_duration(lease.server.service, held_s)

    def queued_requests(self, lease: ServerLease) -> int:
        """Return by how many a lease's server has more requests than slots.

        The lease's own request and batch items count as well.
        """
        with self._lock:
            server = lease.server
            load = self._table.load(server.server_id, self._now())
            return max(0, load.total - server.slots)

    def estimate_wait_s(self, lease: ServerLease) -> float:
        """Return the seconds that a request will wait for a slot.

        Batch items do not count: they are preempted.
        """
        with self._lock:
            server = lease.server
            now = self._now()
            online = self._table.load(server.server_id, now).online
            ahead = online - server.slots
            if ahead <= 0:
                return 0
            if self._parts.placement.by_work(server.service):
                return self._parts.placement.queue_wait_s(server, ahead, now)
            return self._service_times.wait_s(
                server.service,
                ahead - 1,
                server.slots,
                self._in_flight(server.service, now),
            )

    def estimate_retry_after_s(
        self, lease: ServerLease, excess_s: float
    ) -> float:
        """Return after how many seconds a refused caller should retry.

        Args:
            lease: the lease that its request did not use.
            excess_s: by how much its wait would have exceeded the limit.
        """
        with self._lock:
            service = lease.server.service
            now = self._now()
            servers = self._parts.servers(service, now)
            slots = sum(server.slots for server in servers)
            any_slot_s = self._service_times.wait_s(
                service,
                0,
                slots,
                self._parts.in_flight.of_service(service, now),
            )
            own_slot_s = any_slot_s / self._table.own_share(servers, now)
            overload = Overload(excess_s, own_slot_s)
            return self._retry_times.reserve_retry_s(service, overload, now)

    def _in_flight(self, service: str, now: float) -> InFlight:
        in_flight = self._parts.in_flight.of_service(service, now)
        if not self._service_times.needs_ages(service, in_flight):
            return in_flight
        servers = self._parts.servers(service, now)
        share = self._table.own_share(servers, now)
        return dataclasses.replace(in_flight, share=share)

    def _now(self) -> float:
        return self._parts.clock.monotonic()
