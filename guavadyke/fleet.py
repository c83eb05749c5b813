"""What an entry host knows of peers, backend servers and configuration."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Mapping

from guavadyke.adapters.engine_order_client import EngineOrderClient
from guavadyke.adapters.peer_port import PeerPort
from guavadyke.adapters.peer_rpc import PeerClient, PeerServer
from guavadyke.adapters.peer_sockets import TransportFaults
from guavadyke.adapters.platform_fallback import FallbackStore
from guavadyke.adapters.platform_relay import PlatformRelay
from guavadyke.adapters.ports import (
    BackendServers,
    Clock,
    PeerMessenger,
    PlatformStore,
)
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.catalogue_service import CatalogueService
from guavadyke.controllers.assignment import RendezvousAssignment
from guavadyke.controllers.engine_reconciler import (
    EngineReconciler,
    ReconcilerDependencies,
)
from guavadyke.controllers.leaving_watch import (
    DrainService,
    LeavingDependencies,
    LeavingWatch,
)
from guavadyke.controllers.membership import FleetCells, PeerEvents
from guavadyke.controllers.peer_request_handler import PeerRequestHandler
from guavadyke.controllers.peer_sync import PeerSync
from guavadyke.fleet_routes import (
    FleetRoutes,
    StatusSource,
    mark_documents,
    peer_document,
    server_documents,
)
from guavadyke.http_application import Route
from guavadyke.log import EventLogger
from guavadyke.membership_service import MembershipService
from guavadyke.operator_filter import OperatorFilter
from guavadyke.settings import EntrySettings
from guavadyke.snapshots import (
    CatalogueSnapshot,
    FleetSnapshot,
    SnapshotCell,
)


class FleetService:
    """Membership, catalogue and leaving servers of one entry host.

    The peer port is bound at construction, so that its number is known.

    Args:
        settings: the entry host's settings.
        clock: time.
        rng: seeds the random choices.
        platform: the platform, within this host's call budget.
        servers: backend servers, asked for their own reports.
        logger: logs events.

    Raises:
        GuavadykeError: the peer port is taken or a secret is missing.
    """

    def __init__(
        self,
        settings: EntrySettings,
        clock: Clock,
        rng: random.Random,
        platform: PlatformStore,
        servers: BackendServers,
        logger: EventLogger,
    ) -> None:
        self.fleet = SnapshotCell(FleetSnapshot())
        self.operator_filter = OperatorFilter(settings.operator.token.reveal())
        self._settings = settings
        self._port = PeerPort(settings, self.fleet, clock, logger)
        self._client = PeerClient(
            self._port.authenticator,
            settings.host_id,
            clock,
            self._port.faults,
        )
        self._fallback = FallbackStore(
            platform,
            self._client,
            self._relay_addresses,
            clock,
            _child(rng),
        )
        self._port.standing.reached_directly = self._fallback.reached
        self.store = WriteConfirmingStore(self._fallback, clock, _child(rng))
        self._catalogue = CatalogueService(
            settings,
            self.store,
            clock,
            _child(rng),
            logger,
            self._catalogue_changed,
        )
        self._membership = MembershipService(
            settings.peer,
            self._port,
            FleetCells(self.catalogue, self.fleet, SnapshotCell({})),
            PeerEvents(self._behind, self._joined),
            clock,
            _child(rng),
            logger,
        )
        self._sync = PeerSync(
            self._client,
            self._catalogue.state,
            self._catalogue.ask,
            self._membership.tell,
            clock,
            logger,
        )
        self._server = PeerServer(
            self._port.pair,
            self._port.authenticator,
            clock,
            self._port.refusals,
            self._answers(platform).answer,
        )
        assignment = RendezvousAssignment(settings, self.fleet)
        self._leaving_deps = LeavingDependencies(
            settings,
            self.catalogue,
            assignment,
            servers,
            self.store,
            self._membership.ask,
            clock,
            logger,
        )
        self._leaving = LeavingWatch(self._leaving_deps, _child(rng))
        me = self._port.standing.me
        self._orders = EngineReconciler(
            ReconcilerDependencies(
                settings.orders,
                f'{me.host_id}/{me.incarnation}',
                self.catalogue,
                self.fleet,
                assignment,
                self.store,
                EngineOrderClient(servers, me.host_id),
                clock,
                logger,
            ),
        )
        self._sources: dict[str, StatusSource] = {}

    @property
    def catalogue(self) -> SnapshotCell[CatalogueSnapshot]:
        """The configuration in force."""
        return self._catalogue.catalogue

    @property
    def messenger(self) -> PeerMessenger:
        """Notices to and from peers."""
        return self._port.messenger

    @property
    def peer_address(self) -> str:
        """IP:PORT of the peer port."""
        return self._port.pair.address

    @property
    def faults(self) -> TransportFaults:
        """Cuts and losses of the peer port, for tests."""
        return self._port.faults

    def add_status_source(self, name: str, source: StatusSource) -> None:
        """Show another service's status on ``/operator/fleet``."""
        self._sources[name] = source

    def operator_routes(self) -> list[Route]:
        """Return the routes of the operator port, behind its token."""
        filters = (self.operator_filter,)
        drains = DrainService(
            self._leaving_deps,
            self._catalogue.editor,
            lambda: self._membership.known().leaving,
        )
        routes = FleetRoutes(
            self.status,
            self.catalogue,
            drains,
            self._leaving_deps.servers,
        )
        return [
            *self._catalogue.routes.routes(filters),
            *routes.routes(filters),
        ]

    def start(self) -> None:
        """Join the fleet and follow the catalogue."""
        self._server.start()
        self._sync.start()
        self._membership.start(frozenset(self._settings.peer.seeds))
        self._catalogue.start()
        self._leaving.start()
        self._orders.start()

    def leave(self) -> None:
        """Tell the peers that this host leaves; it goes on working."""
        self._membership.leave()

    def close(self) -> None:
        """Stop all threads and close the peer port."""
        self._orders.close()
        self._leaving.close()
        self._sync.close()
        self._server.close()
        self._catalogue.close()
        self._membership.close()

    def status(self) -> Mapping[str, object]:
        """Return what this host sees, as JSON types."""
        fleet = self.fleet.current
        me = self._port.standing.me
        return {
            **dataclasses.asdict(me),
            'state': me.state.name,
            'platform_reachable': fleet.platform_reachable,
            'peers': [peer_document(peer) for peer in fleet.peers],
            'leaving': sorted(fleet.leaving),
            'backend_servers': server_documents(
                self.catalogue.current,
                fleet.leaving,
            ),
            'marks': mark_documents(self._membership.known().leaving),
            'catalogue': self._catalogue.status(),
            'reached_directly': self._fallback.reached(),
            'through_peers': self._fallback.calls_through_peers,
            'pulls': self._sync.pulls,
            'orders': self._orders.status(),
            'traffic': dataclasses.asdict(self._port.port.traffic),
            'refused': {
                str(refusal): count
                for refusal, count in self._port.refusals.counts.items()
            },
            **{name: source() for name, source in self._sources.items()},
        }

    def _answers(self, platform: PlatformStore) -> PeerRequestHandler:
        return PeerRequestHandler(
            self._catalogue.state,
            self._catalogue.differing,
            self._membership.known,
            PlatformRelay(platform),
        )

    def _relay_addresses(self) -> list[str]:
        return self._membership.relay_addresses()

    def _behind(self, address: str) -> None:
        self._sync.request_catalogue_pull(address)

    def _joined(self, address: str) -> None:
        self._sync.request_fleet_pull(address)

    def _catalogue_changed(self) -> None:
        self._port.standing.mark = self._catalogue.state.current.mark
        self._membership.changed()


def _child(rng: random.Random) -> random.Random:
    """Return a generator for one thread."""
    return random.Random(rng.getrandbits(64))
