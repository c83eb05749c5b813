"""Calls to backend servers over HTTP.

An attempt has a definite end: a whole answer to this very request, or an
error that says how it failed and whether there is proof that the request
did not run.
"""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Iterator, Mapping
from http import client

import pydantic
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError, ReadTimeoutError
from urllib3.response import BaseHTTPResponse

from guavadyke.adapters.connections import ConnectionPool, new_connection
from guavadyke.adapters.ports import (
    BackendCall,
    BackendFault,
    BackendServerError,
    ReportedLoad,
)

NOT_RUN_HEADER = 'Engine-Not-Run'
_REQUEST_ID_HEADER = 'x-request-id'
_REFUSED = 503
_OK = 200
_IDLE_S = 5
_READ_BYTES = 65_536
_FAILURES = (OSError, HTTPError, client.HTTPException)


class _LoadDocument(pydantic.BaseModel):
    running: int
    waiting: int
    slots: int
    leaving: bool
    age_s: float
    serves: tuple[str, ...] = ()


class BackendDialect:
    """How backend servers are told of a request and say what became of it.

    Each step may be overridden for servers that speak otherwise.
    """

    def request_headers(self, call: BackendCall) -> Mapping[str, str]:
        """Return the headers of a request."""
        return {**call.headers, 'X-Request-Id': call.request_id}

    def answered_id(self, headers: Mapping[str, str]) -> str | None:
        """Return the id of the request that an answer belongs to."""
        return headers.get(_REQUEST_ID_HEADER)

    def not_run(self, status: int, headers: Mapping[str, str]) -> bool:
        """Return whether an answer proves that the request did not run."""
        return status == _REFUSED and NOT_RUN_HEADER.lower() in headers

    def answer_defect(self, _status: int, _headers: Mapping[str, str]) -> str:
        """Return why a head cannot be passed on, empty where it can."""
        return ''


