"""Moves a request from a server that has fallen silent."""

from __future__ import annotations

import threading

from guavadyke.adapters.ports import BackendFault
from guavadyke.decisions.common_pause import CommonPause
from guavadyke.decisions.request_attempts import RequestAttempts
from guavadyke.decisions.server_registry import ServerLease
from guavadyke.filters.forward_admission import (
    AdmissionRefusedError,
    ServerAdmission,
)
from guavadyke.filters.forward_attempt import (
    ForwardAttempt,
    ForwardRequest,
    ForwardTools,
)

# How much longer a server is waited for while all others are silent too.
_PAUSE_FACTOR = 1.5
# Time until a server is looked for again where there was none.
_RETRY_S = 0.5
# The same for a request that has got no answer yet.
_FIRST_BYTE_RETRY_S = 0.25


class SilenceCheck:
    """Decides when an attempt has waited too long for the next data.

    Silence alone ends no attempt: it is left only once another server
    has been reserved for the next one. While all other servers are silent as
    well, the whole service may pause, and nothing is gained by moving soon.

    Args:
        request: the request.
        tools: settings, clock and services that all requests share.
        admission: reserves the server of the next attempt.
        attempts: the failed attempts, which tell if there may be another.
    """

    def __init__(
        self,
        request: ForwardRequest,
        tools: ForwardTools,
        admission: ServerAdmission,
        attempts: RequestAttempts,
    ) -> None:
        self._request = request
        self._tools = tools
        self._admission = admission
        self._attempts = attempts
        self._lock = threading.Lock()
        self._attempt: ForwardAttempt | None = None
        self._reserved: ServerLease | None = None
        self._retry_at = float('-inf')
        self._pause = CommonPause(tools.settings.silence_s / 2)
        self._kept_is_logged = False

    def watch(self, attempt: ForwardAttempt) -> None:
        """Check this attempt from now on."""
        with self._lock:
            self._attempt = attempt
            self._kept_is_logged = False

    def take_reserved(self) -> ServerLease | None:
        """Return the lease for the next attempt, None without a reserved one.

        The attempt before is not checked any more.
        """
        with self._lock:
            self._attempt = None
            reserved = self._reserved
            self._reserved = None
        return reserved

    def check(self) -> None:
        """Leave the attempt if its server is silent and another one is not.

        Runs in the thread that watches all calls.
        """
        if not self._attempts.may_retry_running:
            return
        with self._lock:
            attempt = self._attempt
            if attempt is None or self._reserved or not self._is_due(attempt):
                return
            self._reserved = self._reserve_next(attempt)
            if self._reserved is not None:
                attempt.leave_silent()

    def wait_longer_s(self) -> float:
        """Return for how long to wait on for the first byte of an answer.

        Runs in the thread of the request. Returns 0 seconds once the deadline
        has passed or another server has been reserved.
        """
        with self._lock:
            attempt = self._attempt
            if attempt is None or not self._attempts.may_retry_running:
                return self._remaining_s()
            self._reserved = self._reserve_next(attempt)
            if self._reserved is None:
                return min(_FIRST_BYTE_RETRY_S, self._remaining_s())
            attempt.leave_silent()
        return 0

    def close(self) -> None:
        """Check nothing more, and release a lease that was not needed."""
        reserved = self.take_reserved()
        if reserved is not None:
            self._tools.pool.release(reserved, BackendFault.refused)

    def _reserve_next(self, attempt: ForwardAttempt) -> ServerLease | None:
        """Reserve a server for the next attempt, None if none takes it."""
        try:
            return self._admission.acquire(
                self._attempts.failed | {attempt.server_id},
                self._remaining_s(),
            )
        except AdmissionRefusedError as refusal:
            self._retry_at = self._tools.clock.monotonic() + _RETRY_S
            self._log_kept(attempt, refusal.message)
            return None

    def _log_kept(self, attempt: ForwardAttempt, reason: str) -> None:
        """Log once for each attempt why it stays where it is."""
        if self._kept_is_logged:
            return
        self._kept_is_logged = True
        self._tools.logger.info(
            'silent_server_kept',
            request_id=self._request.request_id,
            backend_server=attempt.server_id,
            silent_in_answer_s=round(
                attempt.silent_s(self._tools.clock.monotonic()), 3
            ),
            reason=reason,
        )

    def _remaining_s(self) -> float:
        """Return the seconds until the deadline, 0 once it has passed."""
        now = self._tools.clock.monotonic()
        return max(0, self._request.deadline - now)

    def _is_due(self, attempt: ForwardAttempt) -> bool:
        silence_s = self._tools.settings.silence_s
        now = self._tools.clock.monotonic()
        silent_s = attempt.silent_s(now)
        if silent_s < silence_s or now < self._retry_at:
            return False
        if silent_s >= _PAUSE_FACTOR * silence_s:
            return True
        return self._pause.is_over(
            now,
            all_silent=self._tools.pool.others.all_silent(
                attempt.server_id, silence_s / 2
            ),
        )
