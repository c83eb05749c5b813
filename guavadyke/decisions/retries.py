"""Retries: when another attempt is allowed, and how many there may be."""

from __future__ import annotations

import dataclasses

from guavadyke.adapters.ports import BackendFault

_FIRST_BALANCE = 3.0
_LEAST_PER_S = 1.0
_MOST_SAVED = 10.0


@dataclasses.dataclass(frozen=True)
class FailedAttempt:
    """An attempt that brought no whole answer.

    ``not_run`` is True only with proof that the request did not run.
    """

    fault: BackendFault
    not_run: bool


class RetryBudget:
    """Allows retries as a share of requests, so that faults bring no storm.

    A request after a pause earns more, so that a host with little traffic
    may still retry; little is saved, so that a fault after a quiet time
    brings no storm either.

    Args:
        ratio: retries allowed for each request.
    """

    def __init__(self, ratio: float) -> None:
        self._ratio = ratio
        self._balance = _FIRST_BALANCE
        self._at: float | None = None

    def note_request(self, now: float) -> None:
        """Count a request."""
        pause_s = 0 if self._at is None else max(0, now - self._at)
        self._at = now
        earned = max(self._ratio, pause_s * _LEAST_PER_S)
        self._balance = min(_MOST_SAVED, self._balance + earned)

    def take(self) -> bool:
        """Take one retry from the budget; False where it is used up."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


def is_safe_to_retry(failed: FailedAttempt, *, idempotent: bool) -> bool:
    """Return whether sending the request again can do no harm."""
    return failed.not_run or idempotent


def is_charged_to_budget(failed: FailedAttempt) -> bool:
    """Return whether a retry after this adds load that a budget bounds.

    An attempt that reached no server has cost none of them anything.
    """
    return failed.fault is not BackendFault.not_reached
