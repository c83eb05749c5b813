"""HTTP border: routes, answers and errors, served by waitress."""

from __future__ import annotations

import dataclasses
import json
import re
import threading
import types
import uuid
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from typing import Any, TypeAlias
from urllib.parse import parse_qsl

from waitress.channel import HTTPChannel
from waitress.server import create_server
from waitress.task import ErrorTask

from guavadyke.adapters.ports import Clock
from guavadyke.errors import ErrorCode, Finding, GuavadykeError, Run
from guavadyke.filters.base import Answer, Exchange, Handler
from guavadyke.log import EventLogger
from guavadyke.settings import ListenSettings

_REASONS = types.MappingProxyType({
    200: 'OK',
    201: 'Created',
    202: 'Accepted',
    204: 'No Content',
})
_CHANNEL_TIMEOUT_S = 120
_SETTLE_INTERVAL_S = 0.02
_HEADER_PREFIX = 'HTTP_'

Environ: TypeAlias = dict[str, Any]
StartResponse: TypeAlias = Callable[[str, list[tuple[str, str]]], object]


@dataclasses.dataclass(frozen=True)
class Route:
    """A path pattern and the handler of each method.

    ``pattern`` is a regular expression whose named groups become the
    exchange's ``path_parts``. The method ``*`` stands for any.
    """

    pattern: str
    handlers: Mapping[str, Handler]


def error_document(
    error: GuavadykeError,
    request_id: str,
) -> dict[str, object]:
    """Return the error as callers see it."""
    return {
        'error': {
            'code': str(error.code),
            'message': error.message,
            'run': str(error.run),
            'request_id': request_id,
            'findings': [
                dataclasses.asdict(finding) for finding in error.findings
            ],
        },
    }


def error_answer(error: GuavadykeError, request_id: str) -> Answer:
    """Return the answer that tells the caller of an error."""
    headers = {}
    if error.retry_after_s is not None:
        headers['Retry-After'] = str(error.retry_after_s)
    return Answer(
        status=error.code.status,
        body=json.dumps(error_document(error, request_id)).encode(),
        headers=headers,
    )


def json_answer(
    document: object,
    *,
    status: int = 200,
    headers: Mapping[str, str] | None = None,
) -> Answer:
    """Return an answer whose body is JSON."""
    return Answer(
        status=status,
        body=json.dumps(document).encode(),
        headers=headers or {},
    )


def read_body(exchange: Exchange, limit_bytes: int) -> bytes:
    """Read the whole body.

    Raises:
        GuavadykeError: ``too_large`` where it has more bytes.
    """
    body = exchange.body_input.read(limit_bytes + 1)
    if len(body) > limit_bytes:
        raise GuavadykeError(
            ErrorCode.too_large,
            f'the body has more than {limit_bytes} bytes',
            findings=(Finding('body', f'larger than {limit_bytes} bytes'),),
        )
    return body


