"""Forwards requests unchanged: attempts, streams and their continuation."""

from __future__ import annotations

import contextlib
from collections.abc import Generator, Iterator

from guavadyke.adapters.cancellation import CallCancellation
from guavadyke.adapters.ports import (
    BackendAnswer,
    BackendFault,
    BackendServerError,
)
from guavadyke.decisions.forward_routes import ForwardRoute, RouteKind
from guavadyke.decisions.load_shedding import longest_wait_s
from guavadyke.decisions.request_attempts import RequestAttempts, retry_after_s
from guavadyke.decisions.server_registry import ServerLease
from guavadyke.decisions.server_sent_events import EventOrderError, EventParser
from guavadyke.errors import ErrorCode, GuavadykeError
from guavadyke.filters.base import Answer
from guavadyke.filters.forward_attempt import (
    Attempt,
    ForwardRequest,
    ForwardTools,
)

# Least time that an attempt is worth, in seconds: some exchanges in a zone.
_LEAST_ATTEMPT_S = 0.02
_OK = 200
_FIRST_FAILURE = 500
_FRAMING_HEADERS = frozenset((
    'connection',
    'content-length',
    'content-type',
    'date',
    'keep-alive',
    'server',
    'te',
    'trailer',
    'transfer-encoding',
    'upgrade',
))


class Forwarder:
    """Forwards one request to backend servers of its route.

    Args:
        request: the request.
        route: its route.
        tools: what requests share.
    """

    def __init__(
        self,
        request: ForwardRequest,
        route: ForwardRoute,
        tools: ForwardTools,
    ) -> None:
        self._request = request
        self._route = route
        self._tools = tools
        self._service = route.service_of(request.request_id)
        self._record = RequestAttempts(route)
        self._cancellation = CallCancellation()
        self._splitter = EventParser(request.last_event_id)
        self._started = False
        self._ended = False

    def answer(self) -> Answer:
        """Return the answer of a backend server.

        Raises:
            GuavadykeError: there is none; the error says whether the
                request has run.
        """
        if self._route.kind is RouteKind.streamed:
            return self._streamed()
        with self._watched():
            return self._whole()

    def _whole(self) -> Answer:
        while True:
            attempt = self._begin()
            try:
                answer = attempt.send()
                self._check_failure(answer)
                return _whole_answer(answer, attempt)
            except BackendServerError as error:
                self._after(attempt, error)
            finally:
                attempt.close()

    def _streamed(self) -> Answer:
        """Return an answer whose head waits for the first event."""
        pieces = self._events()
        head = next(pieces)
        if isinstance(head, Answer):
            first = next(pieces, None)
            if isinstance(first, bytes):
                head.body = _joined(first, pieces)
            return head
        raise TypeError('a stream begins with its head')

    def _events(self) -> Generator[Answer | bytes]:
        """Yield the head of the answer, then whole events."""
        with self._watched():
            while not self._ended:
                yield from self._attempted()

    def _attempted(self) -> Generator[Answer | bytes]:
        """Yield what one attempt brings."""
        attempt = self._begin()
        try:
            yield from self._relayed(attempt)
        except BackendServerError as error:
            self._splitter = EventParser(self._splitter.last_id)
            self._after(attempt, error)
        else:
            self._ended = True
        finally:
            attempt.close()

    def _relayed(self, attempt: Attempt) -> Generator[Answer | bytes]:
        answer = attempt.send(self._splitter.last_id)
        self._check_failure(answer)
        if answer.status != _OK and not self._started:
            yield _whole_answer(answer, attempt)
            return
        _check_continued(answer)
        for event in _events_of(answer, self._splitter):
            attempt.began()
            yield from self._head_once(answer)
            yield event
        _check_any(self._splitter)
        attempt.done()

    def _check_failure(self, answer: BackendAnswer) -> None:
        """Refuse a server's failure where another server may still answer.

        Raises:
            BackendServerError: another attempt is allowed.
        """
        if answer.status >= _FIRST_FAILURE and self._record.may_retry_running:
            answer.cancel()
            raise BackendServerError(
                BackendFault.broken,
                f'the server failed with status {answer.status}',
                not_run=False,
            )

    def _head_once(self, answer: BackendAnswer) -> Generator[Answer]:
        """Yield the head of the first server that began to answer."""
        if not self._started:
            self._started = True
            yield _head(answer)

    def _begin(self) -> Attempt:
        """Return the next attempt.

        Raises:
            GuavadykeError: the deadline is over or no server takes it.
        """
        left_s = self._request.deadline - self._tools.clock.monotonic()
        if left_s < _LEAST_ATTEMPT_S:
            raise self._given_up(ErrorCode.deadline_exceeded, 'no time is left')
        lease = self._tools.pool.acquire_online(
            self._service,
            self._record.failed,
            self._request.prompt_key or self._request.request_id,
        )
        if lease is None:
            # After failed attempts it is their end that counts.
            untried = self._record.last_fault is None
            raise self._given_up(
                ErrorCode.no_backend_server if untried else None,
                f'no backend server of {self._service} takes requests',
            )
        self._check_wait(lease, left_s)
        return Attempt(
            self._request,
            self._route,
            lease,
            self._cancellation,
            self._tools,
            hurried=self._record.may_retry_running and not self._started,
        )

    def _check_wait(self, lease: ServerLease, left_s: float) -> None:
        """Refuse a request that would wait too long at its server.

        Raises:
            GuavadykeError: it would.
        """
        pool = self._tools.pool
        wait_s = pool.waits.wait_s(lease)
        longest_s = longest_wait_s(
            self._route,
            left_s,
            self._tools.settings.longest_wait_s,
        )
        if wait_s > longest_s:
            pool.give_back(lease, BackendFault.refused)
            raise self._given_up(
                ErrorCode.overloaded,
                f'every backend server of {self._service} has a queue: '
                f'{wait_s:.2f} s, {longest_s:.2f} s would do',
                pool.waits.retry_in_s(lease, wait_s - longest_s),
            )

    def _after(self, attempt: Attempt, error: BackendServerError) -> None:
        """Return where another attempt follows.

        Raises:
            GuavadykeError: the request is given up.
        """
        attempt.failed(error)
        self._record.note(
            attempt.server_id,
            error.fault,
            not_run=error.not_run,
        )
        goes_on = self._record.may_retry and not self._cancellation.cancelled
        self._tools.logger.info(
            'attempt_failed',
            request_id=self._request.request_id,
            route=self._route.name,
            backend_server=attempt.server_id,
            fault=error.fault.value,
            not_run=error.not_run,
            possible_runs=self._record.possible_runs,
            refusals=self._record.refusals,
            goes_on=goes_on,
            reason=error.message,
        )
        if not goes_on:
            raise self._given_up(None, error.message)

    def _given_up(
        self,
        wanted: ErrorCode | None,
        message: str,
        retry_in_s: float | None = None,
    ) -> GuavadykeError:
        late = self._tools.clock.monotonic() >= self._request.deadline
        if late:
            wanted = ErrorCode.backend_silent
        code = self._record.final_code(wanted)
        self._tools.metrics.count(f'given_up_{code}')
        self._tools.logger.info(
            'request_given_up',
            request_id=self._request.request_id,
            route=self._route.name,
            code=code,
            possible_runs=self._record.possible_runs,
            refusals=self._record.refusals,
            abandoned=self._request.abandoned(),
            reason=message,
        )
        return GuavadykeError(
            code,
            message,
            retry_after_s=retry_after_s(code, retry_in_s),
        )

    def _watched(self) -> contextlib.AbstractContextManager[None]:
        """Watch over the caller and the deadline."""
        return self._tools.watch.over(self._useless, self._cancellation)

    def _useless(self) -> bool:
        late = self._tools.clock.monotonic() >= self._request.deadline
        return late or self._request.abandoned()


