"""Peers of a forwarding host: membership, notices, relayed calls."""

from __future__ import annotations

import collections
import random
from collections.abc import Callable
from typing import Protocol

from guavadyke.adapters import peer_calls as calls
from guavadyke.adapters.backend import OpenThroughPeer
from guavadyke.adapters.peer_port import PeerPort
from guavadyke.adapters.peer_reads import PeerReads
from guavadyke.adapters.peer_rpc import (
    PeerChannels,
    PeerClient,
    PeerServer,
)
from guavadyke.adapters.peer_tunnels import PeerTunnels, TunnelRelay
from guavadyke.adapters.platform_fallback import FallbackStore
from guavadyke.adapters.platform_relay import PlatformRelay
from guavadyke.adapters.ports import (
    BackendServers,
    Clock,
    PeerMessenger,
    PlatformStore,
)
from guavadyke.adapters.shared_watches import (
    PeerWatches,
    SharedWatches,
    WatchHub,
)
from guavadyke.controllers.fleet_pulls import FleetPulls
from guavadyke.controllers.host_abilities import HostAbilities
from guavadyke.controllers.item_texts import ItemTexts
from guavadyke.controllers.membership import FleetCells, PeerEvents
from guavadyke.controllers.text_handover import TextHandover
from guavadyke.decisions.partial_texts import JobTexts
from guavadyke.decisions.watch_sharing import plan_watch, watch_times
from guavadyke.log import EventLogger
from guavadyke.membership_service import MembershipService
from guavadyke.settings import HostSettings
from guavadyke.snapshots import CatalogueSnapshot, FleetSnapshot, SnapshotCell

_ALIVE = 'alive'


class RoutedBackendServers(BackendServers, Protocol):
    """Client that reaches servers through other hosts where it has to.

    ``open_through_peer`` opens connections to servers through other hosts.
    """

    open_through_peer: OpenThroughPeer

    def is_cut(self, address: str) -> bool:
        """Return whether this host's own link to a server seems cut."""
        ...


