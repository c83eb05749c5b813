"""Delays that grow with each failure in a row."""

from __future__ import annotations

import dataclasses

_FACTOR = 2
_MAX_DOUBLINGS = 16


@dataclasses.dataclass(frozen=True)
class Failures:
    """Failures in a row: their number, and when the next try is due."""

    count: int
    due_at: float


class GrowingDelays:
    """Says which of several tasks may be tried again after failures.

    The delay of a task doubles with each failure until it has succeeded.
    Tasks are told apart by key. Calls for one key must not overlap.

    Args:
        first_s: seconds of the first delay.
        longest_s: seconds of the longest delay.
    """

    def __init__(self, first_s: float, longest_s: float) -> None:
        self._first_s = first_s
        self._longest_s = longest_s
        self._failures: dict[str, Failures] = {}

    def is_due(self, key: str, now: float) -> bool:
        """Return whether a task may be tried."""
        failures = self._failures.get(key)
        return failures is None or now >= failures.due_at

    def failed(self, key: str, now: float) -> Failures:
        """Record a failure and return all failures in a row."""
        known = self._failures.get(key)
        count = known.count if known else 0
        delay_s = self._first_s * _FACTOR ** min(count, _MAX_DOUBLINGS)
        failures = Failures(count + 1, now + min(self._longest_s, delay_s))
        self._failures[key] = failures
        return failures

    def succeeded(self, key: str) -> None:
        """Record a success, or that a task is no more."""
        self._failures.pop(key, None)
