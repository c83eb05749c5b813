"""How long a repeatable request stays at a server without a first event."""

from __future__ import annotations

# Weight of the newest time in the average.
_NEWEST_SHARE = 0.1
# A server that takes this many times the average is taken to be stuck.
_STUCK_FACTOR = 3.0


class FirstEventTimes:
    """Average time from sending a request to its first event, by route.

    Answers a load under which servers are slow but well: a request that
    moves on too early loses its place in a queue and waits in the next one.
    """

    def __init__(self) -> None:
        self._average_s: dict[str, float] = {}

    def record(self, route: str, elapsed_s: float) -> None:
        """Add the time of one request, in seconds."""
        known_s = self._average_s.get(route, elapsed_s)
        self._average_s[route] = known_s + _NEWEST_SHARE * (elapsed_s - known_s)

    def patience_s(self, route: str, shortest_s: float) -> float:
        """Return after how many seconds a request may move on.

        Args:
            route: name of the request's route.
            shortest_s: lower bound, for routes that answer fast.
        """
        average_s = self._average_s.get(route, 0)
        return max(shortest_s, _STUCK_FACTOR * average_s)
