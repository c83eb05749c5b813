"""Plays batch jobs of several hosts on few servers, in time of its own."""

from __future__ import annotations

import collections
import dataclasses

from features import builders_forward as build
from guavadyke.decisions.load_balancing import ANY_SERVER, LoadBalancer

STEP_S = 0.1
_TOGETHER = 10


@dataclasses.dataclass
class PlayedJob:
    """A job of one host; times are seconds of the play."""

    host_id: str
    came_at: float
    waiting: int
    running: list[tuple[str, float]] = dataclasses.field(default_factory=list)
    ended_at: float | None = None


class BatchPlay:
    """One job a host, each with the same number of items.

    Args:
        hosts: how many, one after the other.
        items: of each job.
        gap_s: seconds from one job to the next.
        ordered: whether hosts know whose job is due first.
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
            PlayedJob(f'h{number}', number * gap_s, items)
            for number in range(hosts)
        ]
        self.over_full = 0
        self._ordered = ordered
        self._servers = [build.server(f's{number}') for number in range(3)]
        self._tables = {
            job.host_id: build.load_balancer(job.host_id, number)
            for number, job in enumerate(self.jobs)
        }

    def run(self, length_s: float, item_s: float) -> list[PlayedJob]:
        """Play and return the jobs."""
        for step in range(int(length_s / STEP_S)):
            now = build.NOW + step * STEP_S
            for job in self.jobs:
                self._end(job, now, item_s)
            self._tell(now)
            for job in self.jobs:
                if now - build.NOW >= job.came_at:
                    self._start(job, now)
            self._check()
        return self.jobs

    def _order(self, now: float) -> tuple[str, ...]:
        if not self._ordered:
            return ()
        return tuple(
            job.host_id
            for job in self.jobs
            if job.ended_at is None and now - build.NOW >= job.came_at
        )

    def _end(self, job: PlayedJob, now: float, item_s: float) -> None:
        over = [one for one in job.running if now - one[1] >= item_s]
        table = self._tables[job.host_id]
        for server_id, _since in over:
            table.own_batch[server_id] -= 1
        job.running = [one for one in job.running if one not in over]
        if over and not job.running and not job.waiting:
            job.ended_at = now - build.NOW

    def _tell(self, now: float) -> None:
        """Let hosts tell each other what has come of their last step."""
        for job in self.jobs:
            mine = self._tables[job.host_id]
            counts = {**mine.own_batch, ANY_SERVER: job.waiting}
            arrived = now - build.NOW >= job.came_at
            for host_id, table in self._tables.items():
                if arrived and host_id != job.host_id:
                    _note(table, job.host_id, counts, now)

    def _start(self, job: PlayedJob, now: float) -> None:
        table = self._tables[job.host_id]
        table.due_order = self._order(now)
        while job.waiting:
            table.own_waiting = job.waiting
            chosen = table.choose_batch(self._servers, frozenset(), now)
            if chosen is None:
                return
            table.own_batch[chosen.server_id] += 1
            job.waiting -= 1
            job.running.append((chosen.server_id, now))

    def _check(self) -> None:
        """Note the most items beyond the slots of a server."""
        held = sum(
            (table.own_batch for table in self._tables.values()),
            collections.Counter(),
        )
        most = max((held[one.server_id] for one in self._servers), default=0)
        self.over_full = max(self.over_full, most - self._servers[0].slots)


def _note(
    table: LoadBalancer,
    host_id: str,
    counts: dict[str, int],
    now: float,
) -> None:
    for name, count in counts.items():
        table.batch_elsewhere.note(host_id, name, count, now)
