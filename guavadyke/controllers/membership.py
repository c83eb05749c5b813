"""Controller of membership: owns what this host knows of the fleet."""

from __future__ import annotations

import dataclasses
import functools
from collections.abc import Callable, Iterable
from typing import Any

import pykka

from guavadyke.adapters.peer_datagram_codec import PeerDatagram
from guavadyke.adapters.peer_datagrams import LocalStatus
from guavadyke.adapters.ports import Clock
from guavadyke.controllers import membership_messages as messages
from guavadyke.controllers.membership_gossip import GossipSender
from guavadyke.decisions.leaving_servers import LeavingMark, LeavingRegistry
from guavadyke.decisions.member_list import Member
from guavadyke.decisions.membership import Membership
from guavadyke.decisions.membership_protocol import PeerState
from guavadyke.log import EventLogger
from guavadyke.snapshots import (
    CatalogueSnapshot,
    FleetSnapshot,
    PeerView,
    SnapshotCell,
)

_PUBLISH_INTERVAL_S = 0.5
_FORGET_INTERVAL_S = 60
_LEFT_SHOWN_S = 60

Standings = dict[str, messages.PeerStanding]


@dataclasses.dataclass(frozen=True)
class FleetCells:
    """What request threads read of the fleet."""

    catalogue: SnapshotCell[CatalogueSnapshot]
    fleet: SnapshotCell[FleetSnapshot]
    peer_statuses: SnapshotCell[Standings]


@dataclasses.dataclass(frozen=True)
class PeerEvents:
    """Calls with a peer's address.

    ``behind``: its catalogue is newer; ``joined``: it has appeared.
    """

    behind: Callable[[str], None]
    joined: Callable[[str], None]


@dataclasses.dataclass(frozen=True)
class MembershipDependencies:
    """What the controller works with."""

    membership: Membership
    board: LeavingRegistry
    spreader: GossipSender
    standing: LocalStatus
    cells: FleetCells
    events: PeerEvents
    clock: Clock
    logger: EventLogger


