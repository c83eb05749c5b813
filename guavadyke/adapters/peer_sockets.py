"""Sockets of the peer port: UDP datagrams and TCP calls on one port number."""

from __future__ import annotations

import dataclasses
import functools
import ipaddress
import random
import socket
import threading
import time
from collections.abc import Callable

from guavadyke.errors import ErrorCode, GuavadykeError
from guavadyke.guarded_threads import GuardedThread
from guavadyke.log import EventLogger
from guavadyke.part_health import PartHealth
from guavadyke.settings import ListenSettings

_BIND_ATTEMPTS = 20
_LISTEN_BACKLOG = 64
_MAX_RECEIVE_BYTES = 2048
_RECEIVE_BUFFER_BYTES = 1_048_576
_RECEIVE_TIMEOUT_S = 0.2
_PROCESS_PAUSE_S = 2.0
_KNOWN_ADDRESSES = 1024


class TransportFaults:
    """Simulated partitions and datagram loss of one host, for tests.

    Messages to the addresses (IP:PORT) in ``blocked_to`` and from those in
    ``blocked_from`` are dropped. ``loss`` is the share of datagrams, from 0
    to 1, that are dropped on sending.
    """

    def __init__(self) -> None:
        self.blocked_to: frozenset[str] = frozenset()
        self.blocked_from: frozenset[str] = frozenset()
        self.loss: float = 0
        self._rng = random.Random(1)

    def drops_datagram(self, address: str) -> bool:
        """Return whether to drop a datagram to the address."""
        if address in self.blocked_to:
            return True
        return self.loss > 0 and self._rng.random() < self.loss

    def cut(self, addresses: frozenset[str]) -> None:
        """Drop all messages to and from the addresses."""
        self.blocked_to = addresses
        self.blocked_from = addresses

    def heal(self) -> None:
        """Remove all faults."""
        self.cut(frozenset())
        self.loss = 0


@dataclasses.dataclass(frozen=True)
class PeerSockets:
    """The bound UDP and TCP sockets of one IP:PORT address."""

    datagrams: socket.socket
    calls: socket.socket
    address: str


def bind_sockets(listen: ListenSettings) -> PeerSockets:
    """Bind UDP and TCP to one port number; port 0 selects any free port.

    Raises:
        GuavadykeError: ``address_in_use`` if the port cannot be bound.
    """
    attempt_count = 1 if listen.port else _BIND_ATTEMPTS
    for remaining_attempts in range(attempt_count - 1, -1, -1):
        try:
            return _bind_once(str(listen.ip), listen.port)
        except OSError as error:
            if not remaining_attempts:
                raise GuavadykeError(
                    ErrorCode.address_in_use,
                    f'{listen.ip}:{listen.port} cannot be bound: {error}',
                ) from error
    raise AssertionError('at least one attempt is made')


def format_address(ip: str, port: int) -> str:
    """Return IP:PORT, with an IPv6 address in brackets."""
    return f'[{ip}]:{port}' if ':' in ip else f'{ip}:{port}'


@functools.lru_cache(maxsize=_KNOWN_ADDRESSES)
def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and the port.

    Raises:
        ValueError: ``address`` is not IP:PORT.
    """
    ip, _colon, port = address.rpartition(':')
    ip = ip.strip('[]')
    ipaddress.ip_address(ip)
    return ip, int(port)


def _bind_once(ip: str, port: int) -> PeerSockets:
    family = socket.AF_INET6 if ':' in ip else socket.AF_INET
    calls = socket.socket(family, socket.SOCK_STREAM)
    datagrams = socket.socket(family, socket.SOCK_DGRAM)
    calls.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        calls.bind((ip, port))
        bound_port = calls.getsockname()[1]
        datagrams.bind((ip, bound_port))
        calls.listen(_LISTEN_BACKLOG)
    except OSError:
        calls.close()
        datagrams.close()
        raise
    datagrams.setsockopt(
        socket.SOL_SOCKET,
        socket.SO_RCVBUF,
        _RECEIVE_BUFFER_BYTES,
    )
    datagrams.settimeout(_RECEIVE_TIMEOUT_S)
    return PeerSockets(datagrams, calls, format_address(ip, bound_port))


@dataclasses.dataclass
class TrafficCounters:
    """Datagrams and bytes sent and received.

    ``busy_s`` is the CPU time spent on received datagrams. Updates are not
    synchronized, so concurrent senders may lose a count.
    """

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    busy_s: float = 0


class DatagramPort:
    """Sends datagrams, and receives them on a background thread.

    Args:
        sockets: bound sockets; only the UDP socket is used.
        receive: called with the message and the sender's IP:PORT.
        faults: simulated partitions and losses, for tests.
    """

    def __init__(
        self,
        sockets: PeerSockets,
        receive: Callable[[bytes, str], None],
        faults: TransportFaults,
    ) -> None:
        self.traffic = TrafficCounters()
        self._socket = sockets.datagrams
        self._receive = receive
        self._faults = faults
        self._health = PartHealth('peer-datagrams', EventLogger())
        self._closed = threading.Event()
        self._thread = GuardedThread(self._run, 'peer-datagrams', self._closed)

    def start(self) -> None:
        """Start the receiving thread."""
        self._thread.start()

    def send(self, address: str, message: bytes) -> None:
        """Send a datagram; errors are ignored and the datagram is lost."""
        if self._faults.drops_datagram(address):
            return
        try:
            self._socket.sendto(message, split_address(address))
        except (OSError, ValueError):
            return
        self.traffic.sent += 1
        self.traffic.sent_bytes += len(message)

    def close(self) -> None:
        """Stop receiving and close the socket."""
        self._closed.set()
        if self._thread.is_alive():
            self._thread.join(_PROCESS_PAUSE_S)
        self._socket.close()

    def _run(self) -> None:
        while not self._closed.is_set():
            receive_started_at = time.monotonic()
            try:
                message, source = self._socket.recvfrom(_MAX_RECEIVE_BYTES)
            except OSError:
                continue
            if time.monotonic() - receive_started_at > _PROCESS_PAUSE_S:
                self._discard_pending()
            else:
                self._handle_datagram(
                    message, format_address(source[0], source[1])
                )

    def _discard_pending(self) -> None:
        """Discard datagrams that arrived while this process was paused."""
        self._socket.settimeout(0)
        message = b'first'
        while message:
            message = self._receive_pending()
        self._socket.settimeout(_RECEIVE_TIMEOUT_S)

    def _receive_pending(self) -> bytes:
        try:
            return self._socket.recv(_MAX_RECEIVE_BYTES)
        except OSError:
            return b''

    def _handle_datagram(self, message: bytes, address: str) -> None:
        if address in self._faults.blocked_from:
            return
        started_at = time.thread_time()
        self.traffic.received += 1
        self.traffic.received_bytes += len(message)
        try:
            self._receive(message, address)
        except Exception as error:
            self._health.failed('receive', error)
        else:
            self._health.succeeded('receive')
        self.traffic.busy_s += time.thread_time() - started_at
