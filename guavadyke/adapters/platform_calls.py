"""HTTP calls to the platform.

An error of a write says whether the write may have taken effect.
"""

from __future__ import annotations

import contextlib
import dataclasses
import time
from collections.abc import Mapping
from http import client
from typing import TypeVar

import pydantic
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from guavadyke.adapters.connection_pool import ConnectionPool, new_connection
from guavadyke.decisions.call_timeout import AdaptiveTimeout
from guavadyke.decisions.watch_sharing import watch_times
from guavadyke.errors import (
    ErrorCode,
    GuavadykeError,
    ObjectConflictError,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
)
from guavadyke.settings import PlatformSettings

NOT_FOUND_STATUS = 404
GONE_STATUS = 410
_CONFLICT_STATUS = 412
_TOO_LARGE_STATUS = 413
_REJECTED_STATUSES = frozenset((429, 503))
_FIRST_ERROR_STATUS = 400
_FIRST_SERVER_ERROR_STATUS = 500
_MAX_IDLE_S = 5
# A page of objects has about 1 MB, an object as much at most.
_MAX_REPLY_BYTES = 16_777_216
Document = TypeVar('Document', bound=pydantic.BaseModel)
_TRANSPORT_ERRORS = (OSError, HTTPError, client.HTTPException)
_READ_RESULT_STATUSES = frozenset((NOT_FOUND_STATUS, GONE_STATUS))


