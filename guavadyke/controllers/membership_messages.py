"""Messages to the controller of membership."""

from __future__ import annotations

import dataclasses

from guavadyke.adapters.peer_datagram_codec import PeerDatagram
from guavadyke.decisions.leaving_servers import LeavingMark, LeavingObservation
from guavadyke.decisions.membership_protocol import PeerRecord
from guavadyke.decisions.object_versions import CatalogueMark


@dataclasses.dataclass(frozen=True)
class Tick:
    """Asks for what is due."""


@dataclasses.dataclass(frozen=True)
class DatagramReceived:
    """A datagram that was checked."""

    datagram: PeerDatagram


@dataclasses.dataclass(frozen=True)
class ContactAddresses:
    """Addresses that may hold peers."""

    addresses: frozenset[str]


@dataclasses.dataclass(frozen=True)
class LocalStatusChanged:
    """The catalogue mark or the reach of the platform changed."""


@dataclasses.dataclass(frozen=True)
class Sighted:
    """What sources said of backend servers."""

    sightings: tuple[LeavingObservation, ...]


@dataclasses.dataclass(frozen=True)
class FleetState:
    """All that a host knows: it is pulled by a call."""

    records: tuple[PeerRecord, ...] = ()
    leaving: tuple[LeavingMark, ...] = ()


@dataclasses.dataclass(frozen=True)
class FleetStateQuery:
    """Asks for all that this host knows."""


@dataclasses.dataclass(frozen=True)
class Leave:
    """This host leaves the fleet."""


@dataclasses.dataclass(frozen=True)
class PeerStanding:
    """What a peer last said of itself; ``heard_at`` in seconds."""

    address: str
    zone: str
    mark: CatalogueMark
    platform_reachable: bool
    heard_at: float
