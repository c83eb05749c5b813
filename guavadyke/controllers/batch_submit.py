"""Accepting a job: all of it is durable before it exists for anyone.

The job's object is written first as pending, then the inputs of the
chunks, and the update that commits the job comes last. Another host that
gets the same submission takes the pending job over by conditional update.
"""

from __future__ import annotations

import dataclasses
import hashlib
import itertools
import threading
import uuid
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ThreadPoolExecutor

from guavadyke.adapters.ports import Clock, StoredObject
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.controllers.batch_archive import read_job
from guavadyke.controllers.batch_jobs import StoredJob
from guavadyke.controllers.batch_records import (
    INPUT_KIND,
    JOB_KIND,
    JobRecord,
    compress_lines,
    encode_job,
    input_name,
)
from guavadyke.errors import (
    ErrorCode,
    Finding,
    GuavadykeError,
    ObjectConflictError,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
    Run,
)

_WRITES_IN_FLIGHT = 8
_FOLLOW_INTERVAL_S = 0.25
_FOLLOW_S = 30.0
_UPLOAD_PATIENCE_S = 5.0
_UPLOAD_INTERVAL_S = 0.5
_ID_CHARACTERS = 32


@dataclasses.dataclass(frozen=True)
class Submission:
    """A checked submission; ``chunks`` yields the lines of each chunk."""

    owner: str
    entry_name: str
    idempotency_key: str
    content_hash: str
    due: float
    expires: float | None
    chunks: Callable[[], Iterator[tuple[bytes, ...]]]


def job_id_of(owner: str, idempotency_key: str) -> str:
    """Return the id of the job that an owner's key stands for."""
    if not idempotency_key:
        return f'batch-{uuid.uuid4().hex}'
    text = f'{len(owner)} {owner} {idempotency_key}'.encode()
    digest = hashlib.sha256(text).hexdigest()
    return f'batch-{digest[:_ID_CHARACTERS]}'


