"""Connections to backend servers through other hosts.

After one authenticated call and its answer, the connection between two hosts
carries the bytes of a connection to a backend server in both directions.
"""

from __future__ import annotations

import contextlib
import dataclasses
import random
import selectors
import socket
import struct
import threading
import time
from collections.abc import Callable, Iterable

from guavadyke.adapters import peer_calls as calls
from guavadyke.adapters.connection_pool import set_socket_options
from guavadyke.adapters.peer_rpc import PeerClient
from guavadyke.adapters.peer_sockets import split_address
from guavadyke.decisions.server_registry import ListedServer
from guavadyke.guarded_threads import GuardedThread
from guavadyke.log import EventLogger
from guavadyke.snapshots import FleetSnapshot, SnapshotCell

_MAX_TUNNELS = 256
_MAX_PIECE_BYTES = 65_536
_CONNECT_TIMEOUT_S = 0.1
# After this time no further host is asked unless the link is known to be cut:
# a server that nobody reaches should cost its callers little.
_FIRST_DOUBT_S = 0.08
_ANSWER_TIMEOUT_S = 0.4
_SELECT_TIMEOUT_S = 0.5
_MAX_PEERS = 5
# A host that did not reach a server is not asked for it again for this time.
_FAILED_PEER_S = 2.0
_ANY_SERVER = ''
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_END_ON_CLOSE = struct.pack('ii', 0, 0)


class PeerTunnels:
    """Opens connections to backend servers through other hosts.

    Thread-safe. A host that has helped is asked first; the others are tried
    in random order, in turn from this zone and from all others.

    Args:
        client: calls other hosts.
        fleet: the other hosts.
        zone: availability zone of this host.
        rng: spreads the load over the hosts.
        logger: logs which host helps, whenever that changes.
    """

    def __init__(
        self,
        client: PeerClient,
        fleet: SnapshotCell[FleetSnapshot],
        zone: str,
        rng: random.Random,
        logger: EventLogger,
    ) -> None:
        self._client = client
        self._fleet = fleet
        self._zone = zone
        self._rng = rng
        self._logger = logger
        self._helper = ''
        self._lock = threading.Lock()
        self._failed_at: dict[tuple[str, str], float] = {}

    def open(
        self, server_address: str, *, known_cut: bool
    ) -> socket.socket | None:
        """Return a connection to a server, None if no host reaches it.

        Args:
            server_address: IP:PORT of the server.
            known_cut: whether the link rather than the server has failed.
        """
        began_at = time.monotonic()
        for peer in self._candidates(server_address)[:_MAX_PEERS]:
            doubted_s = time.monotonic() - began_at
            if doubted_s > _FIRST_DOUBT_S and not known_cut:
                break
            tunnel = self._open_through(peer, server_address)
            if tunnel is not None:
                self._log_helper(peer)
                return tunnel
            self._record_failure(peer, server_address)
        self._log_helper('')
        return None

    def _record_failure(self, peer: str, server_address: str) -> None:
        now = time.monotonic()
        with self._lock:
            self._failed_at = {
                failed: at
                for failed, at in self._failed_at.items()
                if at > now - _FAILED_PEER_S
            }
            self._failed_at[peer, server_address] = now

    def _failed_peers(self, server_address: str) -> frozenset[str]:
        since = time.monotonic() - _FAILED_PEER_S
        with self._lock:
            return frozenset(
                peer
                for (peer, server), at in self._failed_at.items()
                if at > since and server in {server_address, _ANY_SERVER}
            )

    def _candidates(self, server_address: str) -> list[str]:
        failed = self._failed_peers(server_address)
        usable = [
            peer
            for peer in self._fleet.current.alive
            if peer.address not in failed
        ]
        near = [peer.address for peer in usable if peer.zone == self._zone]
        far = [peer.address for peer in usable if peer.zone != self._zone]
        self._rng.shuffle(near)
        self._rng.shuffle(far)
        ranked = sorted([*enumerate(near), *enumerate(far)])
        addresses = [address for _place, address in ranked]
        return sorted(addresses, key=lambda one: one != self._helper)

    def _open_through(
        self, peer: str, server_address: str
    ) -> socket.socket | None:
        try:
            tunnel = self._client.connect(peer, _CONNECT_TIMEOUT_S)
        except calls.PeerNotReachedError:
            self._record_failure(peer, _ANY_SERVER)
            return None
        try:
            reply = self._ask(tunnel, server_address)
        except (OSError, calls.PeerAnswerLostError) as error:
            self._logger.info('tunnel_not_opened', peer=peer, reason=error)
            tunnel.close()
            return None
        if reply.error is not None:
            tunnel.close()
            return None
        return tunnel

    def _ask(
        self, tunnel: socket.socket, server_address: str
    ) -> calls.PeerReply:
        set_socket_options(tunnel)
        tunnel.settimeout(_ANSWER_TIMEOUT_S)
        return self._client.exchange(tunnel, calls.TunnelCall(server_address))

    def _log_helper(self, peer: str) -> None:
        if peer != self._helper:
            self._helper = peer
            self._logger.info('tunnel_helper_changed', peer=peer)


@dataclasses.dataclass
class _Direction:
    """Bytes read from one socket that the other one has to take."""

    source: socket.socket
    target: socket.socket
    waiting: bytearray = dataclasses.field(default_factory=bytearray)
    ended: bool = False


