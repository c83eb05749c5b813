"""A host that loses its links to engines, and hosts that may help it."""

from __future__ import annotations

import contextlib
import dataclasses
import functools
import os
import random
import socket
import threading
import time
from collections.abc import Callable
from http.client import parse_headers

from urllib3.connection import HTTPConnection

from features import builders_users_platform as users
from guavadyke.adapters import backend, peer_tunnels
from guavadyke.adapters.clock import SuspendAwareClock
from guavadyke.adapters.connection_pool import new_connection
from guavadyke.adapters.message_authentication import MessageAuthenticator
from guavadyke.adapters.peer_calls import PeerReply
from guavadyke.adapters.peer_datagrams import RejectedMessageLog
from guavadyke.adapters.peer_rpc import PeerClient, PeerServer
from guavadyke.adapters.peer_sockets import TransportFaults, bind_sockets
from guavadyke.adapters.ports import BackendCall
from guavadyke.decisions.server_registry import ListedServer
from guavadyke.log import EventLogger
from guavadyke.platform.engine_adapter import EngineDialect
from guavadyke.settings import ListenSettings
from guavadyke.snapshots import FleetSnapshot, PeerView, SnapshotCell

# No server listens there.
FAILED_ADDRESS = f'{users.LOOPBACK}:1'
_ZONE = 'south-a'
_TIMEOUT_S = 2.0
_CONNECT_TIMEOUT_S = 0.1


class ResettingEngine(users.UsersEngine):
    """An engine that can reset its connection within an answer."""

    resets = False

    def _stream(self, request: users.StandinRequest) -> None:
        if not self.resets:
            super()._stream(request)
            return
        write = self._start_stream(request)
        write(users.EVENT)
        request.connection.reset()


class UnframedEngine:
    """An engine whose answer has no length; it pauses after an event."""

    def __init__(self) -> None:
        self.paused = threading.Event()
        self._ended = threading.Event()
        self._socket = socket.create_server((users.LOOPBACK, 0))
        threading.Thread(target=self._answer, daemon=True).start()

    @property
    def address(self) -> str:
        """IP:PORT of the engine."""
        ip, port = self._socket.getsockname()
        return f'{ip}:{port}'

    def end(self) -> None:
        """End the answer."""
        self._ended.set()

    def close(self) -> None:
        """Stop listening."""
        self._ended.set()
        self._socket.close()

    def _answer(self) -> None:
        connection, _address = self._socket.accept()
        head, event = users.answer_parts('to the end')
        with connection, contextlib.suppress(OSError):
            # Unread bytes of the request would turn the end into a reset.
            _read_request(connection)
            connection.sendall(head + event)
            self.paused.set()
            self._ended.wait(_TIMEOUT_S)


