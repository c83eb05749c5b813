"""Calls between entry hosts: one sealed frame each way on a connection."""

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
    Refusal,
)
from guavadyke.adapters.peer_datagrams import TOLERANCE_MS, RejectedMessageLog
from guavadyke.adapters.peer_sockets import (
    SocketPair,
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
_READ_BYTES = 65_536
_THREADS = 8
_WAITING_CALLS = 32
_ACCEPT_WAIT_S = 0.2

Answerer = Callable[[str, calls.PeerRequest], calls.PeerReply]


class PeerClient:
    """Calls peers; any thread may call.

    Args:
        authenticator: the fleet key.
        host_id: this host.
        clock: dates calls.
        faults: cuts, for tests.
    """

    def __init__(
        self,
        authenticator: MessageAuthenticator,
        host_id: str,
        clock: Clock,
        faults: TransportFaults,
    ) -> None:
        self._seal = authenticator
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
            PeerAnswerLostError: the call may have had effect.
        """
        nonce = uuid.uuid4().hex
        payload = codec.encode_call(
            codec.Envelope(
                self._host_id,
                nonce,
                int(self._clock.wall() * 1000),
                request,
            ),
        )
        connection = self._connected(address)
        with contextlib.closing(connection):
            try:
                send_frame(connection, self._seal.close(payload))
                answer = self._seal.open(receive_frame(connection))
                envelope = codec.decode_reply(answer)
            except (OSError, PeerMessageError) as error:
                raise calls.PeerAnswerLostError(str(error)) from error
        if envelope.nonce != nonce:
            raise calls.PeerAnswerLostError('the answer is to another call')
        return envelope.reply

    def _connected(self, address: str) -> socket.socket:
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
    """Answers calls of peers on a bounded number of threads.

    Args:
        pair: bound sockets.
        authenticator: the fleet key.
        clock: judges the age of calls.
        refusals: notes what is refused.
        answer: answers a call of a host.
    """

    def __init__(
        self,
        pair: SocketPair,
        authenticator: MessageAuthenticator,
        clock: Clock,
        refusals: RejectedMessageLog,
        answer: Answerer,
    ) -> None:
        self._socket = pair.calls
        self._seal = authenticator
        self._clock = clock
        self._refusals = refusals
        self._answer = answer
        self._nonces = NonceWindow(TOLERANCE_MS)
        self._room = threading.Semaphore(_THREADS + _WAITING_CALLS)
        self._pool = ThreadPoolExecutor(_THREADS, 'peer-call')
        self._closed = threading.Event()
        self._thread = threading.Thread(
            target=self._run,
            name='peer-calls',
            daemon=True,
        )

    def start(self) -> None:
        """Accept in the background."""
        self._socket.settimeout(_ACCEPT_WAIT_S)
        self._thread.start()

    def close(self) -> None:
        """Accept no more calls; those that run may end."""
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
            if self._room.acquire(blocking=False):
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
            self._refusals.note(error, address)
        except OSError:
            # The caller has gone; it settles the outcome itself.
            return
        finally:
            self._room.release()

    def _exchange(self, connection: socket.socket) -> None:
        message = receive_frame(connection)
        envelope = codec.decode_call(self._seal.open(message))
        self._check_fresh(envelope)
        reply = self._answer(envelope.sender, envelope.request)
        payload = codec.encode_reply(
            codec.ReplyEnvelope(envelope.nonce, reply),
        )
        if len(payload) > MAX_FRAME_BYTES // 2:
            reply = too_large_reply()
            payload = codec.encode_reply(
                codec.ReplyEnvelope(envelope.nonce, reply),
            )
        send_frame(connection, self._seal.close(payload))

    def _check_fresh(self, envelope: codec.Envelope) -> None:
        now_ms = int(self._clock.wall() * 1000)
        if abs(now_ms - envelope.sent_ms) > TOLERANCE_MS:
            raise PeerMessageError(Refusal.stale, envelope.sender)
        if not self._nonces.take(envelope.nonce, now_ms):
            raise PeerMessageError(Refusal.replayed, envelope.sender)


class NonceWindow:
    """Nonces seen lately.

    Args:
        kept_ms: how long a nonce is remembered.
    """

    def __init__(self, kept_ms: int) -> None:
        self._kept_ms = 2 * kept_ms
        self._seen: dict[str, int] = {}
        self._lock = threading.Lock()

    def take(self, nonce: str, now_ms: int) -> bool:
        """Return whether the nonce is new, and remember it."""
        with self._lock:
            self._drop_old(now_ms)
            if nonce in self._seen:
                return False
            self._seen[nonce] = now_ms
            return True

    def _drop_old(self, now_ms: int) -> None:
        """Drop from the front, since nonces are kept in their order."""
        while self._seen:
            oldest = next(iter(self._seen))
            if now_ms - self._seen[oldest] <= self._kept_ms:
                return
            self._seen.pop(oldest)


def too_large_reply() -> calls.PeerReply:
    """Return the answer in place of one that would be too large."""
    return calls.PeerReply(
        error=calls.RemoteError(
            ErrorCode.too_large,
            'the answer is too large for a call between hosts',
        ),
    )


def send_frame(connection: socket.socket, message: bytes) -> None:
    """Send a message with its length before it."""
    connection.sendall(_length(message) + message)


def _length(message: bytes) -> bytes:
    return len(message).to_bytes(_LENGTH_BYTES, 'big')


def receive_frame(connection: socket.socket) -> bytes:
    """Receive a message.

    Raises:
        OSError: the connection broke off or is silent.
        PeerMessageError: the message is too large.
    """
    length = int.from_bytes(_receive(connection, _LENGTH_BYTES), 'big')
    if length > MAX_FRAME_BYTES:
        raise PeerMessageError(Refusal.too_large, f'{length} bytes')
    return _receive(connection, length)


def _receive(connection: socket.socket, length: int) -> bytes:
    pieces = bytearray()
    while len(pieces) < length:
        piece = connection.recv(min(_READ_BYTES, length - len(pieces)))
        if not piece:
            raise ConnectionResetError('the other end closed the connection')
        pieces += piece
    return bytes(pieces)
