"""HTTP routes of batch jobs on the caller port."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator

from guavadyke.adapters.ports import Clock
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.catalogue import ModelEntry, ServiceEntry
from guavadyke.controllers.batch_cancel import cancel_job
from guavadyke.controllers.batch_forecast import JobForecaster
from guavadyke.controllers.batch_input import (
    CheckedInput,
    SubmissionReader,
    parse_time,
)
from guavadyke.controllers.batch_jobs import JobIndex, StoredJob
from guavadyke.controllers.batch_read import BatchReader
from guavadyke.controllers.batch_submit import (
    Submission,
    Submitter,
    content_hash,
)
from guavadyke.decisions.chunking import (
    ChunkingInput,
    items_per_chunk,
    split_into_chunks,
)
from guavadyke.decisions.job_forecast import Throughput
from guavadyke.errors import (
    ErrorCode,
    Finding,
    GuavadykeError,
    PlatformUnavailableError,
    RunStatus,
)
from guavadyke.filters.base import Answer, Exchange, Filter, Handler, chain
from guavadyke.http_application import Route, json_answer
from guavadyke.settings import EntrySettings
from guavadyke.snapshots import CatalogueSnapshot, FleetSnapshot, SnapshotCell

_DEFAULT_DUE_S = 86_400.0
_ASSUMED_THROUGHPUT = Throughput(item_s=1, in_flight=8)
_MAX_KEY_CHARACTERS = 255
_RETRY_AFTER_S = 5
_JOB_PATH = '/v1/batches/(?P<job_id>[A-Za-z0-9-]{1,64})'


@dataclasses.dataclass(frozen=True)
class RouteParts:
    """Dependencies of the routes."""

    settings: EntrySettings
    clock: Clock
    store: WriteConfirmingStore
    catalogue: SnapshotCell[CatalogueSnapshot]
    fleet: SnapshotCell[FleetSnapshot]
    index: JobIndex
    forecaster: JobForecaster
    authenticate: Filter


@dataclasses.dataclass(frozen=True)
class _Query:
    entry_name: str
    due: float
    expires: float | None
    key: str


class BatchRoutes:
    """Handlers to submit, show and cancel a job and to read its results.

    Args:
        parts: their dependencies.
    """

    def __init__(self, parts: RouteParts) -> None:
        self._parts = parts
        self._reader = BatchReader(parts.store, parts.clock)
        self._submitter = Submitter(parts.store, parts.clock)

    def routes(self) -> list[Route]:
        """Return the routes of the caller port."""
        return [
            Route('/v1/batches', {'POST': self._handler(self._submit)}),
            Route(_JOB_PATH, {'GET': self._handler(self._show)}),
            Route(
                f'{_JOB_PATH}/cancel',
                {'POST': self._handler(self._cancel)},
            ),
            Route(
                f'{_JOB_PATH}/results',
                {'GET': self._handler(self._results)},
            ),
        ]

    def _handler(self, handle: Handler) -> Handler:
        def handle_outage(exchange: Exchange) -> Answer:
            try:
                return handle(exchange)
            except PlatformUnavailableError as error:
                raise GuavadykeError(
                    error.code,
                    f'the platform is not available: {error.message}',
                    run=RunStatus.not_run,
                    retry_after_s=_RETRY_AFTER_S,
                ) from error

        return chain((self._parts.authenticate,), handle_outage)

    def _submit(self, exchange: Exchange) -> Answer:
        query = self._query(exchange)
        self._require_batch_entry(query.entry_name)
        reader = SubmissionReader(
            exchange.body_input,
            self._parts.settings.batch,
            self._parts.settings.caller,
        )
        checked = reader.check()
        job = self._submitter.submit(
            self._submission(exchange, query, reader, checked),
        )
        self._parts.index.put(job)
        return self._job_answer(job, status=201)

    def _show(self, exchange: Exchange) -> Answer:
        return self._job_answer(self._find_job(exchange))

    def _cancel(self, exchange: Exchange) -> Answer:
        job = cancel_job(
            self._parts.store,
            self._parts.clock,
            self._reader,
            self._find_job(exchange),
        )
        if job.record.finished_at is None:
            self._parts.index.put(job)
        return self._job_answer(job)

    def _results(self, exchange: Exchange) -> Answer:
        after = _whole_number(exchange, 'after') or 0
        limit = _whole_number(exchange, 'limit')
        report = self._reader.report(self._find_job(exchange))
        return Answer(
            status=200,
            body=_start_reading(self._reader.results(report, after, limit)),
            content_type='application/x-ndjson',
            headers={'Guavadyke-Job-State': str(report.state)},
        )

    def _job_answer(self, job: StoredJob, *, status: int = 200) -> Answer:
        report = self._reader.report(job)
        return json_answer(
            report.document(
                self._parts.clock.wall(),
                self._parts.forecaster.forecast_for(job.record.job_id),
            ),
            status=status,
        )

    def _find_job(self, exchange: Exchange) -> StoredJob:
        return self._reader.find(
            exchange.path_parts['job_id'],
            exchange.owner,
        )

    def _query(self, exchange: Exchange) -> _Query:
        key = exchange.headers.get('idempotency-key', '')
        findings = [
            Finding(f'query.{name}', 'unknown parameter')
            for name in sorted(
                set(exchange.query) - {'entry', 'due', 'expires'}
            )
        ]
        if not exchange.query.get('entry'):
            findings.append(Finding('query.entry', 'is missing'))
        if len(key) > _MAX_KEY_CHARACTERS:
            findings.append(
                Finding(
                    'header.idempotency-key',
                    f'has more than {_MAX_KEY_CHARACTERS} characters',
                ),
            )
        if findings:
            raise GuavadykeError(
                ErrorCode.bad_request,
                'the submission is not valid',
                findings=tuple(findings),
            )
        due = exchange.query.get('due')
        expires = exchange.query.get('expires')
        return _Query(
            entry_name=exchange.query['entry'],
            due=parse_time(due, 'query.due')
            if due
            else self._parts.clock.wall() + _DEFAULT_DUE_S,
            expires=parse_time(expires, 'query.expires') if expires else None,
            key=key,
        )

    def _require_batch_entry(self, name: str) -> ModelEntry | ServiceEntry:
        entry = self._parts.catalogue.current.entries.get(name)
        if entry is None:
            raise GuavadykeError(
                ErrorCode.not_found,
                f'there is no entry {name}',
                findings=(Finding('query.entry', 'unknown entry'),),
            )
        if entry.entry_class == 'online':
            raise GuavadykeError(
                ErrorCode.bad_request,
                f'entry {name} does not accept batch jobs',
                findings=(Finding('query.entry', 'is of class online'),),
            )
        return entry

    def _submission(
        self,
        exchange: Exchange,
        query: _Query,
        reader: SubmissionReader,
        checked: CheckedInput,
    ) -> Submission:
        chunk_items = self._chunk_items(query, checked.items)
        requested = (
            query.entry_name,
            exchange.query.get('due', ''),
            exchange.query.get('expires', ''),
        )

        def chunks() -> Iterator[tuple[bytes, ...]]:
            return split_into_chunks(
                reader.lines(),
                chunk_items,
                self._parts.settings.batch,
            )

        return Submission(
            owner=exchange.owner,
            entry_name=query.entry_name,
            idempotency_key=query.key,
            content_hash=content_hash(checked.digest, requested),
            due=query.due,
            expires=query.expires,
            chunks=chunks,
        )

    def _chunk_items(self, query: _Query, count: int) -> int:
        peers = self._parts.fleet.current.peers
        measured = (
            self._parts.forecaster.throughput(query.entry_name)
            or _ASSUMED_THROUGHPUT
        )
        size = ChunkingInput(
            items=count,
            due_s=query.due - self._parts.clock.wall(),
            hosts=1 + sum(peer.state == 'alive' for peer in peers),
            slots=round(measured.in_flight),
            item_s=measured.item_s,
        )
        return items_per_chunk(size, self._parts.settings.batch)


def _whole_number(exchange: Exchange, name: str) -> int | None:
    text = exchange.query.get(name)
    if text is None:
        return None
    if not text.isdecimal():
        raise GuavadykeError(
            ErrorCode.bad_request,
            f'{name} is not valid',
            findings=(Finding(f'query.{name}', 'not a whole number'),),
        )
    return int(text)


def _start_reading(lines: Iterator[bytes]) -> Iterator[bytes]:
    """Read the first line at once; return all lines.

    An error before the first line is raised here, while the answer's status
    can still be chosen.
    """
    first = next(lines, b'')
    return _prepended(first, lines)


def _prepended(first: bytes, lines: Iterator[bytes]) -> Iterator[bytes]:
    yield first
    yield from lines
