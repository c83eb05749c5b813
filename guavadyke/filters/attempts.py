"""Attempts at one request, until it has its answer or may not go on."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager
from typing import TypeVar

from guavadyke.adapters.ports import (
    BackendAnswer,
    BackendCall,
    BackendFault,
    BackendServerError,
)
from guavadyke.decisions.retries import FailedAttempt
from guavadyke.decisions.slot import Slot
from guavadyke.errors import ErrorCode, Finding, GuavadykeError, RunStatus
from guavadyke.filters.backend_request import AttemptTools, SlotSource, Work

_LEAST_TIMEOUT_S = 0.05
_SHOWN_BYTES = 2000
_REFUSALS = frozenset((408, 425, 429))
_FAILURE_STATUS = 500
_REJECTION_STATUS = 400

Piece = TypeVar('Piece')


class PreemptedError(Exception):
    """Online requests needed the slot of a batch item."""


class Attempts:
    """Attempts at one request.

    Args:
        work: the request.
        source: gives a slot for each attempt.
        tools: what attempts share.
    """

    def __init__(
        self, work: Work, source: SlotSource, tools: AttemptTools
    ) -> None:
        self._work = work
        self._source = source
        self._tools = tools
        self._number = 0
        self._excluded: frozenset[str] = frozenset()
        self._maybe_ran = False

    @property
    def maybe_ran(self) -> bool:
        """Whether an attempt may have run, or has."""
        return self._maybe_ran

    def run(
        self,
        once: Callable[[Slot], Iterator[Piece]],
    ) -> Iterator[Piece]:
        """Yield what one attempt after the other gives.

        Args:
            once: makes one attempt with the slot that it is given.

        Raises:
            GuavadykeError: there is no answer.
            PreemptedError: the slot was needed by online requests.
        """
        self._tools.retries.note_request()
        while True:
            slot = self._slot()
            fault: BackendFault | None = None
            try:
                yield from once(slot)
            except BackendServerError as error:
                if not slot.cancellation.cancelled:
                    fault = error.fault
                self._failed(slot, error)
            except GeneratorExit:
                slot.cancellation.cancel()
                raise
            else:
                return
            finally:
                self._tools.capacity.release(slot, fault)

    def watched(self, slot: Slot) -> AbstractContextManager[None]:
        """Watch over a call, which ends when nobody waits for it."""
        work = self._work
        abandoned = bool if work.kept else work.abandoned
        return self._tools.watch.over(abandoned, slot.cancellation)

    def send(self, slot: Slot, body: bytes, *, whole: bool) -> BackendAnswer:
        """Send the request once.

        Args:
            slot: names the server.
            body: body of this attempt.
            whole: whether the head comes only when all is done.

        Raises:
            BackendServerError: there is no answer.
        """
        call = self._call(slot, body, whole=whole)
        if self._tools.clock.monotonic() >= self._work.deadline:
            raise self._late()
        self._tools.metrics.count('attempts')
        try:
            answer = self._tools.servers.send(call)
        except BackendServerError as error:
            self._maybe_ran = self._maybe_ran or not error.not_run
            raise
        self._maybe_ran = True
        return answer

    def _slot(self) -> Slot:
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

    def _late(self) -> GuavadykeError:
        """Return the error of a host that was held up before it sent."""
        run = RunStatus.unknown if self._maybe_ran else RunStatus.not_run
        return GuavadykeError(
            ErrorCode.deadline_exceeded,
            'the deadline passed before the request was sent',
            run=run,
        )

    def _failed(self, slot: Slot, error: BackendServerError) -> None:
        """Return where another attempt may follow.

        Raises:
            GuavadykeError: it may not.
            PreemptedError: the slot was needed by online requests.
        """
        self._tools.logger.warning(
            'attempt_failed',
            request_id=self._work.request_id,
            backend_server=slot.view.server_id,
            fault=error.fault.value,
            not_run=error.not_run,
            reason=error.message,
        )
        if slot.preempted:
            raise PreemptedError from error
        self._excluded |= {slot.view.server_id}
        self._number += 1
        failed = FailedAttempt(error.fault, error.not_run)
        gone = self._work.abandoned() and not self._work.kept
        if gone or not self._tools.retries.allows(
            failed,
            self._number,
            idempotent=self._work.idempotent,
        ):
            raise self._error(error) from error
        self._tools.metrics.count('retries')

    def _error(self, error: BackendServerError) -> GuavadykeError:
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

    def _call(self, slot: Slot, body: bytes, *, whole: bool) -> BackendCall:
        work = self._work
        settings = self._tools.settings
        left_s = work.deadline - self._tools.clock.monotonic()
        first_s = left_s if whole else settings.first_byte_timeout_s
        number = f'.{self._number}' if self._number else ''
        return BackendCall(
            request_id=f'{work.request_id}{number}',
            address=slot.view.address,
            method=work.method,
            path=work.path,
            headers=work.headers,
            body=body,
            connect_timeout_s=settings.connect_timeout_s,
            first_byte_timeout_s=max(_LEAST_TIMEOUT_S, first_s),
            gap_timeout_s=settings.gap_timeout_s,
            fresh=bool(self._number) or not work.idempotent,
            cancellation=slot.cancellation,
        )


def check_status(answer: BackendAnswer) -> None:
    """Check the status of an engine's answer.

    Raises:
        BackendServerError: the engine did not take the request.
        GuavadykeError: ``backend_rejected``, the engine's final word.
    """
    status = answer.status
    if status < _REJECTION_STATUS:
        return
    shown = b''.join(answer.chunks())[:_SHOWN_BYTES]
    text = shown.decode(errors='replace')
    if status >= _FAILURE_STATUS or status in _REFUSALS:
        raise BackendServerError(
            BackendFault.refused,
            f'the backend server answered {status}',
            not_run=False,
        )
    raise GuavadykeError(
        ErrorCode.backend_rejected,
        f'the backend server answered {status}',
        findings=(Finding('body', text),),
    )
