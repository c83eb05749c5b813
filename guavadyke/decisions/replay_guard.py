"""Replay protection for messages between hosts."""

from __future__ import annotations

import enum

_WINDOW_SIZE = 4096
_BOOTS_PER_SENDER = 4


class Freshness(enum.Enum):
    """Result of the replay check of a message."""

    fresh = 'fresh'
    replayed = 'replayed'
    stale = 'stale'


class _SequenceWindow:
    """Sliding window of the message numbers seen, as a bit mask.

    Bit n stands for the number n below the highest one seen.
    """

    def __init__(self) -> None:
        self._highest = 0
        self._seen = 0

    def accept(self, number: int) -> bool:
        """Record a number; False where it was seen or is below the window."""
        if number > self._highest:
            shift = number - self._highest
            self._highest = number
            self._seen = self._shifted(shift) | 1
            return True
        behind = self._highest - number
        mask = 1 << behind
        if behind >= _WINDOW_SIZE or self._seen & mask:
            return False
        self._seen |= mask
        return True

    def _shifted(self, shift: int) -> int:
        if shift >= _WINDOW_SIZE:
            return 0
        return (self._seen << shift) & ((1 << _WINDOW_SIZE) - 1)


class ReplayGuard:
    """Detects replayed and stale messages of all senders.

    Args:
        tolerance_ms: maximum difference between the time of sending and
            the local time, from clock skew and delay in transit.
    """

    def __init__(self, tolerance_ms: int) -> None:
        self._tolerance_ms = tolerance_ms
        self._windows: dict[str, dict[str, _SequenceWindow]] = {}

    def check_message(
        self,
        sender: str,
        boot: str,
        number: int,
        age_ms: int,
    ) -> Freshness:
        """Check a message, and record its number unless it is stale.

        Only the windows of a sender's latest starts are kept.

        Args:
            sender: host id of the sender.
            boot: random token that the sender chose when it started.
            number: sequence number of the message since that start.
            age_ms: local time less the time of sending.
        """
        if abs(age_ms) > self._tolerance_ms:
            return Freshness.stale
        boots = self._windows.setdefault(sender, {})
        if boot not in boots:
            boots[boot] = _SequenceWindow()
            for oldest in tuple(boots)[:-_BOOTS_PER_SENDER]:
                boots.pop(oldest)
        if boots[boot].accept(number):
            return Freshness.fresh
        return Freshness.replayed

    def forget(self, sender: str) -> None:
        """Drop the windows of a sender, as when it has left the fleet."""
        self._windows.pop(sender, None)
