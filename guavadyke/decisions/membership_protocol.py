"""Records and messages of the membership protocol (SWIM)."""

from __future__ import annotations

import dataclasses
import enum
from typing import TypeAlias

_RECORD_OVERHEAD_BYTES = 22


class PeerState(enum.Enum):
    """State of a peer; within an incarnation a higher value is newer."""

    alive = 1
    suspect = 2
    dead = 3
    left = 4

    @property
    def reachable(self) -> bool:
        """Whether the peer is treated as a live member of the fleet."""
        return self in {PeerState.alive, PeerState.suspect}


@dataclasses.dataclass(frozen=True)
class PeerRecord:
    """State of a peer, as gossip updates carry it.

    Only the peer itself raises its incarnation, to refute a wrong state.
    """

    host_id: str
    zone: str
    region: str
    address: str
    incarnation: int
    state: PeerState = PeerState.alive

    @property
    def rank(self) -> tuple[int, int]:
        """Sort key for records of one peer; a newer record has a higher one."""
        return (self.incarnation, self.state.value)

    @property
    def size_bytes(self) -> int:
        """Estimated size in a datagram."""
        texts = (self.host_id, self.zone, self.region, self.address)
        return sum(len(text) for text in texts) + _RECORD_OVERHEAD_BYTES


@dataclasses.dataclass(frozen=True)
class Ping:
    """A probe, which the receiver answers with an ``Ack``."""

    sequence: int


@dataclasses.dataclass(frozen=True)
class Ack:
    """Answer to a ping; ``target`` is the id of the host that was pinged."""

    sequence: int
    target: str


@dataclasses.dataclass(frozen=True)
class PingRequest:
    """Indirect probe: asks the receiver to ping the address ``target``."""

    sequence: int
    target: str


Signal: TypeAlias = Ping | Ack | PingRequest


@dataclasses.dataclass(frozen=True)
class OutgoingMessage:
    """A message to send to an address.

    ``signal`` is None for a message that carries gossip only; the records
    in ``extra_records`` are sent in addition to the queued gossip updates.
    """

    address: str
    signal: Signal | None
    extra_records: tuple[PeerRecord, ...] = ()


@dataclasses.dataclass(frozen=True)
class MembershipPolicy:
    """Intervals and timeouts of the membership protocol, in seconds.

    A gap of ``pause_s`` or more between two ticks means that this host was
    paused; ``forget_s`` is how long a dead peer is remembered and pinged.
    """

    probe_interval_s: float = 0.5
    probe_timeout_s: float = 0.25
    suspicion_s: float = 3
    contact_interval_s: float = 1
    pause_s: float = 1
    forget_s: float = 7200
