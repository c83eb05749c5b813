"""How long a call to the platform may take, judged by the last ones.

A call that is lost on a path that was just cut should be given up soon,
since a peer can make it; a platform that has become slow needs more time.
"""

from __future__ import annotations

# Least seconds for a call; a platform answers in some milliseconds, and one
# that is 60 times as slow still within this.
_SHORTEST_S = 0.3
# A call may take so many times what answered calls lately took.
_ROOM = 4
# Share of the longest answer that is remembered from one call to the next.
_KEPT = 0.8
_MOST_DOUBLINGS = 8


class AdaptiveTimeout:
    """Follows the calls of one host; safe for threads without a lock.

    Two threads that answer at once may lose one of two measurements.

    Args:
        longest_s: seconds that a call may take at the most.
    """

    def __init__(self, longest_s: float) -> None:
        self._longest_s = longest_s
        self._took_s: float = 0
        self._timeouts = 0

    @property
    def timeout_s(self) -> float:
        """Seconds that the next call may take."""
        usual_s = max(_SHORTEST_S, _ROOM * self._took_s)
        doublings = min(self._timeouts, _MOST_DOUBLINGS)
        return min(self._longest_s, usual_s * 2.0**doublings)

    def answered(self, took_s: float) -> None:
        """Take a call that was answered."""
        self._timeouts = 0
        self._took_s = max(took_s, _KEPT * self._took_s)

    def timed_out(self) -> None:
        """Take a call that was not answered in time."""
        self._timeouts += 1
