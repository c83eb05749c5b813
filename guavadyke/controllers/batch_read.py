"""What callers read of a job: its progress and its results."""

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

_COUNTED = ('waiting', 'running', *(str(one) for one in Outcome))


@dataclasses.dataclass(frozen=True)
class JobReport:
    """A job as it stands."""

    job: StoredJob
    table: ChunkTable

    @property
    def record(self) -> JobRecord:
        """The job."""
        return self.job.record

    @property
    def chunks(self) -> tuple[ChunkState, ...]:
        """States of its chunks, in order."""
        return tuple(
            self.table.chunks[index].state
            for index in range(len(self.record.sizes))
        )

    @property
    def state(self) -> JobState:
        """State of the job."""
        marks = JobFlags(
            self.record.cancelled_at is not None,
            self.record.finished_at is not None,
        )
        return job_state(marks, self.chunks)

    def document(
        self,
        now: float,
        foreseen: Forecast | None,
    ) -> dict[str, object]:
        """Return what callers see.

        Args:
            now: seconds since the epoch.
            foreseen: when the job is expected to end, if that is known.
        """
        record = self.record
        counts = item_counts(self.chunks, record.sizes)
        expected_end = record.finished_at
        if expected_end is None and foreseen is not None:
            expected_end = max(now, foreseen.expected_end)
        return {
            'id': record.job_id,
            'object': 'batch',
            'entry': record.entry_name,
            'state': str(self.state),
            'items': record.items,
            'counts': {name: counts.get(name, 0) for name in _COUNTED},
            'created': format_time(record.created),
            'due': format_time(record.due),
            'expires': _moment(record.expires),
            'cancelled_at': _moment(record.cancelled_at),
            'finished_at': _moment(record.finished_at),
            'expected_end': _moment(expected_end),
            'late': (expected_end or now) > record.due,
        }


class BatchReader:
    """Reads jobs from the platform, the same on every host.

    Args:
        store: the platform.
        clock: the host's clock.
    """

    def __init__(self, store: WriteConfirmingStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock

    def find(self, job_id: str, owner: str) -> StoredJob:
        """Return an owner's job.

        Raises:
            GuavadykeError: ``not_found``, also for another owner's job.
        """
        job = read_job(self._store, job_id)
        if (
            job is None
            or not job.record.committed
            or (job.record.owner != owner)
        ):
            raise GuavadykeError(
                ErrorCode.not_found,
                'there is no such job',
                findings=(Finding('path', 'unknown job'),),
            )
        return job

    def report(self, job: StoredJob) -> JobReport:
        """Return the job as it stands, ended where all of it is done."""
        table = read_table(self._store, job.record, self._clock.monotonic())
        if table.all_done and job.record.finished_at is None:
            job = self._finished(job)
        return JobReport(job, table)

    def results(
        self,
        report: JobReport,
        after: int,
        limit: int | None,
    ) -> Iterator[bytes]:
        """Yield the final outcomes of items after ``after`` as NDJSON.

        Items that are not final yet are left out.
        """
        lines = itertools.chain.from_iterable(
            self._chunk_lines(report, chunk, first, after)
            for chunk, first in _with_first(report)
        )
        return itertools.islice(lines, limit)

    def _finished(self, job: StoredJob) -> StoredJob:
        """Mark the job as ended, or return what another host has made."""
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
        first: int,
        after: int,
    ) -> Iterator[bytes]:
        size = report.record.sizes[chunk.index]
        if first + size <= after or not chunk.state.settled_items:
            return
        identifiers = self._custom_ids(report.record, chunk.index)
        for outcome in self._outcomes(chunk, size):
            if first + outcome.index >= after:
                yield _line(identifiers[outcome.index], outcome)

    def _outcomes(
        self,
        chunk: KnownChunk,
        size: int,
    ) -> list[ItemOutcome]:
        parts = [self._part(name) for name in chunk.state.parts]
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

    def _part(self, name: str) -> tuple[ItemOutcome, ...]:
        stored = self._store.read(RESULT_KIND, name)
        if stored is None:
            raise GuavadykeError(
                ErrorCode.not_found,
                'results of the job have passed their retention',
            )
        return decode_part(stored.body)

    def _custom_ids(self, job: JobRecord, index: int) -> tuple[str, ...]:
        stored = self._store.read(INPUT_KIND, input_name(job, index))
        if stored is None:
            raise GuavadykeError(
                ErrorCode.not_found,
                'the job has passed its retention',
            )
        batch_items = decode_items(stored.body, idempotent=True)
        return tuple(one.custom_id for one in batch_items)


def _with_first(report: JobReport) -> Iterator[tuple[KnownChunk, int]]:
    """Yield each chunk with the number of items before it."""
    first = 0
    for index, size in enumerate(report.record.sizes):
        yield report.table.chunks[index], first
        first += size


def _line(custom_id: str, outcome: ItemOutcome) -> bytes:
    document = {
        'custom_id': custom_id,
        'outcome': str(outcome.outcome),
        'response': outcome.response,
        'error': outcome.error or None,
    }
    return f'{json.dumps(document)}\n'.encode()


def _moment(seconds: float | None) -> str | None:
    return None if seconds is None else format_time(seconds)
