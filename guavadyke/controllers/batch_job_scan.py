"""Scans open jobs: claims chunks, closes them and finishes done jobs."""

from __future__ import annotations

import dataclasses
import operator
import random
from collections.abc import Iterable

from guavadyke.adapters.ports import Clock, ItemRunner
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.controllers.batch_chunk_claims import ChunkClaimer
from guavadyke.controllers.batch_chunks import (
    ChunkTable,
    KnownChunk,
    read_table,
    unread_table,
)
from guavadyke.controllers.batch_forecast import JobForecaster
from guavadyke.controllers.batch_held_chunks import HeldChunk, HeldChunkRegistry
from guavadyke.controllers.batch_host_ranking import HostRanking
from guavadyke.controllers.batch_job_selection import JobSelection
from guavadyke.controllers.batch_jobs import JobIndex, StoredJob
from guavadyke.controllers.batch_lease import LeaseManager
from guavadyke.controllers.batch_lease_monitor import LeaseMonitor
from guavadyke.controllers.batch_records import JobRecord, encode_job
from guavadyke.decisions import chunk_state, job_order
from guavadyke.errors import ObjectConflictError
from guavadyke.log import EventLogger
from guavadyke.settings import EntrySettings
from guavadyke.snapshots import CatalogueSnapshot, FleetSnapshot, SnapshotCell

_MAX_CLAIMS_PER_SCAN = 8
_MAX_CLOSES_PER_SCAN = 16
_UNNEEDED_LIST_FACTOR = 4
_LEASE_WATCHERS = 2


@dataclasses.dataclass(frozen=True)
class JobScannerParts:
    """Dependencies of the scan of open jobs."""

    settings: EntrySettings
    clock: Clock
    rng: random.Random
    store: WriteConfirmingStore
    catalogue: SnapshotCell[CatalogueSnapshot]
    fleet: SnapshotCell[FleetSnapshot]
    lease: LeaseManager
    index: JobIndex
    held_chunks: HeldChunkRegistry
    runner: ItemRunner
    forecaster: JobForecaster
    job_selection: JobSelection
    logger: EventLogger

    def free_capacity(self, entry_name: str) -> int:
        """Return how many more items of an entry this host can take on."""
        capacity = self.runner.capacity(entry_name)
        return capacity - self.held_chunks.backlog(entry_name)


