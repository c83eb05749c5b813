"""Takes over, passes on and removes forwarded jobs."""

from __future__ import annotations

from collections.abc import Mapping

from guavadyke.controllers.forward_job_writer import JobWrites
from guavadyke.decisions.forward_job_items import JobItemTracker
from guavadyke.decisions.forward_job_ownership import (
    AbsenceTracker,
    first_owner,
    jobs_to_take_over,
)
from guavadyke.decisions.forward_job_records import JobView
from guavadyke.decisions.rendezvous_hashing import rendezvous
from guavadyke.settings import ForwardHostSettings
from guavadyke.snapshots import FleetSnapshot, SnapshotCell

# Seconds between looks.
_INTERVAL_S = 0.5
# Seconds beyond the retention after which a job is removed, so that hosts
# whose clocks differ still agree that its time is over.
_REMOVAL_MARGIN_S = 60.0
_ALIVE = 'alive'
_REACHABLE = frozenset((_ALIVE, 'suspect'))


class JobCare:
    """Takes over, passes on and removes jobs.

    Args:
        settings: this host and how long results are kept.
        fleet: the other hosts.
        writes: carries out what is decided.
    """

    def __init__(
        self,
        settings: ForwardHostSettings,
        fleet: SnapshotCell[FleetSnapshot],
        writes: JobWrites,
    ) -> None:
        self._me = settings.host_id
        self._kept_s = settings.forward.result_retention_s
        self._fleet = fleet
        self._writes = writes
        self._absences = AbsenceTracker()
        self._due: float = 0

    def look(
        self,
        views: Mapping[str, JobView],
        now: float,
        wall: float,
    ) -> None:
        """Look after all jobs, now and then.

        Args:
            views: all jobs.
            now: seconds of the monotonic clock.
            wall: seconds since the epoch.
        """
        if now < self._due:
            return
        self._due = now + _INTERVAL_S
        alive = self._hosts(frozenset((_ALIVE,)))
        self._take_over(views, alive, now)
        self._remove_old(views, alive, wall)

    def pass_on(
        self,
        works: Mapping[str, JobItemTracker],
        views: Mapping[str, JobView],
    ) -> int:
        """Give jobs to other hosts, and return how many."""
        others = self._hosts(frozenset((_ALIVE,)))
        if not others:
            return 0
        for job_id, work in works.items():
            owner = first_owner(job_id, others[0], others[1:], views.values())
            self._writes.pass_on(job_id, owner, work.unlisted)
        return len(works)

    def _take_over(
        self,
        views: Mapping[str, JobView],
        alive: list[str],
        now: float,
    ) -> None:
        owners = {view.owner for view in views.values() if view.open}
        reachable = {self._me, *self._hosts(_REACHABLE)}
        lost = self._absences.note(owners, reachable, now)
        for view in jobs_to_take_over(views.values(), lost, self._me, alive):
            self._writes.claim(view.job.job_id, self._me, view.owner)

    def _remove_old(
        self,
        views: Mapping[str, JobView],
        alive: list[str],
        wall: float,
    ) -> None:
        before = wall - self._kept_s - _REMOVAL_MARGIN_S
        old = (
            job_id
            for job_id, view in views.items()
            if view.job.accepted_at < before and not view.open
        )
        for job_id in old:
            if rendezvous(job_id, {self._me, *alive}) == self._me:
                self._writes.remove(job_id)

    def _hosts(self, states: frozenset[str]) -> list[str]:
        return [
            peer.host_id
            for peer in self._fleet.current.peers
            if peer.state in states
        ]
