"""Calls between entry hosts over TCP.

A connection carries one call: one authenticated frame each way.
"""

from __future__ import annotations

import contextlib
import socket
import threading
import uuid
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

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

CONNECT_TIMEOUT_S = 0.5
CALL_TIMEOUT_S = 4.0
MAX_FRAME_BYTES = 4_194_304
_LENGTH_BYTES = 4
_MAX_READ_BYTES = 65_536
_WORKER_THREADS = 8
_MAX_QUEUED_CALLS = 32
_ACCEPT_TIMEOUT_S = 0.2

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
    ) -> calls.PeerReply:
        """Call a peer and wait for its answer.

        Raises:
            PeerNotReachedError: the call had no effect.
            PeerAnswerLostError: the call may have taken effect.
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
        connection = self._connect(address)
        with contextlib.closing(connection):
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

    def _connect(self, address: str) -> socket.socket:
        if address in self._faults.blocked_to | self._faults.blocked_from:
            raise calls.PeerNotReachedError(f'{address} is cut off')
        try:
            connection = socket.create_connection(
                split_address(address),
                timeout=CONNECT_TIMEOUT_S,
            )
        except (OSError, ValueError) as error:
            raise calls.PeerNotReachedError(str(error)) from error
        connection.settimeout(CALL_TIMEOUT_S)
        return connection


class PeerServer:
    """Answers calls of peers on a bounded thread pool.

    A connection that arrives while all threads are busy and the queue is
    full is closed at once.

    Args:
        sockets: bound sockets; only the TCP socket is used.
        authenticator: signs and verifies messages with the fleet key.
        clock: checks the age of calls.
        rejection_log: counts and logs rejected messages.
        answer: handles a request; gets the sender's host id and the request.
    """

    def __init__(
        self,
        sockets: PeerSockets,
        authenticator: MessageAuthenticator,
        clock: Clock,
        rejection_log: RejectedMessageLog,
        answer: RequestHandler,
    ) -> None:
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
        self._closed = threading.Event()
        self._thread = threading.Thread(
            target=self._run,
            name='peer-calls',
            daemon=True,
        )

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

    def _run(self) -> None:
        while not self._closed.is_set():
            try:
                connection, source = self._socket.accept()
            except OSError:
                continue
            if self._free_capacity.acquire(blocking=False):
                address = format_address(source[0], source[1])
                self._pool.submit(self._serve, connection, address)
            else:
                connection.close()

    def _serve(self, connection: socket.socket, address: str) -> None:
        try:
            with contextlib.closing(connection):
                connection.settimeout(CALL_TIMEOUT_S)
                self._exchange(connection)
        except PeerMessageError as error:
            self._rejection_log.record(error, address)
        except OSError:
            # The caller is gone; it resolves the outcome of the call itself.
            return
        finally:
            self._free_capacity.release()

    def _exchange(self, connection: socket.socket) -> None:
        message = receive_frame(connection)
        envelope = codec.decode_call(self._authenticator.verify(message))
        self._check_fresh(envelope)
        reply = self._handle_request(envelope.sender, envelope.request)
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