class JobScanner:
    """Scans the open jobs and claims chunks while there is free capacity.

    ``scan`` is called from one thread only.

    Args:
        parts: its dependencies.
    """

    def __init__(self, parts: JobScannerParts) -> None:
        self._parts = parts
        self._tables: dict[str, ChunkTable] = {}
        self._stopped = False
        self._forecaster = parts.forecaster
        self._host_ranking = HostRanking(parts.settings.host_id, parts.fleet)
        self._lease_monitor = LeaseMonitor(
            parts.settings.batch.lease_s,
            parts.clock,
            parts.store,
            parts.logger,
        )
        self._chunk_claimer = ChunkClaimer(
            parts.settings.batch,
            parts.store,
            parts.catalogue,
            parts.held_chunks,
            parts.logger,
        )

    def stop(self) -> None:
        """Claim no more chunks."""
        self._stopped = True

    def scan(self) -> None:
        """Go once through the open jobs that this host works on.

        Chunks of cancelled and expired jobs are closed, jobs whose chunks
        are all done are finished, and chunks are claimed or taken over as
        far as capacity is free. The forecasts are updated at the end.

        Raises:
            GuavadykeError: the platform does not answer.
        """
        if self._stopped:
            return
        jobs = self._parts.job_selection.select_jobs(
            self._parts.index.open_jobs()
        )
        self._tables = {
            job_id: table
            for job_id, table in self._tables.items()
            if job_id in jobs
        }
        refreshes = self._parts.job_selection.allowed_chunk_lists()
        count_before = len(self._parts.held_chunks.chunks)
        order = self._forecaster.order(jobs.values())
        for job in order:
            refreshes -= self._refresh(job.record, refreshes)
            self._process_job(job, self._tables[job.record.job_id])
        if self._has_free_capacity(jobs.values()):
            taken = len(self._parts.held_chunks.chunks) > count_before
            self._parts.job_selection.record_scan(work=taken)
        tables = (
            self._tables.get(open_job.record.job_id) for open_job in order
        )
        self._forecaster.update_forecasts(
            table for table in tables if table is not None
        )

    def record_own_write(self, held: HeldChunk) -> None:
        """Update the table with a state that this host has written.

        This saves reading the chunk again.
        """
        table = self._tables.get(held.job.job_id)
        if table is not None:
            table.update_chunk(
                KnownChunk(held.index, held.name, held.stored, held.run.state),
            )

    def _has_free_capacity(self, jobs: Iterable[StoredJob]) -> bool:
        """Return whether there is free capacity for any of the jobs."""
        entry_names = {job.record.entry_name for job in jobs}
        return any(self._parts.free_capacity(name) > 0 for name in entry_names)

    def _refresh(self, job: JobRecord, allowed: int) -> int:
        """Read the job's chunks again where that is due.

        Args:
            job: the job.
            allowed: how many more lists this scan may read.

        Returns:
            The number of lists read, 0 or 1.
        """
        now = self._parts.clock.monotonic()
        table = self._tables.get(job.job_id)
        if table is None:
            self._tables[job.job_id] = unread_table(job, now)
            return 0
        table.job = job
        if not allowed or now - table.refreshed_at < self._list_interval_s(
            table
        ):
            return 0
        lists_read = table.lists_read + 1
        table = read_table(self._parts.store, job, now)
        table.lists_read = lists_read
        self._tables[job.job_id] = table
        return 1

    def _list_interval_s(self, table: ChunkTable) -> float:
        """Return the seconds after which the chunks are listed again.

        The interval grows with the number of lists read. It is longer where
        this host has no use for a newer list: the job is not cancelled, and
        the host has no free capacity or still knows chunks to claim.
        """
        interval_s = self._parts.settings.batch.poll_interval_s
        factor = min(table.lists_read, 4) / 2 + 1
        cancelled = table.job.cancelled_at is not None
        needs_chunks = self._parts.free_capacity(
            table.job.entry_name
        ) > 0 and not self._chunks_to_try(table)
        if not cancelled and not needs_chunks:
            factor *= _UNNEEDED_LIST_FACTOR
        return interval_s * factor * self._parts.rng.uniform(0.75, 1.25)

    def _process_job(self, job: StoredJob, table: ChunkTable) -> None:
        if table.all_done:
            self._finish(job)
            return
        own = self._parts.lease.view.current.name
        if own:
            self._chunk_claimer.adopt_chunks(table, own)
        if job.record.cancelled_at is not None:
            self._close(table, chunk_state.Outcome.cancelled)
        elif job.record.is_expired(self._parts.clock.wall()):
            self._close(table, chunk_state.Outcome.expired)
        self._claim_waiting(table)
        self._take_over(table)

    def _finish(self, job: StoredJob) -> None:
        """Mark the job as finished, which is final."""
        record = dataclasses.replace(
            job.record,
            finished_at=self._parts.clock.wall(),
        )
        try:
            stored = self._parts.store.update(job.stored, encode_job(record))
        except ObjectConflictError:
            self._tables.pop(record.job_id, None)
            return
        self._parts.index.put(StoredJob(record, stored))
        self._parts.logger.info('job_finished', job=record.job_id)

    def _close(self, table: ChunkTable, outcome: chunk_state.Outcome) -> None:
        """Close chunks that were never claimed, a few in each scan."""
        unclaimed = [
            chunk
            for chunk in self._chunks_to_try(table)
            if chunk.stored is None
        ]
        for chunk in unclaimed[:_MAX_CLOSES_PER_SCAN]:
            self._chunk_claimer.close(table, chunk, outcome)

    def _claim_waiting(self, table: ChunkTable) -> None:
        if (
            self._parts.free_capacity(table.job.entry_name) <= 0
            and table.job.cancelled_at is None
        ):
            return
        for chunk in self._chunks_to_try(table)[:_MAX_CLAIMS_PER_SCAN]:
            if (
                self._parts.free_capacity(table.job.entry_name) <= 0
                and table.job.cancelled_at is None
            ):
                return
            holder = self._ensure_lease()
            self._chunk_claimer.acquire_chunk(
                table, chunk, chunk_state.claim(chunk.state, holder)
            )

    def _ensure_lease(self) -> str:
        """Return the name of this host's valid lease.

        After a renewal the changes of jobs up to it are read at once, since
        no item may start before that.
        """
        known = self._parts.lease.view.current
        holder = self._parts.lease.ensure_valid()
        if self._parts.lease.view.current != known:
            self._parts.index.poll(0)
        return holder

    def _chunks_to_try(self, table: ChunkTable) -> list[KnownChunk]:
        """Return the waiting chunks that this host may claim now.

        Those for which the host ranks first come first. With each list
        read without success, chunks of a lower rank are allowed too, so
        that hosts rarely compete for a chunk.
        """
        ranked = [
            (self._host_ranking.place(chunk.name), chunk.index)
            for chunk in table.waiting()
        ]
        allowed = job_order.allowed_claimants(table.lists_read)
        return [
            table.chunks[index]
            for place, index in sorted(ranked, key=operator.itemgetter(0, 1))
            if place < allowed
        ]

    def _take_over(self, table: ChunkTable) -> None:
        """Take over chunks whose holder's lease has expired or is gone."""
        own = self._parts.lease.view.current.name
        held = table.chunks_held_by_others(own)
        if not held or self._parts.free_capacity(table.job.entry_name) <= 0:
            return
        fresh = self._lease_monitor.refresh(
            after=table.refreshed_at,
            interval_s=self._lease_interval_s(table.job),
        )
        for chunk in held:
            if self._parts.free_capacity(table.job.entry_name) <= 0:
                return
            if self._lease_monitor.break_if_expired(
                chunk.state.holder, fresh=fresh
            ):
                self._take_over_chunk(table, chunk)

    def _lease_interval_s(self, job: JobRecord) -> float:
        """Return the seconds between two lists of the leases.

        Only the hosts that rank first for the job list them often.
        """
        batch = self._parts.settings.batch
        first = self._host_ranking.place(job.job_id) < _LEASE_WATCHERS
        return batch.poll_interval_s if first else batch.lease_s

    def _take_over_chunk(self, table: ChunkTable, chunk: KnownChunk) -> None:
        holder = self._ensure_lease()
        state = chunk_state.take_over(
            chunk.state,
            holder,
            table.job.sizes[chunk.index],
        )
        self._chunk_claimer.acquire_chunk(table, chunk, state)
