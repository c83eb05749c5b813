"""Whether the platform is reached directly, and when to try it again."""

from __future__ import annotations

import random

_FAILURES_TO_AWAY = 2
_FIRST_PAUSE_S = 0.5
# Short, so that all hosts are back soon after an outage of the platform.
_LONGEST_PAUSE_S = 1


class PlatformBreaker:
    """Judges by the outcomes of direct calls.

    Two failures in a row mean away; then one call at a time tries again,
    after pauses that grow and differ from host to host.

    Args:
        rng: spreads the tries of many hosts.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._failures = 0
        self._try_at: float = 0

    @property
    def reachable(self) -> bool:
        """Whether the platform is reached directly."""
        return self._failures < _FAILURES_TO_AWAY

    @property
    def doubtful(self) -> bool:
        """Whether the last direct call was not answered."""
        return self._failures > 0

    def claim(self, now: float) -> bool:
        """Return whether to call directly now."""
        if self.reachable:
            return True
        if now < self._try_at:
            return False
        self._put_off(now)
        return True

    def succeeded(self) -> None:
        """A direct call was answered."""
        self._failures = 0

    def failed(self, now: float) -> None:
        """A direct call was not answered."""
        self._failures += 1
        self._put_off(now)

    def _put_off(self, now: float) -> None:
        doublings = max(0, self._failures - _FAILURES_TO_AWAY)
        pause_s = min(_LONGEST_PAUSE_S, _FIRST_PAUSE_S * 2 ** min(doublings, 8))
        self._try_at = now + self._rng.uniform(pause_s / 2, pause_s)
