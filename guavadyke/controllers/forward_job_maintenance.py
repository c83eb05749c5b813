"""Takes over jobs of lost hosts, reassigns jobs and removes old ones."""

from __future__ import annotations

from collections.abc import Collection, Mapping

from guavadyke.controllers.forward_job_registry import JobRegistry
from guavadyke.controllers.forward_job_writer import JobWriter
from guavadyke.controllers.host_abilities import HostAbilities
from guavadyke.decisions.forward_job_items import JobItemTracker
from guavadyke.decisions.forward_job_leftovers import LeftoverTracker
from guavadyke.decisions.forward_job_ownership import (
    AbsenceTracker,
    HostView,
    choose_next_owner,
    jobs_to_take_over,
)
from guavadyke.decisions.forward_job_records import JobProgress, JobView
from guavadyke.decisions.host_abilities import able_hosts
from guavadyke.decisions.partial_texts import JobTexts
from guavadyke.decisions.rendezvous_hashing import rendezvous
from guavadyke.settings import ForwardHostSettings
from guavadyke.snapshots import FleetSnapshot, SnapshotCell

_CHECK_INTERVAL_S = 0.5
# Added to the retention before a job is removed, so that hosts whose clocks
# differ agree that it has expired.
_REMOVAL_MARGIN_S = 60.0
_ALIVE = 'alive'
_MS_PER_S = 1000
_REACHABLE = frozenset((_ALIVE, 'suspect'))


class JobMaintenance:
    """Periodic upkeep of all forwarded jobs.

    Takes over jobs whose owner is lost or cannot run items, removes jobs past
    their retention and, when this host stops, reassigns its jobs.

    Args:
        settings: the id of this host and the retention of results.
        fleet: the other hosts.
        abilities: which hosts cannot run items.
        writer: writes the changes to the platform in the background.
    """

    def __init__(
        self,
        settings: ForwardHostSettings,
        fleet: SnapshotCell[FleetSnapshot],
        abilities: HostAbilities,
        writer: JobWriter,
    ) -> None:
        self._me = settings.host_id
        self._retention_s = settings.forward.result_retention_s
        self._fleet = fleet
        self._abilities = abilities
        self._writer = writer
        self._absences = AbsenceTracker()
        self._next_check_at: float = 0

    def run_if_due(
        self,
        views: Mapping[str, JobView],
        now: float,
        wall: float,
    ) -> None:
        """Take over and remove jobs, if the interval has passed.

        Args:
            views: all jobs.
            now: seconds of the monotonic clock.
            wall: seconds since the epoch.
        """
        if now < self._next_check_at:
            return
        self._next_check_at = now + _CHECK_INTERVAL_S
        alive = self._peers_in(frozenset((_ALIVE,)))
        self._take_over_lost(views, alive, now)
        self._remove_expired(views, alive, wall)

    @property
    def can_reassign(self) -> bool:
        """Whether another host is alive."""
        return bool(self._fleet.current.alive)

    def reassign(
        self,
        leaving: Collection[tuple[JobItemTracker, JobTexts]],
        views: Mapping[str, JobView],
        started_at: float,
    ) -> None:
        """Assign jobs to live hosts, if there are any.

        Args:
            leaving: the jobs, and the texts of their unfinished items.
            views: all jobs.
            started_at: when this host started, in seconds since the epoch.
        """
        others = {
            peer.host_id: peer.incarnation / _MS_PER_S
            for peer in self._fleet.current.alive
        }
        if not others:
            return
        unable = self._abilities.unable()
        held = dict(views)
        for work, texts in leaving:
            owner = choose_next_owner(
                texts.job_id, started_at, others, held.values(), unable
            )
            held[texts.job_id] = JobView(work.job, JobProgress(owner=owner))
            self._writer.reassign(owner, work.unstored_results, texts)

    def _take_over_lost(
        self,
        views: Mapping[str, JobView],
        alive: list[str],
        now: float,
    ) -> None:
        owners = {view.owner for view in views.values() if view.open}
        unable = self._abilities.unable()
        fleet = self._fleet.current
        reachable = frozenset((self._me, *self._peers_in(_REACHABLE)))
        running = able_hosts(reachable, unable)
        known = HostView(
            running, fleet.gone | (reachable - running), fleet.grown_at
        )
        lost = self._absences.update(owners, known, now)
        for view in jobs_to_take_over(
            views.values(), lost, self._me, alive, unable
        ):
            self._writer.claim(view.job.job_id, view.owner)

    def _remove_expired(
        self,
        views: Mapping[str, JobView],
        alive: list[str],
        wall: float,
    ) -> None:
        before = wall - self._retention_s - _REMOVAL_MARGIN_S
        expired = (
            job_id
            for job_id, view in views.items()
            if view.job.accepted_at < before and not view.open
        )
        for job_id in expired:
            if rendezvous(job_id, {self._me, *alive}) == self._me:
                self._writer.remove(job_id)

    def _peers_in(self, states: frozenset[str]) -> list[str]:
        return [
            peer.host_id
            for peer in self._fleet.current.peers
            if peer.state in states
        ]


class JobLeftovers:
    """Looks up jobs of which this host knows only a part for long.

    Of all live hosts one does so for a job of which only the progress is
    mirrored. What it knows differently from its mirror each host looks up.

    Args:
        settings: the id of this host.
        fleet: the other hosts.
        registry: tells of which jobs only a part is known.
        writer: deletes what is left, in the background.
    """

    def __init__(
        self,
        settings: ForwardHostSettings,
        fleet: SnapshotCell[FleetSnapshot],
        registry: JobRegistry,
        writer: JobWriter,
    ) -> None:
        self._me = settings.host_id
        self._fleet = fleet
        self._registry = registry
        self._writer = writer
        self._tracker = LeftoverTracker()
        self._late_drops: set[str] = set()
        self._next_check_at: float = 0

    def dropped_late(self, job_id: str) -> None:
        """Note that this host has worked on a job until after its removal.

        It may have stored results after that, which are removed later.
        """
        self._late_drops.add(job_id)

    def run_if_due(self, now: float) -> None:
        """Remove what is left of jobs, if the interval has passed.

        Args:
            now: seconds of the monotonic clock.
        """
        if now < self._next_check_at:
            return
        self._next_check_at = now + _CHECK_INTERVAL_S
        own = self._registry.unconfirmed.union(self._late_drops)
        for job_id in self._tracker.due(self._registry.orphans | own, now):
            if job_id in own or self._is_elected(job_id):
                self._writer.remove_leftovers(job_id)
                self._late_drops.discard(job_id)

    def _is_elected(self, job_id: str) -> bool:
        alive = {peer.host_id for peer in self._fleet.current.alive}
        return rendezvous(job_id, {self._me, *alive}) == self._me
