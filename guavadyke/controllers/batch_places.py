"""This host's place among the live entry hosts."""

from __future__ import annotations

import dataclasses

from guavadyke.decisions import rendezvous_hashing
from guavadyke.snapshots import FleetSnapshot, SnapshotCell


@dataclasses.dataclass(frozen=True)
class Places:
    """Says who tries first for a thing; it decides nothing.

    Args:
        host_id: this host.
        fleet: the other hosts.
    """

    host_id: str
    fleet: SnapshotCell[FleetSnapshot]

    def place(self, key: str) -> int:
        """Return how many live hosts come before this one for a key."""
        peers = (
            peer.host_id
            for peer in self.fleet.current.peers
            if peer.state == 'alive'
        )
        return rendezvous_hashing.place(key, self.host_id, peers)
