"""Actor that holds what this host knows of the fleet, and publishes it."""

from __future__ import annotations

import dataclasses
import functools
from collections.abc import Callable, Iterable
from typing import Any

from guavadyke.adapters.peer_datagram_codec import PeerDatagram
from guavadyke.adapters.peer_datagrams import LocalStatus
from guavadyke.adapters.ports import Clock
from guavadyke.controllers import membership_messages as messages
from guavadyke.controllers.actors import GuardedActor
from guavadyke.controllers.membership_gossip import GossipSender
from guavadyke.decisions.leaving_servers import LeavingMark, LeavingRegistry
from guavadyke.decisions.member_list import Member
from guavadyke.decisions.membership import Membership
from guavadyke.decisions.membership_protocol import PeerState
from guavadyke.log import EventLogger
from guavadyke.part_health import PartHealth
from guavadyke.snapshots import (
    CatalogueSnapshot,
    FleetSnapshot,
    PeerView,
    SnapshotCell,
)

_PUBLISH_INTERVAL_S = 0.5
_FORGET_INTERVAL_S = 60
_LEFT_PEER_SHOWN_S = 60

PeerStatuses = dict[str, messages.PeerStatus]


@dataclasses.dataclass(frozen=True)
class FleetCells:
    """Snapshots for other threads.

    ``catalogue`` is only read here; ``fleet`` and ``peer_statuses`` (the last
    status of each live peer by host id) are published.
    """

    catalogue: SnapshotCell[CatalogueSnapshot]
    fleet: SnapshotCell[FleetSnapshot]
    peer_statuses: SnapshotCell[PeerStatuses]


@dataclasses.dataclass(frozen=True)
class PeerEvents:
    """Callbacks with a peer's address.

    ``on_newer_catalogue``: this host's catalogue is behind the peer's;
    ``on_peer_joined``: the first datagram of a peer that was unknown or had
    become unreachable.
    """

    on_newer_catalogue: Callable[[str], None]
    on_peer_joined: Callable[[str], None]


@dataclasses.dataclass(frozen=True)
class MembershipDependencies:
    """Dependencies of the membership controller."""

    membership: Membership
    leaving_registry: LeavingRegistry
    gossip_sender: GossipSender
    local_status: LocalStatus
    cells: FleetCells
    events: PeerEvents
    clock: Clock
    logger: EventLogger
    health: PartHealth | None = None


