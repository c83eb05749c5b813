"""Retries: when another attempt is allowed, and how many there may be."""

from __future__ import annotations

import dataclasses

from guavadyke.adapters.ports import BackendFault

_FLOOR = 3.0
_FLOOR_PER_S = 1.0
_MOST_SAVED = 200.0


@dataclasses.dataclass(frozen=True)
class FailedAttempt:
    """An attempt that brought no whole answer.

    ``not_run`` is True only with proof that the request did not run.
    """

    fault: BackendFault
    not_run: bool


class RetryBudget:
    """Allows retries as a share of requests, so that faults bring no storm.

    A host with little traffic may still retry a few times: the balance
    grows by one each second up to a small floor.

    Args:
        ratio: retries allowed for each request.
    """

    def __init__(self, ratio: float) -> None:
        self._ratio = ratio
        self._balance = _FLOOR
        self._at: float | None = None

    def note_request(self, now: float) -> None:
        """Count a request."""
        self._grow(now)
        self._balance = min(_MOST_SAVED, self._balance + self._ratio)

    def take(self, now: float) -> bool:
        """Take one retry from the budget; False where it is used up."""
        self._grow(now)
        if self._balance < 1:
            return False
        self._balance -= 1
        return True

    def _grow(self, now: float) -> None:
        if self._at is not None and self._balance < _FLOOR:
            elapsed_s = max(0, now - self._at)
            grown = self._balance + elapsed_s * _FLOOR_PER_S
            self._balance = min(_FLOOR, grown)
        self._at = now


def may_repeat(failed: FailedAttempt, *, idempotent: bool) -> bool:
    """Return whether sending the request again can do no harm."""
    return failed.not_run or idempotent


def loads_server(failed: FailedAttempt) -> bool:
    """Return whether a retry after this adds load that a budget bounds.

    An attempt that reached no server has cost none of them anything.
    """
    return failed.fault is not BackendFault.not_reached