@dataclasses.dataclass(frozen=True)
class PlatformCall:
    """One request to the platform.

    ``condition`` holds the headers that make a write conditional.
    """

    method: str
    path: str
    body: bytes | None = None
    condition: Mapping[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class PlatformReply:
    """The platform's answer; ``version`` is 0 if it names none."""

    status: int
    version: int
    body: bytes


class ReplyParser:
    """Interprets the platform's answers.

    Subclasses adapt it to other platforms. ``conflicts`` holds the statuses
    of a failed condition.
    """

    conflicts = frozenset((_CONFLICT_STATUS,))

    def version(self, headers: Mapping[str, str], _body: bytes) -> int:
        """Return the object version in an answer, 0 if it has none."""
        digits = headers.get('ETag', '').strip('"')
        return int(digits) if digits.isdecimal() else 0


class PlatformCalls:
    """Sends requests to the platform.

    Args:
        settings: the platform's URL, token and call timeout.
        host_id: this host's id, sent to the platform as a header.
        reply_parser: interprets the answers.
    """

    def __init__(
        self,
        settings: PlatformSettings,
        host_id: str,
        reply_parser: ReplyParser | None = None,
    ) -> None:
        self._settings = settings
        self._reply_parser = reply_parser or ReplyParser()
        self._pool = ConnectionPool(_MAX_IDLE_S)
        self._adaptive_timeout = AdaptiveTimeout(settings.call_timeout_s)
        self._headers = {'Guavadyke-Host': host_id}
        if settings.token is not None:
            token = settings.token.reveal().decode()
            self._headers['Authorization'] = f'Bearer {token}'

    def read(self, call: PlatformCall) -> PlatformReply:
        """Send a call that only reads.

        Raises:
            PlatformUnavailableError: the call failed.
        """
        reused = self._pool.acquire(self._settings.url)
        if reused is not None:
            # The platform may have closed the idle connection.
            with contextlib.suppress(ConnectionError):
                return _check_read_reply(call, self._read_with(reused, call))
        try:
            reply = self._read_with(self._connect(), call)
        except ConnectionError as error:
            raise PlatformUnavailableError(
                f'{call.path} could not be read: {error!r}',
            ) from error
        return _check_read_reply(call, reply)

    def watch(self, call: PlatformCall, wait_s: float) -> PlatformReply:
        """Send a watch, which the platform answers after ``wait_s`` at most.

        Raises:
            PlatformUnavailableError: the call failed or timed out.
        """
        reused = self._pool.acquire(self._settings.url)
        if reused is not None:
            # The platform may have closed the idle connection.
            with contextlib.suppress(ConnectionError):
                reply = self._watch_with(reused, call, wait_s)
                return _check_read_reply(call, reply)
        try:
            reply = self._watch_with(self._connect(), call, wait_s)
        except ConnectionError as error:
            raise PlatformUnavailableError(
                f'{call.path} could not be watched: {error!r}',
            ) from error
        return _check_read_reply(call, reply)

    def write(self, call: PlatformCall) -> PlatformReply:
        """Send a conditional write.

        Raises:
            ObjectConflictError: the condition does not hold.
            PlatformUnavailableError: the call failed without any effect.
            PlatformOutcomeUnknownError: the write may have taken effect.
            GuavadykeError: the platform rejected the write as invalid or too
                large.
        """
        reused = self._pool.acquire(self._settings.url)
        connection = reused or self._connect()
        try:
            reply = self._exchange(connection, call)
        except _TRANSPORT_ERRORS as error:
            raise PlatformOutcomeUnknownError(
                f'the answer to {call.method} {call.path} was lost: {error!r}',
            ) from error
        return self._check_write_reply(call, reply)

    def _watch_with(
        self, connection: HTTPConnection, call: PlatformCall, wait_s: float
    ) -> PlatformReply:
        margin_s = max(
            watch_times(self._settings.freshness_s).margin_s,
            self._adaptive_timeout.timeout_s,
        )
        sent_at = time.monotonic()
        try:
            reply = self._send_and_receive(connection, call, wait_s + margin_s)
        except ConnectionError:
            connection.close()
            raise
        except _TRANSPORT_ERRORS as error:
            connection.close()
            raise PlatformUnavailableError(
                f'{call.path} could not be watched: {error!r}',
            ) from error
        late_s = time.monotonic() - sent_at - wait_s
        self._adaptive_timeout.answered(max(0, late_s))
        if connection.is_connected:
            self._pool.release(self._settings.url, connection)
        return reply

    def _read_with(
        self,
        connection: HTTPConnection,
        call: PlatformCall,
    ) -> PlatformReply:
        try:
            return self._exchange(connection, call)
        except ConnectionError:
            raise
        except _TRANSPORT_ERRORS as error:
            raise PlatformUnavailableError(
                f'{call.path} could not be read: {error!r}',
            ) from error

    def _connect(self) -> HTTPConnection:
        """Open a new connection.

        Raises:
            PlatformUnavailableError: connecting failed; nothing was sent.
        """
        connection = new_connection(
            self._settings.url,
            self._adaptive_timeout.timeout_s,
        )
        try:
            connection.connect()
        except _TRANSPORT_ERRORS as error:
            connection.close()
            self._record_failure(error)
            raise PlatformUnavailableError(
                f'the platform is unreachable: {error!r}',
            ) from error
        return connection

    def _exchange(
        self,
        connection: HTTPConnection,
        call: PlatformCall,
    ) -> PlatformReply:
        """Send a call and read its answer; pool the connection on success."""
        sent_at = time.monotonic()
        try:
            reply = self._send_and_receive(
                connection, call, self._adaptive_timeout.timeout_s
            )
        except BaseException as error:
            connection.close()
            self._pool.close_idle(self._settings.url)
            self._record_failure(error)
            raise
        self._adaptive_timeout.answered(time.monotonic() - sent_at)
        if connection.is_connected:
            self._pool.release(self._settings.url, connection)
        return reply

    def _record_failure(self, error: BaseException) -> None:
        if isinstance(error, TimeoutError):
            self._adaptive_timeout.timed_out()

    def _send_and_receive(
        self,
        connection: HTTPConnection,
        call: PlatformCall,
        timeout_s: float,
    ) -> PlatformReply:
        connection.timeout = timeout_s
        connection.request(
            call.method,
            call.path,
            body=call.body,
            headers={**self._headers, **call.condition},
            preload_content=False,
        )
        response = connection.getresponse()
        body = response.read(_MAX_REPLY_BYTES)
        if len(body) == _MAX_REPLY_BYTES:
            raise HTTPError(f'{call.path}: the reply does not end')
        return PlatformReply(
            response.status,
            self._reply_parser.version(response.headers, body),
            body,
        )

    def _check_write_reply(
        self,
        call: PlatformCall,
        reply: PlatformReply,
    ) -> PlatformReply:
        if reply.status in self._reply_parser.conflicts:
            raise ObjectConflictError(
                f'{call.path} has another version',
                reply.version,
            )
        if reply.status in _REJECTED_STATUSES:
            raise PlatformUnavailableError(
                f'the platform answered {reply.status} to a write',
            )
        if reply.status == _TOO_LARGE_STATUS:
            raise GuavadykeError(
                ErrorCode.too_large,
                f'{call.path} is too large for the platform',
            )
        if _FIRST_ERROR_STATUS <= reply.status < _FIRST_SERVER_ERROR_STATUS:
            raise GuavadykeError(
                ErrorCode.internal,
                f'the platform answered {reply.status} to {call.path}',
            )
        if reply.status >= _FIRST_SERVER_ERROR_STATUS or not reply.version:
            raise PlatformOutcomeUnknownError(
                f'the platform answered {reply.status} to {call.path}',
            )
        return reply


def parse_reply(model: type[Document], reply: PlatformReply) -> Document:
    """Parse the body of an answer.

    Raises:
        PlatformUnavailableError: the body does not match ``model``.
    """
    try:
        return model.model_validate_json(reply.body)
    except pydantic.ValidationError as error:
        raise PlatformUnavailableError(
            f'the platform returned a malformed answer: {error}',
        ) from error


def _check_read_reply(
    call: PlatformCall, reply: PlatformReply
) -> PlatformReply:
    if (
        reply.status in _READ_RESULT_STATUSES
        or reply.status < _FIRST_ERROR_STATUS
    ):
        return reply
    raise PlatformUnavailableError(
        f'the platform answered {reply.status} to {call.path}',
    )
