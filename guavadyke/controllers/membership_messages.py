"""Messages to and from the membership controller."""

from __future__ import annotations

import dataclasses

from guavadyke.adapters.peer_datagram_codec import PeerDatagram
from guavadyke.decisions.leaving_servers import LeavingMark, LeavingObservation
from guavadyke.decisions.membership_protocol import PeerRecord
from guavadyke.decisions.object_versions import CatalogueMark


@dataclasses.dataclass(frozen=True)
class Tick:
    """Periodic: asks the controller to probe and publish what is due."""


@dataclasses.dataclass(frozen=True)
class DatagramReceived:
    """A datagram of a peer, with its HMAC and freshness already checked."""

    datagram: PeerDatagram


@dataclasses.dataclass(frozen=True)
class ContactAddresses:
    """Addresses at which peers may be found."""

    addresses: frozenset[str]


@dataclasses.dataclass(frozen=True)
class LocalStatusChanged:
    """This host's catalogue mark changed, so peers should learn it now."""


@dataclasses.dataclass(frozen=True)
class LeavingObservations:
    """What sources reported about backend servers."""

    observations: tuple[LeavingObservation, ...]


@dataclasses.dataclass(frozen=True)
class FleetState:
    """All records and marks that a host knows, as a peer call returns them."""

    records: tuple[PeerRecord, ...] = ()
    leaving: tuple[LeavingMark, ...] = ()


@dataclasses.dataclass(frozen=True)
class FleetStateQuery:
    """Asks for all records and marks that this host knows."""


@dataclasses.dataclass(frozen=True)
class LeaveFleet:
    """Asks the controller to announce that this host leaves the fleet."""


@dataclasses.dataclass(frozen=True)
class PeerStatus:
    """A peer's status from its last datagram; ``heard_at`` in monotonic s."""

    address: str
    zone: str
    mark: CatalogueMark
    platform_reachable: bool
    heard_at: float
