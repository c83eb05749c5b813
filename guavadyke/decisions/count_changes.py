"""Which counts are due to be told to other hosts."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Generic, TypeVar

_REPEAT_S = 0.5

Count = TypeVar('Count')


class Changes(Generic[Count]):
    """Counts that changed, and all of them now and then.

    Notices may be lost, so what has not changed is repeated.

    Args:
        nothing: gives the count of a backend server without requests.
    """

    def __init__(self, nothing: Callable[[str], Count]) -> None:
        self._nothing = nothing
        self._told: dict[str, Count] = {}
        self._repeated_at: float | None = None

    def due(self, counts: Mapping[str, Count], now: float) -> dict[str, Count]:
        """Return the counts that are due.

        Args:
            counts: counts by backend server.
            now: seconds of the monotonic clock.
        """
        last = self._repeated_at
        repeated = last is None or now - last >= _REPEAT_S
        due = {
            name: self._nothing(name)
            for name in self._told
            if name not in counts
        }
        due |= {
            name: count
            for name, count in counts.items()
            if repeated or self._told.get(name) != count
        }
        if repeated:
            self._repeated_at = now
        self._told = dict(counts)
        return due