class HttpApplication:
    """A WSGI application over routes.

    Args:
        routes: tried in their order.
        clock: gives the time of arrival.
        logger: gets one line for each request.
    """

    def __init__(
        self,
        routes: Sequence[Route],
        clock: Clock,
        logger: EventLogger,
    ) -> None:
        self._routes = [
            (re.compile(route.pattern), route.handlers) for route in routes
        ]
        self._clock = clock
        self._logger = logger
        self._lock = threading.Lock()
        self._in_flight = 0

    def __call__(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Serve one request."""
        exchange = _exchange(environ, self._clock.monotonic())
        self._count(1)
        try:
            answer = self._answer(exchange)
        except BaseException:
            self._count(-1)
            raise
        _start(answer, exchange, start_response)
        return _Body(answer.body, lambda: self._ended(exchange, answer))

    @property
    def in_flight(self) -> int:
        """Requests that have begun and not ended."""
        return self._in_flight

    def _answer(self, exchange: Exchange) -> Answer:
        try:
            return self._handler(exchange)(exchange)
        except GuavadykeError as error:
            return error_answer(error, exchange.request_id)
        except Exception as error:
            self._logger.error(
                'request_crashed',
                request_id=exchange.request_id,
                reason=repr(error),
            )
            return error_answer(
                GuavadykeError(ErrorCode.internal, 'an internal error'),
                exchange.request_id,
            )

    def _handler(self, exchange: Exchange) -> Handler:
        for pattern, handlers in self._routes:
            match = pattern.fullmatch(exchange.path)
            if match is None:
                continue
            exchange.path_parts = match.groupdict(default='')
            found = handlers.get(exchange.method) or handlers.get('*')
            if found is None:
                raise GuavadykeError(
                    ErrorCode.method_not_allowed,
                    f'{exchange.method} is not allowed here',
                    findings=(Finding('method', f'one of {sorted(handlers)}'),),
                )
            return found
        raise GuavadykeError(
            ErrorCode.not_found,
            f'there is nothing at {exchange.path}',
            findings=(Finding('path', 'unknown'),),
        )

    def _ended(self, exchange: Exchange, answer: Answer) -> None:
        self._count(-1)
        elapsed_s = self._clock.monotonic() - exchange.received_at
        self._logger.info(
            'request',
            request_id=exchange.request_id,
            method=exchange.method,
            path=exchange.path,
            owner=exchange.owner or '-',
            status=answer.status,
            elapsed_ms=round(elapsed_s * 1000, 1),
        )

    def _count(self, change: int) -> None:
        with self._lock:
            self._in_flight += change


class _Body:
    """Body of an answer; ``close`` is called once whatever happens."""

    def __init__(
        self,
        body: bytes | Iterator[bytes],
        ended: Callable[[], None],
    ) -> None:
        self._pieces = iter((body,)) if isinstance(body, bytes) else body
        self._ended = ended

    def __iter__(self) -> Iterator[bytes]:
        return self._pieces

    def close(self) -> None:
        """End the exchange, also where the caller has left."""
        try:
            close = getattr(self._pieces, 'close', None)
            if close is not None:
                close()
        finally:
            self._ended()


def _exchange(environ: Environ, received_at: float) -> Exchange:
    headers = {
        name.removeprefix(_HEADER_PREFIX).replace('_', '-').lower(): text
        for name, text in environ.items()
        if name.startswith(_HEADER_PREFIX)
    }
    headers['content-type'] = environ.get('CONTENT_TYPE', '')
    return Exchange(
        request_id=f'req-{uuid.uuid4().hex}',
        method=environ['REQUEST_METHOD'],
        path=environ.get('PATH_INFO', '/'),
        query=dict(parse_qsl(environ.get('QUERY_STRING', ''))),
        headers=headers,
        body_input=environ['wsgi.input'],
        received_at=received_at,
        disconnected=environ.get('waitress.client_disconnected', bool),
    )


def _start(
    answer: Answer,
    exchange: Exchange,
    start_response: StartResponse,
) -> None:
    headers = [
        ('Content-Type', answer.content_type),
        ('Guavadyke-Request-Id', exchange.request_id),
        *answer.headers.items(),
    ]
    if isinstance(answer.body, bytes):
        headers.append(('Content-Length', str(len(answer.body))))
    reason = _REASONS.get(answer.status, 'Status')
    start_response(f'{answer.status} {reason}', headers)


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
            run=Run.not_run,
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


class _JsonChannel(HTTPChannel):  # type: ignore[misc]
    error_task_class = _JsonErrorTask


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
        self._server.close()
        self._server.task_dispatcher.shutdown()


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
            ident='guavadyke',
        )
    except OSError as error:
        raise GuavadykeError(
            ErrorCode.address_in_use,
            f'{listen.ip}:{listen.port} cannot be listened on: {error}',
        ) from error
    server.channel_class = _JsonChannel
    return server
