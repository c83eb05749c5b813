"""Jobs that have ended, kept apart so that open ones list cheaply."""

from __future__ import annotations

import contextlib

from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.controllers.batch_jobs import StoredJob
from guavadyke.controllers.batch_records import (
    ARCHIVE_KIND,
    JOB_KIND,
    decode_job,
    encode_job,
)
from guavadyke.errors import ObjectConflictError


def read_job(
    store: WriteConfirmingStore,
    job_id: str,
    *,
    archived: bool = False,
) -> StoredJob | None:
    """Return a job, also one that has ended.

    Args:
        store: the platform.
        job_id: the job.
        archived: look only among those that have ended.

    Raises:
        GuavadykeError: the platform does not answer.
    """
    kinds = (ARCHIVE_KIND,) if archived else (JOB_KIND, ARCHIVE_KIND)
    for kind in kinds:
        stored = store.read(kind, job_id)
        if stored is not None:
            return StoredJob(decode_job(stored.body), stored)
    return None


def archive(store: WriteConfirmingStore, job: StoredJob) -> None:
    """Move a job that has ended to the archive.

    The copy comes before the deletion, so that the job is always found.
    Several hosts may do it at once, since the job is final.

    Raises:
        GuavadykeError: the platform does not answer.
    """
    if job.stored.kind != JOB_KIND:
        return
    with contextlib.suppress(ObjectConflictError):
        store.create(ARCHIVE_KIND, job.record.job_id, encode_job(job.record))
    with contextlib.suppress(ObjectConflictError):
        store.delete(job.stored)
