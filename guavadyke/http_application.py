"""HTTP border: routes, answers and errors."""

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

from guavadyke.adapters.ports import Clock
from guavadyke.errors import ErrorCode, Finding, GuavadykeError
from guavadyke.filters.base import Answer, Exchange, Handler
from guavadyke.log import EventLogger

_REASONS = types.MappingProxyType({
    200: 'OK',
    201: 'Created',
    202: 'Accepted',
    204: 'No Content',
})
_HEADER_PREFIX = 'HTTP_'


class AnswerCutError(Exception):
    """An answer cannot be completed; its connection ends without an end."""


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
        try:
            yield from self._pieces
        except GuavadykeError as error:
            raise AnswerCutError(error.message) from error

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
        query_string=environ.get('QUERY_STRING', ''),
        target=environ.get('REQUEST_URI', ''),
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
