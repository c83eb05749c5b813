"""Calls to backend servers over HTTP.

Each attempt ends either with a complete answer to the request that was sent,
or with a ``BackendServerError`` that says how it failed and whether it is
certain that the request did not run.
"""

from __future__ import annotations

import contextlib
import functools
import math
import select
import socket
import struct
import threading
import time
from collections.abc import Callable, Iterator, Mapping
from http import client
from typing import Protocol

import pydantic
from urllib3 import HTTPHeaderDict
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError, ReadTimeoutError
from urllib3.response import BaseHTTPResponse
from urllib3.util.wait import wait_for_read, wait_for_socket

from guavadyke.adapters.answer_bodies import read_body
from guavadyke.adapters.connection_pool import (
    ConnectionPool,
    TunnelledConnection,
    connection_over,
    new_connection,
)
from guavadyke.adapters.ports import (
    BackendCall,
    BackendFault,
    BackendServerError,
    ReportedLoad,
)
from guavadyke.decisions.request_headers import (
    CONNECTION_HEADERS,
    without_headers,
)
from guavadyke.decisions.server_ways import ServerWays

NOT_RUN_HEADER = 'Engine-Not-Run'
_REQUEST_ID_HEADER = 'x-request-id'
_SERVICE_UNAVAILABLE_STATUS = 503
_OK = 200
_MAX_IDLE_S = 5
_MAX_READ_BYTES = 65_536
_BLOCK_BYTES = 16_384
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_MAX_LOAD_BYTES = 1_048_576
# A server that closes a connection with a part of a long upload unread ends
# its answer in order and resets the connection right after it. The two follow
# each other within a round trip, which is a few milliseconds at most.
_RESET_WAIT_MS = 100
_TRANSPORT_ERRORS = (OSError, HTTPError, client.HTTPException)


class _LoadDocument(pydantic.BaseModel):
    running: int
    waiting: int
    slots: int
    leaving: bool
    age_s: float
    serves: tuple[str, ...] = ()


class BackendDialect:
    """Request and response headers that backend servers use.

    Subclasses override methods for servers with other conventions.
    ``names_requests`` is whether servers name the request in every answer, so
    that a refusal which names none on a kept connection proves nothing.
    """

    names_requests = False

    def request_headers(self, call: BackendCall) -> Mapping[str, str]:
        """Return the headers to send, including the request id."""
        return {**call.headers, 'X-Request-Id': call.request_id}

    def answered_request_id(self, headers: Mapping[str, str]) -> str | None:
        """Return the request id that the answer names, or None."""
        return headers.get(_REQUEST_ID_HEADER)

    def not_run(self, status: int, headers: Mapping[str, str]) -> bool:
        """Return whether the answer proves that the request did not run."""
        return (
            status == _SERVICE_UNAVAILABLE_STATUS
            and NOT_RUN_HEADER.lower() in headers
        )

    def request_limit(self, _headers: Mapping[str, str]) -> float:
        """Return the requests a second that the server takes."""
        return math.inf

    def leaving(self, _status: int, _headers: Mapping[str, str]) -> bool:
        """Return whether the server that was called says that it leaves."""
        return False

    def answer_defect(self, _status: int, _headers: Mapping[str, str]) -> str:
        """Return why the answer must not be relayed, empty if it may be."""
        return ''


class OpenThroughPeer(Protocol):
    """Opens connections to servers through other hosts."""

    def __call__(
        self, server_address: str, *, known_cut: bool
    ) -> socket.socket | None:
        """Return a connection to an IP:PORT, None if no host reaches it.

        Args:
            server_address: address of the server.
            known_cut: whether the link rather than the server has failed.
        """
        ...


