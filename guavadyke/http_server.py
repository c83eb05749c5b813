"""HTTP server based on waitress."""

from __future__ import annotations

import dataclasses
import functools
import json
import socket
import threading
import uuid
from collections.abc import Callable
from typing import Any

from urllib3.util.wait import wait_for_read
from waitress.channel import ClientDisconnected, HTTPChannel
from waitress.server import create_server
from waitress.task import ErrorTask, WSGITask
from waitress.wasyncore import dispatcher

from guavadyke.adapters.ports import Clock
from guavadyke.errors import ErrorCode, Finding, GuavadykeError
from guavadyke.guarded_threads import GuardedThread
from guavadyke.http_application import (
    HttpApplication,
    IncompleteAnswerError,
    error_document,
)
from guavadyke.settings import ListenSettings

_INACTIVE_CHANNEL_TIMEOUT_S = 120
_INACTIVE_CHECK_INTERVAL_S = 1
_IDLE_POLL_INTERVAL_S = 0.02
_THREAD_JOIN_TIMEOUT_S = 5.0


class _JsonErrorTask(ErrorTask):  # type: ignore[misc]
    """Answers a request that is malformed or crashed with a JSON document."""

    def execute(self) -> None:
        """Write the answer."""
        request_error = self.request.error
        code = _error_code(request_error.code)
        error = GuavadykeError(
            code,
            request_error.reason,
            findings=(Finding('request', str(request_error.body)),),
        )
        request_id = f'req-{uuid.uuid4().hex}'
        body = json.dumps(error_document(error, request_id)).encode()
        self.status = f'{request_error.code} {request_error.reason}'
        self.response_headers = [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(body))),
            ('Guavadyke-Request-Id', request_id),
            ('Connection', 'close'),
        ]
        self.content_length = len(body)
        self.close_on_finish = True
        self.write(body)


def _error_code(status: int) -> ErrorCode:
    codes = {
        413: ErrorCode.too_large,
        431: ErrorCode.too_large,
        500: ErrorCode.internal,
    }
    return codes.get(status, ErrorCode.bad_request)


class _ApplicationTask(WSGITask):  # type: ignore[misc]
    """Serves a request; closes its connection if the server is stopping."""

    def execute(self) -> None:
        """Write the answer.

        Raises:
            ClientDisconnected: the answer failed midway; waitress closes
                the connection.
        """
        try:
            super().execute()
        except IncompleteAnswerError as error:
            raise ClientDisconnected from error

    def build_response_header(self) -> bytes:
        """Return the head, with ``Connection: close`` while stopping."""
        if getattr(self.channel.server, 'stopping', False):
            self.set_close_on_finish()
        return bytes(super().build_response_header())


class _JsonChannel(HTTPChannel):  # type: ignore[misc]
    error_task_class = _JsonErrorTask
    task_class = _ApplicationTask


@dataclasses.dataclass(frozen=True)
class HttpServerSettings:
    """Threads, connections and sizes of one HTTP server.

    ``stream_buffer_bytes`` bounds the data buffered for a slow reader. A
    request body above ``body_memory_bytes`` is kept in a temporary file.
    """

    listen: ListenSettings
    threads: int
    connections: int = 500
    max_body_bytes: int = 1_048_576
    stream_buffer_bytes: int = 65_536
    body_memory_bytes: int = 1_048_576


def _default_idle_timeout_s() -> float:
    """Return the seconds after which an idle connection is closed."""
    return _INACTIVE_CHANNEL_TIMEOUT_S


class HttpServer:
    """Serves an application on one port, from a background thread.

    The port is bound at once; ``start`` begins to serve it.

    Args:
        application: WSGI application.
        settings: address, threads and sizes.
        idle_timeout_s: returns the seconds after which a connection without
            a request is closed; asked again for each check.

    Raises:
        GuavadykeError: ``address_in_use``, the port cannot be bound.
    """

    def __init__(
        self,
        application: HttpApplication,
        settings: HttpServerSettings,
        idle_timeout_s: Callable[[], float] = _default_idle_timeout_s,
    ) -> None:
        self._application = application
        self._channels: dict[int, Any] = {}
        self._server = _bind_server(application, settings, self._channels)
        self._server.maintenance = functools.partial(
            _close_inactive_channels, self._server, idle_timeout_s
        )
        self._closed = threading.Event()
        self._thread = GuardedThread(
            self._server.run, f'http-{self.port}', self._closed
        )

    @property
    def port(self) -> int:
        """Port that the server listens on."""
        return int(self._server.effective_port)

    @property
    def busy(self) -> bool:
        """Whether a request is in flight or an answer is still being sent."""
        return self._application.in_flight > 0 or any(
            channel.requests or channel.total_outbufs_len
            for channel in tuple(self._channels.values())
            if isinstance(channel, HTTPChannel)
        )

    def start(self) -> None:
        """Start to serve in a background thread."""
        self._thread.start()

    def disable_keep_alive(self) -> None:
        """Close each connection after its next answer."""
        self._server.stopping = True

    def refuse_requests(self) -> None:
        """Refuse further requests and close the idle connections.

        Requests that are in flight go on. A request that arrives on an open
        connection is answered with ``stopping``.
        """
        self.disable_keep_alive()
        self._application.refuse_requests()
        self._server.trigger.pull_trigger(
            functools.partial(_close_idle_channels, self._server)
        )

    def wait_until_idle(self, clock: Clock, timeout_s: float) -> bool:
        """Wait until no request is in flight and all answers are sent.

        Returns:
            False if the server was still busy after ``timeout_s`` seconds.
        """
        deadline = clock.monotonic() + timeout_s
        while self.busy and clock.monotonic() < deadline:
            clock.sleep(_IDLE_POLL_INTERVAL_S)
        return not self.busy

    def close(self) -> None:
        """Stop listening and close every connection."""
        self._closed.set()
        close_server(self._server, self._thread)


