"""Membership on one entry host: the peer port and its controller."""

from __future__ import annotations

import random
import threading
from typing import cast

from guavadyke.adapters.peer_datagram_codec import PeerDatagram
from guavadyke.adapters.peer_port import PeerPort
from guavadyke.adapters.ports import Clock
from guavadyke.controllers import membership_messages as messages
from guavadyke.controllers.actors import ask_function, tell_function, waiting
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
from guavadyke.log import EventLogger
from guavadyke.settings import PeerSettings

_TICK_S = 0.1
_REPORT_LAG_S = 2
_INBOX_LENGTH = 2000


class MembershipService:
    """Runs membership over the peer port.

    Args:
        settings: intervals and timeouts.
        port: the peer port.
        cells: the catalogue in force, and what this host sees of the fleet.
        events: called when peers appear or have a newer catalogue.
        clock: time.
        rng: seeds the random choices.
        logger: logs changes.
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
        membership = Membership(port.standing.me, _policy(settings), rng)
        board = LeavingRegistry(_REPORT_LAG_S)
        self.controller = MembershipController.start(
            MembershipDependencies(
                membership,
                board,
                GossipSender(
                    port.datagrams,
                    port.port,
                    membership.member_list,
                    board,
                    rng,
                ),
                port.standing,
                cells,
                events,
                clock,
                logger,
            ),
        )
        self.ask = ask_function(self.controller)
        self.tell = tell_function(self.controller)
        self._stop = threading.Event()
        self._ticker = threading.Thread(
            target=self._tick,
            name='membership-tick',
            daemon=True,
        )

    def start(self, seeds: frozenset[str]) -> None:
        """Join the fleet through the seeds."""
        self.tell(messages.ContactAddresses(seeds))
        self._port.start(self._receive)
        self._ticker.start()

    def known(self) -> messages.FleetState:
        """Return all that this host knows."""
        learnt = self.ask(messages.FleetStateQuery())
        return cast(messages.FleetState, learnt) or messages.FleetState()

    def relay_addresses(self) -> list[str]:
        """Return live peers that say that they reach the platform.

        They come in random order, so that all of them share the work.
        """
        reaching = [
            peer.address
            for peer in self._peer_statuses.current.values()
            if peer.platform_reachable
        ]
        self._rng.shuffle(reaching)
        return reaching

    def changed(self) -> None:
        """Tell peers at once that this host's standing changed."""
        self.tell(messages.LocalStatusChanged())

    def leave(self) -> None:
        """Tell peers that this host leaves."""
        self.ask(messages.Leave())

    def close(self) -> None:
        """Stop probing and close the peer port."""
        self._stop.set()
        self._port.close()
        self.controller.stop()

    def _receive(self, datagram: PeerDatagram) -> None:
        if waiting(self.controller) < _INBOX_LENGTH:
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
