"""In-memory registry of forwarded jobs, mirrored from the platform."""

from __future__ import annotations

import dataclasses
import threading
from collections.abc import Callable, Iterable, Mapping
from typing import Generic, TypeVar

from guavadyke.adapters.ports import StoredObject
from guavadyke.controllers.mirror import MirrorSink
from guavadyke.decisions.forward_job_records import (
    AcceptedJob,
    JobProgress,
    JobView,
)
from guavadyke.errors import GuavadykeError
from guavadyke.forward_job_documents import decode_job, decode_progress
from guavadyke.log import EventLogger

Decoded = TypeVar('Decoded')


class DecodingSink(MirrorSink, Generic[Decoded]):
    """Decoded copies of all platform objects of one kind, by name.

    Objects that cannot be decoded are logged and left out.

    Args:
        decode: decodes an object.
        changed: called after each change, from the mirror's thread.
        seen: called before that with the name of an object that was put or
            removed.
        logger: logs objects that cannot be decoded.
    """

    def __init__(
        self,
        decode: Callable[[StoredObject], Decoded],
        changed: Callable[[], None],
        seen: Callable[[str], None],
        logger: EventLogger,
    ) -> None:
        self._decode = decode
        self._changed = changed
        self._seen = seen
        self._logger = logger
        self._decoded: dict[str, Decoded] = {}

    @property
    def held(self) -> Mapping[str, Decoded]:
        """Decoded objects by name; a copy that is never changed in place.

        Each change publishes a new mapping, so readers need no lock.
        """
        return self._decoded

    def replace(
        self,
        objects: tuple[StoredObject, ...],
        *,
        after_outage: bool,
    ) -> None:
        """Replace all objects by those of a full list."""
        self._decoded = dict(self._decode_all(objects))
        self._changed()

    def put(self, stored: StoredObject) -> None:
        """Add or replace an object."""
        self._decoded = {**self._decoded, **dict(self._decode_all((stored,)))}
        if stored.name in self._decoded:
            self._seen(stored.name)
        self._changed()

    def remove(self, name: str) -> None:
        """Remove an object."""
        if name not in self._decoded:
            return
        self._decoded = {
            other: decoded
            for other, decoded in self._decoded.items()
            if other != name
        }
        self._seen(name)
        self._changed()

    def _decode_all(
        self,
        objects: Iterable[StoredObject],
    ) -> Iterable[tuple[str, Decoded]]:
        for stored in objects:
            try:
                yield stored.name, self._decode(stored)
            except GuavadykeError as error:
                self._logger.error(
                    'object_unreadable',
                    kind=stored.kind,
                    name=stored.name,
                    reason=error.message,
                )