class TunnelRelay:
    """Carries the bytes of tunnels for other hosts, on one thread.

    Args:
        is_cut: whether this host's own link to a server seems cut.
        logger: logs refused tunnels.
    """

    def __init__(
        self, is_cut: Callable[[str], bool], logger: EventLogger
    ) -> None:
        self._is_cut = is_cut
        self._logger = logger
        self._targets: frozenset[str] = frozenset()
        self._selector = selectors.DefaultSelector()
        self._lock = threading.Lock()
        self._directions: dict[socket.socket, _Direction] = {}
        self._added: list[tuple[socket.socket, socket.socket]] = []
        wakeup, waker = socket.socketpair()
        wakeup.setblocking(False)
        self._wakeup = wakeup
        self._waker = waker
        self._selector.register(self._wakeup, selectors.EVENT_READ)
        self._closed = threading.Event()
        self._thread = GuardedThread(
            self._run, 'peer-tunnels', self._closed, self._logger
        )

    def start(self) -> None:
        """Start to carry bytes."""
        self._thread.start()

    def close(self) -> None:
        """Stop; open tunnels end with the process."""
        self._closed.set()

    def servers_listed(self, servers: Iterable[ListedServer]) -> None:
        """Allow tunnels to the listed servers only."""
        self._targets = frozenset(server.address for server in servers)

    def connect(self, call: calls.TunnelCall) -> socket.socket | None:
        """Connect to a server for another host, None if that is impossible."""
        if (
            call.address not in self._targets
            or len(self._directions) >= 2 * _MAX_TUNNELS
            or self._is_cut(call.address)
        ):
            return None
        try:
            return _connect(call.address)
        except OSError as error:
            self._logger.info(
                'tunnel_refused', address=call.address, reason=repr(error)
            )
        return None

    def carry(self, caller: socket.socket, upstream: socket.socket) -> None:
        """Carry bytes between two connections until one of them ends.

        Both are reset if this process ends before: the end of a connection
        would complete an answer that has no length.
        """
        for end in (caller, upstream):
            _set_linger(end, _RESET_ON_CLOSE)
        with self._lock:
            self._added.append((caller, upstream))
        self._waker.send(b'.')

    def _run(self) -> None:
        while not self._closed.is_set():
            for key, events in self._selector.select(_SELECT_TIMEOUT_S):
                ready = key.fileobj
                if ready is self._wakeup:
                    self._add_new()
                elif isinstance(ready, socket.socket):
                    self._serve(ready, events)

    def _add_new(self) -> None:
        self._wakeup.recv(_MAX_PIECE_BYTES)
        with self._lock:
            added = self._added
            self._added = []
        for caller, upstream in added:
            for source, target in ((caller, upstream), (upstream, caller)):
                source.setblocking(False)
                self._directions[source] = _Direction(source, target)
                self._selector.register(source, selectors.EVENT_READ)

    def _serve(self, ready: socket.socket, events: int) -> None:
        direction = self._directions.get(ready)
        if direction is None:
            # Its other end has closed the tunnel in this round.
            return
        backward = self._directions[direction.target]
        try:
            if events & selectors.EVENT_WRITE:
                _flush(backward)
            if events & selectors.EVENT_READ:
                _read(direction)
        except OSError:
            self._end(direction, reset=True)
            return
        except Exception as error:
            self._logger.error('tunnel_failed', reason=repr(error))
            self._end(direction, reset=True)
            return
        if direction.ended and not direction.waiting:
            self._end(direction, reset=False)
            return
        if backward.ended and not backward.waiting:
            self._end(backward, reset=False)
            return
        self._select(direction, backward)

    def _select(self, *directions: _Direction) -> None:
        """Wait for what each end of a tunnel has to do next."""
        for direction in directions:
            backward = self._directions[direction.target]
            events = 0
            if not direction.waiting and not direction.ended:
                events |= selectors.EVENT_READ
            if backward.waiting:
                events |= selectors.EVENT_WRITE
            if events:
                self._watch(direction.source, events)
            elif direction.source in self._selector.get_map():
                self._selector.unregister(direction.source)

    def _watch(self, end: socket.socket, events: int) -> None:
        if end in self._selector.get_map():
            self._selector.modify(end, events)
        else:
            self._selector.register(end, events)

    def _end(self, direction: _Direction, *, reset: bool) -> None:
        """Close both ends; a broken end must not look like a complete one."""
        for end in (direction.source, direction.target):
            self._directions.pop(end, None)
            if end in self._selector.get_map():
                self._selector.unregister(end)
            if not reset:
                _set_linger(end, _END_ON_CLOSE)
            end.close()


def _set_linger(end: socket.socket, linger: bytes) -> None:
    """Set how a connection ends; it may have ended already."""
    with contextlib.suppress(OSError):
        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def _connect(address: str) -> socket.socket:
    with contextlib.ExitStack() as on_failure:
        upstream = on_failure.enter_context(
            socket.create_connection(split_address(address), _CONNECT_TIMEOUT_S)
        )
        set_socket_options(upstream)
        on_failure.pop_all()
    return upstream


def _read(direction: _Direction) -> None:
    """Read a piece and pass on what the other end takes at once."""
    piece = direction.source.recv(_MAX_PIECE_BYTES)
    if not piece:
        direction.ended = True
        return
    direction.waiting += piece
    _flush(direction)


def _flush(direction: _Direction) -> None:
    if not direction.waiting:
        return
    with contextlib.suppress(BlockingIOError):
        sent = direction.target.send(direction.waiting)
        direction.waiting = direction.waiting[sent:]
