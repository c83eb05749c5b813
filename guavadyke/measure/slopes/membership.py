"""CPU, memory and network cost of membership on one host, by peer count.

The host runs the real code from the membership controller down to the
authenticated datagrams. Its peers are simulated: they only answer pings.
"""

from __future__ import annotations

import dataclasses
import random
import time
from typing import cast

from guavadyke.adapters.message_authentication import MessageAuthenticator
from guavadyke.adapters.peer_datagrams import (
    DatagramContent,
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
    """Clock that only advances when the measurement says so."""

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
        """Advance the clock without waiting."""
        self.now += seconds


class _RecordingSender:
    """Records sent datagrams in place of the socket."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, bytes]] = []

    def send(self, address: str, message: bytes) -> None:
        """Record the datagram."""
        self.sent.append((address, message))


@dataclasses.dataclass(frozen=True)
class PeerCost:
    """Cost of membership on one host, per second."""

    cpu_us_per_s: float
    bytes_sent_per_s: float
    datagrams_sent_per_s: float


class _Host:
    """One host with simulated peers.

    Args:
        peers: number of peers.
        seed: seed of the host's random choices.
    """

    def __init__(self, peers: int, seed: int) -> None:
        self._rng = random.Random(seed)
        self._clock = _SteppedClock()
        self._sender = _RecordingSender()
        self._datagrams = self._peer_datagrams(_record(0))
        self._peers = {
            record.address: self._peer_datagrams(record)
            for record in map(_record, range(1, peers + 1))
        }
        self._controller = self._build_controller()
        self._cpu_s: float = 0
        self._first_messages = [
            peer.pack(DatagramContent(Ping(1))) for peer in self._peers.values()
        ]

    def receive_first_pings(self) -> MembershipController:
        """Deliver one ping from each peer, so that the host knows them."""
        for message in self._first_messages:
            self._deliver(message)
        self._sender.sent.clear()
        return self._controller

    def cost_per_s(self) -> PeerCost:
        """Run for some simulated seconds and return the mean cost of one."""
        self.receive_first_pings()
        self._clock.now += 1
        self._cpu_s = 0
        sent_bytes = 0
        datagrams = 0
        for tick in range(_TICKS):
            self._clock.now += _TICK_S
            started_s = time.thread_time()
            self._controller.tick()
            self._cpu_s += time.thread_time() - started_s
            if tick % _TICKS_PER_PROBE == 0:
                prober = self._rng.choice(list(self._peers.values()))
                self._deliver(prober.pack(DatagramContent(Ping(tick))))
            sent = tuple(self._sender.sent)
            self._sender.sent.clear()
            sent_bytes += sum(len(message) for _address, message in sent)
            datagrams += len(sent)
            self._answer_pings(sent)
        seconds = _TICKS * _TICK_S
        return PeerCost(
            self._cpu_s * _US_PER_S / seconds,
            sent_bytes / seconds,
            datagrams / seconds,
        )

    def _answer_pings(self, sent: tuple[tuple[str, bytes], ...]) -> None:
        """Let each peer answer the pings sent to it."""
        for address, message in sent:
            peer = self._peers[address]
            datagram = peer.unpack(message, address)
            if datagram is not None and isinstance(datagram.signal, Ping):
                ack = Ack(datagram.signal.sequence, _host_id_of(address))
                self._deliver(peer.pack(DatagramContent(ack)))

    def _deliver(self, message: bytes) -> None:
        """Let the host process a datagram, and add its CPU time."""
        started_s = time.thread_time()
        datagram = self._datagrams.unpack(message, '')
        if datagram is not None:
            self._controller.receive(datagram)
        self._cpu_s += time.thread_time() - started_s

    def _peer_datagrams(self, own_record: PeerRecord) -> PeerDatagrams:
        return PeerDatagrams(
            MessageAuthenticator(_KEY),
            LocalStatus(own_record),
            self._clock,
            RejectedMessageLog(self._clock, EventLogger()),
        )

    def _build_controller(self) -> MembershipController:
        membership = Membership(_record(0), MembershipPolicy(), self._rng)
        leaving_registry = LeavingRegistry(_REPORT_LAG_S)
        return MembershipController(
            MembershipDependencies(
                membership,
                leaving_registry,
                GossipSender(
                    self._datagrams,
                    cast('DatagramPort', self._sender),
                    membership.member_list,
                    leaving_registry,
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


def cpu_us_per_s(peers: int, seed: int) -> float:
    """Return the CPU time of membership per second, in us."""
    return _Host(peers, seed).cost_per_s().cpu_us_per_s


def bytes_sent_per_s(peers: int, seed: int) -> float:
    """Return the bytes that membership sends per second."""
    return _Host(peers, seed).cost_per_s().bytes_sent_per_s


def datagrams_sent_per_s(peers: int, seed: int) -> float:
    """Return the datagrams that membership sends per second."""
    return _Host(peers, seed).cost_per_s().datagrams_sent_per_s


def state_bytes(peers: int, seed: int) -> float:
    """Return the bytes of memory that membership occupies."""
    host = _Host(peers, seed)
    return allocated_bytes(host.receive_first_pings)


def _host_id_of(address: str) -> str:
    return f'entry-{address}'


def _record(number: int) -> PeerRecord:
    address = f'10.0.{number // 250}.{number % 250 + 1}:7300'
    return PeerRecord(
        host_id=_host_id_of(address),
        zone=f'zone-{number % 6}',
        region=f'region-{number % 2}',
        address=address,
        incarnation=1,
    )


def _ignore(_address: str) -> None:
    """Ignore the event."""
