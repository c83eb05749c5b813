"""Which host tries a thing first, among those that this host sees alive."""

from __future__ import annotations

from guavadyke.decisions.routing import rendezvous
from guavadyke.settings import EntrySettings
from guavadyke.snapshots import FleetSnapshot, SnapshotCell


class Responsibility:
    """Rendezvous over the live hosts of a zone.

    Hosts may disagree; then two of them try, and conditional updates
    decide where it matters.

    Args:
        settings: this host and its zone.
        fleet: peers that this host sees.
    """

    def __init__(
        self,
        settings: EntrySettings,
        fleet: SnapshotCell[FleetSnapshot],
    ) -> None:
        self._host_id = settings.host_id
        self._zone = settings.zone
        self._fleet = fleet

    def first(self, key: str, zone: str = '') -> bool:
        """Return whether this host is the first to try for the key.

        Args:
            key: what is to be tried.
            zone: whose hosts it falls to, this host's own where it is
                empty; all hosts where the zone has none.
        """
        alive = [
            peer for peer in self._fleet.current.peers if peer.state == 'alive'
        ]
        wanted = zone or self._zone
        hosts = {peer.host_id for peer in alive if peer.zone == wanted}
        if wanted == self._zone:
            hosts.add(self._host_id)
        if not hosts:
            hosts = {self._host_id, *(peer.host_id for peer in alive)}
        return rendezvous(key, hosts) == self._host_id
