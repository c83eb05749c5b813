"""Yield: how many batch items an engine may hold beside online requests."""

from __future__ import annotations

import collections
import math
from collections.abc import Collection

from guavadyke.decisions.rendezvous_hashing import rendezvous
from guavadyke.decisions.routing import ServerView
from guavadyke.snapshots import PeerView

_RESERVE_SHARE = 0.125
_LONGEST_REFILL_DELAY_S = 0.2


def reserve(slots: int, tail_weight: float) -> int:
    """Return the slots that are kept free of batch items for bursts.

    Args:
        slots: slots of the engine.
        tail_weight: 1 where only the online tail counts, 0 where only
            batch throughput does.
    """
    return min(slots, round(slots * _RESERVE_SHARE * tail_weight))


def batch_slots(slots: int, online: int, tail_weight: float) -> int:
    """Return how many batch items an engine may hold now.

    Args:
        slots: slots of the engine.
        online: online requests there, of every host, and those waiting.
        tail_weight: see ``reserve``.
    """
    return max(0, slots - online - reserve(slots, tail_weight))


def batch_sender(
    view: ServerView,
    host_id: str,
    host_zone: str,
    peers: Collection[PeerView],
) -> str:
    """Return the one host that sends batch items to an engine.

    It is chosen among the live hosts of the engine's zone, or among all
    where that zone has none.
    """
    zones = {peer.host_id: peer.zone for peer in peers if _live(peer)}
    zones[host_id] = host_zone
    near = [host for host, zone in zones.items() if zone == view.zone]
    return rendezvous(view.server_id, near or zones)


def refill_delay_s(tail_weight: float) -> float:
    """Return the seconds after a preemption without new batch items."""
    return _LONGEST_REFILL_DELAY_S * tail_weight


def fair_slots(slots: int, hosts: int) -> int:
    """Return the slots that each of several hosts may always use."""
    return max(1, math.floor(slots / max(1, hosts)))


def live_hosts(
    host_zone: str,
    peers: Collection[PeerView],
) -> collections.Counter[str]:
    """Return how many live entry hosts each zone has, this one included."""
    zones = collections.Counter(peer.zone for peer in peers if _live(peer))
    zones[host_zone] += 1
    return zones


def _live(peer: PeerView) -> bool:
    return peer.state in {'alive', 'suspect'}
