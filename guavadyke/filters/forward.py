"""Forwards requests unchanged, with retries and resumed streams."""

from __future__ import annotations

import contextlib
from collections.abc import Generator, Iterator

from guavadyke.adapters.answer_bodies import read_body
from guavadyke.adapters.cancellation import CallCancellation
from guavadyke.adapters.ports import (
    BackendAnswer,
    BackendFault,
    BackendServerError,
)
from guavadyke.decisions.forward_routes import ForwardRoute, RouteKind
from guavadyke.decisions.request_attempts import RequestAttempts, retry_after_s
from guavadyke.decisions.request_headers import CONNECTION_HEADERS
from guavadyke.decisions.server_registry import ServerLease
from guavadyke.decisions.server_sent_events import EventOrderError, EventParser
from guavadyke.decisions.stream_origins import StreamOrigin
from guavadyke.errors import ErrorCode, GuavadykeError
from guavadyke.filters.base import Answer
from guavadyke.filters.forward_admission import (
    AdmissionRefusedError,
    ServerAdmission,
)
from guavadyke.filters.forward_attempt import (
    ForwardAttempt,
    ForwardRequest,
    ForwardTools,
)
from guavadyke.filters.silence_check import SilenceCheck

# An attempt needs time for several round trips within a zone.
_MIN_ATTEMPT_S = 0.02
# Servers get the time that is left in whole milliseconds.
_DEADLINE_PRECISION_S = 0.002
# A body that is longer is taken for bytes without end.
_MAX_BODY_BYTES = 8_388_608
_OK = 200
_FIRST_SERVER_ERROR = 500
_UNRETURNED_HEADERS = CONNECTION_HEADERS | {'content-type', 'date', 'server'}


