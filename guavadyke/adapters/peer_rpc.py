"""Calls between entry hosts over TCP.

A connection carries one call: one authenticated frame each way. Only that of
a watch stays open for further queries.
"""

from __future__ import annotations

import contextlib
import socket
import threading
import uuid
from collections.abc import Callable, Generator
from concurrent.futures import ThreadPoolExecutor
from typing import Protocol

from guavadyke.adapters import peer_call_codec as codec
from guavadyke.adapters import peer_calls as calls
from guavadyke.adapters.message_authentication import (
    MessageAuthenticator,
    PeerMessageError,
    RejectionReason,
)
from guavadyke.adapters.peer_datagrams import (
    CLOCK_TOLERANCE_MS,
    RejectedMessageLog,
)
from guavadyke.adapters.peer_sockets import (
    PeerSockets,
    TransportFaults,
    format_address,
    split_address,
)
from guavadyke.adapters.ports import Clock
from guavadyke.errors import ErrorCode
from guavadyke.guarded_threads import GuardedThread, submit_logged

CONNECT_TIMEOUT_S = 0.5
CALL_TIMEOUT_S = 4.0
# A read can be repeated at the next peer, or directly.
READ_TIMEOUT_S = 1.0
MAX_FRAME_BYTES = 4_194_304
_LENGTH_BYTES = 4
_MAX_READ_BYTES = 65_536
_WORKER_THREADS = 8
_MAX_QUEUED_CALLS = 32
# Connections of hosts that ask for changes; each has a thread that waits.
_MAX_WATCHES = 128
# A connection without a query for this time is closed.
_WATCH_IDLE_S = 15.0
# Added to the time that a peer may wait for changes.
_WATCH_MARGIN_S = 0.4
_ACCEPT_TIMEOUT_S = 0.2

_NOT_REACHED_REPLY = calls.PeerReply(
    error=calls.RemoteError(
        ErrorCode.no_backend_server, 'the server is not reached from here'
    ),
)

RequestHandler = Callable[[str, calls.PeerRequest], calls.PeerReply]


