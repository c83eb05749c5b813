"""WSGI application: routing, answers, error documents, request log."""

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
from guavadyke.decisions.request_headers import is_target, is_token
from guavadyke.errors import ErrorCode, Finding, GuavadykeError
from guavadyke.filters.base import Answer, Exchange, Handler
from guavadyke.log import EventLogger

_REASON_PHRASES = types.MappingProxyType({
    200: 'OK',
    201: 'Created',
    202: 'Accepted',
    204: 'No Content',
})
_WSGI_HEADER_PREFIX = 'HTTP_'


class IncompleteAnswerError(Exception):
    """An answer failed midway; its connection has to be closed.

    The caller notices the failure by the missing end of the body.
    """


Environ: TypeAlias = dict[str, Any]
StartResponse: TypeAlias = Callable[[str, list[tuple[str, str]]], object]


@dataclasses.dataclass(frozen=True)
class Route:
    """A path pattern and the handlers by HTTP method.

    ``pattern`` is a regular expression for the whole path; its named groups
    become the exchange's ``path_parts``. The method ``*`` matches any.
    ``while_stopping`` is whether a stopping host still serves the route.
    """

    pattern: str
    handlers: Mapping[str, Handler]
    while_stopping: bool = False


def error_document(
    error: GuavadykeError,
    request_id: str,
) -> dict[str, object]:
    """Return the JSON document with which an error is answered."""
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
    """Return the answer for an error, with Retry-After if it is known."""
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
    """Return an answer with a JSON body."""
    return Answer(
        status=status,
        body=json.dumps(document).encode(),
        headers=headers or {},
    )


def read_body(exchange: Exchange, limit_bytes: int) -> bytes:
    """Read the whole request body.

    Raises:
        GuavadykeError: ``too_large``, it exceeds ``limit_bytes``.
    """
    body = exchange.body_input.read(limit_bytes + 1)
    if len(body) > limit_bytes:
        raise GuavadykeError(
            ErrorCode.too_large,
            f'the request body is larger than {limit_bytes} bytes',
            findings=(Finding('body', f'larger than {limit_bytes} bytes'),),
        )
    return body


class HttpApplication:
    """A WSGI application that dispatches requests to routes.

    Args:
        routes: tried in order; the first matching pattern is used.
        clock: source of the arrival and elapsed times.
        logger: logs one line for each request.
    """

    def __init__(
        self,
        routes: Sequence[Route],
        clock: Clock,
        logger: EventLogger,
    ) -> None:
        self._routes = [(re.compile(route.pattern), route) for route in routes]
        self._clock = clock
        self._logger = logger
        self._lock = threading.Lock()
        self._in_flight = 0
        self._refuses = False

    def __call__(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Serve one request; WSGI entry point."""
        exchange = _build_exchange(environ, self._clock.monotonic())
        self._change_in_flight(1)
        try:
            answer = self._call_handler(exchange)
        except BaseException:
            self._change_in_flight(-1)
            raise
        body = _AnswerBody(
            answer.body,
            lambda: self._finish_request(exchange, answer),
            lambda error: self._log_broken_off(exchange, error),
        )
        try:
            _send_head(answer, exchange, start_response)
        except BaseException:
            body.close()
            raise
        return body

    @property
    def in_flight(self) -> int:
        """Number of requests whose answer has not ended yet."""
        return self._in_flight

    def refuse_requests(self) -> None:
        """Answer all further requests with ``stopping``.

        Requests that are in flight go on.
        """
        self._refuses = True

    def _call_handler(self, exchange: Exchange) -> Answer:
        try:
            return self._find_handler(exchange)(exchange)
        except GuavadykeError as error:
            return error_answer(error, exchange.request_id)
        except Exception as error:
            self._logger.error(
                'request_crashed',
                request_id=exchange.request_id,
                reason=repr(error),
            )
            return error_answer(
                GuavadykeError(
                    ErrorCode.internal,
                    'internal error; the host logged it under this request id',
                ),
                exchange.request_id,
            )

    def _find_handler(self, exchange: Exchange) -> Handler:
        _check_request_line(exchange)
        for pattern, route in self._routes:
            match = pattern.fullmatch(exchange.path)
            if match is None:
                continue
            if self._refuses and not route.while_stopping:
                raise GuavadykeError(
                    ErrorCode.stopping,
                    'this host is stopping; another one may serve the request',
                    retry_after_s=0,
                )
            exchange.path_parts = match.groupdict(default='')
            return _handler_of(route, exchange.method)
        raise GuavadykeError(
            ErrorCode.not_found,
            f'no route matches {exchange.path}',
            findings=(Finding('path', 'unknown'),),
        )

    def _finish_request(self, exchange: Exchange, answer: Answer) -> None:
        self._change_in_flight(-1)
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

    def _log_broken_off(
        self, exchange: Exchange, error: GuavadykeError
    ) -> None:
        elapsed_s = self._clock.monotonic() - exchange.received_at
        self._logger.warning(
            'answer_broken_off',
            request_id=exchange.request_id,
            path=exchange.path,
            code=error.code,
            elapsed_ms=round(elapsed_s * 1000, 1),
            abandoned=exchange.disconnected(),
            reason=error.message,
        )

    def _change_in_flight(self, change: int) -> None:
        with self._lock:
            self._in_flight += change


def _check_request_line(exchange: Exchange) -> None:
    """Check that a request could be sent on to a server as it is.

    Raises:
        GuavadykeError: ``bad_request``.
    """
    parts = (
        ('method', is_token(exchange.method)),
        ('path', is_target(exchange.target or exchange.path)),
    )
    findings = tuple(
        Finding(place, 'it has characters that HTTP does not allow')
        for place, is_sound in parts
        if not is_sound
    )
    if findings:
        raise GuavadykeError(
            ErrorCode.bad_request,
            'the first line of the request is not valid',
            findings=findings,
        )


def _handler_of(route: Route, method: str) -> Handler:
    """Return the handler of a method.

    Raises:
        GuavadykeError: ``method_not_allowed``.
    """
    handler = route.handlers.get(method) or route.handlers.get('*')
    if handler is None:
        allowed = sorted(route.handlers)
        raise GuavadykeError(
            ErrorCode.method_not_allowed,
            f'{method} is not allowed for this path',
            findings=(Finding('method', f'one of {allowed}'),),
        )
    return handler


class _AnswerBody:
    """Iterable body of an answer; the WSGI server calls ``close`` once."""

    def __init__(
        self,
        body: bytes | Iterator[bytes],
        on_close: Callable[[], None],
        on_error: Callable[[GuavadykeError], None],
    ) -> None:
        self._pieces = iter((body,)) if isinstance(body, bytes) else body
        self._on_close = on_close
        self._on_error = on_error

    def __iter__(self) -> Iterator[bytes]:
        try:
            yield from self._pieces
        except GuavadykeError as error:
            self._on_error(error)
            raise IncompleteAnswerError(error.message) from error

    def close(self) -> None:
        """Close the body and finish the request, also after a disconnect."""
        try:
            close = getattr(self._pieces, 'close', None)
            if close is not None:
                close()
        finally:
            self._on_close()


def _build_exchange(environ: Environ, received_at: float) -> Exchange:
    headers = {
        name.removeprefix(_WSGI_HEADER_PREFIX).replace('_', '-').lower(): text
        for name, text in environ.items()
        if name.startswith(_WSGI_HEADER_PREFIX)
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


def _send_head(
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
    reason = _REASON_PHRASES.get(answer.status, 'Status')
    start_response(f'{answer.status} {reason}', headers)
