"""Simulates batch jobs of several hosts on few servers, in virtual time."""

from __future__ import annotations

import collections
import dataclasses

from features import builders_forward as build
from guavadyke.decisions.load_balancing import ANY_SERVER, LoadBalancer

STEP_S = 0.1
_TOGETHER = 10


@dataclasses.dataclass
class SimulatedJob:
    """A job of one host; times are seconds since the start."""

    host_id: str
    arrived_at: float
    waiting: int
    running: list[tuple[str, float]] = dataclasses.field(default_factory=list)
    ended_at: float | None = None


class BatchSimulation:
    """Simulates one job per host, each with the same number of items.

    Args:
        hosts: number of hosts, each of which gets a job.
        items: items per job.
        gap_s: seconds from one job to the next.
        ordered: whether hosts receive the order in which jobs are due.
    """

    def __init__(
        self,
        hosts: int,
        items: int,
        gap_s: float,
        *,
        ordered: bool,
    ) -> None:
        self.jobs = [
            SimulatedJob(f'h{number}', number * gap_s, items)
            for number in range(hosts)
        ]
        self.most_over_slots = 0
        self._ordered = ordered
        self._servers = [build.server(f's{number}') for number in range(3)]
        self._balancers = {
            job.host_id: build.load_balancer(job.host_id, number)
            for number, job in enumerate(self.jobs)
        }

    def run(self, length_s: float, item_s: float) -> list[SimulatedJob]:
        """Run the simulation for a time and return the jobs."""
        for step in range(int(length_s / STEP_S)):
            now = build.NOW + step * STEP_S
            for job in self.jobs:
                self._end_items(job, now, item_s)
            self._send_counts(now)
            for job in self.jobs:
                if now - build.NOW >= job.arrived_at:
                    self._start_items(job, now)
            self._check()
        return self.jobs

    def _order(self, now: float) -> tuple[str, ...]:
        if not self._ordered:
            return ()
        return tuple(
            job.host_id
            for job in self.jobs
            if job.ended_at is None and now - build.NOW >= job.arrived_at
        )

    def _end_items(self, job: SimulatedJob, now: float, item_s: float) -> None:
        ended = [one for one in job.running if now - one[1] >= item_s]
        balancer = self._balancers[job.host_id]
        for server_id, _since in ended:
            balancer.own_batch[server_id] -= 1
        job.running = [one for one in job.running if one not in ended]
        if ended and not job.running and not job.waiting:
            job.ended_at = now - build.NOW

    def _send_counts(self, now: float) -> None:
        """Deliver the counts of each host to the others."""
        for job in self.jobs:
            own_balancer = self._balancers[job.host_id]
            counts = {**own_balancer.own_batch, ANY_SERVER: job.waiting}
            arrived = now - build.NOW >= job.arrived_at
            for host_id, balancer in self._balancers.items():
                if arrived and host_id != job.host_id:
                    _record_counts(balancer, job.host_id, counts, now)

    def _start_items(self, job: SimulatedJob, now: float) -> None:
        balancer = self._balancers[job.host_id]
        balancer.due_order = self._order(now)
        while job.waiting:
            balancer.own_waiting = job.waiting
            chosen = balancer.choose_batch(self._servers, frozenset(), now)
            if chosen is None:
                return
            balancer.own_batch[chosen.server_id] += 1
            job.waiting -= 1
            job.running.append((chosen.server_id, now))

    def _check(self) -> None:
        """Record the most items that a server had beyond its slots."""
        items_at_server = sum(
            (balancer.own_batch for balancer in self._balancers.values()),
            collections.Counter(),
        )
        most = max(
            (items_at_server[one.server_id] for one in self._servers), default=0
        )
        self.most_over_slots = max(
            self.most_over_slots, most - self._servers[0].slots
        )


def _record_counts(
    balancer: LoadBalancer,
    host_id: str,
    counts: dict[str, int],
    now: float,
) -> None:
    for name, count in counts.items():
        balancer.batch_elsewhere.record_count(host_id, name, count, now)