class Forwarder:
    """Forwards one request to the backend servers of its route.

    Args:
        request: the request.
        route: the route that the request matched.
        tools: settings, clock and services that all requests share.
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
        self._admission = ServerAdmission(request, route, tools)
        self._request_attempts = RequestAttempts(route)
        self._cancellation = CallCancellation()
        self._silence = SilenceCheck(
            request, tools, self._admission, self._request_attempts
        )
        self._event_parser = EventParser(request.last_event_id)
        self._started = False
        self._ended = False

    def answer(self) -> Answer:
        """Return the answer of a backend server.

        Raises:
            GuavadykeError: no server answered; the error tells whether
                the request may have run.
        """
        if self._route.kind is RouteKind.streamed:
            return self._start_stream()
        with self._watch_call():
            return self._receive_answer()

    def _receive_answer(self) -> Answer:
        while True:
            attempt = self._start_attempt()
            try:
                answer = attempt.send(self._silence.wait_longer_s)
                self._check_failure(answer)
                return _buffered_answer(answer, attempt)
            except BackendServerError as error:
                self._handle_failure(attempt, error)
            finally:
                attempt.close()

    def _start_stream(self) -> Answer:
        """Return a streamed answer, after its first event has arrived."""
        if self._request.last_event_id:
            self._admission.software = self._find_software()
        pieces = self._events()
        head = next(pieces)
        if isinstance(head, Answer):
            first = next(pieces, None)
            if isinstance(first, bytes):
                head.body = _chain_events(first, pieces)
            return head
        raise TypeError('the first piece of a stream must be its head')

    def _find_software(self) -> str:
        """Return the version that has begun the stream of the request.

        The stream goes on at the service where it began.

        Raises:
            GuavadykeError: ``stream_not_resumable``; it is not known, or the
                route does not use that service any more.
        """
        origin = self._tools.origins.find(
            self._admission.service, self._request.began_as
        )
        if origin.service not in self._route.services:
            raise self._give_up(
                ErrorCode.stream_not_resumable,
                f'stream {origin.stream_id} began at '
                f'{origin.service or "a service that is not known"}',
            )
        self._admission.service = origin.service
        return origin.software

    def _events(self) -> Generator[Answer | bytes]:
        """Yield the head of the answer, then complete events.

        A broken stream is resumed on another server after its last event.
        """
        with self._watch_call():
            while not self._ended:
                yield from self._run_attempt()

    def _run_attempt(self) -> Generator[Answer | bytes]:
        """Yield the output of one attempt."""
        attempt = self._start_attempt()
        try:
            yield from self._relay_events(attempt)
        except BackendServerError as error:
            self._event_parser = EventParser(self._event_parser.last_id)
            self._handle_failure(attempt, error)
        else:
            self._ended = True
        finally:
            attempt.close()

    def _relay_events(
        self,
        attempt: ForwardAttempt,
    ) -> Generator[Answer | bytes]:
        answer = attempt.send(
            self._silence.wait_longer_s, self._event_parser.last_id
        )
        self._check_failure(answer)
        if answer.status != _OK and not self._started:
            yield _buffered_answer(answer, attempt)
            return
        _check_stream_resumed(answer)
        for event in _parse_events(answer, self._event_parser):
            attempt.record_event()
            attempt.pace.hold()
            yield from self._yield_head_once(answer, attempt)
            yield event
            attempt.pace.record_event(self._tools.clock.monotonic())
        _check_has_event(self._event_parser)
        if self._request.deadline - self._tools.clock.monotonic() <= (
            _DEADLINE_PRECISION_S
        ):
            # The server stops at the deadline, maybe before its last event.
            raise self._give_up(
                ErrorCode.backend_silent, 'the stream ended at its deadline'
            )
        attempt.done()

    def _check_failure(self, answer: BackendAnswer) -> None:
        """Raise for a 5xx response if the request may run on another server.

        Raises:
            BackendServerError: the server failed.
        """
        if (
            answer.status >= _FIRST_SERVER_ERROR
            and self._request_attempts.may_retry_running
        ):
            answer.cancel()
            raise BackendServerError(
                BackendFault.broken,
                f'the server failed with status {answer.status}',
                not_run=False,
            )

    def _yield_head_once(
        self, answer: BackendAnswer, attempt: ForwardAttempt
    ) -> Generator[Answer]:
        """Yield the head of the answer before its first event."""
        if not self._started:
            self._started = True
            self._admission.software = attempt.software
            self._tools.origins.began(
                StreamOrigin(
                    self._request.stream_id,
                    self._admission.service,
                    attempt.software,
                )
            )
            yield _response_head(answer)

    def _start_attempt(self) -> ForwardAttempt:
        """Reserve a server and return the next attempt.

        Raises:
            GuavadykeError: too little time is left, no server is available
                or the queue of every server is too long.
        """
        remaining_s = self._check_time_left()
        lease = self._silence.take_reserved() or self._acquire(remaining_s)
        self._check_time_left(lease)
        attempts = self._request_attempts
        attempt = ForwardAttempt(
            self._request,
            self._route,
            lease,
            self._cancellation,
            self._tools,
            may_fail_over=attempts.may_retry_running
            and self._admission.has_any(
                attempts.failed | {lease.server.server_id}
            ),
        )
        self._silence.watch(attempt)
        return attempt

    def _check_time_left(self, lease: ServerLease | None = None) -> float:
        """Return the seconds until the deadline.

        Raises:
            GuavadykeError: too little time is left for an attempt; the lease
                has been released.
        """
        remaining_s = self._request.deadline - self._tools.clock.monotonic()
        if remaining_s >= _MIN_ATTEMPT_S:
            return remaining_s
        if lease is not None:
            self._tools.prompts.trials.not_run(lease)
            self._tools.pool.release(lease, BackendFault.refused)
        raise self._give_up(
            ErrorCode.deadline_exceeded,
            'too little time is left for an attempt',
        )

    def _acquire(self, remaining_s: float) -> ServerLease:
        """Reserve a server, one that was left for its silence if need be.

        Raises:
            GuavadykeError: no server is available or the queue of every
                server is too long.
        """
        attempts = self._request_attempts
        try:
            return self._admission.acquire_next(
                attempts,
                remaining_s,
                may_be_refused=not (self._started or attempts.possible_runs),
            )
        except AdmissionRefusedError as refusal:
            raise self._give_up(
                refusal.code, refusal.message, refusal.estimate_retry_s()
            ) from refusal

    def _handle_failure(
        self,
        attempt: ForwardAttempt,
        error: BackendServerError,
    ) -> None:
        """Record a failed attempt and return if another may follow.

        Raises:
            GuavadykeError: no further attempt is allowed.
        """
        error = attempt.cause(error)
        attempt.failed(error)
        self._request_attempts.add_failure(
            attempt.server_id,
            error.fault,
            not_run=error.not_run,
        )
        if attempt.left_silent:
            self._request_attempts.leave_silent(attempt.server_id)
        goes_on = (
            self._request_attempts.may_retry
            and not self._cancellation.cancelled
        )
        self._tools.logger.info(
            'attempt_failed',
            request_id=self._request.request_id,
            route=self._route.name,
            backend_server=attempt.server_id,
            fingerprint=self._request.fingerprint,
            prompt_parts=self._request.prompt_key,
            fault=error.fault.value,
            not_run=error.not_run,
            possible_runs=self._request_attempts.possible_runs,
            refusals=self._request_attempts.refusals,
            goes_on=goes_on,
            reason=error.message,
        )
        if not goes_on:
            raise self._give_up(None, error.message)

    def _give_up(
        self,
        preferred_code: ErrorCode | None,
        message: str,
        retry_in_s: float | None = None,
    ) -> GuavadykeError:
        late = self._tools.clock.monotonic() >= self._request.deadline
        if late:
            preferred_code = ErrorCode.backend_silent
        code = self._request_attempts.final_code(preferred_code)
        self._tools.metrics.increment(f'given_up_{code}')
        self._tools.logger.info(
            'request_given_up',
            request_id=self._request.request_id,
            route=self._route.name,
            code=code,
            possible_runs=self._request_attempts.possible_runs,
            refusals=self._request_attempts.refusals,
            abandoned=self._request.abandoned(),
            reason=message,
        )
        return GuavadykeError(
            code,
            message,
            retry_after_s=retry_after_s(code, retry_in_s),
        )

    @contextlib.contextmanager
    def _watch_call(self) -> Generator[None]:
        """Cancel the call when the caller leaves or the deadline passes.

        It moves to another server when its own has fallen silent.
        """
        with (
            contextlib.closing(self._silence),
            self._tools.watch.cancel_when_abandoned(
                lambda: self._request.is_over(self._tools.clock.monotonic()),
                self._cancellation,
                self._silence.check,
            ),
        ):
            yield


def _buffered_answer(answer: BackendAnswer, attempt: ForwardAttempt) -> Answer:
    """Return an answer with its whole body.

    Raises:
        BackendServerError: the body is broken or does not end.
    """
    body = read_body(answer, _MAX_BODY_BYTES)
    attempt.done()
    whole = _response_head(answer)
    whole.body = body
    return whole


def _response_head(answer: BackendAnswer) -> Answer:
    return Answer(
        status=answer.status,
        content_type=answer.headers.get('content-type', ''),
        headers={
            name.title(): text
            for name, text in answer.headers.items()
            if name not in _UNRETURNED_HEADERS
        },
    )


def _check_stream_resumed(answer: BackendAnswer) -> None:
    """Check that a server resumed a stream with status 200.

    Raises:
        BackendServerError: the response has another status.
    """
    if answer.status != _OK:
        answer.cancel()
        raise BackendServerError(
            BackendFault.broken,
            f'the stream was not resumed: status {answer.status}',
            not_run=False,
        )


def _check_has_event(event_parser: EventParser) -> None:
    """Check that a stream had at least one event.

    Raises:
        BackendServerError: the stream ended before its first event.
    """
    if not event_parser.last_id:
        raise BackendServerError(
            BackendFault.broken,
            'the stream ended before its first event',
            not_run=False,
            disconnected=True,
        )


def _parse_events(
    answer: BackendAnswer,
    event_parser: EventParser,
) -> Iterator[bytes]:
    """Yield complete events of a streamed response.

    Raises:
        BackendServerError: the stream ended within an event, or an event
            is out of order.
    """
    try:
        for piece in answer.chunks():
            for event in event_parser.feed(piece):
                yield event.raw
    except EventOrderError as error:
        answer.cancel()
        raise BackendServerError(
            BackendFault.broken,
            str(error),
            not_run=False,
        ) from error
    if event_parser.partial:
        raise BackendServerError(
            BackendFault.broken,
            'the stream ended within an event',
            not_run=False,
            disconnected=True,
        )


def _chain_events(
    first: bytes,
    rest: Generator[Answer | bytes],
) -> Generator[bytes]:
    """Yield all events; closing the generator ends the attempt."""
    with contextlib.closing(rest):
        yield first
        for piece in rest:
            if isinstance(piece, bytes):
                yield piece
