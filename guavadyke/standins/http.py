"""HTTP server of the stand-ins, which can reset or stall connections."""

from __future__ import annotations

import dataclasses
import json
import logging
import socket
import struct
import threading
import types
from collections.abc import Callable, Iterable, Mapping
from typing import Any, TypeAlias
from urllib.parse import parse_qsl

from waitress.channel import ClientDisconnected, HTTPChannel
from waitress.server import create_server
from waitress.task import ThreadedTaskDispatcher, WSGITask

from guavadyke.errors import ErrorCode, GuavadykeError
from guavadyke.http_server import close_server

_CONNECTION_KEY = 'guavadyke.standin_connection'
_HEADER_PREFIX = 'HTTP_'
_INITIAL_THREADS = 4
_THREADS_PER_GROWTH = 8
_MAX_THREADS = 2000
_MAX_CONNECTIONS = 4000
_CHANNEL_TIMEOUT_S = 120
_MAX_BODY_BYTES = 64 * 1024 * 1024
_BODY_MEMORY_BYTES = 8 * 1024 * 1024
_HANG_INTERVAL_S = 0.05
_NO_LINGER = struct.pack('ii', 1, 0)
_REASONS = types.MappingProxyType({
    200: 'OK',
    201: 'Created',
    202: 'Accepted',
    204: 'No Content',
})

# Waitress warns of queued requests; a request for which a thread has just
# been added counts as queued too.
_QUEUE_LOGGER = logging.getLogger('guavadyke.standins.queue')
_QUEUE_LOGGER.setLevel(logging.ERROR)

Write: TypeAlias = Callable[[bytes], object]


class DroppedConnectionError(ClientDisconnected):  # type: ignore[misc]
    """Ends a request: the connection is dropped without further answer."""


class Connection:
    """The connection of a request.

    Args:
        task: waitress's task for the request.
        closing: set when the stand-in is closed.
    """

    def __init__(self, task: Any, closing: threading.Event) -> None:
        self._task = task
        self._closing = closing
        self._start_response: Callable[..., Write] | None = None

    @property
    def is_disconnected(self) -> bool:
        """Whether the caller has disconnected or the stand-in is closing."""
        return not self._task.channel.connected or self._closing.is_set()

    @property
    def name(self) -> str:
        """The caller's address as IP:PORT."""
        host, port = self._task.channel.addr[:2]
        return f'{host}:{port}'

    def bind_start_response(self, start_response: Callable[..., Write]) -> None:
        """Set the WSGI function that starts an answer."""
        self._start_response = start_response

    def start_answer(self, status: int, headers: Mapping[str, str]) -> Write:
        """Start an answer and return the function that writes to its body.

        Each write is sent immediately. Any thread may write, but only one
        at a time.
        """
        if self._start_response is None:
            raise DroppedConnectionError
        return self._start_response(
            f'{status} {_REASONS.get(status, "Status")}',
            list(headers.items()),
        )

    def write_raw(self, raw: bytes) -> None:
        """Send bytes outside of any answer."""
        self._task.channel.write_soon(raw)

    def reset(self) -> None:
        """Close the connection with a TCP reset.

        Raises:
            DroppedConnectionError: always; it ends the request.
        """
        self._task.channel.socket.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_LINGER,
            _NO_LINGER,
        )
        raise DroppedConnectionError

    def hang(self, until: Callable[[], bool]) -> None:
        """Block until the condition is true.

        Raises:
            DroppedConnectionError: the caller has disconnected or the
                stand-in is closing.
        """
        while not until():
            if self.is_disconnected:
                raise DroppedConnectionError
            self._closing.wait(_HANG_INTERVAL_S)


