"""Cancels a job by one conditional update of its object."""

from __future__ import annotations

import dataclasses

from guavadyke.adapters.ports import Clock
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.controllers.batch_jobs import StoredJob
from guavadyke.controllers.batch_read import BatchReader
from guavadyke.controllers.batch_records import encode_job
from guavadyke.errors import ErrorCode, GuavadykeError, ObjectConflictError

_MAX_ATTEMPTS = 5


def cancel_job(
    store: WriteConfirmingStore,
    clock: Clock,
    reader: BatchReader,
    job: StoredJob,
) -> StoredJob:
    """Mark the job as cancelled, unless it has already ended.

    Args:
        store: the platform's object store.
        clock: the host's clock.
        reader: reads the job again after a conflicting update.
        job: the job as last read.

    Returns:
        The cancelled job, or the job as it had ended before.

    Raises:
        GuavadykeError: the platform does not answer, or
            ``version_conflict`` where every attempt conflicted with
            another update.
    """
    attempts_left = _MAX_ATTEMPTS
    while attempts_left:
        record = job.record
        if record.cancelled_at is not None or record.finished_at is not None:
            return job
        marked = dataclasses.replace(record, cancelled_at=clock.wall())
        try:
            stored = store.update(job.stored, encode_job(marked))
        except ObjectConflictError:
            attempts_left -= 1
            job = reader.find(record.job_id, record.owner)
            continue
        return StoredJob(marked, stored)
    raise GuavadykeError(
        ErrorCode.version_conflict,
        'the job was changed by others during each attempt; try again',
        retry_after_s=1,
    )
