"""Cancelling a job: one conditional update of its object."""

from __future__ import annotations

import dataclasses

from guavadyke.adapters.ports import Clock
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.controllers.batch_jobs import StoredJob
from guavadyke.controllers.batch_read import BatchReader
from guavadyke.controllers.batch_records import encode_job
from guavadyke.errors import ErrorCode, GuavadykeError, ObjectConflictError

_RACES = 5


def cancel(
    store: WriteConfirmingStore,
    clock: Clock,
    reader: BatchReader,
    job: StoredJob,
) -> StoredJob:
    """Mark the job as cancelled unless it has ended.

    Returns:
        The job with the mark, or as it ended before.

    Raises:
        GuavadykeError: the platform does not answer.
    """
    races = _RACES
    while races:
        record = job.record
        if record.cancelled_at is not None or record.finished_at is not None:
            return job
        marked = dataclasses.replace(record, cancelled_at=clock.wall())
        try:
            stored = store.update(job.stored, encode_job(marked))
        except ObjectConflictError:
            races -= 1
            job = reader.find(record.job_id, record.owner)
            continue
        return StoredJob(marked, stored)
    raise GuavadykeError(
        ErrorCode.version_conflict,
        'the job kept changing; try again',
        retry_after_s=1,
    )