class HttpBackendServers:
    """Implements ``BackendServers`` by HTTP.

    A connection is used again only after an answer that was read to its
    end, and only within a few seconds.

    Args:
        idle_s: seconds after which an idle connection is not reused.
        dialect: headers that the servers know.
    """

    def __init__(
        self,
        idle_s: float = _IDLE_S,
        dialect: BackendDialect | None = None,
    ) -> None:
        self._pool = ConnectionPool(idle_s)
        self._dialect = dialect or BackendDialect()

    def send(self, call: BackendCall) -> HttpBackendAnswer:
        """Send the request and wait for the head of the answer.

        Raises:
            BackendServerError: there is no answer to this request.
        """
        connection = self._connection(call)
        try:
            answer = HttpBackendAnswer(
                call,
                connection,
                self._pool,
                self._dialect,
            )
        except _FAILURES as error:
            connection.close()
            self._pool.drop(_origin(call))
            raise _failure(error, call.address) from error
        _check_head(call, answer, self._dialect)
        return answer

    def load(self, address: str, timeout_s: float) -> ReportedLoad:
        """Ask a backend server for its own report.

        Raises:
            BackendServerError: it does not answer.
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
        body = b''.join(answer.chunks())
        try:
            document = _LoadDocument.model_validate_json(body)
        except pydantic.ValidationError as error:
            raise BackendServerError(
                BackendFault.broken,
                f'{address} reports no load: status {answer.status}',
                not_run=False,
            ) from error
        return ReportedLoad(**document.model_dump())

    def _connection(self, call: BackendCall) -> HTTPConnection:
        """Return a connection; nothing has been sent on it.

        Raises:
            BackendServerError: there is none.
        """
        origin = _origin(call)
        reused = None if call.fresh else self._pool.take(origin)
        if reused is not None:
            return reused
        connection = new_connection(origin, call.connect_timeout_s)
        try:
            connection.connect()
        except _FAILURES as error:
            connection.close()
            raise BackendServerError(
                BackendFault.not_reached,
                f'{call.address} is not reached: {error}',
                not_run=True,
            ) from error
        return connection


class HttpBackendAnswer:
    """An answer whose body arrives in pieces.

    Args:
        call: the request, which is sent at once.
        connection: a connected connection.
        pool: takes the connection back after a whole answer.
        dialect: headers that the server knows.
    """

    def __init__(
        self,
        call: BackendCall,
        connection: HTTPConnection,
        pool: ConnectionPool,
        dialect: BackendDialect,
    ) -> None:
        self._call = call
        self._connection = connection
        self._pool = pool
        self._socket: socket.socket = connection.sock
        self._lock = threading.Lock()
        self._left = False
        self._cancelled = False
        if call.cancellation is not None:
            call.cancellation.bind(self.cancel)
        self._response = self._exchange(dialect)
        self._headers = {
            name.lower(): text for name, text in self._response.headers.items()
        }

    @property
    def status(self) -> int:
        """HTTP status."""
        return self._response.status

    @property
    def headers(self) -> Mapping[str, str]:
        """Headers, names in lower case."""
        return self._headers

    def chunks(self) -> Iterator[bytes]:
        """Yield pieces of the body as they arrive.

        Raises:
            BackendServerError: the body broke off or went silent.
        """
        whole = False
        try:
            yield from self._pieces()
            whole = not self._cancelled
        except _FAILURES as error:
            raise _failure(error, self._call.address) from error
        finally:
            self._leave(whole=whole)
        if not whole:
            raise BackendServerError(
                BackendFault.broken,
                'the request was cancelled',
                not_run=False,
            )

    def cancel(self) -> None:
        """Close the connection, which frees the backend server's slot.

        A connection that was given back may serve another call by now.
        """
        with self._lock:
            if self._left:
                return
            self._cancelled = True
            with contextlib.suppress(OSError):
                self._socket.shutdown(socket.SHUT_RDWR)

    def discard(self) -> None:
        """Close the connection of an answer that is not read."""
        self._leave(whole=False)

    def _exchange(self, dialect: BackendDialect) -> BaseHTTPResponse:
        call = self._call
        # The library sets the socket's timeout anew from this one.
        self._connection.timeout = call.first_byte_timeout_s
        self._connection.request(
            call.method,
            call.path,
            body=call.body or None,
            headers=dialect.request_headers(call),
            preload_content=False,
            decode_content=False,
        )
        response = self._connection.getresponse()
        self._socket.settimeout(call.gap_timeout_s)
        return response

    def _pieces(self) -> Iterator[bytes]:
        # Reading by chunks guards errors once for the body, not each piece.
        if self._response.chunked:
            return self._response.read_chunked()
        if self._response.length_remaining is None:
            return self._unframed()
        return iter(lambda: self._response.read1(_READ_BYTES), b'')

    def _unframed(self) -> Iterator[bytes]:
        """Yield a body that ends with its connection.

        Raises:
            IncompleteRead: there is none; the head may have been cut.
        """
        piece = self._response.read1(_READ_BYTES)
        if not piece:
            raise client.IncompleteRead(b'')
        while piece:
            yield piece
            piece = self._response.read1(_READ_BYTES)

    def _leave(self, *, whole: bool) -> None:
        """Give the connection back, or close it where that is not sound."""
        origin = _origin(self._call)
        with self._lock:
            whole = whole and not self._cancelled
            self._left = whole
        if whole and self._connection.is_connected:
            self._pool.give(origin, self._connection)
            return
        self.cancel()
        self._response.close()
        self._connection.close()
        if not whole:
            self._pool.drop(origin)


def _origin(call: BackendCall) -> str:
    return f'http://{call.address}'


def _check_head(
    call: BackendCall,
    answer: HttpBackendAnswer,
    dialect: BackendDialect,
) -> None:
    """Refuse an answer to another request or one that proves no run.

    Raises:
        BackendServerError: in both cases.
    """
    answered_id = dialect.answered_id(answer.headers)
    if answered_id not in {None, call.request_id}:
        answer.discard()
        raise BackendServerError(
            BackendFault.crossed,
            f'{call.address} answered another request',
            not_run=False,
        )
    if dialect.not_run(answer.status, answer.headers):
        answer.discard()
        raise BackendServerError(
            BackendFault.refused,
            f'{call.address} takes no new requests',
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


def _failure(error: Exception, address: str) -> BackendServerError:
    silent = isinstance(error, (TimeoutError, ReadTimeoutError))
    fault = BackendFault.silent if silent else BackendFault.broken
    return BackendServerError(
        fault,
        f'{address} failed: {error!r}',
        not_run=False,
    )
