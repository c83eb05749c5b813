"""Selects the request counts to announce to other hosts."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Generic, TypeVar

_REPEAT_INTERVAL_S = 0.5

Count = TypeVar('Count')


class CountChanges(Generic[Count]):
    """Selects changed counts, and at intervals all of them.

    Announcements may be lost, so unchanged counts are repeated.

    Args:
        zero_count: returns the zero count for the id of a backend server.
    """

    def __init__(self, zero_count: Callable[[str], Count]) -> None:
        self._zero_count = zero_count
        self._last_counts: dict[str, Count] = {}
        self._repeated_at: float | None = None

    def due(self, counts: Mapping[str, Count], now: float) -> dict[str, Count]:
        """Return the counts to announce now, by backend server.

        A server that is gone from ``counts`` is announced once, with its
        zero count.

        Args:
            counts: current counts by the id of the backend server.
            now: seconds of the monotonic clock.
        """
        last_repeat = self._repeated_at
        repeat_all = (
            last_repeat is None or now - last_repeat >= _REPEAT_INTERVAL_S
        )
        due = {
            name: self._zero_count(name)
            for name in self._last_counts
            if name not in counts
        }
        due |= {
            name: count
            for name, count in counts.items()
            if repeat_all or self._last_counts.get(name) != count
        }
        if repeat_all:
            self._repeated_at = now
        self._last_counts = dict(counts)
        return due
