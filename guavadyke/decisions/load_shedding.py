"""Load shedding: which requests are refused, and their retry delays.

Without a bound on the wait, a lasting overload would grow the queue until
every request is answered but none of them in time.
"""

from __future__ import annotations

import dataclasses
import random

from guavadyke.decisions.forward_routes import ForwardRoute

# Share of its latency objective that a request may wait for a slot. The rest
# covers what the estimate leaves out: requests since the last load notice, and
# the time from getting a slot to the first event. The bound is the same for
# callers who were refused before: with a longer wait for them, fewer requests
# are served in time at any load above capacity (see the load test).
_MAX_WAIT_SHARE = 0.7
# Share of the slots becoming free that is assigned to retrying callers; the
# rest is left for new requests.
_RETRY_SLOT_SHARE = 0.5


def longest_wait_s(
    route: ForwardRoute,
    left_s: float,
    without_objective_s: float,
) -> float:
    """Return the estimated wait above which a request is refused.

    Args:
        route: the request's route.
        left_s: seconds until the caller's deadline.
        without_objective_s: longest wait, in seconds, on a route without a
            latency objective.
    """
    objective_s = route.target_latency_s
    if not objective_s:
        return min(left_s, without_objective_s)
    return min(left_s, _MAX_WAIT_SHARE * objective_s)


@dataclasses.dataclass(frozen=True)
class Overload:
    """Load of a service whose servers have no free slot.

    ``excess_s`` is the time by which a request's estimated wait exceeds its
    limit; ``slot_s`` is the average time until the next slot becomes free
    for this host's requests.
    """

    excess_s: float
    slot_s: float


class RetryScheduler:
    """Spreads the retries of refused callers over time.

    Not safe for threads: the caller holds a lock.

    Args:
        rng: adds jitter, so that callers of several hosts don't retry at
            the same time.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._last_retry_at: dict[str, float] = {}

    def reserve_retry_s(
        self, service: str, overload: Overload, now: float
    ) -> float:
        """Return the seconds after which a refused caller should retry.

        Each call reserves a later time than the one before, spaced by the
        rate at which slots become free for retries.

        Args:
            service: name of the overloaded service.
            overload: current load of the service.
            now: seconds of the monotonic clock.
        """
        spacing_s = overload.slot_s / _RETRY_SLOT_SHARE
        retry_at = max(
            now + overload.excess_s,
            self._last_retry_at.get(service, 0) + spacing_s,
        )
        self._last_retry_at[service] = retry_at
        return retry_at - now + self._rng.uniform(0, spacing_s)
