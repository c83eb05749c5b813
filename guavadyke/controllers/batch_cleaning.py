"""Archives ended jobs and deletes abandoned submissions and old jobs.

It also recovers results that an earlier process of this host spooled.
"""

from __future__ import annotations

import contextlib
import dataclasses
import itertools
from collections.abc import Iterable, Iterator

from guavadyke.adapters.ports import Clock, StoredObject
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.controllers.batch_archive import archive_job
from guavadyke.controllers.batch_host_ranking import HostRanking
from guavadyke.controllers.batch_jobs import JobIndex, StoredJob
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

_PENDING_TIMEOUT_S = 900.0
_ARCHIVE_AFTER_S = 30.0
_MAX_ARCHIVES_PER_RUN = 16
_PAGE_INTERVAL_S = 60.0
_LEADER_KEY = 'batch-cleaning'


@dataclasses.dataclass(frozen=True)
class _PendingSighting:
    version: int
    since: float


@dataclasses.dataclass(frozen=True)
class CleaningParts:
    """Dependencies of a cleaner."""

    settings: EntrySettings
    clock: Clock
    store: WriteConfirmingStore
    fleet: SnapshotCell[FleetSnapshot]
    index: JobIndex
    spool: Spool
    logger: EventLogger


class Cleaner:
    """Cleans up the jobs for which this host ranks first.

    Hosts whose views of the fleet differ may clean up the same job; this is
    safe, since each change is conditional.

    Args:
        parts: its dependencies.
    """

    def __init__(self, parts: CleaningParts) -> None:
        self._parts = parts
        self._host_ranking = HostRanking(parts.settings.host_id, parts.fleet)
        self._pending: dict[str, _PendingSighting] = {}
        self._page_cursor = ''
        self._last_page_at: float = 0

    def run_once(self) -> None:
        """Recover spooled results, archive jobs and delete what has expired.

        The archive is checked one page at a time, at most one page in
        ``_PAGE_INTERVAL_S``.

        Raises:
            GuavadykeError: the platform does not answer.
        """
        self._parts.spool.recover()
        jobs = self._parts.index.snapshot.current.jobs
        self._archive(jobs.values())
        self._delete_stale_submissions(jobs.values())
        now = self._parts.clock.monotonic()
        if now - self._last_page_at >= _PAGE_INTERVAL_S and self._is_first_host(
            _LEADER_KEY
        ):
            self._last_page_at = now
            self._delete_expired()

    def _is_first_host(self, key: str) -> bool:
        """Return whether this host ranks first for a key."""
        return not self._host_ranking.place(key)

    def _archive(self, jobs: Iterable[StoredJob]) -> None:
        before = self._parts.clock.wall() - _ARCHIVE_AFTER_S
        ended = (
            job
            for job in jobs
            if job.record.finished_at is not None
            and job.record.finished_at < before
            and self._is_first_host(job.record.job_id)
        )
        for job in itertools.islice(ended, _MAX_ARCHIVES_PER_RUN):
            archive_job(self._parts.store, job)

    def _delete_stale_submissions(self, jobs: Iterable[StoredJob]) -> None:
        """Delete submissions that stay pending for ``_PENDING_TIMEOUT_S``.

        The time counts from when this host first saw the current version.
        """
        now = self._parts.clock.monotonic()
        pending = [job for job in jobs if not job.record.committed]
        self._pending = {
            job.record.job_id: self._sighting(job, now) for job in pending
        }
        for job in pending:
            since = self._pending[job.record.job_id].since
            old = now - since >= _PENDING_TIMEOUT_S
            if old and self._is_first_host(job.record.job_id):
                self._delete_pending(job)

    def _sighting(self, job: StoredJob, now: float) -> _PendingSighting:
        known = self._pending.get(job.record.job_id)
        if known is not None and known.version == job.stored.version:
            return known
        return _PendingSighting(job.stored.version, now)

    def _delete_pending(self, job: StoredJob) -> None:
        """Delete a pending job, then its inputs.

        The job goes first, so that it can no longer be committed.
        """
        try:
            self._parts.store.delete(job.stored)
        except ObjectConflictError:
            return
        self._delete_objects(job.record, (INPUT_KIND,))
        self._parts.logger.info('submission_abandoned', job=job.record.job_id)

    def _delete_expired(self) -> None:
        """Read one page of the archive and delete jobs past their retention."""
        listing = self._parts.store.list_objects(
            ARCHIVE_KIND,
            after=self._page_cursor,
        )
        before = self._parts.clock.wall()
        before -= self._parts.settings.batch.retention_s
        for job in _decode_jobs(listing.objects):
            ended = job.record.finished_at or before
            if ended < before:
                self._delete_job(job)
        last = listing.objects[-1].name if listing.objects else ''
        self._page_cursor = last if listing.more else ''

    def _delete_job(self, job: StoredJob) -> None:
        """Delete a job with all its objects.

        The job's own object goes last, so that an interrupted deletion is
        repeated.
        """
        kinds = (RESULT_KIND, CHUNK_KIND, INPUT_KIND)
        self._delete_objects(job.record, kinds)
        with contextlib.suppress(ObjectConflictError):
            self._parts.store.delete(job.stored)
        self._parts.logger.info('job_deleted', job=job.record.job_id)

    def _delete_objects(self, job: JobRecord, kinds: Iterable[str]) -> None:
        for kind in kinds:
            for stored in self._list_by_prefix(kind, f'{job.job_id}.'):
                with contextlib.suppress(ObjectConflictError):
                    self._parts.store.delete(stored)

    def _list_by_prefix(self, kind: str, prefix: str) -> Iterator[StoredObject]:
        more = True
        while more:
            listing = self._parts.store.list_objects(
                kind,
                prefix=prefix,
                bodies=False,
            )
            yield from listing.objects
            more = listing.more


def _decode_jobs(objects: Iterable[StoredObject]) -> Iterator[StoredJob]:
    for stored in objects:
        with contextlib.suppress(ValueError):
            yield StoredJob(decode_job(stored.body), stored)
