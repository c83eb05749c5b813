"""Sends one request to backend servers, with retries."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager
from typing import TypeVar

from guavadyke.adapters.answer_bodies import read_body
from guavadyke.adapters.ports import (
    BackendAnswer,
    BackendCall,
    BackendFault,
    BackendServerError,
)
from guavadyke.decisions.retries import FailedAttempt
from guavadyke.decisions.slot import Slot
from guavadyke.errors import ErrorCode, Finding, GuavadykeError, RunStatus
from guavadyke.filters.attempt_silence import AnswerProgress, AttemptSilence
from guavadyke.filters.backend_request import (
    AttemptTools,
    BackendRequest,
    SlotSource,
)

_MIN_TIMEOUT_S = 0.05
_MAX_EXCERPT_BYTES = 2000
_MAX_ERROR_BYTES = 1_048_576
_RETRYABLE_STATUSES = frozenset((408, 425, 429))
_FIRST_SERVER_ERROR = 500
_FIRST_CLIENT_ERROR = 400
_SUCCESS_STATUSES = range(200, 300)

Piece = TypeVar('Piece')


class PreemptedError(Exception):
    """A batch item was cancelled to free its slot for online requests."""


class Attempts:
    """Successive attempts at one request, each on its own slot.

    Args:
        request: the request to send.
        source: provides a backend server slot for each attempt.
        tools: settings, clock and services that all attempts share.
        progress: what the answer has brought so far.
    """

    def __init__(
        self,
        request: BackendRequest,
        source: SlotSource,
        tools: AttemptTools,
        progress: AnswerProgress,
    ) -> None:
        self._request = request
        self._source = source
        self._tools = tools
        self._failed_attempts = 0
        self._excluded: frozenset[str] = frozenset()
        self._maybe_ran = False
        self._silence = AttemptSilence(request, source, tools, progress)

    @property
    def maybe_ran(self) -> bool:
        """Whether a backend server may have run the request."""
        return self._maybe_ran

    def run(
        self,
        make_attempt: Callable[[Slot], Iterator[Piece]],
    ) -> Iterator[Piece]:
        """Make attempts until one succeeds, and yield their output.

        Output of a failed attempt has already been yielded by then, so a
        streaming ``make_attempt`` has to continue where it stopped.

        Args:
            make_attempt: makes one attempt on the given slot.

        Raises:
            GuavadykeError: the request failed and may not be retried.
            PreemptedError: the slot was needed by online requests.
        """
        self._tools.retries.note_request()
        try:
            yield from self._run(make_attempt)
        finally:
            self._silence.close()

    def watch_call(self, slot: Slot) -> AbstractContextManager[None]:
        """Cancel the call on the slot once nobody waits for the answer.

        A request that completes if abandoned is not cancelled.
        """
        request = self._request
        abandoned = (
            bool if request.completes_if_abandoned else request.abandoned
        )
        return self._tools.watch.cancel_when_abandoned(
            abandoned, slot.cancellation, self._silence.check
        )

    def send(self, slot: Slot, body: bytes, *, whole: bool) -> BackendAnswer:
        """Send the request to the slot's backend server.

        Args:
            slot: slot at the server to use.
            body: request body of this attempt.
            whole: whether the server sends the response head only after it
                has finished; the first byte may then take until the
                deadline.

        Raises:
            BackendServerError: the server sent no response.
            GuavadykeError: ``deadline_exceeded``; nothing was sent.
        """
        call = self._build_call(slot, body, whole=whole)
        if self._tools.clock.monotonic() >= self._request.deadline:
            raise self._deadline_error()
        self._tools.metrics.increment('attempts')
        self._silence.begin(
            slot,
            self._excluded,
            self._failed_attempts + 1,
            streamed=not whole,
        )
        try:
            answer = self._tools.servers.send(call)
        except BackendServerError as error:
            self._maybe_ran = self._maybe_ran or not error.not_run
            raise
        self._maybe_ran = True
        self._silence.answered(answer)
        return answer

    def hold(self) -> AbstractContextManager[None]:
        """Don't take the time in the block for silence of the server.

        In it the caller takes an event, which has become whole.
        """
        return self._silence.hold()

    def _run(
        self,
        make_attempt: Callable[[Slot], Iterator[Piece]],
    ) -> Iterator[Piece]:
        while True:
            slot = self._acquire_slot()
            fault: BackendFault | None = None
            try:
                yield from make_attempt(slot)
            except BackendServerError as error:
                failure = self._silence.end(error)
                cancelled = slot.cancellation.cancelled
                fault = None if cancelled else failure.fault
                self._handle_failure(slot, failure)
            except GeneratorExit:
                slot.cancellation.cancel()
                raise
            else:
                return
            finally:
                self._tools.capacity.release(slot, fault)

    def _acquire_slot(self) -> Slot:
        reserved = self._silence.take_reserved()
        if reserved is not None:
            return reserved
        try:
            return self._source.acquire(self._excluded)
        except GuavadykeError as error:
            if not self._maybe_ran:
                raise
            raise GuavadykeError(
                error.code,
                error.message,
                run=RunStatus.unknown,
                retry_after_s=error.retry_after_s,
            ) from error

    def _deadline_error(self) -> GuavadykeError:
        """Return the error for a deadline that passed before sending."""
        run = RunStatus.unknown if self._maybe_ran else RunStatus.not_run
        return GuavadykeError(
            ErrorCode.deadline_exceeded,
            'the deadline passed before the request was sent',
            run=run,
        )

    def _handle_failure(self, slot: Slot, error: BackendServerError) -> None:
        """Record a failed attempt and return if a retry is allowed.

        Raises:
            GuavadykeError: no retry is allowed.
            PreemptedError: the slot was needed by online requests.
        """
        self._tools.logger.warning(
            'attempt_failed',
            request_id=self._request.request_id,
            backend_server=slot.view.server_id,
            fault=error.fault.value,
            not_run=error.not_run,
            reason=error.message,
        )
        if slot.preempted:
            raise PreemptedError from error
        self._excluded |= {slot.view.server_id}
        self._failed_attempts += 1
        if not self._may_retry(error):
            raise self._final_error(error) from error
        self._tools.metrics.increment('retries')

    def _may_retry(self, error: BackendServerError) -> bool:
        """Return whether a retry is allowed, and charge it to the budget.

        One for which a slot is reserved has been charged already.
        """
        request = self._request
        if request.abandoned() and not request.completes_if_abandoned:
            return False
        if self._silence.has_reserved:
            return True
        is_silent = error.fault is BackendFault.silent
        if is_silent and self._tools.clock.monotonic() >= request.deadline:
            return False
        return self._tools.retries.allows(
            FailedAttempt(error.fault, error.not_run),
            self._failed_attempts,
            idempotent=request.idempotent,
        )

    def _final_error(self, error: BackendServerError) -> GuavadykeError:
        if not self._maybe_ran:
            return GuavadykeError(
                ErrorCode.no_backend_server,
                'no backend server could be reached',
                retry_after_s=1,
            )
        code = ErrorCode.backend_failed
        if error.fault is BackendFault.silent:
            code = ErrorCode.backend_silent
        return GuavadykeError(code, error.message, run=RunStatus.unknown)

    def _build_call(
        self,
        slot: Slot,
        body: bytes,
        *,
        whole: bool,
    ) -> BackendCall:
        request = self._request
        settings = self._tools.settings
        remaining_s = request.deadline - self._tools.clock.monotonic()
        first_byte_s = (
            remaining_s
            if whole
            else min(remaining_s, settings.first_byte_timeout_s)
        )
        number = f'.{self._failed_attempts}' if self._failed_attempts else ''
        return BackendCall(
            request_id=f'{request.request_id}{number}',
            address=slot.view.address,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=body,
            connect_timeout_s=settings.connect_timeout_s,
            first_byte_timeout_s=max(_MIN_TIMEOUT_S, first_byte_s),
            gap_timeout_s=max(_MIN_TIMEOUT_S, remaining_s),
            fresh=bool(self._failed_attempts) or not request.idempotent,
            cancellation=slot.cancellation,
            observe_data=self._silence.record_data,
            wait_longer_s=self._silence.wait_longer_s,
        )


def check_status(answer: BackendAnswer) -> None:
    """Check the HTTP status of a backend server's response.

    Raises:
        BackendServerError: a failure that another server may not have:
            3xx, 5xx, 408, 425 or 429; or the body does not end.
        GuavadykeError: ``backend_rejected``; any other 4xx is final.
    """
    status = answer.status
    if status in _SUCCESS_STATUSES:
        return
    excerpt = read_body(answer, _MAX_ERROR_BYTES)[:_MAX_EXCERPT_BYTES]
    text = excerpt.decode(errors='replace')
    if (
        status < _FIRST_CLIENT_ERROR
        or status >= _FIRST_SERVER_ERROR
        or status in _RETRYABLE_STATUSES
    ):
        raise BackendServerError(
            BackendFault.refused,
            f'the backend server responded with HTTP {status}',
            not_run=False,
        )
    raise GuavadykeError(
        ErrorCode.backend_rejected,
        f'the backend server responded with HTTP {status}',
        findings=(Finding('body', text),),
    )