class MembershipController(GuardedActor):
    """Runs the failure detector and gossip, and publishes the fleet.

    Args:
        deps: membership state, transport, cells and callbacks.
    """

    def __init__(self, deps: MembershipDependencies) -> None:
        super().__init__(deps.health or PartHealth('membership', deps.logger))
        self._deps = deps
        self._membership = deps.membership
        self._member_list = deps.membership.member_list
        self._peer_statuses: PeerStatuses = {}
        self._publish_due: float = 0
        self._forget_due: float = 0

    def handle(self, message: Any) -> Any:
        """Handle a message; the type of the reply depends on the message."""
        return _handle(message, self)

    def tick(self) -> None:
        """Send due probes, forget old peers, and publish if anything changed.

        The fleet is also published at least every half second.
        """
        now = self._now()
        outgoing = self._membership.tick(now)
        changed = self._process_changes()
        self._deps.gossip_sender.send(outgoing)
        if now >= self._forget_due:
            self._forget_due = now + _FORGET_INTERVAL_S
            self._member_list.forget(now)
        if changed or now >= self._publish_due:
            self._publish(now)

    def receive(self, datagram: PeerDatagram) -> None:
        """Process a peer's datagram: answer it and merge what it carries."""
        now = self._now()
        sender = datagram.records[0]
        outgoing = self._membership.received(
            sender,
            datagram.signal,
            datagram.records[1:],
            now,
        )
        changed = self._process_changes()
        self._deps.gossip_sender.send(outgoing)
        self._record_peer_status(datagram, now)
        self._spread_marks(
            self._deps.leaving_registry.merge(datagram.leaving, now)
        )
        if changed:
            self._publish(now)

    def add_contacts(self, addresses: Iterable[str]) -> None:
        """Add addresses at which peers may be found."""
        self._membership.set_contact_addresses(addresses)

    def merge_fleet(self, fleet_state: messages.FleetState) -> None:
        """Merge the records and marks that a peer knows."""
        now = self._now()
        self._member_list.merge(fleet_state.records, now)
        self._process_changes()
        self._spread_marks(
            self._deps.leaving_registry.merge(fleet_state.leaving, now)
        )
        self._publish(now)

    def record_observations(
        self, message: messages.LeavingObservations
    ) -> None:
        """Turn observations of backend servers into marks and spread them."""
        now = self._now()
        seen = (
            self._deps.leaving_registry.process_observation(observation, now)
            for observation in message.observations
        )
        self._spread_marks(mark for mark in seen if mark is not None)

    def known_fleet(self) -> messages.FleetState:
        """Return the records and marks that this host knows."""
        known = (member.record for member in self._member_list.members.values())
        return messages.FleetState(
            (self._member_list.me, *known),
            self._deps.leaving_registry.marks,
        )

    def leave(self) -> None:
        """Tell peers that this host is leaving the fleet."""
        outgoing = self._membership.leave()
        self._process_changes()
        self._deps.gossip_sender.send(outgoing)

    def publish_and_gossip(self) -> None:
        """Publish the fleet and send pending updates to a few peers now."""
        self._publish(self._now())
        self._deps.gossip_sender.gossip()

    def _record_peer_status(self, datagram: PeerDatagram, now: float) -> None:
        sender = datagram.records[0]
        known = self._peer_statuses.get(sender.host_id)
        self._peer_statuses[sender.host_id] = messages.PeerStatus(
            sender.address,
            sender.zone,
            datagram.catalogue_mark,
            datagram.platform_reachable,
            now,
        )
        if known is None:
            self._deps.events.on_peer_joined(sender.address)
        if self._deps.local_status.catalogue_mark.behind(
            datagram.catalogue_mark
        ):
            self._deps.events.on_newer_catalogue(sender.address)

    def _process_changes(self) -> bool:
        changes = self._member_list.changes()
        for record in changes:
            self._deps.gossip_sender.queue_record(record)
            self._deps.logger.info(
                'peer_changed',
                peer=record.host_id,
                state=record.state.name,
                address=record.address,
                incarnation=record.incarnation,
            )
            if not record.state.reachable:
                self._peer_statuses.pop(record.host_id, None)
        self._deps.local_status.own_record = self._member_list.me
        return bool(changes)

    def _spread_marks(self, marks: Iterable[LeavingMark]) -> None:
        newer = tuple(marks)
        for mark in newer:
            self._deps.gossip_sender.queue_mark(mark)
            self._deps.logger.info(
                'backend_server_marked',
                backend_server=mark.backend_id,
                leaving=mark.leaving,
                source=mark.source,
                version=mark.version,
            )
        if newer:
            self.publish_and_gossip()

    def _publish(self, now: float) -> None:
        self._publish_due = now + _PUBLISH_INTERVAL_S
        self._deps.cells.peer_statuses.publish(dict(self._peer_statuses))
        self._deps.cells.fleet.publish(
            FleetSnapshot(
                peers=tuple(
                    _peer_view(member, now)
                    for member in self._member_list.members.values()
                    if _is_shown(member, now)
                ),
                gone=frozenset(
                    host_id
                    for host_id, member in self._member_list.members.items()
                    if not member.record.state.reachable
                ),
                grown_at=self._member_list.grown_at,
                leaving=self._leaving_servers(),
                platform_reachable=_platform_reachable(
                    self._deps.local_status,
                    self._peer_statuses,
                ),
            ),
        )

    def _leaving_servers(self) -> frozenset[str]:
        servers = self._deps.cells.catalogue.current.backend_servers
        configured = (
            server_id for server_id, server in servers.items() if server.leaving
        )
        return self._deps.leaving_registry.leaving.union(configured)

    def _now(self) -> float:
        return self._deps.clock.monotonic()


def _platform_reachable(
    local_status: LocalStatus, peer_statuses: PeerStatuses
) -> bool:
    """Return whether this host or any live peer can reach the platform."""
    return local_status.reached_directly() or any(
        peer.platform_reachable for peer in peer_statuses.values()
    )


def _peer_view(member: Member, now: float) -> PeerView:
    record = member.record
    return PeerView(
        host_id=record.host_id,
        zone=record.zone,
        region=record.region,
        address=record.address,
        state=record.state.name,
        incarnation=record.incarnation,
        age_s=now - member.heard_at,
    )


def _is_shown(member: Member, now: float) -> bool:
    if member.record.state.reachable:
        return True
    left = member.record.state is PeerState.left
    return left and now - member.changed_at < _LEFT_PEER_SHOWN_S


@functools.singledispatch
def _handle(message: object, controller: MembershipController) -> Any:
    raise TypeError(f'unknown message {message!r}')


@_handle.register
def _handle_tick(
    message: messages.Tick,
    controller: MembershipController,
) -> None:
    controller.tick()


@_handle.register
def _handle_datagram(
    message: messages.DatagramReceived,
    controller: MembershipController,
) -> None:
    controller.receive(message.datagram)


@_handle.register
def _handle_contacts(
    message: messages.ContactAddresses,
    controller: MembershipController,
) -> None:
    controller.add_contacts(message.addresses)


@_handle.register
def _handle_local_status(
    message: messages.LocalStatusChanged,
    controller: MembershipController,
) -> None:
    controller.publish_and_gossip()


@_handle.register
def _handle_observations(
    message: messages.LeavingObservations,
    controller: MembershipController,
) -> None:
    controller.record_observations(message)


@_handle.register
def _handle_fleet_state(
    message: messages.FleetState,
    controller: MembershipController,
) -> None:
    controller.merge_fleet(message)


@_handle.register
def _handle_fleet_query(
    message: messages.FleetStateQuery,
    controller: MembershipController,
) -> messages.FleetState:
    return controller.known_fleet()


@_handle.register
def _handle_leave(
    message: messages.LeaveFleet,
    controller: MembershipController,
) -> None:
    controller.leave()