class StrandedHost:
    """A host, an engine and other hosts of which the first are cut off too.

    ``direct`` counts the connections over its own link.
    """

    def __init__(self, helpers: int, cut: int) -> None:
        self.engine = ResettingEngine('i-1')
        self.direct = 0
        self._clock = SuspendAwareClock()
        self._authenticator = MessageAuthenticator(b'key of the fleet')
        self._close: list[Callable[[], object]] = [self.engine.close]
        self.relays = [
            peer_tunnels.TunnelRelay(
                functools.partial(_answer, number < cut), EventLogger()
            )
            for number in range(helpers)
        ]
        addresses = [self._serve(relay) for relay in self.relays]
        self.list_engine(listed=True)
        peers = tuple(
            PeerView(f'host-{number}', _ZONE, 'south', address, 'alive', 1, 0)
            for number, address in enumerate(addresses)
        )
        self.servers = backend.HttpBackendServers(dialect=EngineDialect())
        self.servers.open_through_peer = peer_tunnels.PeerTunnels(
            PeerClient(
                self._authenticator, 'stranded', self._clock, TransportFaults()
            ),
            SnapshotCell(FleetSnapshot(peers=peers)),
            _ZONE,
            random.Random(3),
            EventLogger(),
        ).open
        self._link = 'accepted'
        self._silent = socket.create_server((users.LOOPBACK, 0), backlog=0)
        self._close.append(self._silent.close)
        backend.new_connection = self._new_connection
        self._close.append(_restore)

    def change_link(self, state: str) -> None:
        """Have direct connections refused, silent or accepted."""
        self._link = state

    def list_engine(self, *, listed: bool) -> None:
        """Tell the other hosts whether the engine is listed."""
        servers = [
            ListedServer(name, 'llm', address, _ZONE, 8)
            for name, address in (
                ('i-1', self.engine.address),
                ('i-2', FAILED_ADDRESS),
            )
            if listed
        ]
        for relay in self.relays:
            relay.servers_listed(servers)

    def kill_helpers(self) -> None:
        """Close the connections of the other hosts as their end does."""
        for relay in self.relays:
            for carried in tuple(relay._directions):
                os.close(carried.detach())

    def start_unframed_engine(self) -> UnframedEngine:
        """Start an engine whose answer has no length, and list it."""
        engine = UnframedEngine()
        self._close.append(engine.close)
        for relay in self.relays:
            relay.servers_listed([
                ListedServer('i-1', 'llm', engine.address, _ZONE, 8)
            ])
        return engine

    def darken_engine(self) -> None:
        """Have the other hosts wait for connections to the engine in vain."""
        for relay in self.relays:
            relay.connect = _wait_in_vain

    def break_connections(self) -> list[socket.socket]:
        """Have connections of other hosts to the engine end at once.

        Returns:
            A list that grows while such connections are made.
        """
        broken: list[socket.socket] = []
        set_options = peer_tunnels.set_socket_options
        self._close.append(
            functools.partial(
                setattr, peer_tunnels, 'set_socket_options', set_options
            )
        )

        def break_connection(opened: socket.socket) -> None:
            host, port = opened.getpeername()
            if f'{host}:{port}' == self.engine.address:
                broken.append(opened)
                raise ConnectionResetError
            set_options(opened)

        peer_tunnels.set_socket_options = break_connection
        return broken

    def call(self, request_id: str, address: str = '') -> BackendCall:
        """Return a request to the engine or to another address."""
        return BackendCall(
            request_id=request_id,
            address=address or self.engine.address,
            method='POST',
            path='/1',
            headers={},
            body=b'text',
            connect_timeout_s=_CONNECT_TIMEOUT_S,
            first_byte_timeout_s=_TIMEOUT_S,
            gap_timeout_s=_TIMEOUT_S,
            server_id='i-1',
        )

    def close(self) -> None:
        """Stop everything that was started."""
        for close in reversed(self._close):
            close()

    def _serve(self, relay: peer_tunnels.TunnelRelay) -> str:
        sockets = bind_sockets(
            ListenSettings.model_validate({'ip': users.LOOPBACK, 'port': 0})
        )
        server = PeerServer(
            sockets,
            self._authenticator,
            self._clock,
            RejectedMessageLog(self._clock, EventLogger()),
            lambda _sender, _request: PeerReply(),
            relay,
        )
        relay.start()
        server.start()
        self._close.extend((relay.close, server.close))
        return sockets.address

    def _new_connection(self, origin: str, timeout_s: float) -> HTTPConnection:
        self.direct += 1
        if self._link == 'accepted':
            return new_connection(origin, timeout_s)
        if self._link == 'refused':
            return new_connection(f'http://{FAILED_ADDRESS}', timeout_s)
        return _SilentConnection('127.0.0.1', timeout=timeout_s)


def _read_request(connection: socket.socket) -> None:
    """Read a whole request, whose head and body may come apart."""
    with connection.makefile('rb') as request:
        request.readline()
        headers = parse_headers(request)
        request.read(int(headers['Content-Length']))


def _wait_in_vain(_call: object) -> None:
    time.sleep(_CONNECT_TIMEOUT_S)


class _SilentConnection(HTTPConnection):
    """A connection over a link that drops every packet."""

    def connect(self) -> None:
        raise TimeoutError('timed out')


def _answer(is_cut: bool, _address: str) -> bool:
    return is_cut


def _restore() -> None:
    backend.new_connection = new_connection


@dataclasses.dataclass(frozen=True)
class Outcome:
    """How a request ended and how many seconds it took."""

    body: bytes
    error: Exception | None
    took_s: float
