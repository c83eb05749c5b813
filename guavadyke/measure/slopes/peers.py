"""Cost of membership on one host, by the number of its peers.

The host is real from its controller down to the sealed datagrams; its
peers are answers made by hand.
"""

from __future__ import annotations

import dataclasses
import random
import time
from typing import cast

from guavadyke.adapters.message_authentication import MessageAuthenticator
from guavadyke.adapters.peer_datagrams import (
    Load,
    LocalStatus,
    PeerDatagrams,
    RejectedMessageLog,
)
from guavadyke.adapters.peer_sockets import DatagramPort
from guavadyke.controllers.membership import (
    FleetCells,
    MembershipController,
    MembershipDependencies,
    PeerEvents,
)
from guavadyke.controllers.membership_gossip import GossipSender
from guavadyke.decisions.leaving_servers import LeavingRegistry
from guavadyke.decisions.membership import Membership
from guavadyke.decisions.membership_protocol import (
    Ack,
    MembershipPolicy,
    PeerRecord,
    Ping,
)
from guavadyke.log import EventLogger
from guavadyke.measure.slopes.costs import allocated_bytes
from guavadyke.snapshots import (
    CatalogueSnapshot,
    FleetSnapshot,
    SnapshotCell,
)

SIZES = (50, 100, 200, 300, 400)
_KEY = b'key of the fleet'
_TICK_S = 0.1
_TICKS = 200
_TICKS_PER_PROBE = 5
_REPORT_LAG_S = 2
_US_PER_S = 1_000_000


class _SteppedClock:
    """Time that the measurement moves on."""

    def __init__(self) -> None:
        self.now: float = 0
        self._wall = time.time()

    def monotonic(self) -> float:
        """Return seconds since the start."""
        return self.now

    def wall(self) -> float:
        """Return seconds since the epoch."""
        return self._wall + self.now

    def sleep(self, seconds: float) -> None:
        """Move on."""
        self.now += seconds


class _Outbox:
    """Takes datagrams in place of the socket."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, bytes]] = []

    def send(self, address: str, message: bytes) -> None:
        """Keep the datagram."""
        self.sent.append((address, message))


@dataclasses.dataclass(frozen=True)
class PeerCost:
    """Cost of one second of membership on one host."""

    processor_us: float
    bytes_sent: float
    datagrams_sent: float


class _Host:
    """One host with its peers.

    Args:
        peers: number of peers.
        seed: seeds the host's choices.
    """

    def __init__(self, peers: int, seed: int) -> None:
        self._rng = random.Random(seed)
        self._clock = _SteppedClock()
        self._outbox = _Outbox()
        self._datagrams = self._packer(_record(0))
        self._peers = {
            record.address: self._packer(record)
            for record in map(_record, range(1, peers + 1))
        }
        self._controller = self._made_controller()
        self._processor_s: float = 0
        self._first = [
            packer.pack(Load(Ping(1))) for packer in self._peers.values()
        ]

    def meet(self) -> MembershipController:
        """Let the host hear of each peer."""
        for message in self._first:
            self._deliver(message)
        self._outbox.sent.clear()
        return self._controller

    def second_cost(self) -> PeerCost:
        """Run some seconds and return the cost of one."""
        self.meet()
        self._clock.now += 1
        self._processor_s = 0
        sent_bytes = 0
        datagrams = 0
        for tick in range(_TICKS):
            self._clock.now += _TICK_S
            started_s = time.thread_time()
            self._controller.tick()
            self._processor_s += time.thread_time() - started_s
            if tick % _TICKS_PER_PROBE == 0:
                asker = self._rng.choice(list(self._peers.values()))
                self._deliver(asker.pack(Load(Ping(tick))))
            sent = tuple(self._outbox.sent)
            self._outbox.sent.clear()
            sent_bytes += sum(len(message) for _address, message in sent)
            datagrams += len(sent)
            self._answer(sent)
        seconds = _TICKS * _TICK_S
        return PeerCost(
            self._processor_s * _US_PER_S / seconds,
            sent_bytes / seconds,
            datagrams / seconds,
        )

    def _answer(self, sent: tuple[tuple[str, bytes], ...]) -> None:
        """Let each peer answer the ping that it got."""
        for address, message in sent:
            packer = self._peers[address]
            datagram = packer.unpack(message, address)
            if datagram is not None and isinstance(datagram.signal, Ping):
                ack = Ack(datagram.signal.sequence, _name_of(address))
                self._deliver(packer.pack(Load(ack)))

    def _deliver(self, message: bytes) -> None:
        """Let the host read and take a datagram, and count its time."""
        started_s = time.thread_time()
        datagram = self._datagrams.unpack(message, '')
        if datagram is not None:
            self._controller.receive(datagram)
        self._processor_s += time.thread_time() - started_s

    def _packer(self, me: PeerRecord) -> PeerDatagrams:
        return PeerDatagrams(
            MessageAuthenticator(_KEY),
            LocalStatus(me),
            self._clock,
            RejectedMessageLog(self._clock, EventLogger()),
        )

    def _made_controller(self) -> MembershipController:
        membership = Membership(_record(0), MembershipPolicy(), self._rng)
        board = LeavingRegistry(_REPORT_LAG_S)
        return MembershipController(
            MembershipDependencies(
                membership,
                board,
                GossipSender(
                    self._datagrams,
                    cast('DatagramPort', self._outbox),
                    membership.member_list,
                    board,
                    self._rng,
                ),
                LocalStatus(_record(0)),
                FleetCells(
                    SnapshotCell(CatalogueSnapshot()),
                    SnapshotCell(FleetSnapshot()),
                    SnapshotCell({}),
                ),
                PeerEvents(_ignore, _ignore),
                self._clock,
                EventLogger(),
            ),
        )


def processor_us(peers: int, seed: int) -> float:
    """Return microseconds of processor time for a second of membership."""
    return _Host(peers, seed).second_cost().processor_us


def bytes_sent(peers: int, seed: int) -> float:
    """Return bytes sent in a second."""
    return _Host(peers, seed).second_cost().bytes_sent


def datagrams_sent(peers: int, seed: int) -> float:
    """Return datagrams sent in a second."""
    return _Host(peers, seed).second_cost().datagrams_sent


def state_bytes(peers: int, seed: int) -> float:
    """Return the memory that membership holds."""
    host = _Host(peers, seed)
    return allocated_bytes(host.meet)


def _name_of(address: str) -> str:
    return f'entry-{address}'


def _record(number: int) -> PeerRecord:
    address = f'10.0.{number // 250}.{number % 250 + 1}:7300'
    return PeerRecord(
        host_id=_name_of(address),
        zone=f'zone-{number % 6}',
        region=f'region-{number % 2}',
        address=address,
        incarnation=1,
    )


def _ignore(_address: str) -> None:
    """Take no note."""
