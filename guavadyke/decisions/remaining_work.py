"""Work that this host's requests still are for servers.

Load: requests of uneven cost, where equal counts of requests hide unequal
queues. Work is in slot-seconds at a server of usual speed.
"""

from __future__ import annotations

import dataclasses

from guavadyke.decisions.request_cost import (
    ExpectedCost,
    Observation,
    RequestSize,
)


@dataclasses.dataclass(eq=False)
class PlacedRequest:
    """A request or an item of this host at a server.

    The thread that reads its answer records events; others read. Times are
    seconds of the monotonic clock. ``batch`` tells an item; ``queued`` tells
    that it may have to wait at the server, ``resumed`` that the server only
    continues its answer, and ``completed`` that the answer was whole.
    """

    size: RequestSize
    cached_tokens: int
    cost: ExpectedCost
    speed: float
    placed_at: float
    service: str = ''
    batch: bool = False
    queued: bool = False
    resumed: bool = False
    completed: bool = False
    events: int = 0
    first_event_at: float = 0
    last_event_at: float = 0

    def record_event(self, now: float) -> None:
        """Record an event of its answer."""
        if not self.events:
            self.first_event_at = now
        self.events += 1
        self.last_event_at = now

    def remaining_s(self, now: float) -> float:
        """Return its remaining cost."""
        if self.events:
            return self.cost.after(self.events)
        if self.queued:
            return self.cost.total_s
        done_s = max(0, now - self.placed_at) * self.speed
        return self.cost.total_s - min(self.cost.first_event_s, done_s)

    def observed(self, now: float) -> Observation:
        """Return what was observed of it when its answer has ended."""
        if not self.events:
            return Observation(
                None if self.queued else now - self.placed_at, 0, 0
            )
        first_s = self.first_event_at - self.placed_at
        return Observation(
            None if self.queued or self.resumed else first_s,
            self.events,
            self.last_event_at - self.first_event_at,
            whole=not self.resumed,
        )