class JobRegistry:
    """Registry of all forwarded jobs that this host knows. Thread-safe.

    Writes of this host are visible at once: they are overlaid on the
    mirrored objects until the mirrors have caught up with them.

    The mirrors of jobs and of their progress are independent. A job is deleted
    before its progress, so that one whose progress has gone is gone as well,
    even if the mirror of jobs still holds it.

    Args:
        changed: called after each change, from any thread.
        logger: logs objects that cannot be decoded.
    """

    def __init__(
        self,
        changed: Callable[[], None],
        logger: EventLogger,
    ) -> None:
        self._changed = changed
        self._lock = threading.Lock()
        self._own_jobs: dict[str, AcceptedJob] = {}
        self._own_progress: dict[str, JobProgress] = {}
        # Jobs that were removed from the store but are still mirrored.
        self._removed: frozenset[str] = frozenset()
        self.jobs: DecodingSink[AcceptedJob] = DecodingSink(
            lambda stored: decode_job(stored.name, stored.body),
            self._drop_mirrored,
            self._job_seen,
            logger,
        )
        self.progress: DecodingSink[JobProgress] = DecodingSink(
            _versioned_progress,
            self._drop_mirrored,
            self._progress_seen,
            logger,
        )

    @property
    def orphans(self) -> frozenset[str]:
        """Ids of jobs of which only the progress is mirrored.

        That is usual for as long as the mirrors take to catch up.
        """
        return frozenset(self.progress.held.keys() - self.jobs.held.keys())

    @property
    def unconfirmed(self) -> frozenset[str]:
        """Ids of jobs that this host knows differently from its mirror.

        It has written or read them, or takes them for removed. That is usual
        for as long as the mirror takes to catch up.
        """
        with self._lock:
            return self._removed.union(self._own_jobs)

    def views(self) -> dict[str, JobView]:
        """Return all jobs by job id."""
        with self._lock:
            own_jobs = dict(self._own_jobs)
            own_progress = dict(self._own_progress)
        mirrored = self.progress.held
        jobs = {**own_jobs, **self.jobs.held}
        return {
            job_id: JobView(job, _merged(mirrored, own_progress, job_id))
            for job_id, job in jobs.items()
            if job_id not in self._removed
        }

    def view(self, job_id: str) -> JobView | None:
        """Return a job, or None if this host does not know it."""
        job = self.jobs.held.get(job_id) or self._own_jobs.get(job_id)
        if job is None or self.is_removed(job_id):
            return None
        return JobView(
            job,
            _merged(self.progress.held, self._own_progress, job_id),
        )

    def accepted(self, job: AcceptedJob) -> None:
        """Add a job that this host has written to or read from the store."""
        with self._lock:
            self._own_jobs[job.job_id] = job
        self._changed()

    def progress_written(self, job_id: str, progress: JobProgress) -> None:
        """Add job progress that this host has written to the store."""
        with self._lock:
            self._merge_own(job_id, progress)
        self._changed()

    def end_heard(self, job_id: str) -> None:
        """Add the end of a job of which another host has told."""
        with self._lock:
            self._merge_own(job_id, JobProgress(cancelled=True))
        self._changed()

    def removed(self, job_id: str) -> None:
        """Drop a job that was removed from the store."""
        with self._lock:
            self._own_jobs.pop(job_id, None)
            self._own_progress.pop(job_id, None)
            if job_id in self.jobs.held:
                self._removed |= {job_id}
        self._changed()

    def is_removed(self, job_id: str) -> bool:
        """Return whether a job was removed but is still mirrored."""
        return job_id in self._removed

    def restore(self, job_id: str) -> None:
        """Show a mirrored job again that was not removed after all."""
        with self._lock:
            self._removed -= {job_id}
        self._changed()

    def _job_seen(self, job_id: str) -> None:
        """Note that a job has left the mirror, or was created anew."""
        with self._lock:
            self._removed -= {job_id}

    def _progress_seen(self, job_id: str) -> None:
        """Drop a job whose progress was deleted."""
        if job_id not in self.progress.held:
            self.removed(job_id)

    def _merge_own(self, job_id: str, progress: JobProgress) -> None:
        known = self._own_progress.get(job_id, JobProgress())
        self._own_progress[job_id] = known.merged(progress)

    def _drop_mirrored(self) -> None:
        """Drop overlay entries that the mirrors have caught up with."""
        with self._lock:
            self._own_jobs = {
                job_id: job
                for job_id, job in self._own_jobs.items()
                if job_id not in self.jobs.held
            }
            self._own_progress = {
                job_id: progress
                for job_id, progress in self._own_progress.items()
                if not _covers(self.progress.held.get(job_id), progress)
            }
        self._changed()


def _versioned_progress(stored: StoredObject) -> JobProgress:
    return dataclasses.replace(
        decode_progress(stored.name, stored.body), version=stored.version
    )


def _merged(
    mirrored: Mapping[str, JobProgress],
    own: Mapping[str, JobProgress],
    job_id: str,
) -> JobProgress:
    """Return mirrored progress merged with this host's own writes.

    The owner is that of the newer of both.
    """
    known = mirrored.get(job_id, JobProgress())
    written = own.get(job_id)
    if written is None:
        return known
    if written.version < known.version:
        return written.merged(known)
    return known.merged(written)


def _covers(mirrored: JobProgress | None, own: JobProgress) -> bool:
    """Return whether mirrored progress is as new as an own write.

    An end that another host has told is not a write of this host.
    """
    return (
        mirrored is not None
        and mirrored.version >= own.version
        and mirrored.cancelled >= own.cancelled
    )
