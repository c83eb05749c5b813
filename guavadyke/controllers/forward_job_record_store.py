"""Stores forwarded jobs and their progress on the platform."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from guavadyke import forward_job_documents as objects
from guavadyke.adapters.ports import StoredObject
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.decisions.forward_job_records import AcceptedJob, JobProgress
from guavadyke.errors import ObjectConflictError, PlatformUnavailableError

# Attempts of a write that loses its version check to other hosts.
MAX_ATTEMPTS = 8


class JobRecordStore:
    """Jobs and their progress as objects of the platform. Thread-safe.

    Args:
        platform: the object store of the platform.
    """

    def __init__(self, platform: WriteConfirmingStore) -> None:
        self.platform = platform

    def create(self, job: AcceptedJob) -> bool:
        """Store a new job; return False if the job id already exists.

        Raises:
            PlatformUnavailableError: the job was not stored.
            PlatformOutcomeUnknownError: it may have been stored.
        """
        try:
            self.platform.create(
                objects.JOB_KIND, job.job_id, objects.encode_job(job)
            )
        except ObjectConflictError:
            return False
        return True

    def read(self, job_id: str) -> AcceptedJob | None:
        """Return a job, or None if it does not exist.

        Raises:
            PlatformUnavailableError: the platform cannot be reached.
        """
        stored = self.platform.read(objects.JOB_KIND, job_id)
        return (
            None if stored is None else objects.decode_job(job_id, stored.body)
        )

    def progress(self, job_id: str) -> JobProgress:
        """Read the progress of a job.

        Raises:
            GuavadykeError: it cannot be read.
        """
        return _read_progress(self.platform, job_id)[1]

    def merge_progress(self, job_id: str, change: JobProgress) -> JobProgress:
        """Merge a change into a job's progress; return the merged progress.

        Raises:
            GuavadykeError: the write failed, or its outcome is unknown.
        """
        return self._merge(job_id, lambda _known: change)

    def claim(self, job_id: str, me: str, owner_before: str) -> JobProgress:
        """Make a host the owner of a job, unless the owner has changed.

        Args:
            job_id: the job.
            me: the host that claims it.
            owner_before: the owner that it takes the job over from.

        Returns:
            The progress, whose owner may be another host.

        Raises:
            GuavadykeError: the write failed, or its outcome is unknown.
        """
        return self._merge(
            job_id,
            lambda known: JobProgress(
                owner=me if known.owner in {'', owner_before} else '',
                claimed=True,
            ),
        )

    def pass_on(self, job_id: str, me: str, change: JobProgress) -> JobProgress:
        """Give a job of this host another owner, unless it has one already.

        Args:
            job_id: the job.
            me: this host.
            change: the other owner.

        Returns:
            The progress, whose owner may be a third host.

        Raises:
            GuavadykeError: the write failed, or its outcome is unknown.
        """
        return self._merge(
            job_id,
            lambda known: change if known.owner in {'', me} else JobProgress(),
        )

    def _merge(
        self, job_id: str, change_of: Callable[[JobProgress], JobProgress]
    ) -> JobProgress:
        attempts = (
            self._try_merge(job_id, change_of)
            for _attempt in range(MAX_ATTEMPTS)
        )
        joined = next(filter(None, attempts), None)
        if joined is None:
            raise PlatformUnavailableError(
                f'{job_id}: too many conflicts with other hosts',
            )
        return joined

    def _try_merge(
        self, job_id: str, change_of: Callable[[JobProgress], JobProgress]
    ) -> JobProgress | None:
        """Try one merge; return None if another host wrote in between."""
        stored, known = _read_progress(self.platform, job_id)
        joined = known.merged(change_of(known))
        if stored is not None and joined == known:
            return dataclasses.replace(joined, version=stored.version)
        try:
            written = _write_progress(self.platform, job_id, stored, joined)
        except ObjectConflictError:
            return None
        return dataclasses.replace(joined, version=written.version)


def _read_progress(
    platform: WriteConfirmingStore, job_id: str
) -> tuple[StoredObject | None, JobProgress]:
    stored = platform.read(objects.PROGRESS_KIND, job_id)
    if stored is None:
        return None, JobProgress()
    progress = objects.decode_progress(job_id, stored.body)
    return stored, dataclasses.replace(progress, version=stored.version)


def _write_progress(
    platform: WriteConfirmingStore,
    job_id: str,
    stored: StoredObject | None,
    progress: JobProgress,
) -> StoredObject:
    body = objects.encode_progress(progress)
    if stored is None:
        return platform.create(objects.PROGRESS_KIND, job_id, body)
    return platform.update(stored, body)
