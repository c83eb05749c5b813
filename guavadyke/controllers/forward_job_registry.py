"""Forwarded jobs as this host mirrors them from the platform."""

from __future__ import annotations

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
from guavadyke.forward_objects import decode_job, decode_progress
from guavadyke.log import EventLogger

Held = TypeVar('Held')


class KindSink(MirrorSink, Generic[Held]):
    """Keeps what a mirror brings of one kind, decoded, by name.

    Args:
        decode: reads an object's name and body.
        changed: called after each change, from the mirror's thread.
        logger: told of objects that cannot be read.
    """

    def __init__(
        self,
        decode: Callable[[str, bytes], Held],
        changed: Callable[[], None],
        logger: EventLogger,
    ) -> None:
        self._decode = decode
        self._changed = changed
        self._logger = logger
        self._held: dict[str, Held] = {}

    @property
    def held(self) -> Mapping[str, Held]:
        """What is held; replaced as a whole, so that readers need no lock."""
        return self._held

    def replace(
        self,
        objects: tuple[StoredObject, ...],
        *,
        after_outage: bool,
    ) -> None:
        """Take a full list."""
        self._held = dict(self._readable(objects))
        self._changed()

    def put(self, stored: StoredObject) -> None:
        """Take an object that was written."""
        self._held = {**self._held, **dict(self._readable((stored,)))}
        self._changed()

    def remove(self, name: str) -> None:
        """Take the removal of an object."""
        self._held = {
            known: held for known, held in self._held.items() if known != name
        }
        self._changed()

    def _readable(
        self,
        objects: Iterable[StoredObject],
    ) -> Iterable[tuple[str, Held]]:
        for stored in objects:
            try:
                yield stored.name, self._decode(stored.name, stored.body)
            except GuavadykeError as error:
                self._logger.error(
                    'object_unreadable',
                    kind=stored.kind,
                    name=stored.name,
                    reason=error.message,
                )


class JobRegistry:
    """All forwarded jobs that this host knows.

    Safe for threads. What this host has written itself counts at once,
    before its mirror brings it.

    Args:
        changed: called after each change, from any thread.
        logger: told of objects that cannot be read.
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
        self.jobs: KindSink[AcceptedJob] = KindSink(
            decode_job,
            self._mirrored,
            logger,
        )
        self.progress: KindSink[JobProgress] = KindSink(
            decode_progress,
            self._mirrored,
            logger,
        )

    def views(self) -> dict[str, JobView]:
        """Return every job by its id."""
        with self._lock:
            own_jobs = dict(self._own_jobs)
            own_progress = dict(self._own_progress)
        mirrored = self.progress.held
        jobs = {**own_jobs, **self.jobs.held}
        return {
            job_id: JobView(job, _joined(mirrored, own_progress, job_id))
            for job_id, job in jobs.items()
        }

    def view(self, job_id: str) -> JobView | None:
        """Return one job, None where it is not known here."""
        job = self.jobs.held.get(job_id) or self._own_jobs.get(job_id)
        if job is None:
            return None
        return JobView(
            job,
            _joined(self.progress.held, self._own_progress, job_id),
        )

    def accepted(self, job: AcceptedJob) -> None:
        """Take a job that this host has written or read."""
        with self._lock:
            self._own_jobs[job.job_id] = job
        self._changed()

    def noted(self, job_id: str, progress: JobProgress) -> None:
        """Take progress that this host has written."""
        with self._lock:
            self._own_progress[job_id] = progress
        self._changed()

    def forget(self, job_id: str) -> None:
        """Drop a job that has been removed."""
        with self._lock:
            self._own_jobs.pop(job_id, None)
            self._own_progress.pop(job_id, None)

    def _mirrored(self) -> None:
        """Drop what the mirrors have brought by now."""
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


def _joined(
    mirrored: Mapping[str, JobProgress],
    own: Mapping[str, JobProgress],
    job_id: str,
) -> JobProgress:
    """Return mirrored progress with what only this host knows yet."""
    first = mirrored.get(job_id, JobProgress())
    written = own.get(job_id)
    return first if written is None else first.joined(written)


def _covers(mirrored: JobProgress | None, own: JobProgress) -> bool:
    """Return whether the mirror has brought what was written."""
    if mirrored is None:
        return False
    return (
        mirrored.listed_tokens >= own.listed_tokens
        and mirrored.finished >= own.finished
        and mirrored.cancelled >= own.cancelled
    )