@dataclasses.dataclass(frozen=True)
class StandinRequest:
    """A parsed request; header names are in lower case."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes
    connection: Connection


@dataclasses.dataclass(frozen=True)
class StandinAnswer:
    """An answer that is sent in one piece."""

    status: int
    body: bytes = b''
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)


Handler: TypeAlias = Callable[[StandinRequest], StandinAnswer | None]


def json_answer(
    document: object,
    status: int = 200,
    headers: Mapping[str, str] | None = None,
) -> StandinAnswer:
    """Return an answer with a JSON document as its body."""
    return StandinAnswer(
        status,
        json.dumps(document).encode(),
        {'Content-Type': 'application/json', **(headers or {})},
    )


class _Task(WSGITask):  # type: ignore[misc]
    """Passes the connection to the application in the WSGI environment."""

    def get_environment(self) -> dict[str, Any]:
        """Return the WSGI environment, with the connection added."""
        environ: dict[str, Any] = super().get_environment()
        environ[_CONNECTION_KEY] = Connection(
            self,
            self.channel.server.closing,
        )
        return environ


class _Channel(HTTPChannel):  # type: ignore[misc]
    task_class = _Task


class _GrowingDispatcher(ThreadedTaskDispatcher):  # type: ignore[misc]
    """Adds threads so that no request queues behind a blocked one."""

    queue_logger = _QUEUE_LOGGER

    def add_task(self, task: Any) -> None:
        """Queue a task; add threads if all are busy."""
        with self.lock:
            threads = len(self.threads) - self.stop_count
            all_busy = threads - self.active_count <= len(self.queue)
        if all_busy and threads < _MAX_THREADS:
            self.set_thread_count(threads + _THREADS_PER_GROWTH)
        super().add_task(task)


def _parse_request(
    environ: dict[str, Any], connection: Connection
) -> StandinRequest:
    headers = {
        name.removeprefix(_HEADER_PREFIX).replace('_', '-').lower(): text
        for name, text in environ.items()
        if name.startswith(_HEADER_PREFIX)
    }
    return StandinRequest(
        method=environ['REQUEST_METHOD'],
        path=environ.get('PATH_INFO', '/'),
        query=dict(parse_qsl(environ.get('QUERY_STRING', ''))),
        headers=headers,
        body=environ['wsgi.input'].read(),
        connection=connection,
    )


class StandinServer:
    """Serves HTTP requests on one port with one handler.

    Args:
        ip: IP address to listen on.
        port: port to listen on; 0 takes any free one.
        handler: returns the answer to a request, or None if it has already
            written one to the connection.

    Raises:
        GuavadykeError: ``address_in_use`` if the port is taken.
    """

    def __init__(self, ip: str, port: int, handler: Handler) -> None:
        self._ip = ip
        self._handler = handler
        self._closing = threading.Event()
        threads = _GrowingDispatcher()
        threads.set_thread_count(_INITIAL_THREADS)
        try:
            self._server = create_server(
                self._serve,
                map={},
                _dispatcher=threads,
                host=ip,
                port=port,
                connection_limit=_MAX_CONNECTIONS,
                channel_timeout=_CHANNEL_TIMEOUT_S,
                channel_request_lookahead=1,
                max_request_body_size=_MAX_BODY_BYTES,
                inbuf_overflow=_BODY_MEMORY_BYTES,
                asyncore_use_poll=True,
                clear_untrusted_proxy_headers=False,
                ident='standin',
            )
        except OSError as error:
            threads.shutdown()
            raise GuavadykeError(
                ErrorCode.address_in_use,
                f'{ip}:{port} cannot be listened on: {error}',
            ) from error
        self._server.channel_class = _Channel
        self._server.closing = self._closing
        self._thread = threading.Thread(target=self._run, daemon=True)

    @property
    def address(self) -> str:
        """Address as IP:PORT."""
        host = f'[{self._ip}]' if ':' in self._ip else self._ip
        return f'{host}:{self._server.effective_port}'

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._server.active_channels)

    def start(self) -> None:
        """Serve in a background thread."""
        self._thread.start()

    def wait(self) -> None:
        """Block until the stand-in is closed."""
        self._closing.wait()

    def close(self) -> None:
        """Stop listening and reset every connection."""
        if self._closing.is_set():
            return
        self._closing.set()
        close_server(self._server, self._thread, _NO_LINGER)

    def _run(self) -> None:
        self._server.run()

    def _serve(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Write],
    ) -> Iterable[bytes]:
        connection: Connection = environ[_CONNECTION_KEY]
        connection.bind_start_response(start_response)
        answer = self._handler(_parse_request(environ, connection))
        if answer is None:
            return ()
        headers = {**answer.headers, 'Content-Length': str(len(answer.body))}
        connection.start_answer(answer.status, headers)
        return (answer.body,)
