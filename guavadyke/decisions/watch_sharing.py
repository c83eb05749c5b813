"""Which hosts watch the platform, and which ask them for its changes.

Answers the load of large fleets: if every host watches every kind, each change
costs a platform call per host. Here it costs a few calls per availability
zone, whatever the number of hosts.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from guavadyke.decisions.rendezvous_hashing import rank_names

# Hosts of a zone that watch a kind. With two, one may fail without a gap.
WATCHERS_PER_ZONE = 2
# In a zone of up to this many hosts each of them watches for itself.
MAX_WATCHING_ZONE = 6


@dataclasses.dataclass(frozen=True)
class WatchPlan:
    """How a host learns of the changes of a kind.

    ``watches`` tells whether it watches the platform; ``sources`` are the
    ids of the hosts to ask otherwise, the preferred one first.
    """

    watches: bool
    sources: tuple[str, ...]


def plan_watch(kind: str, me: str, zone_hosts: Iterable[str]) -> WatchPlan:
    """Return how a host learns of the changes of a kind.

    Each kind has watchers of its own, which spreads their load. The hosts
    that ask are spread over the watchers.

    Args:
        kind: the kind of objects.
        me: id of the host.
        zone_hosts: ids of the other live hosts of its availability zone.
    """
    hosts = {me, *zone_hosts}
    watchers = rank_names(kind, hosts)[:WATCHERS_PER_ZONE]
    others = [host_id for host_id in watchers if host_id != me]
    return WatchPlan(
        watches=len(hosts) <= MAX_WATCHING_ZONE or me in watchers,
        sources=tuple(rank_names(me, others)),
    )