class Submitter:
    """Writes jobs to the platform.

    Args:
        store: the platform.
        clock: the host's clock.
    """

    def __init__(self, store: WriteConfirmingStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._window = threading.BoundedSemaphore(_WRITES_IN_FLIGHT)

    def submit(self, submission: Submission) -> StoredJob:
        """Return the accepted job, the same for the same key and content.

        Raises:
            GuavadykeError: ``key_conflict`` where the key was used for
                other content; ``platform_unavailable`` with nothing
                accepted; ``outcome_unknown`` where the commit is in doubt.
        """
        pending = self._begin(submission)
        if pending.record.committed:
            return _same(pending, submission)
        try:
            ready = self._upload(pending, submission)
        except GuavadykeError as error:
            self._discard(pending)
            raise _not_accepted(error) from error
        try:
            return self._commit(ready)
        except ObjectConflictError:
            self._discard(pending)
            return self._follow(submission, pending.record.job_id)

    def _begin(self, submission: Submission) -> StoredJob:
        """Return an own pending job, or the committed one."""
        job_id = job_id_of(submission.owner, submission.idempotency_key)
        record = self._pending(submission, job_id)
        try:
            present = read_job(self._store, job_id)
            if present is None:
                return self._created(record)
            if present.record.committed:
                return present
            return self._replaced(present, record)
        except ObjectConflictError:
            return self._follow(submission, job_id)
        except GuavadykeError as error:
            raise _not_accepted(error) from error

    def _pending(self, submission: Submission, job_id: str) -> JobRecord:
        return JobRecord(
            job_id=job_id,
            owner=submission.owner,
            entry_name=submission.entry_name,
            created=self._clock.wall(),
            due=submission.due,
            expires=submission.expires,
            content_hash=submission.content_hash,
            upload=uuid.uuid4().hex[:12],
        )

    def _created(self, record: JobRecord) -> StoredJob:
        """Create the pending job, unless a job was archived meanwhile."""
        stored = self._store.create(
            JOB_KIND,
            record.job_id,
            encode_job(record),
        )
        pending = StoredJob(record, stored)
        archived = read_job(self._store, record.job_id, archived=True)
        if archived is None:
            return pending
        self._store.delete(stored)
        return archived

    def _replaced(self, present: StoredJob, record: JobRecord) -> StoredJob:
        """Take over a pending job whose host may be gone."""
        stored = self._store.update(present.stored, encode_job(record))
        self._delete_inputs(present.record)
        return StoredJob(record, stored)

    def _upload(
        self,
        pending: StoredJob,
        submission: Submission,
    ) -> StoredJob:
        """Write the inputs of all chunks, a few at a time."""
        sizes: list[int] = []
        with ThreadPoolExecutor(_WRITES_IN_FLIGHT) as pool:
            futures = [
                pool.submit(self._write_input, name, body)
                for name, body in self._bodies(
                    pending.record,
                    submission.chunks(),
                    sizes,
                )
            ]
        for future in futures:
            future.result()
        record = dataclasses.replace(
            pending.record,
            sizes=tuple(sizes),
            committed=True,
        )
        return StoredJob(record, pending.stored)

    def _bodies(
        self,
        job: JobRecord,
        chunks: Iterable[tuple[bytes, ...]],
        sizes: list[int],
    ) -> Iterator[tuple[str, bytes]]:
        for index, lines in enumerate(chunks):
            self._window.acquire()
            sizes.append(len(lines))
            yield input_name(job, index), compress_lines(lines)

    def _write_input(self, name: str, body: bytes) -> None:
        try:
            self._create_input(name, body)
        finally:
            self._window.release()

    def _create_input(self, name: str, body: bytes) -> None:
        """Write an input, again where the platform or the budget is short."""
        until = self._clock.monotonic() + _UPLOAD_PATIENCE_S
        while True:
            try:
                self._store.create(INPUT_KIND, name, body)
            except PlatformUnavailableError:
                if self._clock.monotonic() >= until:
                    raise
                self._clock.sleep(_UPLOAD_INTERVAL_S)
            else:
                return

    def _commit(self, ready: StoredJob) -> StoredJob:
        """Make the job exist for callers and hosts."""
        stored = self._store.update(ready.stored, encode_job(ready.record))
        return StoredJob(ready.record, stored)

    def _follow(self, submission: Submission, job_id: str) -> StoredJob:
        """Wait for the other host that is writing the same job."""
        until = self._clock.monotonic() + _FOLLOW_S
        while self._clock.monotonic() < until:
            present = read_job(self._store, job_id)
            if present is None:
                break
            if present.record.committed:
                return _same(present, submission)
            self._clock.sleep(_FOLLOW_INTERVAL_S)
        raise GuavadykeError(
            ErrorCode.key_in_progress,
            'another submission with this key is being written',
            retry_after_s=1,
        )

    def _discard(self, pending: StoredJob) -> None:
        """Delete what was written; a later sweep finds what is left."""
        try:
            self._delete_pending(pending.stored)
            self._delete_inputs(pending.record)
        except GuavadykeError:
            return

    def _delete_pending(self, stored: StoredObject) -> None:
        try:
            self._store.delete(stored)
        except ObjectConflictError:
            return

    def _delete_inputs(self, job: JobRecord) -> None:
        prefix = f'{job.job_id}.{job.upload}.'
        listing = self._store.list_objects(
            INPUT_KIND,
            prefix=prefix,
            bodies=False,
        )
        for stored in listing.objects:
            self._store.delete(stored)


def content_hash(digest: str, parts: Iterable[str]) -> str:
    """Return the hash by which a resent submission is recognised."""
    text = '\n'.join(itertools.chain((digest,), parts))
    return hashlib.sha256(text.encode()).hexdigest()


def _same(present: StoredJob, submission: Submission) -> StoredJob:
    if present.record.content_hash == submission.content_hash:
        return present
    raise GuavadykeError(
        ErrorCode.key_conflict,
        'the idempotency key was used for a job with other content',
        findings=(Finding('header.idempotency-key', 'stands for another job'),),
    )


def _not_accepted(error: GuavadykeError) -> GuavadykeError:
    """Return the error for a job of which nothing was committed."""
    if isinstance(error, PlatformOutcomeUnknownError):
        return GuavadykeError(
            ErrorCode.platform_unavailable,
            'the platform did not take the job; nothing was accepted',
            run=Run.not_run,
            retry_after_s=1,
        )
    return error