class PeerClient:
    """Makes calls to peers; safe to use from any thread.

    Args:
        authenticator: signs and verifies messages with the fleet key.
        host_id: id of this host.
        clock: timestamps calls.
        faults: simulated partitions, for tests.
    """

    def __init__(
        self,
        authenticator: MessageAuthenticator,
        host_id: str,
        clock: Clock,
        faults: TransportFaults,
    ) -> None:
        self._authenticator = authenticator
        self._host_id = host_id
        self._clock = clock
        self._faults = faults

    def call(
        self,
        address: str,
        request: calls.PeerRequest,
        timeout_s: float = CALL_TIMEOUT_S,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> calls.PeerReply:
        """Call a peer and wait up to ``timeout_s`` seconds for its answer.

        Raises:
            PeerNotReachedError: the call had no effect.
            PeerAnswerLostError: the call may have taken effect.
        """
        with contextlib.closing(
            self.connect(address, connect_timeout_s)
        ) as connection:
            connection.settimeout(timeout_s)
            return self.exchange(connection, request)

    def exchange(
        self, connection: socket.socket, request: calls.PeerRequest
    ) -> calls.PeerReply:
        """Make a call over an open connection.

        Raises:
            PeerAnswerLostError: the call may have taken effect; the
                connection has to be closed.
        """
        nonce = uuid.uuid4().hex
        payload = codec.encode_call(
            codec.CallEnvelope(
                self._host_id,
                nonce,
                int(self._clock.wall() * 1000),
                request,
            ),
        )
        try:
            send_frame(connection, self._authenticator.sign(payload))
            answer = self._authenticator.verify(receive_frame(connection))
            envelope = codec.decode_reply(answer)
        except (OSError, PeerMessageError) as error:
            raise calls.PeerAnswerLostError(str(error)) from error
        if envelope.nonce != nonce:
            raise calls.PeerAnswerLostError(
                'the answer belongs to another call'
            )
        return envelope.reply

    def connect(
        self, address: str, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> socket.socket:
        """Open a connection to a peer within ``timeout_s`` seconds.

        Raises:
            PeerNotReachedError: the peer cannot be reached.
        """
        if address in self._faults.blocked_to | self._faults.blocked_from:
            raise calls.PeerNotReachedError(f'{address} is cut off')
        try:
            connection = socket.create_connection(
                split_address(address),
                timeout=timeout_s,
            )
        except (OSError, ValueError) as error:
            raise calls.PeerNotReachedError(str(error)) from error
        connection.settimeout(CALL_TIMEOUT_S)
        return connection


class PeerChannels:
    """Connections to peers that stay open for queries that wait.

    Each key has one connection at a time. Queries with the same key have
    to come from one thread.

    Args:
        client: opens the connections.
    """

    def __init__(self, client: PeerClient) -> None:
        self._client = client
        self._open: dict[str, tuple[str, socket.socket]] = {}

    def call(
        self,
        address: str,
        key: str,
        request: calls.PeerRequest,
        wait_s: float,
    ) -> calls.PeerReply:
        """Call a peer that may wait for ``wait_s`` seconds with its answer.

        Raises:
            PeerNotReachedError: the peer cannot be reached.
            PeerAnswerLostError: the peer did not answer.
        """
        connection = self._connection(address, key)
        connection.settimeout(wait_s + _WATCH_MARGIN_S)
        try:
            return self._client.exchange(connection, request)
        except calls.PeerAnswerLostError:
            self._close(key)
            raise

    def _connection(self, address: str, key: str) -> socket.socket:
        known_address, connection = self._open.get(key, ('', None))
        if connection is not None and known_address == address:
            return connection
        self._close(key)
        connection = self._client.connect(address)
        self._open[key] = (address, connection)
        return connection

    def _close(self, key: str) -> None:
        _address, connection = self._open.pop(key, ('', None))
        if connection is not None:
            connection.close()


class Tunnels(Protocol):
    """Connects other hosts to backend servers."""

    def connect(self, call: calls.TunnelCall) -> socket.socket | None:
        """Connect to a server, None if that is impossible."""
        ...

    def carry(self, caller: socket.socket, upstream: socket.socket) -> None:
        """Carry bytes between two connections until one of them ends."""
        ...


class PeerServer:
    """Answers calls of peers on bounded thread pools.

    A connection that arrives while all threads are busy and the queue is
    full is closed at once.

    Args:
        sockets: bound sockets; only the TCP socket is used.
        authenticator: signs and verifies messages with the fleet key.
        clock: checks the age of calls.
        rejection_log: counts and logs rejected messages.
        answer: handles a request; gets the sender's host id and the request.
        tunnels: connects other hosts to backend servers, None to refuse.
    """

    def __init__(
        self,
        sockets: PeerSockets,
        authenticator: MessageAuthenticator,
        clock: Clock,
        rejection_log: RejectedMessageLog,
        answer: RequestHandler,
        tunnels: Tunnels | None = None,
    ) -> None:
        self._tunnels = tunnels
        self._socket = sockets.calls
        self._authenticator = authenticator
        self._clock = clock
        self._rejection_log = rejection_log
        self._handle_request = answer
        self._seen_nonces = NonceCache(CLOCK_TOLERANCE_MS)
        self._free_capacity = threading.Semaphore(
            _WORKER_THREADS + _MAX_QUEUED_CALLS
        )
        self._pool = ThreadPoolExecutor(_WORKER_THREADS, 'peer-call')
        self._free_watches = threading.Semaphore(_MAX_WATCHES)
        self._watch_pool = ThreadPoolExecutor(_MAX_WATCHES, 'peer-watch')
        self._closed = threading.Event()
        self._thread = GuardedThread(self._run, 'peer-calls', self._closed)

    def start(self) -> None:
        """Accept calls on a background thread."""
        self._socket.settimeout(_ACCEPT_TIMEOUT_S)
        self._thread.start()

    def close(self) -> None:
        """Stop accepting calls; calls that are running may finish."""
        self._closed.set()
        if self._thread.is_alive():
            self._thread.join(1)
        self._pool.shutdown(wait=False, cancel_futures=True)
        self._watch_pool.shutdown(wait=False, cancel_futures=True)

    def _run(self) -> None:
        while not self._closed.is_set():
            try:
                connection, source = self._socket.accept()
            except OSError:
                continue
            if self._free_capacity.acquire(blocking=False):
                address = format_address(source[0], source[1])
                submit_logged(self._pool, self._serve, connection, address)
            else:
                connection.close()

    def _serve(self, connection: socket.socket, address: str) -> None:
        connection.settimeout(CALL_TIMEOUT_S)
        goes_on = False
        try:
            with self._handled(connection, address) as open_connection:
                envelope = self._receive_call(open_connection)
                if isinstance(envelope.request, calls.WatchQuery):
                    goes_on = self._start_watch(connection, address, envelope)
                elif isinstance(envelope.request, calls.TunnelCall):
                    goes_on = self._start_tunnel(
                        connection, envelope, envelope.request
                    )
                else:
                    reply = self._handle_request(
                        envelope.sender, envelope.request
                    )
                    self._send_reply(open_connection, envelope, reply)
        finally:
            self._free_capacity.release()
            if not goes_on:
                connection.close()

    def _start_tunnel(
        self,
        connection: socket.socket,
        envelope: codec.CallEnvelope,
        call: calls.TunnelCall,
    ) -> bool:
        """Connect to a backend server and return whether that succeeded."""
        upstream = (
            None if self._tunnels is None else self._tunnels.connect(call)
        )
        if self._tunnels is None or upstream is None:
            self._send_reply(connection, envelope, _NOT_REACHED_REPLY)
            return False
        try:
            self._send_reply(connection, envelope, calls.PeerReply())
        except OSError:
            upstream.close()
            raise
        self._tunnels.carry(connection, upstream)
        return True

    def _start_watch(
        self,
        connection: socket.socket,
        address: str,
        envelope: codec.CallEnvelope,
    ) -> bool:
        """Answer queries on a thread of its own, unless there are too many."""
        if not self._free_watches.acquire(blocking=False):
            return False
        submit_logged(
            self._watch_pool, self._serve_watch, connection, address, envelope
        )
        return True

    def _serve_watch(
        self,
        connection: socket.socket,
        address: str,
        envelope: codec.CallEnvelope,
    ) -> None:
        connection.settimeout(_WATCH_IDLE_S)
        try:
            with (
                contextlib.closing(connection),
                self._handled(connection, address),
            ):
                while not self._closed.is_set():
                    reply = self._handle_request(
                        envelope.sender, envelope.request
                    )
                    self._send_reply(connection, envelope, reply)
                    envelope = self._receive_call(connection)
        finally:
            self._free_watches.release()

    @contextlib.contextmanager
    def _handled(
        self, connection: socket.socket, address: str
    ) -> Generator[socket.socket]:
        """Record messages that are rejected, and end with the caller."""
        try:
            yield connection
        except PeerMessageError as error:
            self._rejection_log.record(error, address)
        except OSError:
            # The caller is gone; it resolves the outcome of the call itself.
            return

    def _receive_call(self, connection: socket.socket) -> codec.CallEnvelope:
        message = receive_frame(connection)
        envelope = codec.decode_call(self._authenticator.verify(message))
        self._check_fresh(envelope)
        return envelope

    def _send_reply(
        self,
        connection: socket.socket,
        envelope: codec.CallEnvelope,
        reply: calls.PeerReply,
    ) -> None:
        payload = codec.encode_reply(
            codec.ReplyEnvelope(envelope.nonce, reply),
        )
        if len(payload) > MAX_FRAME_BYTES // 2:
            reply = too_large_reply()
            payload = codec.encode_reply(
                codec.ReplyEnvelope(envelope.nonce, reply),
            )
        send_frame(connection, self._authenticator.sign(payload))

    def _check_fresh(self, envelope: codec.CallEnvelope) -> None:
        now_ms = int(self._clock.wall() * 1000)
        if abs(now_ms - envelope.sent_ms) > CLOCK_TOLERANCE_MS:
            raise PeerMessageError(RejectionReason.stale, envelope.sender)
        if not self._seen_nonces.add_if_new(envelope.nonce, now_ms):
            raise PeerMessageError(RejectionReason.replayed, envelope.sender)


class NonceCache:
    """Detects calls that are replayed within the accepted time window.

    Args:
        tolerance_ms: largest accepted difference between the clocks of two
            hosts; nonces are retained for twice this time.
    """

    def __init__(self, tolerance_ms: int) -> None:
        self._retention_ms = 2 * tolerance_ms
        self._seen_at_ms: dict[str, int] = {}
        self._lock = threading.Lock()

    def add_if_new(self, nonce: str, now_ms: int) -> bool:
        """Return whether the nonce is new, and store it."""
        with self._lock:
            self._remove_expired(now_ms)
            if nonce in self._seen_at_ms:
                return False
            self._seen_at_ms[nonce] = now_ms
            return True

    def _remove_expired(self, now_ms: int) -> None:
        """Remove from the front, since the dict is in order of arrival."""
        while self._seen_at_ms:
            oldest = next(iter(self._seen_at_ms))
            if now_ms - self._seen_at_ms[oldest] <= self._retention_ms:
                return
            self._seen_at_ms.pop(oldest)


def too_large_reply() -> calls.PeerReply:
    """Return the error that replaces an answer above the size limit."""
    return calls.PeerReply(
        error=calls.RemoteError(
            ErrorCode.too_large,
            'the answer is too large for a call between hosts',
        ),
    )


def send_frame(connection: socket.socket, message: bytes) -> None:
    """Send a message with a length prefix."""
    connection.sendall(_length_prefix(message) + message)


def _length_prefix(message: bytes) -> bytes:
    return len(message).to_bytes(_LENGTH_BYTES, 'big')


def receive_frame(connection: socket.socket) -> bytes:
    """Receive a message with a length prefix.

    Raises:
        OSError: the connection was closed or timed out.
        PeerMessageError: the message is too large.
    """
    length = int.from_bytes(_receive_exactly(connection, _LENGTH_BYTES), 'big')
    if length > MAX_FRAME_BYTES:
        raise PeerMessageError(RejectionReason.too_large, f'{length} bytes')
    return _receive_exactly(connection, length)


def _receive_exactly(connection: socket.socket, length: int) -> bytes:
    received_data = bytearray()
    while len(received_data) < length:
        data = connection.recv(
            min(_MAX_READ_BYTES, length - len(received_data))
        )
        if not data:
            raise ConnectionResetError('the other end closed the connection')
        received_data += data
    return bytes(received_data)
