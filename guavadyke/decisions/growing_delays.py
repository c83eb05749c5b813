"""Delays that grow with each failure in a row."""

from __future__ import annotations

import dataclasses

_FACTOR = 2
_MAX_DOUBLINGS = 16


@dataclasses.dataclass(frozen=True)
class Failures:
    """Failures in a row: their number, the times of the first and the last.

    The next try is due at ``due_at``.
    """

    count: int
    since: float
    last_at: float
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
        known = self._failures.get(key) or Failures(0, now, now, now)
        delay_s = self._first_s * _FACTOR ** min(known.count, _MAX_DOUBLINGS)
        failures = Failures(
            known.count + 1,
            known.since,
            now,
            now + min(self._longest_s, delay_s),
        )
        self._failures[key] = failures
        return failures

    def in_a_row(self) -> dict[str, Failures]:
        """Return the failures of the tasks that have failed last."""
        return self._failures.copy()

    def succeeded(self, key: str) -> None:
        """Record a success, or that a task is no more."""
        self._failures.pop(key, None)
