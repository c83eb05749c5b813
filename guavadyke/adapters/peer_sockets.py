"""The peer port: one number for UDP datagrams and TCP calls."""

from __future__ import annotations

import dataclasses
import ipaddress
import random
import socket
import threading
import time
from collections.abc import Callable

from guavadyke.errors import ErrorCode, GuavadykeError
from guavadyke.settings import ListenSettings

_BIND_TRIES = 20
_BACKLOG = 64
_RECEIVE_BYTES = 2048
_RECEIVE_BUFFER_BYTES = 1_048_576
_RECEIVE_WAIT_S = 0.2
_PAUSE_S = 2.0


class TransportFaults:
    """Cuts and losses of one host's peer port, for tests.

    ``blocked_to`` and ``blocked_from`` hold addresses (IP:PORT) that
    messages do not reach or come from; ``loss`` is the share of datagrams
    that are lost on sending.
    """

    def __init__(self) -> None:
        self.blocked_to: frozenset[str] = frozenset()
        self.blocked_from: frozenset[str] = frozenset()
        self.loss: float = 0
        self._rng = random.Random(1)

    def drops(self, address: str) -> bool:
        """Return whether a datagram to the address is lost."""
        if address in self.blocked_to:
            return True
        return self.loss > 0 and self._rng.random() < self.loss

    def cut(self, addresses: frozenset[str]) -> None:
        """Cut both ways."""
        self.blocked_to = addresses
        self.blocked_from = addresses

    def heal(self) -> None:
        """End all faults."""
        self.cut(frozenset())
        self.loss = 0


@dataclasses.dataclass(frozen=True)
class SocketPair:
    """Sockets of one address."""

    datagrams: socket.socket
    calls: socket.socket
    address: str


def bind_pair(listen: ListenSettings) -> SocketPair:
    """Bind UDP and TCP to one port number; port 0 takes any free one.

    Raises:
        GuavadykeError: ``address_in_use`` where the port is taken.
    """
    tries = 1 if listen.port else _BIND_TRIES
    for last in range(tries - 1, -1, -1):
        try:
            return _bind_once(str(listen.ip), listen.port)
        except OSError as error:
            if not last:
                raise GuavadykeError(
                    ErrorCode.address_in_use,
                    f'{listen.ip}:{listen.port} cannot be listened on: {error}',
                ) from error
    raise AssertionError('at least one try is made')


def format_address(ip: str, port: int) -> str:
    """Return IP:PORT, an IPv6 number in brackets."""
    return f'[{ip}]:{port}' if ':' in ip else f'{ip}:{port}'


def split_address(address: str) -> tuple[str, int]:
    """Return the IP number and the port.

    Raises:
        ValueError: it is not IP:PORT.
    """
    ip, _colon, port = address.rpartition(':')
    ip = ip.strip('[]')
    ipaddress.ip_address(ip)
    return ip, int(port)


def _bind_once(ip: str, port: int) -> SocketPair:
    family = socket.AF_INET6 if ':' in ip else socket.AF_INET
    calls = socket.socket(family, socket.SOCK_STREAM)
    datagrams = socket.socket(family, socket.SOCK_DGRAM)
    calls.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        calls.bind((ip, port))
        bound_port = calls.getsockname()[1]
        datagrams.bind((ip, bound_port))
        calls.listen(_BACKLOG)
    except OSError:
        calls.close()
        datagrams.close()
        raise
    datagrams.setsockopt(
        socket.SOL_SOCKET,
        socket.SO_RCVBUF,
        _RECEIVE_BUFFER_BYTES,
    )
    datagrams.settimeout(_RECEIVE_WAIT_S)
    return SocketPair(datagrams, calls, format_address(ip, bound_port))


@dataclasses.dataclass
class Traffic:
    """Datagrams and bytes sent and received; threads may lose a count."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    busy_s: float = 0


class DatagramPort:
    """Sends datagrams, and receives them on a thread of its own.

    Args:
        pair: bound sockets.
        receive: called with the bytes and the sender's IP:PORT.
        faults: cuts and losses, for tests.
    """

    def __init__(
        self,
        pair: SocketPair,
        receive: Callable[[bytes, str], None],
        faults: TransportFaults,
    ) -> None:
        self.traffic = Traffic()
        self._socket = pair.datagrams
        self._receive = receive
        self._faults = faults
        self._closed = threading.Event()
        self._thread = threading.Thread(
            target=self._run,
            name='peer-datagrams',
            daemon=True,
        )

    def start(self) -> None:
        """Receive in the background."""
        self._thread.start()

    def send(self, address: str, message: bytes) -> None:
        """Send a datagram; what cannot be sent is lost."""
        if self._faults.drops(address):
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
            self._thread.join(_PAUSE_S)
        self._socket.close()

    def _run(self) -> None:
        while not self._closed.is_set():
            before = time.monotonic()
            try:
                message, source = self._socket.recvfrom(_RECEIVE_BYTES)
            except OSError:
                continue
            if time.monotonic() - before > _PAUSE_S:
                self._drain()
            else:
                self._take(message, format_address(source[0], source[1]))

    def _drain(self) -> None:
        """Drop what arrived while this process was paused."""
        self._socket.settimeout(0)
        message = b'first'
        while message:
            message = self._receive_waiting()
        self._socket.settimeout(_RECEIVE_WAIT_S)

    def _receive_waiting(self) -> bytes:
        try:
            return self._socket.recv(_RECEIVE_BYTES)
        except OSError:
            return b''

    def _take(self, message: bytes, address: str) -> None:
        if address in self._faults.blocked_from:
            return
        started_at = time.thread_time()
        self.traffic.received += 1
        self.traffic.received_bytes += len(message)
        self._receive(message, address)
        self.traffic.busy_s += time.thread_time() - started_at
