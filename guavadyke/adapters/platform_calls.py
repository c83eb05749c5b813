"""Calls to the platform, and what a failed one says about its effect."""

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

from guavadyke.adapters.connections import ConnectionPool, new_connection
from guavadyke.decisions.call_timeout import AdaptiveTimeout
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
_CONFLICT = 412
_TOO_LARGE = 413
_NOT_TAKEN = frozenset((429, 503))
_FIRST_ERROR = 400
_FIRST_FAULT = 500
_IDLE_S = 5
_WATCH_MARGIN_S = 2
Document = TypeVar('Document', bound=pydantic.BaseModel)
_FAILURES = (OSError, HTTPError, client.HTTPException)
_ANSWERS_TO_READS = frozenset((NOT_FOUND_STATUS, GONE_STATUS))


@dataclasses.dataclass(frozen=True)
class PlatformCall:
    """One request to the platform; ``condition`` is its header."""

    method: str
    path: str
    body: bytes | None = None
    condition: Mapping[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class PlatformReply:
    """The platform's answer; ``version`` is 0 where it names none."""

    status: int
    version: int
    body: bytes


class ReplyParser:
    """What the platform's answers say; platforms may differ in each step."""

    conflicts = frozenset((_CONFLICT,))

    def version(self, headers: Mapping[str, str], _body: bytes) -> int:
        """Return the version that an answer names, 0 where there is none."""
        digits = headers.get('ETag', '').strip('"')
        return int(digits) if digits.isdecimal() else 0


class PlatformCalls:
    """Sends requests to the platform.

    Args:
        settings: where the platform is and how long a call may take.
        host_id: this host's id, which the platform is told.
        reader: tells what answers say.
    """

    def __init__(
        self,
        settings: PlatformSettings,
        host_id: str,
        reader: ReplyParser | None = None,
    ) -> None:
        self._settings = settings
        self._reader = reader or ReplyParser()
        self._pool = ConnectionPool(_IDLE_S)
        self._patience = AdaptiveTimeout(settings.call_timeout_s)
        self._headers = {'Guavadyke-Host': host_id}
        if settings.token is not None:
            token = settings.token.reveal().decode()
            self._headers['Authorization'] = f'Bearer {token}'

    def read(self, call: PlatformCall) -> PlatformReply:
        """Send a call that changes nothing.

        Raises:
            PlatformUnavailableError: there is no answer.
        """
        reused = self._pool.take(self._settings.url)
        if reused is not None:
            # The platform may close an idle connection at any time.
            with contextlib.suppress(ConnectionError):
                return _answer_to_read(call, self._read_on(reused, call))
        try:
            reply = self._read_on(self._connected(), call)
        except ConnectionError as error:
            raise PlatformUnavailableError(
                f'{call.path} could not be read: {error!r}',
            ) from error
        return _answer_to_read(call, reply)

    def watch(self, call: PlatformCall, wait_s: float) -> PlatformReply:
        """Send a watch on a connection of its own.

        Raises:
            PlatformUnavailableError: there is no answer in time.
        """
        connection = self._connected()
        try:
            reply = self._receive(connection, call, wait_s + _WATCH_MARGIN_S)
        except _FAILURES as error:
            raise PlatformUnavailableError(
                f'{call.path} could not be watched: {error!r}',
            ) from error
        finally:
            connection.close()
        return _answer_to_read(call, reply)

    def write(self, call: PlatformCall) -> PlatformReply:
        """Send a conditional write.

        Raises:
            ObjectConflictError: the condition does not hold.
            PlatformUnavailableError: the write had no effect.
            PlatformOutcomeUnknownError: the answer was lost.
            GuavadykeError: the platform refuses such a write.
        """
        reused = self._pool.take(self._settings.url)
        connection = reused or self._connected()
        try:
            reply = self._exchange(connection, call)
        except _FAILURES as error:
            raise PlatformOutcomeUnknownError(
                f'the answer to {call.method} {call.path} was lost: {error!r}',
            ) from error
        return self._answer_to_write(call, reply)

    def _read_on(
        self,
        connection: HTTPConnection,
        call: PlatformCall,
    ) -> PlatformReply:
        try:
            return self._exchange(connection, call)
        except ConnectionError:
            raise
        except _FAILURES as error:
            raise PlatformUnavailableError(
                f'{call.path} could not be read: {error!r}',
            ) from error

    def _connected(self) -> HTTPConnection:
        """Return a new connection.

        Raises:
            PlatformUnavailableError: there is none; nothing was sent.
        """
        connection = new_connection(
            self._settings.url,
            self._patience.timeout_s,
        )
        try:
            connection.connect()
        except _FAILURES as error:
            connection.close()
            self._note_failure(error)
            raise PlatformUnavailableError(
                f'the platform is not reached: {error!r}',
            ) from error
        return connection

    def _exchange(
        self,
        connection: HTTPConnection,
        call: PlatformCall,
    ) -> PlatformReply:
        """Send and receive; keep the connection if all went well."""
        sent_at = time.monotonic()
        try:
            reply = self._receive(connection, call, self._patience.timeout_s)
        except BaseException as error:
            connection.close()
            self._pool.drop(self._settings.url)
            self._note_failure(error)
            raise
        self._patience.answered(time.monotonic() - sent_at)
        if connection.is_connected:
            self._pool.give(self._settings.url, connection)
        return reply

    def _note_failure(self, error: BaseException) -> None:
        if isinstance(error, TimeoutError):
            self._patience.timed_out()

    def _receive(
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
        body = response.read()
        return PlatformReply(
            response.status,
            self._reader.version(response.headers, body),
            body,
        )

    def _answer_to_write(
        self,
        call: PlatformCall,
        reply: PlatformReply,
    ) -> PlatformReply:
        if reply.status in self._reader.conflicts:
            raise ObjectConflictError(
                f'{call.path} has another version',
                reply.version,
            )
        if reply.status in _NOT_TAKEN:
            raise PlatformUnavailableError(
                f'the platform answered {reply.status} to a write',
            )
        if reply.status == _TOO_LARGE:
            raise GuavadykeError(
                ErrorCode.too_large,
                f'{call.path} is too large for the platform',
            )
        if _FIRST_ERROR <= reply.status < _FIRST_FAULT:
            raise GuavadykeError(
                ErrorCode.internal,
                f'the platform answered {reply.status} to {call.path}',
            )
        if reply.status >= _FIRST_FAULT or not reply.version:
            raise PlatformOutcomeUnknownError(
                f'the platform answered {reply.status} to {call.path}',
            )
        return reply


def parse_reply(model: type[Document], reply: PlatformReply) -> Document:
    """Return the document that an answer holds.

    Raises:
        PlatformUnavailableError: it holds something else.
    """
    try:
        return model.model_validate_json(reply.body)
    except pydantic.ValidationError as error:
        raise PlatformUnavailableError(
            f'the platform answered something unreadable: {error}',
        ) from error


def _answer_to_read(call: PlatformCall, reply: PlatformReply) -> PlatformReply:
    if reply.status in _ANSWERS_TO_READS or reply.status < _FIRST_ERROR:
        return reply
    raise PlatformUnavailableError(
        f'the platform answered {reply.status} to {call.path}',
    )
