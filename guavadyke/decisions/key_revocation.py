"""Until when the keys of teams that a host knows may be trusted.

Answers the load of hosts that are cut off from the platform or suspended while
keys are removed: without a bound they would serve a removed key for as long as
their link is gone.
"""

from __future__ import annotations

from guavadyke.decisions.watch_sharing import watch_times

# The lag of a source is 0.9 of the freshness. This leaves an age of 0.64 of the
# bound, and a host that had no contact for 0.6 of it loses nothing by refusing.
_FRESHNESS_SHARE = 0.4


def longest_age_s(revocation_s: float, freshness_s: float) -> float:
    """Return how old the known configuration may be while keys are trusted.

    A host may know the configuration from another host of its zone, whose own
    knowledge may be older than its answer.

    Args:
        revocation_s: seconds after which a removed key must not be served.
        freshness_s: seconds within which a change has to be learned.
    """
    return max(0, revocation_s - watch_times(freshness_s).longest_lag_s)


def watch_freshness_s(revocation_s: float, freshness_s: float) -> float:
    """Return within which time changes have to be learned under strict bounds.

    A longer time would leave so short an age that hosts in contact with the
    platform refuse keys between two of their watches.

    Args:
        revocation_s: seconds after which a removed key must not be served, 0
            for no bound.
        freshness_s: seconds within which a change has to be learned otherwise.
    """
    if revocation_s <= 0:
        return freshness_s
    return min(freshness_s, _FRESHNESS_SHARE * revocation_s)
