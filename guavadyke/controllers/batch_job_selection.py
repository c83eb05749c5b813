"""Bounds what one host looks at, so that a large fleet stays in budget."""

from __future__ import annotations

from collections.abc import Mapping

from guavadyke.adapters.ports import Clock
from guavadyke.controllers.batch_held_chunks import HeldChunkRegistry
from guavadyke.controllers.batch_jobs import StoredJob
from guavadyke.decisions.job_assignment import (
    JobSelector,
    OpenJob,
    hosts_by_entry,
)
from guavadyke.settings import EntrySettings
from guavadyke.snapshots import CatalogueSnapshot, FleetSnapshot, SnapshotCell

_CHOICE_KEPT_S = 1.0
FLEET_CHUNK_LISTS_PER_S = 300
FLEET_JOB_POLLS_PER_S = 400
_ALIVE = 'alive'


class JobSelection:
    """Chooses the open jobs that this host looks after, and how often.

    Args:
        settings: settings of this host.
        clock: the host's clock.
        catalogue: tells which zones serve an entry.
        fleet: peers.
        held_chunks: chunks of this host, whose jobs are always looked after.
    """

    def __init__(
        self,
        settings: EntrySettings,
        clock: Clock,
        catalogue: SnapshotCell[CatalogueSnapshot],
        fleet: SnapshotCell[FleetSnapshot],
        held_chunks: HeldChunkRegistry,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._catalogue = catalogue
        self._fleet = fleet
        self._held_chunks = held_chunks
        self._groups = JobSelector(settings.host_id)
        self._chosen: frozenset[str] = frozenset()
        self._known: frozenset[str] = frozenset()
        self._choose_at = clock.monotonic()
        self._list_at = clock.monotonic()

    def attended(
        self,
        jobs: Mapping[str, StoredJob],
    ) -> dict[str, StoredJob]:
        """Return those of the open jobs that this host looks after."""
        now = self._clock.monotonic()
        if now >= self._choose_at or not jobs.keys() <= self._known:
            self._choose(jobs, now)
        own = {held.job.job_id for held in self._held_chunks.chunks}
        return {
            job_id: job
            for job_id, job in jobs.items()
            if job_id in self._chosen or job_id in own
        }

    def found(self, *, work: bool) -> None:
        """Take note whether there was work for idle capacity."""
        self._groups.found(work=work)

    def lists_due(self) -> int:
        """Return how many lists of chunks may be read in this look.

        The more hosts are alive, the longer each waits between two.
        """
        now = self._clock.monotonic()
        if now < self._list_at:
            return 0
        self._list_at = now + len(self._zones()) / FLEET_CHUNK_LISTS_PER_S
        return 1

    def follow_spacing_s(self) -> float:
        """Return the seconds to wait before the jobs are followed on.

        A host that holds chunks waits for nothing, since a cancel must
        reach it; the others take changes in together.
        """
        if self._held_chunks.chunks:
            return 0
        return len(self._zones()) / FLEET_JOB_POLLS_PER_S

    def _choose(self, jobs: Mapping[str, StoredJob], now: float) -> None:
        hosts = hosts_by_entry(self._catalogue.current, self._zones())
        self._chosen = self._groups.attended(
            (
                OpenJob(job_id, job.record.entry_name, len(job.record.sizes))
                for job_id, job in jobs.items()
            ),
            hosts,
        )
        self._known = frozenset(jobs)
        self._choose_at = now + _CHOICE_KEPT_S

    def _zones(self) -> dict[str, str]:
        """Return the availability zone of each live host."""
        zones = {
            peer.host_id: peer.zone
            for peer in self._fleet.current.peers
            if peer.state == _ALIVE
        }
        zones[self._settings.host_id] = self._settings.zone
        return zones