class MembershipController(pykka.ThreadingActor):
    """Drives membership, spreads rumours and publishes the fleet.

    Args:
        parts: what it works with.
    """

    use_daemon_thread = True

    def __init__(self, parts: MembershipDependencies) -> None:
        super().__init__()
        self._parts = parts
        self._membership = parts.membership
        self._member_list = parts.membership.member_list
        self._peer_statuses: Standings = {}
        self._publish_due: float = 0
        self._forget_due: float = 0

    def on_receive(self, message: Any) -> Any:
        """Handle a message; the answer depends on its type."""
        return _handle(message, self)

    def tick(self) -> None:
        """Probe, spread and publish what is due."""
        now = self._now()
        outgoing = self._membership.tick(now)
        changed = self._note_changes()
        self._parts.spreader.send(outgoing)
        if now >= self._forget_due:
            self._forget_due = now + _FORGET_INTERVAL_S
            self._member_list.forget(now)
        if changed or now >= self._publish_due:
            self._publish(now)

    def receive(self, datagram: PeerDatagram) -> None:
        """Take a datagram of a peer."""
        now = self._now()
        sender = datagram.records[0]
        outgoing = self._membership.received(
            sender,
            datagram.signal,
            datagram.records[1:],
            now,
        )
        changed = self._note_changes()
        self._parts.spreader.send(outgoing)
        self._note_standing(datagram, now)
        self._take_marks(self._parts.board.merge(datagram.leaving, now))
        if changed:
            self._publish(now)

    def learn_contacts(self, addresses: Iterable[str]) -> None:
        """Take addresses that may hold peers."""
        self._membership.learn(addresses)

    def learn_fleet(self, learnt: messages.FleetState) -> None:
        """Take all that a peer knows."""
        now = self._now()
        self._member_list.merge(learnt.records, now)
        self._note_changes()
        self._take_marks(self._parts.board.merge(learnt.leaving, now))
        self._publish(now)

    def sight(self, sighted: messages.Sighted) -> None:
        """Take what sources said of backend servers."""
        now = self._now()
        seen = (
            self._parts.board.see(observation, now)
            for observation in sighted.sightings
        )
        self._take_marks(mark for mark in seen if mark is not None)

    def tell_fleet(self) -> messages.FleetState:
        """Return all that this host knows."""
        known = (member.record for member in self._member_list.members.values())
        return messages.FleetState(
            (self._member_list.me, *known),
            self._parts.board.marks,
        )

    def leave(self) -> None:
        """Tell peers that this host leaves."""
        outgoing = self._membership.leave()
        self._note_changes()
        self._parts.spreader.send(outgoing)

    def spread(self) -> None:
        """Publish and tell a few peers at once what changed."""
        self._publish(self._now())
        self._parts.spreader.spread()

    def _note_standing(self, datagram: PeerDatagram, now: float) -> None:
        sender = datagram.records[0]
        known = self._peer_statuses.get(sender.host_id)
        self._peer_statuses[sender.host_id] = messages.PeerStanding(
            sender.address,
            sender.zone,
            datagram.mark,
            datagram.platform_reachable,
            now,
        )
        if known is None:
            self._parts.events.joined(sender.address)
        if self._parts.standing.mark.behind(datagram.mark):
            self._parts.events.behind(sender.address)

    def _note_changes(self) -> bool:
        changes = self._member_list.changes()
        for record in changes:
            self._parts.spreader.put_record(record)
            self._parts.logger.info(
                'peer_changed',
                peer=record.host_id,
                state=record.state.name,
                address=record.address,
                incarnation=record.incarnation,
            )
            if not record.state.reachable:
                self._peer_statuses.pop(record.host_id, None)
        self._parts.standing.me = self._member_list.me
        return bool(changes)

    def _take_marks(self, marks: Iterable[LeavingMark]) -> None:
        newer = tuple(marks)
        for mark in newer:
            self._parts.spreader.put_mark(mark)
            self._parts.logger.info(
                'backend_server_marked',
                backend_server=mark.backend_id,
                leaving=mark.leaving,
                source=mark.source,
                version=mark.version,
            )
        if newer:
            self.spread()

    def _publish(self, now: float) -> None:
        self._publish_due = now + _PUBLISH_INTERVAL_S
        self._parts.cells.peer_statuses.publish(dict(self._peer_statuses))
        self._parts.cells.fleet.publish(
            FleetSnapshot(
                peers=tuple(
                    _view(member, now)
                    for member in self._member_list.members.values()
                    if _shown(member, now)
                ),
                leaving=self._leaving(),
                platform_reachable=_platform_reachable(
                    self._parts.standing,
                    self._peer_statuses,
                ),
            ),
        )

    def _leaving(self) -> frozenset[str]:
        servers = self._parts.cells.catalogue.current.backend_servers
        configured = (
            server_id for server_id, server in servers.items() if server.leaving
        )
        return self._parts.board.leaving.union(configured)

    def _now(self) -> float:
        return self._parts.clock.monotonic()


def _platform_reachable(
    standing: LocalStatus, peer_statuses: Standings
) -> bool:
    """Return whether this host or a live peer reaches the platform."""
    return standing.reached_directly() or any(
        peer.platform_reachable for peer in peer_statuses.values()
    )


def _view(member: Member, now: float) -> PeerView:
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


def _shown(member: Member, now: float) -> bool:
    if member.record.state.reachable:
        return True
    left = member.record.state is PeerState.left
    return left and now - member.changed_at < _LEFT_SHOWN_S


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
def _handle_received(
    message: messages.DatagramReceived,
    controller: MembershipController,
) -> None:
    controller.receive(message.datagram)


@_handle.register
def _handle_contacts(
    message: messages.ContactAddresses,
    controller: MembershipController,
) -> None:
    controller.learn_contacts(message.addresses)


@_handle.register
def _handle_standing(
    message: messages.LocalStatusChanged,
    controller: MembershipController,
) -> None:
    controller.spread()


@_handle.register
def _handle_sighted(
    message: messages.Sighted,
    controller: MembershipController,
) -> None:
    controller.sight(message)


@_handle.register
def _handle_learnt(
    message: messages.FleetState,
    controller: MembershipController,
) -> None:
    controller.learn_fleet(message)


@_handle.register
def _handle_tell(
    message: messages.FleetStateQuery,
    controller: MembershipController,
) -> messages.FleetState:
    return controller.tell_fleet()


@_handle.register
def _handle_leave(
    message: messages.Leave,
    controller: MembershipController,
) -> None:
    controller.leave()
