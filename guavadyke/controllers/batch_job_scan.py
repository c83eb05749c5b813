"""Finds work for this host, and ends jobs all of whose chunks are done."""

from __future__ import annotations

import dataclasses
import operator
import random
from collections.abc import Iterable

from guavadyke.adapters.ports import Clock, ItemRunner
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.controllers.batch_chunks import (
    ChunkTable,
    KnownChunk,
    fresh_table,
    read_table,
)
from guavadyke.controllers.batch_forecast import JobForecaster
from guavadyke.controllers.batch_held_chunks import HeldChunk, HeldChunkRegistry
from guavadyke.controllers.batch_job_selection import JobSelection
from guavadyke.controllers.batch_jobs import JobIndex, StoredJob
from guavadyke.controllers.batch_lease import LeaseManager
from guavadyke.controllers.batch_orphans import Orphans
from guavadyke.controllers.batch_places import Places
from guavadyke.controllers.batch_records import JobRecord, encode_job
from guavadyke.controllers.batch_take import ChunkTaker
from guavadyke.decisions import chunk_state, job_order
from guavadyke.errors import ObjectConflictError
from guavadyke.log import EventLogger
from guavadyke.settings import EntrySettings
from guavadyke.snapshots import CatalogueSnapshot, FleetSnapshot, SnapshotCell

_CLAIMS_IN_ONE_TURN = 8
_CLOSES_IN_ONE_TURN = 16
_UNWANTED_PATIENCE = 4
_WATCHERS = 2


@dataclasses.dataclass(frozen=True)
class JobScannerParts:
    """What a claimer works with."""

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

    def room(self, entry_name: str) -> int:
        """Return how many more items of an entry fit here."""
        capacity = self.runner.capacity(entry_name)
        return capacity - self.held_chunks.backlog(entry_name)


