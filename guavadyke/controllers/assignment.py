"""Assigns work that any host could do to one live host of a zone."""

from __future__ import annotations

from guavadyke.decisions.rendezvous_hashing import rendezvous
from guavadyke.settings import EntrySettings
from guavadyke.snapshots import FleetSnapshot, SnapshotCell


class RendezvousAssignment:
    """Rendezvous hashing of keys over the live hosts of a zone.

    This only avoids duplicate work. Hosts with different views of the fleet
    may both act on a key; callers that need mutual exclusion have to use
    conditional updates. Answers are cached until the set of live hosts
    changes.

    Args:
        settings: the id and the zone of this host.
        fleet: this host's view of its peers.
    """

    def __init__(
        self,
        settings: EntrySettings,
        fleet: SnapshotCell[FleetSnapshot],
    ) -> None:
        self._host_id = settings.host_id
        self._zone = settings.zone
        self._fleet = fleet
        self._last_fleet: FleetSnapshot | None = None
        self._zone_by_host: dict[str, str] = {}
        self._answers: dict[tuple[str, str], bool] = {}

    def is_assigned(self, key: str, zone: str = '') -> bool:
        """Return whether the key is assigned to this host.

        Args:
            key: names the work.
            zone: the zone whose live hosts share the keys; empty for this
                host's zone. All live hosts share the keys of a zone without
                any.
        """
        self._refresh()
        key_zone = zone or self._zone
        answer = self._answers.get((key, key_zone))
        if answer is None:
            answer = rendezvous(key, self._hosts(key_zone)) == self._host_id
            self._answers[key, key_zone] = answer
        return answer

    def _refresh(self) -> None:
        """Drop the cached answers if the set of live hosts has changed."""
        fleet = self._fleet.current
        if fleet is self._last_fleet:
            return
        zones = {
            peer.host_id: peer.zone
            for peer in fleet.peers
            if peer.state == 'alive'
        }
        zones[self._host_id] = self._zone
        if zones != self._zone_by_host:
            self._zone_by_host = zones
            self._answers = {}
        self._last_fleet = fleet

    def _hosts(self, zone: str) -> frozenset[str]:
        """Return the live hosts of a zone, or all if the zone has none."""
        in_zone = (
            host_id
            for host_id, host_zone in self._zone_by_host.items()
            if host_zone == zone
        )
        return frozenset(in_zone) or frozenset(self._zone_by_host)
