"""Writes a submitted job to the platform.

The job's object is written first as pending, then the inputs of its
chunks, and last the update that commits the job. So a job becomes visible
only once all of it is durable. Another host that gets the same submission
takes the pending job over by a conditional update.
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
    RunStatus,
)

_MAX_CONCURRENT_WRITES = 8
_OTHER_HOST_POLL_S = 0.25
_OTHER_HOST_TIMEOUT_S = 30.0
_UPLOAD_RETRY_WINDOW_S = 5.0
_UPLOAD_RETRY_INTERVAL_S = 0.5
_ID_CHARACTERS = 32


@dataclasses.dataclass(frozen=True)
class Submission:
    """A validated submission; ``chunks`` yields the lines of each chunk.

    ``due`` and ``expires`` are seconds since the epoch.
    """

    owner: str
    entry_name: str
    idempotency_key: str
    content_hash: str
    due: float
    expires: float | None
    chunks: Callable[[], Iterator[tuple[bytes, ...]]]


def job_id_for(owner: str, idempotency_key: str) -> str:
    """Return the job id for an owner's idempotency key.

    Without a key the id is random.
    """
    if not idempotency_key:
        return f'batch-{uuid.uuid4().hex}'
    text = f'{len(owner)} {owner} {idempotency_key}'.encode()
    digest = hashlib.sha256(text).hexdigest()
    return f'batch-{digest[:_ID_CHARACTERS]}'


class Submitter:
    """Writes submitted jobs to the platform.

    Args:
        store: the platform's object store.
        clock: the host's clock.
    """

    def __init__(self, store: WriteConfirmingStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._write_permits = threading.BoundedSemaphore(_MAX_CONCURRENT_WRITES)

    def submit(self, submission: Submission) -> StoredJob:
        """Write and commit the job.

        The same key with the same content returns the same job.

        Raises:
            GuavadykeError: ``key_conflict`` where the key was used for
                other content; ``key_in_progress`` where another host is
                still writing the job; ``platform_unavailable`` where
                nothing was accepted; ``outcome_unknown`` where the commit
                was not confirmed.
        """
        pending = self._open_pending(submission)
        if pending.record.committed:
            return _require_same_content(pending, submission)
        try:
            ready = self._upload(pending, submission)
        except GuavadykeError as error:
            self._discard(pending)
            raise _not_accepted(error) from error
        try:
            return self._commit(ready)
        except ObjectConflictError:
            self._discard(pending)
            return self._wait_for_other_host(submission, pending.record.job_id)

    def _open_pending(self, submission: Submission) -> StoredJob:
        """Return a pending job written here, or the committed job."""
        job_id = job_id_for(submission.owner, submission.idempotency_key)
        record = self._pending_record(submission, job_id)
        try:
            present = read_job(self._store, job_id)
            if present is None:
                return self._create_pending(record)
            if present.record.committed:
                return present
            return self._replace_pending(present, record)
        except ObjectConflictError:
            return self._wait_for_other_host(submission, job_id)
        except GuavadykeError as error:
            raise _not_accepted(error) from error

    def _pending_record(self, submission: Submission, job_id: str) -> JobRecord:
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

    def _create_pending(self, record: JobRecord) -> StoredJob:
        """Create the pending job, unless the job is already archived.

        The archive is read after the creation, since the job may have been
        archived between the first read and the creation.
        """
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

    def _replace_pending(
        self, present: StoredJob, record: JobRecord
    ) -> StoredJob:
        """Replace a pending job whose host may have died."""
        stored = self._store.update(present.stored, encode_job(record))
        self._delete_inputs(present.record)
        return StoredJob(record, stored)

    def _upload(
        self,
        pending: StoredJob,
        submission: Submission,
    ) -> StoredJob:
        """Write the inputs of all chunks, several at a time.

        Returns:
            The job as it is to be committed.
        """
        sizes: list[int] = []
        with ThreadPoolExecutor(_MAX_CONCURRENT_WRITES) as pool:
            futures = [
                pool.submit(self._write_input, name, body)
                for name, body in self._chunk_inputs(
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

    def _chunk_inputs(
        self,
        job: JobRecord,
        chunks: Iterable[tuple[bytes, ...]],
        sizes: list[int],
    ) -> Iterator[tuple[str, bytes]]:
        for index, lines in enumerate(chunks):
            self._write_permits.acquire()
            sizes.append(len(lines))
            yield input_name(job, index), compress_lines(lines)

    def _write_input(self, name: str, body: bytes) -> None:
        try:
            self._create_input(name, body)
        finally:
            self._write_permits.release()

    def _create_input(self, name: str, body: bytes) -> None:
        """Write an input, with retries while the platform is unavailable.

        This includes an exhausted call budget of this host.
        """
        until = self._clock.monotonic() + _UPLOAD_RETRY_WINDOW_S
        while True:
            try:
                self._store.create(INPUT_KIND, name, body)
            except PlatformUnavailableError:
                if self._clock.monotonic() >= until:
                    raise
                self._clock.sleep(_UPLOAD_RETRY_INTERVAL_S)
            else:
                return

    def _commit(self, ready: StoredJob) -> StoredJob:
        """Commit the job, which makes it visible to callers and hosts."""
        stored = self._store.update(ready.stored, encode_job(ready.record))
        return StoredJob(ready.record, stored)

    def _wait_for_other_host(
        self, submission: Submission, job_id: str
    ) -> StoredJob:
        """Wait until the other host has committed the same job.

        Raises:
            GuavadykeError: ``key_in_progress`` where it has not within
                ``_OTHER_HOST_TIMEOUT_S``.
        """
        until = self._clock.monotonic() + _OTHER_HOST_TIMEOUT_S
        while self._clock.monotonic() < until:
            present = read_job(self._store, job_id)
            if present is None:
                break
            if present.record.committed:
                return _require_same_content(present, submission)
            self._clock.sleep(_OTHER_HOST_POLL_S)
        raise GuavadykeError(
            ErrorCode.key_in_progress,
            'another submission with this key is being written',
            retry_after_s=1,
        )

    def _discard(self, pending: StoredJob) -> None:
        """Delete the pending job and its inputs, as far as possible.

        The cleaner deletes what is left.
        """
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
    """Return the hash that identifies the content of a submission.

    Args:
        digest: digest of the body.
        parts: parameters of the request that belong to the content.
    """
    text = '\n'.join(itertools.chain((digest,), parts))
    return hashlib.sha256(text.encode()).hexdigest()


def _require_same_content(
    present: StoredJob, submission: Submission
) -> StoredJob:
    if present.record.content_hash == submission.content_hash:
        return present
    raise GuavadykeError(
        ErrorCode.key_conflict,
        'the idempotency key was used for a job with other content',
        findings=(
            Finding('header.idempotency-key', 'was used for another job'),
        ),
    )


def _not_accepted(error: GuavadykeError) -> GuavadykeError:
    """Return the error to raise when the job was not committed.

    An unknown outcome of an earlier write becomes ``platform_unavailable``:
    without the commit, nothing was accepted.
    """
    if isinstance(error, PlatformOutcomeUnknownError):
        return GuavadykeError(
            ErrorCode.platform_unavailable,
            'the platform did not confirm the job; nothing was accepted',
            run=RunStatus.not_run,
            retry_after_s=1,
        )
    return error