class JobScanner:
    """Looks for work; ``look`` is called from one thread.

    Args:
        parts: what it works with.
    """

    def __init__(self, parts: JobScannerParts) -> None:
        self._parts = parts
        self._tables: dict[str, ChunkTable] = {}
        self._stopped = False
        self._forecaster = parts.forecaster
        self._places = Places(parts.settings.host_id, parts.fleet)
        self._orphans = Orphans(
            parts.settings.batch.lease_s,
            parts.clock,
            parts.store,
            parts.logger,
        )
        self._taker = ChunkTaker(
            parts.settings.batch,
            parts.store,
            parts.catalogue,
            parts.held_chunks,
            parts.logger,
        )

    def stop(self) -> None:
        """Take no more chunks."""
        self._stopped = True

    def look(self) -> None:
        """Close cancelled jobs, end jobs that are done and take chunks.

        Raises:
            GuavadykeError: the platform does not answer.
        """
        if self._stopped:
            return
        jobs = self._parts.job_selection.attended(self._parts.index.open_jobs())
        self._tables = {
            job_id: table
            for job_id, table in self._tables.items()
            if job_id in jobs
        }
        refreshes = self._parts.job_selection.lists_due()
        held_before = len(self._parts.held_chunks.chunks)
        order = self._forecaster.order(jobs.values())
        for job in order:
            refreshes -= self._refresh(job.record, refreshes)
            self._attend(job, self._tables[job.record.job_id])
        if self._has_room(jobs.values()):
            taken = len(self._parts.held_chunks.chunks) > held_before
            self._parts.job_selection.found(work=taken)
        kept = (self._tables.get(one.record.job_id) for one in order)
        self._forecaster.judge(table for table in kept if table is not None)

    def record_own_write(self, held: HeldChunk) -> None:
        """Take in the state of an own chunk, which saves reading it."""
        table = self._tables.get(held.job.job_id)
        if table is not None:
            table.note(
                KnownChunk(held.index, held.name, held.stored, held.run.state),
            )

    def _has_room(self, jobs: Iterable[StoredJob]) -> bool:
        """Return whether items of any of the jobs fit here."""
        entry_names = {job.record.entry_name for job in jobs}
        return any(self._parts.room(name) > 0 for name in entry_names)

    def _refresh(self, job: JobRecord, allowed: int) -> int:
        """Read the job's chunks again if that is due.

        Returns:
            How many lists were read.
        """
        now = self._parts.clock.monotonic()
        table = self._tables.get(job.job_id)
        if table is None:
            self._tables[job.job_id] = fresh_table(job, now)
            return 0
        table.job = job
        if not allowed or now - table.refreshed_at < self._patience_s(table):
            return 0
        looks = table.looks + 1
        table = read_table(self._parts.store, job, now)
        table.looks = looks
        self._tables[job.job_id] = table
        return 1

    def _patience_s(self, table: ChunkTable) -> float:
        """Return how long a list of chunks is good enough."""
        interval_s = self._parts.settings.batch.poll_interval_s
        growth = min(table.looks, 4) / 2 + 1
        cancelled = table.job.cancelled_at is not None
        starved = self._parts.room(
            table.job.entry_name
        ) > 0 and not self._allowed(table)
        if not cancelled and not starved:
            growth *= _UNWANTED_PATIENCE
        return interval_s * growth * self._parts.rng.uniform(0.75, 1.25)

    def _attend(self, job: StoredJob, table: ChunkTable) -> None:
        if table.all_done:
            self._finish(job)
            return
        own = self._parts.lease.view.current.name
        if own:
            self._taker.adopt(table, own)
        if job.record.cancelled_at is not None:
            self._close(table, chunk_state.Outcome.cancelled)
        elif job.record.is_expired(self._parts.clock.wall()):
            self._close(table, chunk_state.Outcome.expired)
        self._claim_waiting(table)
        self._take_over(table)

    def _finish(self, job: StoredJob) -> None:
        """Record that the job has ended, which nothing changes any more."""
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
        """End the chunks that nobody has held."""
        unclaimed = [one for one in self._allowed(table) if one.stored is None]
        for chunk in unclaimed[:_CLOSES_IN_ONE_TURN]:
            self._taker.close(table, chunk, outcome)

    def _claim_waiting(self, table: ChunkTable) -> None:
        if (
            self._parts.room(table.job.entry_name) <= 0
            and table.job.cancelled_at is None
        ):
            return
        for chunk in self._allowed(table)[:_CLAIMS_IN_ONE_TURN]:
            if (
                self._parts.room(table.job.entry_name) <= 0
                and table.job.cancelled_at is None
            ):
                return
            holder = self._leased()
            self._taker.take(
                table, chunk, chunk_state.claim(chunk.state, holder)
            )

    def _leased(self) -> str:
        """Return the name of a valid lease.

        Jobs are followed up to its newest renewal, since nothing starts
        before that.
        """
        known = self._parts.lease.view.current
        holder = self._parts.lease.ensure()
        if self._parts.lease.view.current != known:
            self._parts.index.follow(0)
        return holder

    def _allowed(self, table: ChunkTable) -> list[KnownChunk]:
        """Return waiting chunks that this host may try, its own first."""
        ranked = [
            (self._places.place(chunk.name), chunk.index)
            for chunk in table.waiting()
        ]
        allowed = job_order.allowed_claimants(table.looks)
        return [
            table.chunks[index]
            for place, index in sorted(ranked, key=operator.itemgetter(0, 1))
            if place < allowed
        ]

    def _take_over(self, table: ChunkTable) -> None:
        """Take chunks of holders whose lease has run out or is gone."""
        own = self._parts.lease.view.current.name
        held = table.held_by_others(own)
        if not held or self._parts.room(table.job.entry_name) <= 0:
            return
        fresh = self._orphans.observe(
            after=table.refreshed_at,
            interval_s=self._lease_interval_s(table.job),
        )
        for chunk in held:
            if self._parts.room(table.job.entry_name) <= 0:
                return
            if self._orphans.is_gone(chunk.state.holder, fresh=fresh):
                self._take_orphan(table, chunk)

    def _lease_interval_s(self, job: JobRecord) -> float:
        """Return how often to look at leases: few hosts do it often."""
        batch = self._parts.settings.batch
        first = self._places.place(job.job_id) < _WATCHERS
        return batch.poll_interval_s if first else batch.lease_s

    def _take_orphan(self, table: ChunkTable, chunk: KnownChunk) -> None:
        holder = self._leased()
        state = chunk_state.take_over(
            chunk.state,
            holder,
            table.job.sizes[chunk.index],
        )
        self._taker.take(table, chunk, state)
