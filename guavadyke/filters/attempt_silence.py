"""Moves an attempt at a request from a server that has fallen silent."""

from __future__ import annotations

import contextlib
import threading
from collections.abc import Generator
from typing import Protocol

from guavadyke.adapters.ports import (
    BackendAnswer,
    BackendFault,
    BackendServerError,
)
from guavadyke.decisions.answer_pace import AnswerPace
from guavadyke.decisions.retries import FailedAttempt
from guavadyke.decisions.slot import Slot
from guavadyke.filters.backend_request import (
    AttemptTools,
    BackendRequest,
    SlotSource,
)

# Time until a slot is looked for again where there was none.
_RETRY_S = 0.5
_SILENT = FailedAttempt(BackendFault.silent, not_run=False)


class AnswerProgress(Protocol):
    """What an answer has brought so far; read from any thread."""

    @property
    def may_continue(self) -> bool:
        """Whether another server can go on with the answer, or repeat it."""
        ...

    @property
    def lacks_only_end(self) -> bool:
        """Whether the answer can be completed without a server."""
        ...


class UnseenAnswer:
    """Progress of an answer of which the caller has got nothing."""

    may_continue = True
    lacks_only_end = False


class AttemptSilence:
    """Decides when an attempt has waited too long for the next data.

    Silence alone ends no attempt before the deadline: it is left only if a
    retry is allowed and a slot at another server has been reserved for it, or
    if its answer needs no server any more. A server that is silent gets no new
    requests while there are others.

    Args:
        request: the request.
        source: provides the slot of the next attempt.
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
        self._progress = progress
        self._lock = threading.Lock()
        self._slot: Slot | None = None
        self._failed: frozenset[str] = frozenset()
        self._attempts = 0
        self._answer: BackendAnswer | None = None
        self._pace = AnswerPace(0, streamed=False)
        self._retry_at = float('-inf')
        self._left = False
        self._is_kept = False
        self._reserved: Slot | None = None

    @property
    def has_reserved(self) -> bool:
        """Whether a slot is reserved for the next attempt."""
        return self._reserved is not None

    def begin(
        self,
        slot: Slot,
        failed: frozenset[str],
        attempts: int,
        *,
        streamed: bool,
    ) -> None:
        """Check the attempt on this slot from now on.

        Args:
            slot: slot of the attempt.
            failed: ids of the servers of earlier attempts.
            attempts: number of attempts, with this one.
            streamed: whether its answer is a stream of events.
        """
        now = self._tools.clock.monotonic()
        with self._lock:
            self._pace = AnswerPace(now, streamed=streamed)
            self._slot = slot
            self._failed = failed
            self._attempts = attempts
            self._left = False
            self._is_kept = False

    def answered(self, answer: BackendAnswer) -> None:
        """Record that the answer has begun."""
        self.record_event()
        with self._lock:
            self._answer = answer

    def record_data(self, count: int) -> None:
        """Record that so many bytes of the answer have arrived."""
        self._pace.record_bytes(count, self._tools.clock.monotonic())

    def record_event(self) -> None:
        """Record that the answer has begun or an event has become whole."""
        self._pace.record_event(self._tools.clock.monotonic())

    @contextlib.contextmanager
    def hold(self) -> Generator[None]:
        """Don't count the time in which the caller takes an event."""
        self._pace.hold()
        try:
            yield
        finally:
            self.record_event()

    def end(self, error: BackendServerError) -> BackendServerError:
        """Check the attempt no more; return why it failed."""
        with self._lock:
            slot = self._slot
            self._forget_attempt()
            if slot is None or not self._left:
                return error
        return BackendServerError(
            BackendFault.silent,
            f'{slot.view.address} fell silent',
            not_run=False,
        )

    def take_reserved(self) -> Slot | None:
        """Return the slot for the next attempt, None without a reserved one."""
        with self._lock:
            reserved = self._reserved
            self._reserved = None
        return reserved

    def close(self) -> None:
        """Check nothing more, and release a slot that was not needed."""
        with self._lock:
            self._forget_attempt()
        reserved = self.take_reserved()
        if reserved is not None:
            # A cancelled call tells nothing about its server.
            reserved.cancellation.cancel()
            self._tools.capacity.release(reserved)
            self._tools.retries.refund()

    def check(self) -> None:
        """Leave an answer that has begun if that is due.

        Runs in the thread that watches all calls.
        """
        with self._lock:
            answer = self._answer
            now = self._tools.clock.monotonic()
            silent_s = self._pace.idle_s(now)
            if answer is None or self._left:
                return
            if silent_s < self._tools.settings.gap_timeout_s:
                return
            if self._may_leave(now):
                self._left = True
                answer.cancel()

    def wait_longer_s(self) -> float:
        """Return for how many seconds more to wait for the first byte.

        Runs in the thread of the request. Returns 0 if the attempt is left.
        """
        with self._lock:
            now = self._tools.clock.monotonic()
            remaining_s = self._request.deadline - now
            if remaining_s <= 0 or self._reserve_next():
                self._left = True
                return 0
            return min(_RETRY_S, remaining_s)

    def _may_leave(self, now: float) -> bool:
        if now >= self._request.deadline or self._progress.lacks_only_end:
            return True
        if now < self._retry_at:
            return False
        self._retry_at = now + _RETRY_S
        return self._reserve_next()

    def _reserve_next(self) -> bool:
        """Reserve a slot for the next attempt; return whether there is one."""
        slot = self._slot
        if slot is None:
            return False
        retries = self._tools.retries
        if self._progress.may_continue and retries.allows(
            _SILENT, self._attempts, idempotent=self._request.idempotent
        ):
            self._reserved = self._source.reserve(
                self._failed | {slot.view.server_id}
            )
            if self._reserved is not None:
                return True
            retries.refund()
        self._keep(slot)
        return False

    def _keep(self, slot: Slot) -> None:
        """Send no new requests to the server, and log it once."""
        if self._is_kept:
            return
        self._is_kept = True
        now = self._tools.clock.monotonic()
        silent_s = self._pace.idle_s(now) if self._answer else 0
        with self._tools.capacity.locked() as scheduler:
            scheduler.report_silence(slot, now)
        self._tools.logger.info(
            'silent_server_kept',
            request_id=self._request.request_id,
            backend_server=slot.view.server_id,
            silent_in_answer_s=round(silent_s, 3),
        )

    def _forget_attempt(self) -> None:
        self._slot = None
        self._answer = None
