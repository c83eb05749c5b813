"""Until when the keys of teams that a host knows may be trusted.

Answers the load of hosts that are cut off from the platform or suspended while
keys are removed: without a bound they would serve a removed key for as long as
their link is gone.
"""

from __future__ import annotations

from guavadyke.decisions.watch_sharing import watch_times


def longest_age_s(revocation_s: float, freshness_s: float) -> float:
    """Return how old the known configuration may be while keys are trusted.

    A host may know the configuration from another host of its zone, whose own
    knowledge is older by the wait and the margin of a watch at most.

    Args:
        revocation_s: seconds after which a removed key must not be served.
        freshness_s: seconds within which a change has to be learned.
    """
    times = watch_times(freshness_s)
    return max(0, revocation_s - times.wait_s - times.margin_s)
