"""Membership, catalogue and backend servers of one entry host."""

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
    """Runs membership, the catalogue, drains and orders of one entry host.

    The constructor binds the peer port, so that its number is known.

    Args:
        settings: the entry host's settings.
        clock: the host's clock.
        rng: seeds the random generators of the threads.
        platform: the platform, limited to this host's share of calls.
        servers: calls to backend servers.
        logger: logs events.

    Raises:
        GuavadykeError: the peer port is in use or a secret is missing.
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
        self._peer_port = PeerPort(settings, self.fleet, clock, logger)
        self._peer_client = PeerClient(
            self._peer_port.authenticator,
            settings.host_id,
            clock,
            self._peer_port.faults,
        )
        self._fallback_store = FallbackStore(
            platform,
            self._peer_client,
            self._relay_addresses,
            clock,
            _child_rng(rng),
            logger,
        )
        self._peer_port.local_status.reached_directly = (
            self._fallback_store.reaches_platform
        )
        self.store = WriteConfirmingStore(
            self._fallback_store, clock, _child_rng(rng)
        )
        self._catalogue = CatalogueService(
            settings,
            self.store,
            clock,
            _child_rng(rng),
            logger,
            self._catalogue_changed,
        )
        self._membership = MembershipService(
            settings.peer,
            self._peer_port,
            FleetCells(self.catalogue, self.fleet, SnapshotCell({})),
            PeerEvents(self._request_catalogue_pull, self._request_fleet_pull),
            clock,
            _child_rng(rng),
            logger,
        )
        self._peer_sync = PeerSync(
            self._peer_client,
            self._catalogue.state,
            self._catalogue.ask,
            self._membership.tell,
            clock,
            logger,
        )
        self._peer_server = PeerServer(
            self._peer_port.sockets,
            self._peer_port.authenticator,
            clock,
            self._peer_port.rejection_log,
            self._create_request_handler(platform).answer,
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
        self._leaving_watch = LeavingWatch(self._leaving_deps, _child_rng(rng))
        own_record = self._peer_port.local_status.own_record
        self._reconciler = EngineReconciler(
            ReconcilerDependencies(
                settings.orders,
                f'{own_record.host_id}/{own_record.incarnation}',
                self.catalogue,
                self.fleet,
                assignment,
                self.store,
                EngineOrderClient(servers, own_record.host_id),
                clock,
                logger,
            ),
        )
        self._status_sources: dict[str, StatusSource] = {}

    @property
    def catalogue(self) -> SnapshotCell[CatalogueSnapshot]:
        """The catalogue in force."""
        return self._catalogue.catalogue

    @property
    def messenger(self) -> PeerMessenger:
        """Sends notices to peers and receives theirs."""
        return self._peer_port.messenger

    @property
    def peer_address(self) -> str:
        """Address of the peer port as ``IP:PORT``."""
        return self._peer_port.sockets.address

    @property
    def faults(self) -> TransportFaults:
        """Faults that tests inject into the peer port."""
        return self._peer_port.faults

    def add_status_source(self, name: str, source: StatusSource) -> None:
        """Add another service's status to ``/operator/fleet``."""
        self._status_sources[name] = source

    def operator_routes(self) -> list[Route]:
        """Return the routes of the operator port, which require its token."""
        filters = (self.operator_filter,)
        drains = DrainService(
            self._leaving_deps,
            self._catalogue.editor,
            lambda: self._membership.fleet_state().leaving,
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
        """Join the fleet and start to watch the catalogue."""
        self._peer_server.start()
        self._peer_sync.start()
        self._membership.start(frozenset(self._settings.peer.seeds))
        self._catalogue.start()
        self._leaving_watch.start()
        self._reconciler.start()

    def leave(self) -> None:
        """Announce to the peers that this host leaves the fleet.

        The host goes on working until ``close``.
        """
        self._membership.leave()

    def close(self) -> None:
        """Stop all threads and close the peer port."""
        self._reconciler.close()
        self._leaving_watch.close()
        self._peer_sync.close()
        self._peer_server.close()
        self._catalogue.close()
        self._membership.close()

    def status(self) -> Mapping[str, object]:
        """Return this host's view of the fleet as JSON types."""
        fleet = self.fleet.current
        own_record = self._peer_port.local_status.own_record
        return {
            **dataclasses.asdict(own_record),
            'state': own_record.state.name,
            'platform_reachable': fleet.platform_reachable,
            'peers': [peer_document(peer) for peer in fleet.peers],
            'leaving': sorted(fleet.leaving),
            'backend_servers': server_documents(
                self.catalogue.current,
                fleet.leaving,
            ),
            'marks': mark_documents(self._membership.fleet_state().leaving),
            'catalogue': self._catalogue.status(),
            'reached_directly': self._fallback_store.reaches_platform(),
            'through_peers': self._fallback_store.calls_through_peers,
            'failed_parts': self._membership.failed_parts(),
            'pulls': self._peer_sync.pulls,
            'orders': self._reconciler.status(),
            'traffic': dataclasses.asdict(
                self._peer_port.datagram_port.traffic
            ),
            'refused': {
                str(refusal): count
                for refusal, count in (
                    self._peer_port.rejection_log.counts.items()
                )
            },
            **{name: source() for name, source in self._status_sources.items()},
        }

    def _create_request_handler(
        self, platform: PlatformStore
    ) -> PeerRequestHandler:
        return PeerRequestHandler(
            self._catalogue.state,
            self._catalogue.differing_versions,
            self._membership.fleet_state,
            PlatformRelay(platform, self._fallback_store.reaches_platform),
        )

    def _relay_addresses(self) -> list[str]:
        return self._membership.relay_addresses()

    def _request_catalogue_pull(self, address: str) -> None:
        self._peer_sync.request_catalogue_pull(address)

    def _request_fleet_pull(self, address: str) -> None:
        self._peer_sync.request_fleet_pull(address)

    def _catalogue_changed(self) -> None:
        self._peer_port.local_status.catalogue_mark = (
            self._catalogue.state.current.mark
        )
        self._membership.announce_status()


def _child_rng(rng: random.Random) -> random.Random:
    """Return a random generator for the use of one thread."""
    return random.Random(rng.getrandbits(64))
