"""Retry decisions for the request threads of one host."""

from __future__ import annotations

import threading

from guavadyke.adapters.ports import Clock
from guavadyke.decisions.retries import (
    FailedAttempt,
    RetryBudget,
    is_charged_to_budget,
    is_safe_to_retry,
)

_MAX_ATTEMPTS = 4


class RetryPolicy:
    """Decides whether a request may be retried; thread-safe.

    Retries that load a server again are charged to a retry budget.

    Args:
        ratio: retries allowed per request.
        clock: source of the time.
    """

    def __init__(self, ratio: float, clock: Clock) -> None:
        self._budget = RetryBudget(ratio)
        self._clock = clock
        self._lock = threading.Lock()

    def note_request(self) -> None:
        """Count a request towards the retry budget."""
        with self._lock:
            self._budget.note_request(self._clock.monotonic())

    def allows(
        self,
        failed: FailedAttempt,
        attempts: int,
        *,
        idempotent: bool,
    ) -> bool:
        """Return whether the request may be retried.

        Args:
            failed: the latest failed attempt.
            attempts: number of attempts so far.
            idempotent: whether the request may run more than once.
        """
        if attempts >= _MAX_ATTEMPTS:
            return False
        if not is_safe_to_retry(failed, idempotent=idempotent):
            return False
        if not is_charged_to_budget(failed):
            return True
        with self._lock:
            return self._budget.try_spend()

    def refund(self) -> None:
        """Give back what a retry was charged that is not made."""
        with self._lock:
            self._budget.refund()
