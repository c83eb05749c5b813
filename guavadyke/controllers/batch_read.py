"""Reads a job's progress and results for callers."""

from __future__ import annotations

import dataclasses
import itertools
import json
from collections.abc import Iterator

from guavadyke.adapters.ports import Clock
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.controllers.batch_archive import read_job
from guavadyke.controllers.batch_chunks import (
    ChunkTable,
    KnownChunk,
    read_table,
)
from guavadyke.controllers.batch_input import format_time
from guavadyke.controllers.batch_jobs import StoredJob
from guavadyke.controllers.batch_records import (
    INPUT_KIND,
    RESULT_KIND,
    JobRecord,
    decode_items,
    decode_part,
    encode_job,
    input_name,
)
from guavadyke.decisions.chunk_state import ChunkState, ItemOutcome, Outcome
from guavadyke.decisions.job_forecast import Forecast
from guavadyke.decisions.job_progress import (
    JobFlags,
    JobState,
    item_counts,
    job_state,
)
from guavadyke.errors import (
    ErrorCode,
    Finding,
    GuavadykeError,
    ObjectConflictError,
)

_COUNT_NAMES = ('waiting', 'running', *(str(outcome) for outcome in Outcome))


@dataclasses.dataclass(frozen=True)
class JobReport:
    """A job with the states of its chunks at one time."""

    job: StoredJob
    table: ChunkTable

    @property
    def record(self) -> JobRecord:
        """Record of the job."""
        return self.job.record

    @property
    def chunks(self) -> tuple[ChunkState, ...]:
        """States of the chunks, by index."""
        return tuple(
            self.table.chunks[index].state
            for index in range(len(self.record.sizes))
        )

    @property
    def state(self) -> JobState:
        """State of the job as callers see it."""
        marks = JobFlags(
            self.record.cancelled_at is not None,
            self.record.finished_at is not None,
        )
        return job_state(marks, self.chunks)

    def document(
        self,
        now: float,
        job_forecast: Forecast | None,
    ) -> dict[str, object]:
        """Return the JSON document that callers get.

        Args:
            now: seconds since the epoch.
            job_forecast: forecast of the job's end, if there is one.
        """
        record = self.record
        counts = item_counts(self.chunks, record.sizes)
        expected_end = record.finished_at
        if expected_end is None and job_forecast is not None:
            expected_end = max(now, job_forecast.expected_end)
        return {
            'id': record.job_id,
            'object': 'batch',
            'entry': record.entry_name,
            'state': str(self.state),
            'items': record.items,
            'counts': {name: counts.get(name, 0) for name in _COUNT_NAMES},
            'created': format_time(record.created),
            'due': format_time(record.due),
            'expires': _format_optional(record.expires),
            'cancelled_at': _format_optional(record.cancelled_at),
            'finished_at': _format_optional(record.finished_at),
            'expected_end': _format_optional(expected_end),
            'late': (expected_end or now) > record.due,
        }


class BatchReader:
    """Reads jobs from the platform; every host gives the same answers.

    Args:
        store: the platform's object store.
        clock: the host's clock.
    """

    def __init__(self, store: WriteConfirmingStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock

    def find(self, job_id: str, owner: str) -> StoredJob:
        """Return a committed job of the owner.

        Raises:
            GuavadykeError: ``not_found``, also for another owner's job, so
                that an owner cannot tell which ids are in use.
        """
        job = read_job(self._store, job_id)
        if (
            job is None
            or not job.record.committed
            or (job.record.owner != owner)
        ):
            raise GuavadykeError(
                ErrorCode.not_found,
                'the job does not exist',
                findings=(Finding('path', 'unknown job'),),
            )
        return job

    def report(self, job: StoredJob) -> JobReport:
        """Return the job with its chunks, finished if all of them are done."""
        table = read_table(self._store, job.record, self._clock.monotonic())
        if table.all_done and job.record.finished_at is None:
            job = self._mark_finished(job)
        return JobReport(job, table)

    def results(
        self,
        report: JobReport,
        after: int,
        limit: int | None,
    ) -> Iterator[bytes]:
        """Yield the final outcomes of items as lines of NDJSON.

        Items without a final outcome are left out.

        Args:
            report: the job.
            after: number of items to skip, counted over the whole job.
            limit: maximum number of lines; None for all.

        Raises:
            GuavadykeError: ``not_found`` where results or inputs are past
                their retention, or the platform does not answer.
        """
        lines = itertools.chain.from_iterable(
            self._chunk_lines(report, chunk, offset, after)
            for chunk, offset in _chunks_with_offset(report)
        )
        return itertools.islice(lines, limit)

    def _mark_finished(self, job: StoredJob) -> StoredJob:
        """Mark the job as finished; after a conflict read it again.

        The job is returned unchanged where the platform does not answer,
        since the mark can be written later.
        """
        record = dataclasses.replace(
            job.record,
            finished_at=self._clock.wall(),
        )
        try:
            stored = self._store.update(job.stored, encode_job(record))
        except ObjectConflictError:
            return read_job(self._store, job.record.job_id) or job
        except GuavadykeError:
            return job
        return StoredJob(record, stored)

    def _chunk_lines(
        self,
        report: JobReport,
        chunk: KnownChunk,
        offset: int,
        after: int,
    ) -> Iterator[bytes]:
        size = report.record.sizes[chunk.index]
        if offset + size <= after or not chunk.state.settled_items:
            return
        identifiers = self._read_custom_ids(report.record, chunk.index)
        for outcome in self._outcomes(chunk, size):
            if offset + outcome.index >= after:
                yield _result_line(identifiers[outcome.index], outcome)

    def _outcomes(
        self,
        chunk: KnownChunk,
        size: int,
    ) -> list[ItemOutcome]:
        parts = [self._read_part(name) for name in chunk.state.parts]
        known = {
            outcome.index: outcome
            for outcome in itertools.chain.from_iterable(parts)
        }
        rest = chunk.state.rest
        if rest is not None:
            known.update({
                index: ItemOutcome(index, rest, error='it had not begun')
                for index in range(size)
                if index not in known
            })
        return [known[index] for index in sorted(known)]

    def _read_part(self, name: str) -> tuple[ItemOutcome, ...]:
        stored = self._store.read(RESULT_KIND, name)
        if stored is None:
            raise GuavadykeError(
                ErrorCode.not_found,
                'results of the job are past their retention',
            )
        return decode_part(stored.body)

    def _read_custom_ids(self, job: JobRecord, index: int) -> tuple[str, ...]:
        stored = self._store.read(INPUT_KIND, input_name(job, index))
        if stored is None:
            raise GuavadykeError(
                ErrorCode.not_found,
                'the job is past its retention',
            )
        batch_items = decode_items(stored.body, idempotent=True)
        return tuple(item.custom_id for item in batch_items)


def _chunks_with_offset(report: JobReport) -> Iterator[tuple[KnownChunk, int]]:
    """Yield each chunk with the number of the job's items before it."""
    offset = 0
    for index, size in enumerate(report.record.sizes):
        yield report.table.chunks[index], offset
        offset += size


def _result_line(custom_id: str, outcome: ItemOutcome) -> bytes:
    document = {
        'custom_id': custom_id,
        'outcome': str(outcome.outcome),
        'response': outcome.response,
        'error': outcome.error or None,
    }
    return f'{json.dumps(document)}\n'.encode()


def _format_optional(seconds: float | None) -> str | None:
    return None if seconds is None else format_time(seconds)
