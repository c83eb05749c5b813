"""Index of the platform's batch jobs, kept up to date by a watch."""

from __future__ import annotations

import dataclasses
import threading
import types
from collections.abc import Iterable, Iterator, Mapping

from guavadyke.adapters.ports import Clock, ObjectEvent, StoredObject
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.controllers.batch_records import (
    JOB_KIND,
    JobRecord,
    decode_job,
)
from guavadyke.controllers.object_listing import list_all
from guavadyke.log import EventLogger
from guavadyke.settings import EntrySettings
from guavadyke.snapshots import SnapshotCell


@dataclasses.dataclass(frozen=True)
class StoredJob:
    """A job and the platform object that stores it."""

    record: JobRecord
    stored: StoredObject


@dataclasses.dataclass(frozen=True)
class JobsSnapshot:
    """Jobs by id, as of a revision of the platform.

    ``listed_at`` is the time of the last full list, in monotonic seconds.
    """

    jobs: Mapping[str, StoredJob] = dataclasses.field(default_factory=dict)
    revision: int = 0
    listed_at: float | None = None


class JobIndex:
    """Keeps a snapshot of the platform's jobs.

    Args:
        settings: settings of the host.
        clock: the host's clock.
        store: the platform's object store.
        logger: logs jobs that cannot be decoded.
    """

    def __init__(
        self,
        settings: EntrySettings,
        clock: Clock,
        store: WriteConfirmingStore,
        logger: EventLogger,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._store = store
        self._logger = logger
        self._lock = threading.Lock()
        self.snapshot: SnapshotCell[JobsSnapshot] = SnapshotCell(
            JobsSnapshot(),
        )

    def open_jobs(self) -> Mapping[str, StoredJob]:
        """Return the jobs that are committed and not finished, by id."""
        return {
            job_id: job
            for job_id, job in self.snapshot.current.jobs.items()
            if job.record.committed and job.record.finished_at is None
        }

    def poll(self, wait_s: float) -> None:
        """Apply the changes of jobs, waiting up to ``wait_s`` for the first.

        All jobs are listed anew when ``relist_interval_s`` has passed or
        the platform no longer has the changes since the known revision.

        Raises:
            GuavadykeError: the platform does not answer.
        """
        known = self.snapshot.current
        now = self._clock.monotonic()
        interval_s = self._settings.platform.relist_interval_s
        if known.listed_at is None or now - known.listed_at > interval_s:
            self._relist(now)
            return
        answer = self._store.watch(JOB_KIND, known.revision, wait_s)
        if answer.expired:
            self._relist(now)
            return
        with self._lock:
            jobs = dict(self.snapshot.current.jobs)
            for event in answer.events:
                self._apply_event(jobs, event)
            self._publish(jobs, answer.revision)

    def put(self, job: StoredJob) -> None:
        """Add a job that this host has just written or read."""
        if job.stored.kind != JOB_KIND:
            return
        with self._lock:
            jobs = dict(self.snapshot.current.jobs)
            _keep_newer(jobs, job)
            self._publish(jobs, self.snapshot.current.revision)

    def _publish(
        self,
        jobs: dict[str, StoredJob],
        revision: int,
        listed_at: float | None = None,
    ) -> None:
        """Replace the snapshot; its revision never decreases."""
        known = self.snapshot.current
        self.snapshot.publish(
            JobsSnapshot(
                types.MappingProxyType(jobs),
                max(known.revision, revision),
                known.listed_at if listed_at is None else listed_at,
            ),
        )

    def _relist(self, now: float) -> None:
        """List all jobs; known versions newer than the list are kept."""
        objects, revision = list_all(self._store, JOB_KIND)
        listed = {job.record.job_id: job for job in self._decode_all(objects)}
        with self._lock:
            for job_id, job in self.snapshot.current.jobs.items():
                if job_id in listed or job.stored.version > revision:
                    _keep_newer(listed, job)
            self._publish(listed, revision, now)

    def _decode_all(
        self,
        objects: Iterable[StoredObject],
    ) -> Iterator[StoredJob]:
        for stored in objects:
            job = self._decode(stored)
            if job is not None:
                yield job

    def _decode(self, stored: StoredObject) -> StoredJob | None:
        try:
            record = decode_job(stored.body)
        except ValueError as error:
            self._logger.error(
                'job_unreadable',
                job=stored.name,
                reason=str(error).splitlines()[0],
            )
            return None
        return StoredJob(record, dataclasses.replace(stored, body=b''))

    def _apply_event(
        self, jobs: dict[str, StoredJob], event: ObjectEvent
    ) -> None:
        if event.current is None:
            known = jobs.get(event.name)
            if known is not None and known.stored.version < event.version:
                jobs.pop(event.name)
            return
        job = self._decode(event.current)
        if job is not None:
            _keep_newer(jobs, job)


def _keep_newer(jobs: dict[str, StoredJob], job: StoredJob) -> None:
    known = jobs.get(job.record.job_id)
    if known is None or known.stored.version < job.stored.version:
        jobs[job.record.job_id] = job