class HttpBackendServers:
    """Implements ``BackendServers`` over HTTP.

    A connection is reused only if its last answer was read completely and
    it has been idle for no longer than ``idle_s``.

    A server whose link is cut is reached through other hosts once
    ``open_through_peer`` is set; it returns None if no host reaches it.

    Args:
        idle_s: seconds after which an idle connection is not reused.
        dialect: headers that the servers use.
    """

    def __init__(
        self,
        idle_s: float = _MAX_IDLE_S,
        dialect: BackendDialect | None = None,
    ) -> None:
        self._pool = ConnectionPool(idle_s)
        self._dialect = dialect or BackendDialect()
        self._ways = ServerWays()
        self._lock = threading.Lock()
        self.open_through_peer: OpenThroughPeer = _no_way

    def is_cut(self, address: str) -> bool:
        """Return whether this host's own link to a server seems cut."""
        with self._lock:
            return self._ways.is_cut(address, time.monotonic())

    def send(self, call: BackendCall) -> HttpBackendAnswer:
        """Send the request and wait for the status line and headers.

        Raises:
            BackendServerError: the request failed, or the answer was rejected.
        """
        connection, is_reused = self._get_connection(call)
        try:
            answer = HttpBackendAnswer(
                call,
                connection,
                self._pool,
                self._dialect,
                functools.partial(
                    self._record_silence, call.address, connection
                ),
            )
        except _TRANSPORT_ERRORS as error:
            connection.close()
            self._pool.close_idle(_origin(call))
            failure = _backend_error(error, call.address)
            if failure.fault is BackendFault.silent:
                self._record_silence(call.address, connection)
            raise failure from error
        _check_headers(call, answer, self._dialect, is_reused=is_reused)
        return answer

    def load(self, address: str, timeout_s: float) -> ReportedLoad:
        """Fetch the load that a backend server reports about itself.

        Raises:
            BackendServerError: the call failed or the report is malformed.
        """
        answer = self.send(
            BackendCall(
                request_id='',
                address=address,
                method='GET',
                path='/load',
                headers={},
                body=b'',
                connect_timeout_s=timeout_s,
                first_byte_timeout_s=timeout_s,
                gap_timeout_s=timeout_s,
            ),
        )
        body = read_body(answer, _MAX_LOAD_BYTES)
        if answer.status != _OK:
            raise BackendServerError(
                BackendFault.broken,
                f'{address} answered {answer.status} to a load poll',
                not_run=False,
            )
        try:
            document = _LoadDocument.model_validate_json(body)
        except pydantic.ValidationError as error:
            raise BackendServerError(
                BackendFault.broken,
                f'{address} returned no valid load: status {answer.status}',
                not_run=False,
            ) from error
        return ReportedLoad(**document.model_dump())

    def _get_connection(self, call: BackendCall) -> tuple[HTTPConnection, bool]:
        """Return an idle or new connection for the call, and if it was idle.

        Raises:
            BackendServerError: connecting failed; nothing was sent.
        """
        with self._lock:
            detour_first = self._ways.prefers_peers(
                call.address, time.monotonic()
            )
        reused = self._acquire_idle(call, through_peer=detour_first)
        if reused is not None:
            return reused, True
        connection = self._connect_through_peer(call) if detour_first else None
        if connection is None:
            connection = self._connect(call, may_detour=not detour_first)
        return connection, False

    def _acquire_idle(
        self, call: BackendCall, *, through_peer: bool
    ) -> HTTPConnection | None:
        """Return an idle connection of the wanted way, closing others."""
        reused = None if call.fresh else self._pool.acquire(_origin(call))
        while reused is not None and _is_tunnel(reused) != through_peer:
            reused.close()
            reused = self._pool.acquire(_origin(call))
        return reused

    def _connect(
        self, call: BackendCall, *, may_detour: bool
    ) -> HTTPConnection:
        connection = new_connection(_origin(call), call.connect_timeout_s)
        try:
            connection.connect()
        except _TRANSPORT_ERRORS as error:
            connection.close()
            detour = self._connect_through_peer(call) if may_detour else None
            if detour is not None:
                return detour
            raise BackendServerError(
                BackendFault.not_reached,
                f'{call.address} is not reached: {error}',
                not_run=True,
            ) from error
        with self._lock:
            self._ways.reached_directly(call.address, time.monotonic())
        return connection

    def _connect_through_peer(self, call: BackendCall) -> HTTPConnection | None:
        opened = self.open_through_peer(
            call.address, known_cut=self.is_cut(call.address)
        )
        if opened is None:
            return None
        with self._lock:
            self._ways.proved_cut(call.address, time.monotonic())
        return connection_over(opened, _origin(call))

    def _record_silence(self, address: str, connection: HTTPConnection) -> None:
        if _is_tunnel(connection):
            return
        with self._lock:
            suspect = self._ways.fell_silent(address, time.monotonic())
        if suspect:
            self._pool.close_all_idle()


