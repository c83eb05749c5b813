"""Retry budget, and the rules for when a retry is safe."""

from __future__ import annotations

import dataclasses

from guavadyke.adapters.ports import BackendFault

_INITIAL_BALANCE = 3.0
_MIN_RETRIES_PER_S = 1.0
_MAX_BALANCE = 10.0


@dataclasses.dataclass(frozen=True)
class FailedAttempt:
    """An attempt that ended without a complete answer.

    ``not_run`` is True only with proof that the request did not run.
    """

    fault: BackendFault
    not_run: bool


class RetryBudget:
    """Limits retries to a share of requests, to prevent retry storms.

    A request after an idle time earns more, so that a host with little
    traffic can still retry. The balance has a low maximum, so that a
    fault after a quiet time doesn't cause a retry storm either.

    Args:
        ratio: retries earned by each request.
    """

    def __init__(self, ratio: float) -> None:
        self._ratio = ratio
        self._balance = _INITIAL_BALANCE
        self._last_request_at: float | None = None

    def note_request(self, now: float) -> None:
        """Add to the budget what a request earns."""
        idle_s = (
            0
            if self._last_request_at is None
            else max(0, now - self._last_request_at)
        )
        self._last_request_at = now
        earned = max(self._ratio, idle_s * _MIN_RETRIES_PER_S)
        self._balance = min(_MAX_BALANCE, self._balance + earned)

    def try_spend(self) -> bool:
        """Spend one retry; False where the budget is used up."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True

    def refund(self) -> None:
        """Give back one retry that was spent."""
        self._balance = min(_MAX_BALANCE, self._balance + 1)


def is_safe_to_retry(failed: FailedAttempt, *, idempotent: bool) -> bool:
    """Return whether it is safe to send the request again.

    It is where the request did not run or is idempotent.
    """
    return failed.not_run or idempotent


def is_charged_to_budget(failed: FailedAttempt) -> bool:
    """Return whether a retry of this attempt is charged to the budget.

    An attempt that reached no server put no load on any of them, so its
    retry is free.
    """
    return failed.fault is not BackendFault.not_reached
