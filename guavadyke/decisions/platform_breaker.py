"""Circuit breaker for direct calls to the platform."""

from __future__ import annotations

import random

_FAILURES_TO_OPEN = 2
_INITIAL_BACKOFF_S = 0.5
# Short, so that all hosts recover soon after an outage of the platform.
_MAX_BACKOFF_S = 1


class PlatformBreaker:
    """Decides whether to call the platform directly.

    The breaker opens after two failures in a row. Then one call at a time
    is let through, after an exponential backoff with jitter, until a call
    succeeds. All times are in monotonic seconds.

    Args:
        rng: adds jitter, so that hosts don't retry at the same time.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._failures = 0
        self._retry_at: float = 0

    @property
    def reachable(self) -> bool:
        """Whether the breaker is closed: direct calls are let through."""
        return self._failures < _FAILURES_TO_OPEN

    @property
    def last_call_failed(self) -> bool:
        """Whether the last direct call failed."""
        return self._failures > 0

    def claim(self, now: float) -> bool:
        """Return whether the caller may make a direct call now.

        With an open breaker, True also starts the next backoff, so that
        only this caller makes the call.
        """
        if self.reachable:
            return True
        if now < self._retry_at:
            return False
        self._schedule_retry(now)
        return True

    def succeeded(self) -> None:
        """Record that a direct call was answered; closes the breaker."""
        self._failures = 0

    def failed(self, now: float) -> None:
        """Record that a direct call was not answered."""
        self._failures += 1
        self._schedule_retry(now)

    def _schedule_retry(self, now: float) -> None:
        doublings = max(0, self._failures - _FAILURES_TO_OPEN)
        backoff_s = min(
            _MAX_BACKOFF_S, _INITIAL_BACKOFF_S * 2 ** min(doublings, 8)
        )
        self._retry_at = now + self._rng.uniform(backoff_s / 2, backoff_s)
