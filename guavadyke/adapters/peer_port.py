"""The peer port of one host: sockets, datagrams, notices."""

from __future__ import annotations

from collections.abc import Callable

from guavadyke.adapters.message_authentication import MessageAuthenticator
from guavadyke.adapters.peer_datagram_codec import PeerDatagram
from guavadyke.adapters.peer_datagrams import (
    DatagramMessenger,
    LocalStatus,
    PeerDatagrams,
    RejectedMessageLog,
)
from guavadyke.adapters.peer_sockets import (
    DatagramPort,
    TransportFaults,
    bind_pair,
)
from guavadyke.adapters.ports import Clock
from guavadyke.decisions.membership_protocol import PeerRecord
from guavadyke.log import EventLogger
from guavadyke.settings import HostSettings
from guavadyke.snapshots import FleetSnapshot, SnapshotCell


class PeerPort:
    """Binds the peer port and takes datagrams apart.

    Args:
        settings: the host's settings.
        fleet: tells the addresses of peers.
        clock: dates datagrams.
        logger: gets a line for refused messages now and then.

    Raises:
        GuavadykeError: the port is taken or the fleet key is missing.
    """

    def __init__(
        self,
        settings: HostSettings,
        fleet: SnapshotCell[FleetSnapshot],
        clock: Clock,
        logger: EventLogger,
    ) -> None:
        self.authenticator = MessageAuthenticator(
            settings.peer.fleet_key.reveal()
        )
        self.pair = bind_pair(settings.peer.listen)
        self.faults = TransportFaults()
        self.refusals = RejectedMessageLog(clock, logger)
        self.standing = LocalStatus(
            PeerRecord(
                settings.host_id,
                settings.zone,
                settings.region,
                self.pair.address,
                int(clock.wall() * 1000),
            ),
        )
        self.datagrams = PeerDatagrams(
            self.authenticator,
            self.standing,
            clock,
            self.refusals,
        )
        self.port = DatagramPort(self.pair, self._receive, self.faults)
        self.messenger = DatagramMessenger(self.datagrams, self.port, fleet)
        self._host_id = settings.host_id
        self._take: Callable[[PeerDatagram], object] = _ignore

    def start(self, take: Callable[[PeerDatagram], object]) -> None:
        """Receive, and give datagrams that tell of peers to ``take``."""
        self._take = take
        self.port.start()

    def close(self) -> None:
        """Close both sockets."""
        self.port.close()
        self.pair.calls.close()

    def _receive(self, message: bytes, address: str) -> None:
        datagram = self.datagrams.unpack(message, address)
        if datagram is None or datagram.sender == self._host_id:
            return
        if datagram.notice is not None:
            self.messenger.deliver(datagram.sender, datagram.notice)
        if datagram.records:
            self._take(datagram)


def _ignore(datagram: PeerDatagram) -> None:
    """Drop what arrives before there is a receiver."""
