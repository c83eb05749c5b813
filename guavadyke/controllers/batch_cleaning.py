"""Cleaning: archives ended jobs and deletes what nobody needs any more.

It also takes up what an earlier process of this host left behind.
"""

from __future__ import annotations

import contextlib
import dataclasses
import itertools
from collections.abc import Iterable, Iterator

from guavadyke.adapters.ports import Clock, StoredObject
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.controllers.batch_archive import archive
from guavadyke.controllers.batch_jobs import JobIndex, StoredJob
from guavadyke.controllers.batch_places import Places
from guavadyke.controllers.batch_records import (
    ARCHIVE_KIND,
    CHUNK_KIND,
    INPUT_KIND,
    RESULT_KIND,
    JobRecord,
    decode_job,
)
from guavadyke.controllers.batch_spool import Spool
from guavadyke.errors import ObjectConflictError
from guavadyke.log import EventLogger
from guavadyke.settings import EntrySettings
from guavadyke.snapshots import FleetSnapshot, SnapshotCell

PENDING_S = 900.0
_ARCHIVE_AFTER_S = 30.0
_ARCHIVES_IN_ONE_TURN = 16
_PAGE_INTERVAL_S = 60.0
_LEADER_KEY = 'batch-cleaning'


@dataclasses.dataclass(frozen=True)
class _Pending:
    version: int
    since: float


@dataclasses.dataclass(frozen=True)
class CleaningParts:
    """What a cleaner works with."""

    settings: EntrySettings
    clock: Clock
    store: WriteConfirmingStore
    fleet: SnapshotCell[FleetSnapshot]
    index: JobIndex
    spool: Spool
    logger: EventLogger


class Cleaner:
    """Cleans where this host comes first; safe where several do.

    Args:
        parts: what it works with.
    """

    def __init__(self, parts: CleaningParts) -> None:
        self._parts = parts
        self._places = Places(parts.settings.host_id, parts.fleet)
        self._pending: dict[str, _Pending] = {}
        self._after = ''
        self._page_at: float = 0

    def turn(self) -> None:
        """Take up spooled results, archive, delete what is abandoned or old.

        Raises:
            GuavadykeError: the platform does not answer.
        """
        self._parts.spool.take_up()
        jobs = self._parts.index.snapshot.current.jobs
        self._archive(jobs.values())
        self._delete_abandoned(jobs.values())
        now = self._parts.clock.monotonic()
        if now - self._page_at >= _PAGE_INTERVAL_S and self._leads(_LEADER_KEY):
            self._page_at = now
            self._delete_old()

    def _leads(self, key: str) -> bool:
        """Return whether this host comes first for a key."""
        return not self._places.place(key)

    def _archive(self, jobs: Iterable[StoredJob]) -> None:
        before = self._parts.clock.wall() - _ARCHIVE_AFTER_S
        ended = (
            job
            for job in jobs
            if job.record.finished_at is not None
            and job.record.finished_at < before
            and self._leads(job.record.job_id)
        )
        for job in itertools.islice(ended, _ARCHIVES_IN_ONE_TURN):
            archive(self._parts.store, job)

    def _delete_abandoned(self, jobs: Iterable[StoredJob]) -> None:
        """Delete submissions that stayed pending for too long."""
        now = self._parts.clock.monotonic()
        pending = [job for job in jobs if not job.record.committed]
        self._pending = {
            job.record.job_id: self._sighting(job, now) for job in pending
        }
        for job in pending:
            since = self._pending[job.record.job_id].since
            old = now - since >= PENDING_S
            if old and self._leads(job.record.job_id):
                self._abandon(job)

    def _sighting(self, job: StoredJob, now: float) -> _Pending:
        known = self._pending.get(job.record.job_id)
        if known is not None and known.version == job.stored.version:
            return known
        return _Pending(job.stored.version, now)

    def _abandon(self, job: StoredJob) -> None:
        """Delete a pending job first, so that it cannot be committed."""
        try:
            self._parts.store.delete(job.stored)
        except ObjectConflictError:
            return
        self._delete_bulk(job.record, (INPUT_KIND,))
        self._parts.logger.info('submission_abandoned', job=job.record.job_id)

    def _delete_old(self) -> None:
        """Look at one page of the archive and delete what is too old."""
        listing = self._parts.store.list_objects(
            ARCHIVE_KIND,
            after=self._after,
        )
        before = self._parts.clock.wall()
        before -= self._parts.settings.batch.retention_s
        for job in _readable(listing.objects):
            ended = job.record.finished_at or before
            if ended < before:
                self._delete_job(job)
        last = listing.objects[-1].name if listing.objects else ''
        self._after = last if listing.more else ''

    def _delete_job(self, job: StoredJob) -> None:
        """Delete a job; its own object goes last."""
        kinds = (RESULT_KIND, CHUNK_KIND, INPUT_KIND)
        self._delete_bulk(job.record, kinds)
        with contextlib.suppress(ObjectConflictError):
            self._parts.store.delete(job.stored)
        self._parts.logger.info('job_deleted', job=job.record.job_id)

    def _delete_bulk(self, job: JobRecord, kinds: Iterable[str]) -> None:
        for kind in kinds:
            for stored in self._named(kind, f'{job.job_id}.'):
                with contextlib.suppress(ObjectConflictError):
                    self._parts.store.delete(stored)

    def _named(self, kind: str, prefix: str) -> Iterator[StoredObject]:
        more = True
        while more:
            listing = self._parts.store.list_objects(
                kind,
                prefix=prefix,
                bodies=False,
            )
            yield from listing.objects
            more = listing.more


def _readable(objects: Iterable[StoredObject]) -> Iterator[StoredJob]:
    for stored in objects:
        with contextlib.suppress(ValueError):
            yield StoredJob(decode_job(stored.body), stored)