class HttpBackendAnswer:
    """An HTTP answer whose body is read incrementally.

    The constructor sends the request and reads the headers.

    Args:
        call: the request to send.
        connection: an open connection.
        pool: receives the connection back after a complete answer.
        dialect: headers that the server uses.
        record_silence: called once if the first byte is late and the call
            waits on for it.
    """

    def __init__(
        self,
        call: BackendCall,
        connection: HTTPConnection,
        pool: ConnectionPool,
        dialect: BackendDialect,
        record_silence: Callable[[], object],
    ) -> None:
        self._call = call
        self._record_silence = record_silence
        self._connection = connection
        self._pool = pool
        self._socket: socket.socket = connection.sock
        self._lock = threading.Lock()
        self._released = False
        self._cancelled = False
        if call.cancellation is not None:
            call.cancellation.bind(self.cancel)
        self._response = self._exchange(dialect)
        self._headers = {
            name.lower(): text for name, text in self._response.headers.items()
        }

    @property
    def status(self) -> int:
        """HTTP status code."""
        return self._response.status

    @property
    def headers(self) -> Mapping[str, str]:
        """Response headers; names are in lower case."""
        return self._headers

    def chunks(self) -> Iterator[bytes]:
        """Yield pieces of the body as they arrive.

        Raises:
            BackendServerError: the body was truncated, stalled for longer
                than the gap timeout, or the call was cancelled.
        """
        whole = False
        observe_data = self._call.observe_data or _ignore_data
        try:
            for piece in self._body_pieces():
                observe_data(len(piece))
                yield piece
            whole = not self._cancelled
        except _TRANSPORT_ERRORS as error:
            raise _backend_error(error, self._call.address) from error
        finally:
            self._release_connection(whole=whole)
        if not whole:
            raise BackendServerError(
                BackendFault.broken,
                'the request was cancelled',
                not_run=False,
            )

    def cancel(self) -> None:
        """Close the connection, which frees the backend server's slot.

        Does nothing once the connection has been returned to the pool, since
        another call may use it by then.
        """
        with self._lock:
            if self._released:
                return
            self._cancelled = True
            with contextlib.suppress(OSError):
                # After an orderly end, a server whose send window is full
                # would wait on: nothing tells it that its reader has gone.
                self._socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                )
                self._socket.shutdown(socket.SHUT_RDWR)

    def discard(self) -> None:
        """Close the connection without reading the body."""
        self._release_connection(whole=False)

    def _exchange(self, dialect: BackendDialect) -> BaseHTTPResponse:
        call = self._call
        # urllib3 resets the socket's timeout to this value on each request,
        # and again before it reads the answer.
        self._connection.timeout = (
            call.first_byte_timeout_s
            if call.wait_longer_s is None
            else call.gap_timeout_s
        )
        self._connection.request(
            call.method,
            call.path,
            body=self._request_body(),
            headers=self._request_headers(dialect),
            preload_content=False,
            decode_content=False,
        )
        self._wait_for_answer()
        response = self._connection.getresponse()
        self._socket.settimeout(call.gap_timeout_s)
        return response

    def _request_headers(self, dialect: BackendDialect) -> HTTPHeaderDict:
        """Return the headers, whose only framing is the length of the body."""
        headers = HTTPHeaderDict(
            without_headers(
                dialect.request_headers(self._call), CONNECTION_HEADERS
            )
        )
        if self._call.body:
            headers['Content-Length'] = str(len(self._call.body))
        return headers

    def _request_body(self) -> bytes | Iterator[bytes] | None:
        body = self._call.body
        if self._call.wait_longer_s is None or len(body) <= _BLOCK_BYTES:
            return body or None
        return (
            self._wait_to_send(body[start : start + _BLOCK_BYTES])
            for start in range(0, len(body), _BLOCK_BYTES)
        )

    def _wait_to_send(self, block: bytes) -> bytes:
        """Return the block once the server takes it, or answers already.

        Raises:
            TimeoutError: it took none for too long.
        """
        wait_s = self._call.first_byte_timeout_s
        while not wait_for_socket(
            self._socket, read=True, write=True, timeout=wait_s
        ):
            wait_s = self._wait_longer_s()
        return block

    def _wait_longer_s(self) -> float:
        """Return for how many seconds more to wait.

        Raises:
            TimeoutError: the caller waits no longer.
        """
        wait_s = self._call.wait_longer_s() if self._call.wait_longer_s else 0
        if wait_s <= 0:
            raise TimeoutError('the server is silent for too long')
        return wait_s

    def _wait_for_answer(self) -> None:
        """Wait for the first byte, as long as the caller wants to.

        Raises:
            TimeoutError: none came.
        """
        if self._call.wait_longer_s is None or wait_for_read(
            self._socket, self._call.first_byte_timeout_s
        ):
            return
        self._record_silence()
        wait_s = self._wait_longer_s()
        while not wait_for_read(self._socket, wait_s):
            wait_s = self._wait_longer_s()

    def _body_pieces(self) -> Iterator[bytes]:
        # read_chunked() collects a whole chunk, whatever its size.
        if (
            self._response.chunked
            or self._response.length_remaining is not None
        ):
            return iter(lambda: self._response.read1(_MAX_READ_BYTES), b'')
        return self._read_until_close()

    def _read_until_close(self) -> Iterator[bytes]:
        """Yield a body without length that ends when the connection closes.

        Raises:
            IncompleteRead: the body is empty; the headers may be truncated.
            ConnectionResetError: the connection was reset after its end.
        """
        # The response closes its own socket at the end of the body.
        with self._socket.dup() as kept:
            piece = self._response.read1(_MAX_READ_BYTES)
            if not piece:
                raise client.IncompleteRead(b'')
            while piece:
                yield piece
                piece = self._response.read1(_MAX_READ_BYTES)
            self._check_not_reset(kept)

    def _check_not_reset(self, kept: socket.socket) -> None:
        """Check that the server has not refused the rest of the request.

        Another host that carries the connection does not pass on a reset
        after the end, so that a long upload over it proves nothing.

        Raises:
            ConnectionResetError: the body may be only a part of the answer.
        """
        poller = select.poll()
        # Without events it reports errors only.
        poller.register(kept, 0)
        wait_ms = 0
        if len(self._call.body) > _BLOCK_BYTES:
            if _is_tunnel(self._connection):
                raise ConnectionResetError('the request may be cut off')
            wait_ms = _RESET_WAIT_MS
        if poller.poll(wait_ms):
            raise ConnectionResetError('the request has been cut off')

    def _release_connection(self, *, whole: bool) -> None:
        """Return the connection to the pool, or close it if it is not reusable.

        After an incomplete answer the idle connections to the same server are
        closed as well.
        """
        origin = _origin(self._call)
        with self._lock:
            whole = whole and not self._cancelled
            self._released = whole
        if whole and self._connection.is_connected:
            self._pool.release(origin, self._connection)
            return
        self.cancel()
        self._response.close()
        self._connection.close()
        if not whole:
            self._pool.close_idle(origin)


