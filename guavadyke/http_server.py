"""HTTP server: one port served by waitress in a thread of its own."""

from __future__ import annotations

import dataclasses
import functools
import json
import socket
import threading
import uuid
from typing import Any

from waitress.channel import ClientDisconnected, HTTPChannel
from waitress.server import create_server
from waitress.task import ErrorTask, WSGITask
from waitress.wasyncore import dispatcher

from guavadyke.adapters.ports import Clock
from guavadyke.errors import ErrorCode, Finding, GuavadykeError, RunStatus
from guavadyke.http_application import (
    AnswerCutError,
    HttpApplication,
    error_document,
)
from guavadyke.settings import ListenSettings

_CHANNEL_TIMEOUT_S = 120
_SETTLE_INTERVAL_S = 0.02
_JOIN_S = 5.0


class _JsonErrorTask(ErrorTask):  # type: ignore[misc]
    """Tells of a request that could not be read, in the errors' shape."""

    def execute(self) -> None:
        """Write the answer."""
        found = self.request.error
        code = _code_of(found.code)
        error = GuavadykeError(
            code,
            found.reason,
            findings=(Finding('request', str(found.body)),),
            run=RunStatus.not_run,
        )
        request_id = f'req-{uuid.uuid4().hex}'
        body = json.dumps(error_document(error, request_id)).encode()
        self.status = f'{found.code} {found.reason}'
        self.response_headers = [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(body))),
            ('Guavadyke-Request-Id', request_id),
            ('Connection', 'close'),
        ]
        self.content_length = len(body)
        self.close_on_finish = True
        self.write(body)


def _code_of(status: int) -> ErrorCode:
    known = {
        413: ErrorCode.too_large,
        431: ErrorCode.too_large,
        500: ErrorCode.internal,
    }
    return known.get(status, ErrorCode.bad_request)


class _ApplicationTask(WSGITask):  # type: ignore[misc]
    """Serves a request; a stopping server's answers close the connection."""

    def execute(self) -> None:
        """Write the answer.

        Raises:
            ClientDisconnected: the answer is cut, so the connection closes.
        """
        try:
            super().execute()
        except AnswerCutError as error:
            raise ClientDisconnected from error

    def build_response_header(self) -> bytes:
        """Return the head, which closes the connection while stopping."""
        if getattr(self.channel.server, 'stopping', False):
            self.set_close_on_finish()
        return bytes(super().build_response_header())


class _JsonChannel(HTTPChannel):  # type: ignore[misc]
    error_task_class = _JsonErrorTask
    task_class = _ApplicationTask


@dataclasses.dataclass(frozen=True)
class HttpServerSettings:
    """How a port is served.

    ``stream_buffer_bytes`` bounds what is held for a slow reader;
    ``body_memory_bytes`` is how much of a body stays in memory.
    """

    listen: ListenSettings
    threads: int
    connections: int = 500
    max_body_bytes: int = 1_048_576
    stream_buffer_bytes: int = 65_536
    body_memory_bytes: int = 1_048_576


class HttpServer:
    """One port served by waitress in a thread of its own.

    Args:
        application: WSGI application.
        settings: how the port is served.

    Raises:
        GuavadykeError: ``address_in_use`` where the port is taken.
    """

    def __init__(
        self,
        application: HttpApplication,
        settings: HttpServerSettings,
    ) -> None:
        self._application = application
        self._channels: dict[int, Any] = {}
        self._server = _bound_server(application, settings, self._channels)
        self._thread = threading.Thread(
            target=self._server.run,
            name=f'http-{self.port}',
            daemon=True,
        )

    @property
    def port(self) -> int:
        """Port that is listened on."""
        return int(self._server.effective_port)

    @property
    def busy(self) -> bool:
        """Whether a request is being served or an answer being sent."""
        return self._application.in_flight > 0 or any(
            channel.requests or channel.total_outbufs_len
            for channel in tuple(self._channels.values())
            if isinstance(channel, HTTPChannel)
        )

    def start(self) -> None:
        """Serve in the background."""
        self._thread.start()

    def disable_keep_alive(self) -> None:
        """Close each connection with its next answer from now on."""
        self._server.stopping = True

    def settle(self, clock: Clock, longest_s: float) -> bool:
        """Wait until nothing is being served.

        Returns:
            False where requests were still in flight after ``longest_s``.
        """
        until = clock.monotonic() + longest_s
        while self.busy and clock.monotonic() < until:
            clock.sleep(_SETTLE_INTERVAL_S)
        return not self.busy

    def close(self) -> None:
        """Stop listening and close every connection."""
        close_server(self._server, self._thread)


def close_server(
    server: Any,
    thread: threading.Thread,
    linger: bytes | None = None,
) -> None:
    """Close a waitress server and its connections.

    Args:
        server: the server.
        thread: runs the server's loop, where it has been started.
        linger: socket option for the connections before they close.
    """
    drop = functools.partial(_drop_all, server, linger)
    if thread.is_alive():
        server.trigger.pull_trigger(drop)
        thread.join(_JOIN_S)
    else:
        drop()
    # Threads that still serve write to the trigger, so it goes last.
    if server.task_dispatcher.shutdown():
        server.trigger.close()


def _drop_all(server: Any, linger: bytes | None) -> None:
    """Close what the loop polls; called in its own thread."""
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


def _bound_server(
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
            channel_timeout=_CHANNEL_TIMEOUT_S,
            channel_request_lookahead=1,
            max_request_body_size=settings.max_body_bytes,
            inbuf_overflow=settings.body_memory_bytes,
            outbuf_overflow=settings.stream_buffer_bytes * 2,
            outbuf_high_watermark=settings.stream_buffer_bytes,
            send_bytes=1,
            clear_untrusted_proxy_headers=True,
            # select() ends the server at the 1,024th open file.
            asyncore_use_poll=True,
            ident='guavadyke',
        )
    except OSError as error:
        raise GuavadykeError(
            ErrorCode.address_in_use,
            f'{listen.ip}:{listen.port} cannot be listened on: {error}',
        ) from error
    server.channel_class = _JsonChannel
    return server
