"""Ranks this host among the live entry hosts by rendezvous hashing."""

from __future__ import annotations

import dataclasses

from guavadyke.decisions import rendezvous_hashing
from guavadyke.snapshots import FleetSnapshot, SnapshotCell


@dataclasses.dataclass(frozen=True)
class HostRanking:
    """Ranks this host for a key, so that hosts rarely compete for it.

    The rank only says which host tries first. Hosts may see different
    fleets, so exclusion has to come from a conditional write.

    Args:
        host_id: id of this host.
        fleet: the other hosts.
    """

    host_id: str
    fleet: SnapshotCell[FleetSnapshot]

    def place(self, key: str) -> int:
        """Return how many live hosts rank before this one for a key."""
        peers = (
            peer.host_id
            for peer in self.fleet.current.peers
            if peer.state == 'alive'
        )
        return rendezvous_hashing.place(key, self.host_id, peers)
