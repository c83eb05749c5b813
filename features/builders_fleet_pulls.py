"""Hosts that ask each other which hosts live, without a network."""

from __future__ import annotations

import random

from features import builders_forward as build
from guavadyke.adapters import peer_calls as calls
from guavadyke.adapters.peer_rpc import PeerClient
from guavadyke.controllers.fleet_pulls import FleetPulls
from guavadyke.controllers.membership_messages import FleetState
from guavadyke.decisions.membership_protocol import PeerRecord, PeerState
from guavadyke.snapshots import FleetSnapshot, PeerView, SnapshotCell


class PullingHost:
    """A host that knows some of the others.

    Args:
        fleet: all hosts.
        host_id: its id, which is its address as well.
        known: the hosts that it knows.
        rng: chooses whom it asks.
    """

    def __init__(
        self,
        fleet: PullingFleet,
        host_id: str,
        known: list[str],
        rng: random.Random,
    ) -> None:
        self._host_id = host_id
        self.known = {*known, host_id}
        self.pulls = 0
        self._cell = SnapshotCell(FleetSnapshot())
        self.pulling = FleetPulls(
            host_id,
            _Client(fleet, self),
            self._cell,
            self._merge,
            rng,
            build.RecordingLogger(),
        )
        self._publish()

    def _merge(self, state: FleetState) -> None:
        self.known.update(record.host_id for record in state.records)
        self._publish()

    def _publish(self) -> None:
        peers = (
            PeerView(name, build.ZONE, 'south', name, 'alive', 1, 0)
            for name in sorted(self.known - {self._host_id})
        )
        self._cell.publish(FleetSnapshot(tuple(peers)))


class PullingFleet:
    """Hosts each of which knows some others.

    ``silent``: no host answers.

    Args:
        count: number of hosts.
        known: number of others that each host knows.
    """

    def __init__(self, count: int, known: int) -> None:
        self.silent = False
        rng = random.Random(1)
        names = [f'host-{number}' for number in range(count)]
        self.hosts = {
            name: PullingHost(
                self,
                name,
                rng.sample([one for one in names if one != name], known),
                rng,
            )
            for name in names
        }

    def pull_all(self) -> None:
        """Let the hosts pull in turn until all are done."""
        while not all(host.pulling.done for host in self.hosts.values()):
            for host in self.hosts.values():
                if not host.pulling.done:
                    host.pulling.pull()


class _Client(PeerClient):
    def __init__(self, fleet: PullingFleet, host: PullingHost) -> None:
        self._fleet = fleet
        self._host = host

    def call(
        self,
        address: str,
        request: calls.PeerRequest,
        timeout_s: float = 0,
        connect_timeout_s: float = 0,
    ) -> calls.PeerReply:
        assert isinstance(request, calls.FleetQuery)
        self._host.pulls += 1
        if self._fleet.silent:
            raise calls.PeerAnswerLostError(address)
        records = (
            PeerRecord(name, build.ZONE, 'south', name, 1, PeerState.alive)
            for name in sorted(self._fleet.hosts[address].known)
        )
        return calls.PeerReply(records=tuple(records))