def close_server(
    server: Any,
    thread: threading.Thread,
    linger: bytes | None = None,
) -> None:
    """Close a waitress server and its connections.

    Args:
        server: the waitress server.
        thread: thread of the server's loop; may not have been started.
        linger: SO_LINGER value to set on the connections before they are
            closed; None leaves it as it is.
    """
    close_all = functools.partial(_close_sockets, server, linger)
    if thread.is_alive():
        server.trigger.pull_trigger(close_all)
        thread.join(_THREAD_JOIN_TIMEOUT_S)
    else:
        close_all()
    # Threads that still serve requests write to the trigger, so it is closed
    # last.
    if server.task_dispatcher.shutdown():
        server.trigger.close()


def _close_idle_channels(server: Any) -> None:
    """Close connections without a request, within the loop's thread."""
    for channel in tuple(server.active_channels.values()):
        if _is_idle(channel):
            channel.handle_close()


def _close_inactive_channels(
    server: Any, idle_timeout_s: Callable[[], float], now: float
) -> None:
    """Close idle and stalled connections, within the loop's thread.

    A connection is idle from the end of its last answer on. One that stalls
    within a request or an answer has a limit of its own.
    """
    idle_s = idle_timeout_s()
    for channel in tuple(server.active_channels.values()):
        inactive_s = now - channel.last_activity
        if _is_out_of_time(channel, inactive_s, idle_s):
            channel.will_close = True


def _is_out_of_time(channel: Any, inactive_s: float, idle_s: float) -> bool:
    """Return whether a connection is inactive for too long."""
    if channel.requests or inactive_s <= min(
        idle_s, _INACTIVE_CHANNEL_TIMEOUT_S
    ):
        return False
    if _is_idle(channel):
        return inactive_s > idle_s
    return inactive_s > _INACTIVE_CHANNEL_TIMEOUT_S


def _is_idle(channel: Any) -> bool:
    """Return whether a connection has neither a request nor an answer."""
    received = channel.requests or channel.request is not None
    closing = channel.will_close or channel.close_when_flushed
    if received or closing or channel.total_outbufs_len:
        return False
    return not wait_for_read(channel.socket, timeout=0)


def _close_sockets(server: Any, linger: bytes | None) -> None:
    """Close all sockets of the server's loop, within the loop's thread."""
    for channel in tuple(server.active_channels.values()):
        if linger is not None:
            channel.socket.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_LINGER,
                linger,
            )
        channel.handle_close()
    server.trigger.del_channel()
    dispatcher.close(server)


def _bind_server(
    application: HttpApplication,
    settings: HttpServerSettings,
    channels: dict[int, Any],
) -> Any:
    listen = settings.listen
    try:
        server = create_server(
            application,
            map=channels,
            host=str(listen.ip),
            port=listen.port,
            threads=settings.threads,
            connection_limit=settings.connections,
            cleanup_interval=_INACTIVE_CHECK_INTERVAL_S,
            channel_request_lookahead=1,
            max_request_body_size=settings.max_body_bytes,
            inbuf_overflow=settings.body_memory_bytes,
            outbuf_overflow=settings.stream_buffer_bytes * 2,
            outbuf_high_watermark=settings.stream_buffer_bytes,
            send_bytes=1,
            clear_untrusted_proxy_headers=True,
            # select() cannot handle file descriptors from 1,024 on; the
            # server would end at the 1,024th open file.
            asyncore_use_poll=True,
            ident='guavadyke',
        )
    except OSError as error:
        raise GuavadykeError(
            ErrorCode.address_in_use,
            f'{listen.ip}:{listen.port} cannot be bound: {error}',
        ) from error
    server.channel_class = _JsonChannel
    return server
