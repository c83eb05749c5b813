"""Which requests are refused at once, and when their callers may return.

Answers a load beyond what the servers can do, of any length: in a queue as
long as the load makes it, each request is answered and none of them in time.
"""

from __future__ import annotations

import dataclasses
import random

from guavadyke.decisions.forward_routes import ForwardRoute

# Share of its latency objective that a request may wait for a slot. The rest
# is for what the estimate does not know: requests of the last notice
# interval, and the time from the slot to the first event. Callers who were
# refused and are back wait no longer: where they may, fewer are served in
# time at any load beyond the servers (the load test).
_WAIT_SHARE = 0.7
# Part of the slots that come free which returning callers are told of; the
# rest is left for new ones.
_RETURNERS_PART = 0.5


def longest_wait_s(
    route: ForwardRoute,
    left_s: float,
    without_objective_s: float,
) -> float:
    """Return the wait from which a request is refused, in seconds.

    Args:
        route: its route; one without a latency objective waits up to
            ``without_objective_s``.
        left_s: seconds until the caller's deadline.
        without_objective_s: seconds.
    """
    objective_s = route.target_latency_s
    if not objective_s:
        return min(left_s, without_objective_s)
    return min(left_s, _WAIT_SHARE * objective_s)


@dataclasses.dataclass(frozen=True)
class Overload:
    """What is known of a service at whose servers all slots are taken.

    ``excess_s`` is by how much a request would wait too long; ``slot_s`` is
    the time after which another slot comes free for this host's requests.
    """

    excess_s: float
    slot_s: float


class RetryScheduler:
    """Spreads the returns of refused callers.

    Not safe for threads: its owner holds a lock.

    Args:
        rng: spreads the returns of several hosts.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._last: dict[str, float] = {}

    def reserve_retry_s(
        self, service: str, crowd: Overload, now: float
    ) -> float:
        """Return the seconds after which there is room for one caller."""
        spacing_s = crowd.slot_s / _RETURNERS_PART
        earliest = max(
            now + crowd.excess_s,
            self._last.get(service, 0) + spacing_s,
        )
        self._last[service] = earliest
        return earliest - now + self._rng.uniform(0, spacing_s)
