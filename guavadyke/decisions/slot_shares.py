"""Slots of a server that batch items and each host may use."""

from __future__ import annotations

import collections
import math
from collections.abc import Collection

from guavadyke.decisions.rendezvous_hashing import rendezvous
from guavadyke.decisions.routing import ServerView
from guavadyke.snapshots import PeerView

_RESERVE_SHARE = 0.125
_MAX_REFILL_DELAY_S = 0.2


def reserved_slots(slots: int, tail_weight: float) -> int:
    """Return the number of slots kept free of batch items for bursts.

    Args:
        slots: slots of the engine.
        tail_weight: 1 to favour online tail latency only, 0 to favour
            batch throughput only.
    """
    return min(slots, round(slots * _RESERVE_SHARE * tail_weight))


def batch_slots(slots: int, online: int, tail_weight: float) -> int:
    """Return how many batch items may run on an engine now.

    Args:
        slots: slots of the engine.
        online: online requests of all hosts, running there or waiting.
        tail_weight: see ``reserved_slots``.
    """
    return max(0, slots - online - reserved_slots(slots, tail_weight))


def batch_sender(
    view: ServerView,
    host_id: str,
    host_zone: str,
    peers: Collection[PeerView],
) -> str:
    """Return the id of the one host that sends batch items to an engine.

    It is chosen by rendezvous hashing among the live hosts in the
    engine's zone, or among all live hosts where that zone has none.

    Args:
        view: the engine.
        host_id: id of this host.
        host_zone: zone of this host.
        peers: the other hosts.
    """
    zones = {peer.host_id: peer.zone for peer in peers if _live(peer)}
    zones[host_id] = host_zone
    zone_hosts = [host for host, zone in zones.items() if zone == view.zone]
    return rendezvous(view.server_id, zone_hosts or zones)


def refill_delay_s(tail_weight: float) -> float:
    """Return for how many seconds after a preemption no item may start."""
    return _MAX_REFILL_DELAY_S * tail_weight


def fair_slots(slots: int, hosts: int) -> int:
    """Return the slots that each of ``hosts`` may use in any case."""
    return max(1, math.floor(slots / max(1, hosts)))


def live_hosts(
    host_zone: str,
    peers: Collection[PeerView],
) -> collections.Counter[str]:
    """Return the number of live entry hosts by zone, with this host."""
    zones = collections.Counter(peer.zone for peer in peers if _live(peer))
    zones[host_zone] += 1
    return zones


def _live(peer: PeerView) -> bool:
    return peer.state in {'alive', 'suspect'}
