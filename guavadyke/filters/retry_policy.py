"""The retry budget for the request threads of one host."""

from __future__ import annotations

import threading

from guavadyke.adapters.ports import Clock
from guavadyke.decisions.retries import (
    FailedAttempt,
    RetryBudget,
    is_charged_to_budget,
    is_safe_to_retry,
)

_MOST_ATTEMPTS = 4


class RetryPolicy:
    """Decides whether a request gets another attempt.

    Args:
        ratio: retries allowed as a share of requests.
        clock: gives the time.
    """

    def __init__(self, ratio: float, clock: Clock) -> None:
        self._budget = RetryBudget(ratio)
        self._clock = clock
        self._lock = threading.Lock()

    def note_request(self) -> None:
        """Count a request."""
        with self._lock:
            self._budget.note_request(self._clock.monotonic())

    def allows(
        self,
        failed: FailedAttempt,
        attempts: int,
        *,
        idempotent: bool,
    ) -> bool:
        """Return whether another attempt may follow a failed one."""
        if attempts >= _MOST_ATTEMPTS:
            return False
        if not is_safe_to_retry(failed, idempotent=idempotent):
            return False
        if not is_charged_to_budget(failed):
            return True
        with self._lock:
            return self._budget.take()
