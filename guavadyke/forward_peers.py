"""Peers of a host that forwards: membership, notices, mutual help."""

from __future__ import annotations

import random

from guavadyke.adapters import peer_calls as calls
from guavadyke.adapters.peer_port import PeerPort
from guavadyke.adapters.peer_rpc import PeerClient, PeerServer
from guavadyke.adapters.platform_fallback import FallbackStore
from guavadyke.adapters.platform_relay import PlatformRelay
from guavadyke.adapters.ports import Clock, PeerMessenger, PlatformStore
from guavadyke.controllers.membership import FleetCells, PeerEvents
from guavadyke.log import EventLogger
from guavadyke.membership_service import MembershipService
from guavadyke.settings import HostSettings
from guavadyke.snapshots import CatalogueSnapshot, FleetSnapshot, SnapshotCell


class ForwardPeers:
    """Knows the other hosts, and reaches the platform through them.

    Args:
        settings: this host and its peer port.
        platform: the platform, within this host's call budget.
        fleet: gets what is known of the other hosts.
        clock: time.
        rng: seeds the random choices.
        logger: logs changes.

    Raises:
        GuavadykeError: the peer port is taken or the fleet key is missing.
    """

    def __init__(
        self,
        settings: HostSettings,
        platform: PlatformStore,
        fleet: SnapshotCell[FleetSnapshot],
        clock: Clock,
        rng: random.Random,
        logger: EventLogger,
    ) -> None:
        self._seeds = frozenset(settings.peer.seeds)
        self._helper = PlatformRelay(platform)
        port = PeerPort(settings, fleet, clock, logger)
        self._messenger = port.messenger
        self._store = FallbackStore(
            platform,
            PeerClient(
                port.authenticator, settings.host_id, clock, port.faults
            ),
            self._relay_addresses,
            clock,
            random.Random(rng.getrandbits(64)),
        )
        port.standing.reached_directly = self._store.reached
        self._membership = MembershipService(
            settings.peer,
            port,
            FleetCells(
                # These hosts share no catalogue: the platform holds it.
                SnapshotCell(CatalogueSnapshot()),
                fleet,
                SnapshotCell({}),
            ),
            PeerEvents(_ignore, _ignore),
            clock,
            rng,
            logger,
        )
        self._server = PeerServer(
            port.pair,
            port.authenticator,
            clock,
            port.refusals,
            self._answer,
        )

    @property
    def store(self) -> FallbackStore:
        """The platform, through a peer where it is not reached directly."""
        return self._store

    @property
    def messenger(self) -> PeerMessenger:
        """Notices to and from peers."""
        return self._messenger

    def start(self) -> None:
        """Join the fleet through the seeds."""
        self._server.start()
        self._membership.start(self._seeds)

    def leave(self) -> None:
        """Tell the peers that this host leaves."""
        self._membership.leave()

    def close(self) -> None:
        """Close the peer port."""
        self._server.close()
        self._membership.close()

    def _relay_addresses(self) -> list[str]:
        return self._membership.relay_addresses()

    def _answer(
        self,
        _sender: str,
        request: calls.PeerRequest,
    ) -> calls.PeerReply:
        """Make a peer's call to the platform; such hosts ask nothing else."""
        if not isinstance(request, calls.PlatformCall):
            raise TypeError(f'unknown call {request!r}')
        return self._helper.answer(request)


def _ignore(_address: str) -> None:
    """Take nothing from a peer's catalogue."""
