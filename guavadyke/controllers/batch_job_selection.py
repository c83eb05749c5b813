"""Limits how many open jobs one host follows, and how often it polls.

The calls of all hosts together stay within the platform's call budget,
however many hosts and jobs there are.
"""

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

_SELECTION_TTL_S = 1.0
FLEET_CHUNK_LISTS_PER_S = 300
FLEET_JOB_POLLS_PER_S = 400
_ALIVE = 'alive'


class JobSelection:
    """Selects the open jobs that this host works on, and spaces its polls.

    Args:
        settings: settings of this host.
        clock: the host's clock.
        catalogue: which availability zones serve an entry.
        fleet: the other entry hosts.
        held_chunks: chunks that this host holds; their jobs are always
            selected.
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
        self._selected_ids: frozenset[str] = frozenset()
        self._considered_ids: frozenset[str] = frozenset()
        self._next_selection_at = clock.monotonic()
        self._next_list_at = clock.monotonic()

    def select_jobs(
        self,
        jobs: Mapping[str, StoredJob],
    ) -> dict[str, StoredJob]:
        """Return those of the open jobs that this host works on."""
        now = self._clock.monotonic()
        if (
            now >= self._next_selection_at
            or not jobs.keys() <= self._considered_ids
        ):
            self._select(jobs, now)
        own = {held.job.job_id for held in self._held_chunks.chunks}
        return {
            job_id: job
            for job_id, job in jobs.items()
            if job_id in self._selected_ids or job_id in own
        }

    def record_scan(self, *, work: bool) -> None:
        """Record whether a scan with free capacity claimed any chunk.

        A host that finds nothing to claim considers more jobs next time.
        """
        self._groups.record_search(work=work)

    def allowed_chunk_lists(self) -> int:
        """Return how many lists of chunks this scan may read.

        The interval between two lists grows with the number of live
        hosts, so that the fleet reads at most ``FLEET_CHUNK_LISTS_PER_S``.
        """
        now = self._clock.monotonic()
        if now < self._next_list_at:
            return 0
        self._next_list_at = now + len(self._zones()) / FLEET_CHUNK_LISTS_PER_S
        return 1

    def poll_spacing_s(self) -> float:
        """Return the seconds to wait before the next poll for job changes.

        A host that holds chunks polls without a pause, since it must learn
        of a cancellation at once; the others receive several changes in
        one answer.
        """
        if self._held_chunks.chunks:
            return 0
        return len(self._zones()) / FLEET_JOB_POLLS_PER_S

    def _select(self, jobs: Mapping[str, StoredJob], now: float) -> None:
        hosts = hosts_by_entry(self._catalogue.current, self._zones())
        self._selected_ids = self._groups.select_jobs(
            (
                OpenJob(job_id, job.record.entry_name, len(job.record.sizes))
                for job_id, job in jobs.items()
            ),
            hosts,
        )
        self._considered_ids = frozenset(jobs)
        self._next_selection_at = now + _SELECTION_TTL_S

    def _zones(self) -> dict[str, str]:
        """Return the availability zone of each live host, own host included."""
        zones = {
            peer.host_id: peer.zone
            for peer in self._fleet.current.peers
            if peer.state == _ALIVE
        }
        zones[self._settings.host_id] = self._settings.zone
        return zones
