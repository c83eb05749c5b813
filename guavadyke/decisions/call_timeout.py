"""Adaptive timeout for calls to the platform.

A call lost on a broken network path should time out soon, since a peer can
make it instead. A platform that has become slow needs a longer timeout.
"""

from __future__ import annotations

# Minimum timeout. A platform usually answers within a few milliseconds, and
# still within this time if it is 60 times slower.
_MIN_TIMEOUT_S = 0.3
# Timeout as a multiple of the longest recent response time.
_RESPONSE_TIME_FACTOR = 4
# Factor by which the longest response time decays with each answered call.
_RESPONSE_TIME_DECAY = 0.8
_MAX_DOUBLINGS = 8


class AdaptiveTimeout:
    """Computes the timeout from the latest calls of one host.

    Safe for threads without a lock; of two concurrent measurements one may
    be lost.

    Args:
        longest_s: maximum timeout in seconds.
    """

    def __init__(self, longest_s: float) -> None:
        self._longest_s = longest_s
        self._recent_max_s: float = 0
        self._timeouts = 0

    @property
    def timeout_s(self) -> float:
        """Timeout of the next call.

        It doubles with each consecutive timeout.
        """
        base_s = max(_MIN_TIMEOUT_S, _RESPONSE_TIME_FACTOR * self._recent_max_s)
        doublings = min(self._timeouts, _MAX_DOUBLINGS)
        return min(self._longest_s, base_s * 2.0**doublings)

    def answered(self, took_s: float) -> None:
        """Record the response time of an answered call."""
        self._timeouts = 0
        self._recent_max_s = max(
            took_s,
            _RESPONSE_TIME_DECAY * self._recent_max_s,
        )

    def timed_out(self) -> None:
        """Record a call that timed out."""
        self._timeouts += 1