def _whole_answer(answer: BackendAnswer, attempt: Attempt) -> Answer:
    body = b''.join(answer.chunks())
    attempt.done()
    whole = _head(answer)
    whole.body = body
    return whole


def _head(answer: BackendAnswer) -> Answer:
    return Answer(
        status=answer.status,
        content_type=answer.headers.get('content-type', ''),
        headers={
            name.title(): text
            for name, text in answer.headers.items()
            if name not in _FRAMING_HEADERS
        },
    )


def _check_continued(answer: BackendAnswer) -> None:
    """Refuse a failure where a stream was to go on.

    Raises:
        BackendServerError: the answer is one.
    """
    if answer.status != _OK:
        answer.cancel()
        raise BackendServerError(
            BackendFault.broken,
            f'the stream does not go on: status {answer.status}',
            not_run=False,
        )


def _check_any(splitter: EventParser) -> None:
    """Refuse a stream that ended before its first event.

    Raises:
        BackendServerError: it did.
    """
    if not splitter.last_id:
        raise BackendServerError(
            BackendFault.broken,
            'the stream ended before its first event',
            not_run=False,
        )


def _events_of(
    answer: BackendAnswer,
    splitter: EventParser,
) -> Iterator[bytes]:
    """Yield whole events.

    Raises:
        BackendServerError: the stream broke off or is out of order.
    """
    try:
        for piece in answer.chunks():
            for event in splitter.feed(piece):
                yield event.raw
    except EventOrderError as error:
        answer.cancel()
        raise BackendServerError(
            BackendFault.broken,
            str(error),
            not_run=False,
        ) from error
    if splitter.partial:
        raise BackendServerError(
            BackendFault.broken,
            'the stream ended within an event',
            not_run=False,
        )


def _joined(
    first: bytes,
    rest: Generator[Answer | bytes],
) -> Generator[bytes]:
    """Yield all events; closing it ends the attempt."""
    with contextlib.closing(rest):
        yield first
        for piece in rest:
            if isinstance(piece, bytes):
                yield piece