def _is_tunnel(connection: HTTPConnection) -> bool:
    return isinstance(connection, TunnelledConnection)


def _ignore_data(_count: int) -> None:
    """Do nothing where nobody waits for signs of life."""


def _no_way(server_address: str, *, known_cut: bool) -> None:
    """Reach no server before there are other hosts."""


def _origin(call: BackendCall) -> str:
    return f'http://{call.address}'


def _check_headers(
    call: BackendCall,
    answer: HttpBackendAnswer,
    dialect: BackendDialect,
    *,
    is_reused: bool,
) -> None:
    """Check the answer's headers before its body is used.

    A refusal that names no request may be a copy of an earlier one where the
    connection has carried other requests.

    Raises:
        BackendServerError: the answer is to another request, proves that the
            request did not run, or must not be relayed.
    """
    answered_id = dialect.answered_request_id(answer.headers)
    if answered_id not in {None, call.request_id}:
        answer.discard()
        raise BackendServerError(
            BackendFault.crossed,
            f'{call.address} returned the answer to another request',
            not_run=False,
        )
    _observe_server(call, answer, dialect)
    if dialect.not_run(answer.status, answer.headers):
        answer.discard()
        if dialect.names_requests and answered_id is None and is_reused:
            raise BackendServerError(
                BackendFault.crossed,
                f'{call.address} refuses a request that it does not name',
                not_run=False,
            )
        raise BackendServerError(
            BackendFault.refused,
            f'{call.address} refuses new requests',
            not_run=True,
        )
    reason = dialect.answer_defect(answer.status, answer.headers)
    if reason:
        answer.discard()
        raise BackendServerError(
            BackendFault.broken,
            f'{call.address} answered {answer.status} {reason}',
            not_run=False,
        )


def _observe_server(
    call: BackendCall, answer: HttpBackendAnswer, dialect: BackendDialect
) -> None:
    """Pass on what the server says of itself in an answer."""
    if call.observe_limit is not None:
        call.observe_limit(dialect.request_limit(answer.headers))
    leaving = dialect.leaving(answer.status, answer.headers)
    if leaving and call.observe_leaving is not None:
        call.observe_leaving()


def _backend_error(error: Exception, address: str) -> BackendServerError:
    silent = isinstance(error, (TimeoutError, ReadTimeoutError))
    fault = BackendFault.silent if silent else BackendFault.broken
    return BackendServerError(
        fault,
        f'{address} failed: {error!r}',
        not_run=False,
        disconnected=not silent,
    )
