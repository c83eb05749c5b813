"""Which hosts watch the platform, and which ask them for its changes.

Answers the load of large fleets: if every host watches every kind, each change
costs a platform call per host. Here it costs a few calls per availability
zone, whatever the number of hosts.
"""

from __future__ import annotations

import dataclasses
import types
from collections.abc import Iterable, Mapping

from guavadyke.decisions.rendezvous_hashing import rank_names

# Hosts of a zone that watch a kind. With two, one may fail without a gap.
WATCHERS_PER_ZONE = 2
# In a zone of up to this many hosts each of them watches for itself.
MAX_WATCHING_ZONE = 6
# Hosts that are asked one after the other.
_MAX_SOURCES = 4
# Parts of the time in which a change has to be learned. Together they leave
# time to ask another source when one has fallen silent.
_WAIT_SHARE = 0.5
_SILENCE_SHARE = 0.2
# Margins that a source waits for its own next answer before it stops to answer
# others: it may connect anew and apply changes between two watches.
_SOURCE_MARGINS = 2
_NO_ZONES: Mapping[str, Iterable[str]] = types.MappingProxyType({})


@dataclasses.dataclass(frozen=True)
class WatchPlan:
    """How a host learns of the changes of a kind.

    ``watches`` tells whether it watches the platform; ``sources`` are the
    ids of the hosts to ask otherwise, the preferred one first.
    """

    watches: bool
    sources: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class WatchTimes:
    """How long a watch waits for a change and then for its answer.

    Both are in seconds; a longer silence is a failure.
    """

    wait_s: float
    margin_s: float

    @property
    def source_margin_s(self) -> float:
        """How late a source may hear its next answer and answer others."""
        return _SOURCE_MARGINS * self.margin_s

    @property
    def longest_lag_s(self) -> float:
        """How much older than its answer a source's knowledge may be."""
        return self.wait_s + self.source_margin_s


def watch_times(freshness_s: float) -> WatchTimes:
    """Return the times of watches that learn of changes in time.

    Args:
        freshness_s: seconds within which a change has to be learned.
    """
    return WatchTimes(_WAIT_SHARE * freshness_s, _SILENCE_SHARE * freshness_s)


def plan_watch(
    kind: str,
    me: str,
    zone_hosts: Iterable[str],
    other_zones: Mapping[str, Iterable[str]] = _NO_ZONES,
) -> WatchPlan:
    """Return how a host learns of the changes of a kind.

    Each kind has watchers of its own, which spreads their load. The hosts
    that ask are spread over the watchers. A watcher of each other zone is
    the last resort, for a zone whose watchers all hear nothing.

    Args:
        kind: the kind of objects.
        me: id of the host.
        zone_hosts: ids of the other live hosts of its availability zone.
        other_zones: ids of the live hosts of the other zones.
    """
    hosts = {me, *zone_hosts}
    watchers = rank_names(kind, hosts)
    if len(hosts) > MAX_WATCHING_ZONE:
        watchers = watchers[:WATCHERS_PER_ZONE]
    others = [host_id for host_id in watchers if host_id != me]
    far = [
        rank_names(kind, zone)[:WATCHERS_PER_ZONE]
        for zone in other_zones.values()
    ]
    sources = (
        *rank_names(me, others[:WATCHERS_PER_ZONE]),
        *rank_names(me, [rank_names(me, zone)[0] for zone in far if zone]),
    )
    return WatchPlan(
        watches=me in watchers,
        sources=sources[:_MAX_SOURCES],
    )
