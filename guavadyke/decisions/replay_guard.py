"""Refuses messages that are replayed or too old."""

from __future__ import annotations

import enum

_WINDOW = 4096
_KEPT_BOOTS = 4


class Freshness(enum.Enum):
    """What is thought of a message's number and time."""

    fresh = 'fresh'
    replayed = 'replayed'
    stale = 'stale'


class _Window:
    """Numbers seen of one start of one sender, as bits below the highest."""

    def __init__(self) -> None:
        self._highest = 0
        self._seen = 0

    def take(self, number: int) -> bool:
        """Return whether the number is new, and remember it."""
        if number > self._highest:
            shift = number - self._highest
            self._highest = number
            self._seen = self._shifted(shift) | 1
            return True
        behind = self._highest - number
        bit = 1 << behind
        if behind >= _WINDOW or self._seen & bit:
            return False
        self._seen |= bit
        return True

    def _shifted(self, shift: int) -> int:
        if shift >= _WINDOW:
            return 0
        return (self._seen << shift) & ((1 << _WINDOW) - 1)


class ReplayGuard:
    """Windows of all senders.

    Args:
        tolerance_ms: by how much clocks may differ and messages wait.
    """

    def __init__(self, tolerance_ms: int) -> None:
        self._tolerance_ms = tolerance_ms
        self._windows: dict[str, dict[str, _Window]] = {}

    def judge(
        self,
        sender: str,
        boot: str,
        number: int,
        age_ms: int,
    ) -> Freshness:
        """Judge a message and remember it.

        Args:
            sender: host id of the sender.
            boot: token that the sender drew at its start.
            number: number of the message since that start.
            age_ms: time here less time of sending.
        """
        if abs(age_ms) > self._tolerance_ms:
            return Freshness.stale
        boots = self._windows.setdefault(sender, {})
        if boot not in boots:
            boots[boot] = _Window()
            for oldest in tuple(boots)[:-_KEPT_BOOTS]:
                boots.pop(oldest)
        if boots[boot].take(number):
            return Freshness.fresh
        return Freshness.replayed

    def forget(self, sender: str) -> None:
        """Drop what is known of a sender."""
        self._windows.pop(sender, None)
