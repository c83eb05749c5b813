"""Which host tries a thing first, among those that this host sees alive."""

from __future__ import annotations

from guavadyke.decisions.rendezvous_hashing import rendezvous
from guavadyke.settings import EntrySettings
from guavadyke.snapshots import FleetSnapshot, SnapshotCell


class RendezvousAssignment:
    """Rendezvous over the live hosts of a zone.

    Hosts may disagree; then two of them try, and conditional updates
    decide where it matters. Answers are kept while the same hosts live.

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
        self._seen: FleetSnapshot | None = None
        self._zones: dict[str, str] = {}
        self._answers: dict[tuple[str, str], bool] = {}

    def first(self, key: str, zone: str = '') -> bool:
        """Return whether this host is the first to try for the key.

        Args:
            key: what is to be tried.
            zone: whose hosts it falls to, this host's own where it is
                empty; all hosts where the zone has none.
        """
        self._look()
        wanted = zone or self._zone
        answer = self._answers.get((key, wanted))
        if answer is None:
            answer = rendezvous(key, self._hosts(wanted)) == self._host_id
            self._answers[key, wanted] = answer
        return answer

    def _look(self) -> None:
        """Forget the answers where other hosts are alive than before."""
        fleet = self._fleet.current
        if fleet is self._seen:
            return
        zones = {
            peer.host_id: peer.zone
            for peer in fleet.peers
            if peer.state == 'alive'
        }
        zones[self._host_id] = self._zone
        if zones != self._zones:
            self._zones = zones
            self._answers = {}
        self._seen = fleet

    def _hosts(self, zone: str) -> frozenset[str]:
        """Return the live hosts of a zone, or all where it has none."""
        near = (one for one, place in self._zones.items() if place == zone)
        return frozenset(near) or frozenset(self._zones)
