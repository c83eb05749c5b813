"""Connects the membership controller of a host with its peer port."""

from __future__ import annotations

import random
import threading
from typing import cast

from guavadyke.adapters.peer_datagram_codec import PeerDatagram
from guavadyke.adapters.peer_port import PeerPort
from guavadyke.adapters.ports import Clock
from guavadyke.controllers import membership_messages as messages
from guavadyke.controllers.actors import (
    ask_function,
    is_sound,
    tell_function,
    waiting,
)
from guavadyke.controllers.membership import (
    FleetCells,
    MembershipController,
    MembershipDependencies,
    PeerEvents,
)
from guavadyke.controllers.membership_gossip import GossipSender
from guavadyke.decisions.leaving_servers import LeavingRegistry
from guavadyke.decisions.membership import Membership
from guavadyke.decisions.membership_protocol import MembershipPolicy
from guavadyke.guarded_threads import GuardedThread
from guavadyke.log import EventLogger
from guavadyke.part_health import PartHealth
from guavadyke.settings import PeerSettings

_TICK_S = 0.1
_LEAVING_REPORT_LAG_S = 2
_MAX_QUEUED_MESSAGES = 2000


class MembershipService:
    """Runs membership over the peer port.

    Args:
        settings: intervals and timeouts of the failure detector.
        port: the peer port.
        cells: snapshots that the controller reads and publishes.
        events: callbacks for new peers and newer catalogues.
        clock: the host's clock.
        rng: source of randomness.
        logger: logs membership changes.
    """

    def __init__(
        self,
        settings: PeerSettings,
        port: PeerPort,
        cells: FleetCells,
        events: PeerEvents,
        clock: Clock,
        rng: random.Random,
        logger: EventLogger,
    ) -> None:
        self._port = port
        self._peer_statuses = cells.peer_statuses
        self._rng = random.Random(rng.getrandbits(64))
        membership = Membership(
            port.local_status.own_record, _policy(settings), rng
        )
        leaving_registry = LeavingRegistry(_LEAVING_REPORT_LAG_S)
        self._health = PartHealth('membership', logger)
        self.controller = MembershipController.start(
            MembershipDependencies(
                membership,
                leaving_registry,
                GossipSender(
                    port.datagrams,
                    port.datagram_port,
                    membership.member_list,
                    leaving_registry,
                    rng,
                ),
                port.local_status,
                cells,
                events,
                clock,
                logger,
                self._health,
            ),
        )
        self.ask = ask_function(self.controller)
        self.tell = tell_function(self.controller)
        self._stop = threading.Event()
        self._ticker = GuardedThread(self._tick, 'membership-tick', self._stop)

    def start(self, seeds: frozenset[str]) -> None:
        """Join the fleet through the seeds."""
        self.tell(messages.ContactAddresses(seeds))
        self._port.start(self._receive)
        self._ticker.start()

    def fleet_state(self) -> messages.FleetState:
        """Return the state of the fleet as this host knows it."""
        fleet_state = self.ask(messages.FleetStateQuery())
        return cast(messages.FleetState, fleet_state) or messages.FleetState()

    def relay_addresses(self) -> list[str]:
        """Return addresses of live peers that report a reachable platform.

        The order is random, which spreads relayed calls over the peers.
        """
        addresses = [
            peer.address
            for peer in self._peer_statuses.current.values()
            if peer.platform_reachable
        ]
        self._rng.shuffle(addresses)
        return addresses

    def failed_parts(self) -> tuple[str, ...]:
        """Return the names of the parts that have failed for good."""
        sound = {
            self._health.part: is_sound(self.controller, self._health),
            self._ticker.name: self._ticker.sound,
        }
        return tuple(part for part in sound if not sound[part])

    def announce_status(self) -> None:
        """Announce a change of this host's status to peers without delay."""
        self.tell(messages.LocalStatusChanged())

    def leave(self) -> None:
        """Announce to the peers that this host leaves the fleet."""
        self.ask(messages.LeaveFleet())

    def close(self) -> None:
        """Stop the failure detector and close the peer port."""
        self._stop.set()
        self._port.close()
        self.controller.stop()

    def _receive(self, datagram: PeerDatagram) -> None:
        if waiting(self.controller) < _MAX_QUEUED_MESSAGES:
            self.tell(messages.DatagramReceived(datagram))

    def _tick(self) -> None:
        while not self._stop.wait(_TICK_S):
            self.tell(messages.Tick())


def _policy(settings: PeerSettings) -> MembershipPolicy:
    return MembershipPolicy(
        probe_interval_s=settings.probe_interval_s,
        probe_timeout_s=settings.probe_timeout_s,
        suspicion_s=settings.suspicion_s,
    )
