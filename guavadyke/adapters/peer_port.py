"""The peer port of one host: its sockets, datagrams and notices."""

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
    bind_sockets,
)
from guavadyke.adapters.ports import Clock
from guavadyke.decisions.membership_protocol import PeerRecord
from guavadyke.log import EventLogger
from guavadyke.settings import HostSettings
from guavadyke.snapshots import FleetSnapshot, SnapshotCell


class PeerPort:
    """Binds the peer port and dispatches the datagrams that arrive.

    Args:
        settings: the host's settings.
        fleet: holds the addresses of peers.
        clock: timestamps datagrams and checks their age.
        logger: logs rejected messages at a limited rate.

    Raises:
        GuavadykeError: the port is in use or the fleet key is missing.
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
        self.sockets = bind_sockets(settings.peer.listen)
        self.faults = TransportFaults()
        self.rejection_log = RejectedMessageLog(clock, logger)
        self.local_status = LocalStatus(
            PeerRecord(
                settings.host_id,
                settings.zone,
                settings.region,
                self.sockets.address,
                int(clock.wall() * 1000),
            ),
        )
        self.datagrams = PeerDatagrams(
            self.authenticator,
            self.local_status,
            clock,
            self.rejection_log,
        )
        self.datagram_port = DatagramPort(
            self.sockets, self._receive, self.faults
        )
        self.messenger = DatagramMessenger(
            self.datagrams, self.datagram_port, fleet
        )
        self._host_id = settings.host_id
        self._handle_datagram: Callable[[PeerDatagram], object] = _ignore

    def start(self, handle_datagram: Callable[[PeerDatagram], object]) -> None:
        """Start receiving; pass datagrams with peer records to the handler.

        Notices go to the messenger's subscribers instead.
        """
        self._handle_datagram = handle_datagram
        self.datagram_port.start()

    def close(self) -> None:
        """Close both sockets."""
        self.datagram_port.close()
        self.sockets.calls.close()

    def _receive(self, message: bytes, address: str) -> None:
        datagram = self.datagrams.unpack(message, address)
        if datagram is None or datagram.sender == self._host_id:
            return
        if datagram.notice is not None:
            self.messenger.deliver(datagram.sender, datagram.notice)
        if datagram.records:
            self._handle_datagram(datagram)


def _ignore(datagram: PeerDatagram) -> None:
    """Drop datagrams that arrive before ``start`` sets a handler."""