class ForwardPeers:
    """Tracks the other hosts and relays platform calls for them.

    If this host cannot reach the platform, a peer makes its calls; in turn
    it makes the calls of such peers. In a large availability zone a few
    hosts watch the platform for all others. ``abilities`` tells which hosts
    cannot run items of jobs.

    Args:
        settings: settings of the host and its peer port.
        platform: the platform, limited to this host's share of calls.
        fleet: receives the state of the other hosts.
        clock: the host's clock.
        rng: seeds the random generators of the threads.
        logger: logs changes.
        servers: client of backend servers, which are reached through other
            hosts from now on where links are cut.

    Raises:
        GuavadykeError: the peer port is in use or the fleet key is missing.
    """

    def __init__(
        self,
        settings: HostSettings,
        platform: PlatformStore,
        fleet: SnapshotCell[FleetSnapshot],
        clock: Clock,
        rng: random.Random,
        logger: EventLogger,
        servers: RoutedBackendServers,
    ) -> None:
        self._seeds = frozenset(settings.peer.seeds)
        port = PeerPort(settings, fleet, clock, logger)
        self._messenger = port.messenger
        self._host_id = settings.host_id
        self._zone = settings.zone
        self._fleet = fleet
        self._watch_hub = WatchHub(
            watch_times(settings.platform.freshness_s).source_margin_s, clock
        )
        self.abilities = HostAbilities(
            settings.host_id, fleet, self._messenger, clock, logger
        )
        client = PeerClient(
            port.authenticator, settings.host_id, clock, port.faults
        )
        self.reads = PeerReads(client)
        self.item_texts = ItemTexts(TextHandover(client, fleet, clock, logger))
        # Answers calls of peers that need no call to the platform.
        self.answer_locally: Callable[
            [calls.PlatformCall], calls.PeerReply | None
        ] = _answer_nothing
        self._store = FallbackStore(
            platform,
            client,
            self._relay_addresses,
            clock,
            random.Random(rng.getrandbits(64)),
            logger,
            SharedWatches(
                self._watch_hub,
                PeerWatches(PeerChannels(client), logger),
                self._plan_watch,
            ),
        )
        self._platform_relay = PlatformRelay(
            platform, self._store.reaches_platform
        )
        port.local_status.reached_directly = self._store.reaches_platform
        self._membership = MembershipService(
            settings.peer,
            port,
            FleetCells(
                # Forwarding hosts read their configuration from the
                # platform and share no catalogue.
                SnapshotCell(CatalogueSnapshot()),
                fleet,
                SnapshotCell({}),
            ),
            PeerEvents(_ignore_peer_event, _ignore_peer_event),
            clock,
            rng,
            logger,
        )
        self._fleet_pulls = FleetPulls(
            settings.host_id,
            client,
            fleet,
            self._membership.tell,
            random.Random(rng.getrandbits(64)),
            logger,
        )
        servers.open_through_peer = PeerTunnels(
            client,
            fleet,
            settings.zone,
            random.Random(rng.getrandbits(64)),
            logger,
        ).open
        self.tunnel_relay = TunnelRelay(servers.is_cut, logger)
        self._peer_server = PeerServer(
            port.sockets,
            port.authenticator,
            clock,
            port.rejection_log,
            self._answer_peer,
            self.tunnel_relay,
        )

    @property
    def store(self) -> FallbackStore:
        """The platform; calls go through a peer if it is unreachable."""
        return self._store

    @property
    def messenger(self) -> PeerMessenger:
        """Sends notices to peers and receives theirs."""
        return self._messenger

    def failed_parts(self) -> tuple[str, ...]:
        """Return the names of the parts that have failed for good."""
        return self._membership.failed_parts()

    def start(self) -> None:
        """Join the fleet through the seeds."""
        self.tunnel_relay.start()
        self._peer_server.start()
        self._membership.start(self._seeds)
        self._fleet_pulls.start()

    def leave(self) -> None:
        """Announce to the peers that this host leaves the fleet."""
        self._membership.leave()

    def close(self) -> None:
        """Stop membership and close the peer port."""
        self._fleet_pulls.close()
        self._peer_server.close()
        self.tunnel_relay.close()
        self._membership.close()

    def _relay_addresses(self) -> list[str]:
        return self._membership.relay_addresses()

    def _answer_peer(
        self,
        _sender: str,
        request: calls.PeerRequest,
    ) -> calls.PeerReply:
        """Make a platform call for a peer, or tell or keep what it asks to."""
        if isinstance(request, calls.WatchQuery):
            return self._watch_hub.answer(request)
        if isinstance(request, calls.FleetQuery):
            known_fleet = self._membership.fleet_state()
            return calls.PeerReply(records=known_fleet.records)
        if isinstance(request, JobTexts):
            self.item_texts.handover.receive(request)
            return calls.PeerReply()
        if not isinstance(request, calls.PlatformCall):
            raise TypeError(f'unknown call {request!r}')
        known = self.answer_locally(request)
        return self._platform_relay.answer(request) if known is None else known

    def _plan_watch(self, kind: str) -> tuple[bool, tuple[str, ...]]:
        """Return whether to watch a kind, and the addresses to ask."""
        alive = [
            peer for peer in self._fleet.current.peers if peer.state == _ALIVE
        ]
        addresses = {peer.host_id: peer.address for peer in alive}
        zones: dict[str, list[str]] = collections.defaultdict(list)
        for peer in alive:
            zones[peer.zone].append(peer.host_id)
        plan = plan_watch(kind, self._host_id, zones.pop(self._zone, ()), zones)
        return plan.watches, tuple(
            addresses[host_id] for host_id in plan.sources
        )


def _answer_nothing(_call: calls.PlatformCall) -> None:
    """Leave all calls to the platform."""


def _ignore_peer_event(_address: str) -> None:
    """Ignore a membership event, because there is no catalogue to sync."""
