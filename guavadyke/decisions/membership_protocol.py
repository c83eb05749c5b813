"""What entry hosts tell each other about each other."""

from __future__ import annotations

import dataclasses
import enum
from typing import TypeAlias

_RECORD_OVERHEAD_BYTES = 22


class PeerState(enum.Enum):
    """State of a peer; of one incarnation the higher value is the newer."""

    alive = 1
    suspect = 2
    dead = 3
    left = 4

    @property
    def reachable(self) -> bool:
        """Whether the peer is still counted on."""
        return self in {PeerState.alive, PeerState.suspect}


@dataclasses.dataclass(frozen=True)
class PeerRecord:
    """A peer as rumours tell of it; only itself raises its incarnation."""

    host_id: str
    zone: str
    region: str
    address: str
    incarnation: int
    state: PeerState = PeerState.alive

    @property
    def rank(self) -> tuple[int, int]:
        """Orders the records of one peer, the newer the higher."""
        return (self.incarnation, self.state.value)

    @property
    def size_bytes(self) -> int:
        """About the size in a datagram."""
        texts = (self.host_id, self.zone, self.region, self.address)
        return sum(len(text) for text in texts) + _RECORD_OVERHEAD_BYTES


@dataclasses.dataclass(frozen=True)
class Ping:
    """Asks the receiver for an answer."""

    sequence: int


@dataclasses.dataclass(frozen=True)
class Ack:
    """Answers a ping; ``target`` is the host that was pinged."""

    sequence: int
    target: str


@dataclasses.dataclass(frozen=True)
class PingRequest:
    """Asks the receiver to ping the address ``target`` for the sender."""

    sequence: int
    target: str


Signal: TypeAlias = Ping | Ack | PingRequest


@dataclasses.dataclass(frozen=True)
class OutgoingMessage:
    """A message to send; ``told`` goes with it besides the rumours."""

    address: str
    signal: Signal | None
    told: tuple[PeerRecord, ...] = ()


@dataclasses.dataclass(frozen=True)
class MembershipPolicy:
    """Intervals and timeouts in seconds.

    ``pause_s`` is the gap between ticks from which this host takes itself
    to have been paused; ``forget_s`` is how long a dead peer is contacted.
    """

    probe_interval_s: float = 0.5
    probe_timeout_s: float = 0.25
    suspicion_s: float = 3
    contact_interval_s: float = 1
    pause_s: float = 1
    forget_s: float = 7200
