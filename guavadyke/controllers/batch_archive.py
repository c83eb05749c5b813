"""Archive of ended jobs.

Ended jobs are stored under a kind of their own, so that listing the open
jobs stays cheap.
"""

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
    """Return a job by its id, or None where there is none.

    Args:
        store: the platform's object store.
        job_id: id of the job.
        archived: search only the archive.

    Raises:
        GuavadykeError: the platform does not answer.
    """
    kinds = (ARCHIVE_KIND,) if archived else (JOB_KIND, ARCHIVE_KIND)
    for kind in kinds:
        stored = store.read(kind, job_id)
        if stored is not None:
            return StoredJob(decode_job(stored.body), stored)
    return None


def archive_job(store: WriteConfirmingStore, job: StoredJob) -> None:
    """Move an ended job to the archive.

    The job is copied before it is deleted, so that readers always find it.
    Several hosts may do this at the same time, since an ended job no
    longer changes.

    Raises:
        GuavadykeError: the platform does not answer.
    """
    if job.stored.kind != JOB_KIND:
        return
    with contextlib.suppress(ObjectConflictError):
        store.create(ARCHIVE_KIND, job.record.job_id, encode_job(job.record))
    with contextlib.suppress(ObjectConflictError):
        store.delete(job.stored)
