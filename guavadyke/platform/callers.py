"""Clients' calls as requests and jobs of the product, and their answers."""

from __future__ import annotations

import base64
import types
from collections.abc import Mapping

import pydantic

from guavadyke.controllers.forward_job_api import JobApi
from guavadyke.decisions.forward_job_records import (
    ForwardItem,
    ForwardItemResult,
)
from guavadyke.decisions.forward_routes import (
    ForwardRoute,
    RouteKind,
    RouteTable,
    split_host,
)
from guavadyke.errors import ErrorCode, Finding, GuavadykeError
from guavadyke.filters.base import Answer, Exchange
from guavadyke.filters.forward import Forwarder
from guavadyke.filters.forward_attempt import ForwardRequest
from guavadyke.forward_host import ForwardHost
from guavadyke.http_application import Route, json_answer, read_body
from guavadyke.settings import validation_findings

_READY_PATTERN = '/api/readyz'
_JOB_PATTERN = '/api/lots/(?P<job>[^/]+)'
_ITEM_PATTERN = '/api/items/(?P<job>[^/]+)'
_ANY_PATTERN = '.*'
_MS = 1000
_ACCEPTED = 202
_OCTETS = 'application/octet-stream'
_REQUEST_ID = 'request-id'
_DEADLINE = 'deadline-ms'
_LAST_EVENT = 'last-event-id'
_PROMPT_PARTS = 'prompt-prefix'
# Headers that concern one connection, and those that are set anew.
_NOT_FORWARDED = frozenset((
    'accept-encoding',
    'connection',
    'content-length',
    'expect',
    'expect-instance',
    'keep-alive',
    'proxy-authenticate',
    'proxy-authorization',
    'te',
    'trailer',
    'transfer-encoding',
    'upgrade',
    _DEADLINE,
    _LAST_EVENT,
))
_STATES = types.MappingProxyType({True: 'completed', False: 'dead_letter'})


class _Item(pydantic.BaseModel):
    item_id: str = pydantic.Field(alias='Id', min_length=1)
    path: str = pydantic.Field(alias='Path', pattern='^/')
    headers: Mapping[str, str] = pydantic.Field(alias='Headers', default={})
    body: str = pydantic.Field(alias='Body', default='')
    # Tokens of the prompt and the most that may be generated, summed.
    tokens: int = pydantic.Field(alias='Tokens', ge=0)


class _Job(pydantic.BaseModel):
    items: tuple[_Item, ...] = pydantic.Field(alias='Items', min_length=1)


class CallerPort:
    """Translates calls at the caller port.

    Args:
        host: serves them.
    """

    def __init__(self, host: ForwardHost) -> None:
        self._host = host

    def routes(self) -> list[Route]:
        """Return the routes of the caller port."""
        return [
            Route(
                _JOB_PATTERN,
                {'GET': self._read_results, 'DELETE': self._cancel},
            ),
            Route(_ITEM_PATTERN, {'GET': self._read_body}),
            Route(_ANY_PATTERN, {'*': self._serve}),
        ]

    def _serve(self, exchange: Exchange) -> Answer:
        table = self._table()
        host = split_host(exchange.headers.get('host', ''))
        path = exchange.target.partition('?')[0] or exchange.path
        route = table.match(host, path)
        if route is None:
            raise GuavadykeError(
                ErrorCode.not_found,
                f'version {table.version} has no route for {host}{path}',
            )
        exchange.entry_name = route.name
        exchange.body = read_body(exchange, table.limits.max_body_bytes)
        if route.kind is RouteKind.batch:
            return self._submit(exchange, route, host)
        return Forwarder(
            _request(exchange, route),
            route,
            self._host.tools,
        ).answer()

    def _submit(
        self,
        exchange: Exchange,
        route: ForwardRoute,
        host: str,
    ) -> Answer:
        items = _items(exchange.body)
        self._desk.submit(_request_id(exchange), route, host, items)
        return json_answer({}, status=_ACCEPTED)

    def _read_results(self, exchange: Exchange) -> Answer:
        self._table()
        after = _number(exchange.query.get('After', '0'), 'After')
        found = self._desk.results(exchange.path_parts['job'], after)
        return json_answer({
            'Total': found.total,
            'Next': after + len(found.listings),
            'Results': [_result(one) for one in found.listings],
        })

    def _read_body(self, exchange: Exchange) -> Answer:
        self._table()
        body = self._desk.body(
            exchange.path_parts['job'],
            exchange.query.get('Id', ''),
        )
        return Answer(200, body, _OCTETS)

    def _cancel(self, exchange: Exchange) -> Answer:
        self._table()
        self._desk.cancel(exchange.path_parts['job'])
        return json_answer({})

    def _table(self) -> RouteTable:
        """Return the routes in force.

        Raises:
            GuavadykeError: ``not_ready`` where none are known yet.
        """
        table = self._host.table.current
        if not table.known:
            raise GuavadykeError(
                ErrorCode.not_ready,
                'this host knows no configuration yet',
                retry_after_s=1,
            )
        return table

    @property
    def _desk(self) -> JobApi:
        return self._host.desk


class ReadinessPort:
    """Tells the balancer whether the host takes new connections.

    Args:
        host: knows what it has learnt.
    """

    def __init__(self, host: ForwardHost) -> None:
        self._host = host

    def routes(self) -> list[Route]:
        """Return the routes of the readiness port."""
        return [Route(_READY_PATTERN, {'GET': self._ready})]

    def _ready(self, _exchange: Exchange) -> Answer:
        if self._host.stopping:
            raise GuavadykeError(ErrorCode.stopping, 'this host is stopping')
        if not self._host.ready:
            raise GuavadykeError(ErrorCode.not_ready, 'nothing is known yet')
        return json_answer({'ready': True})


def _request(exchange: Exchange, route: ForwardRoute) -> ForwardRequest:
    timeout_s = route.timeout_s
    stated = exchange.headers.get(_DEADLINE, '')
    if stated.isdecimal():
        timeout_s = min(timeout_s, int(stated) / _MS)
    last_event = exchange.headers.get(_LAST_EVENT, '')
    return ForwardRequest(
        request_id=_request_id(exchange),
        method=exchange.method,
        target=exchange.target,
        headers={
            name.title(): text
            for name, text in exchange.headers.items()
            if name not in _NOT_FORWARDED and text
        },
        body=exchange.body,
        received_at=exchange.received_at,
        deadline=exchange.received_at + timeout_s,
        abandoned=exchange.disconnected,
        last_event_id=int(last_event) if last_event.isdecimal() else 0,
        prompt_key=_shared_parts(exchange.headers.get(_PROMPT_PARTS, '')),
    )


def _shared_parts(text: str) -> str:
    """Return the parts of a prompt but the last, which is its own."""
    return ','.join(text.split(',')[:-1])


def _request_id(exchange: Exchange) -> str:
    stated = exchange.headers.get(_REQUEST_ID, '')
    if not stated:
        raise GuavadykeError(
            ErrorCode.bad_request,
            'the request has no id',
            findings=(Finding('Request-Id', 'missing'),),
        )
    exchange.request_id = stated
    return stated


def _items(body: bytes) -> tuple[ForwardItem, ...]:
    try:
        document = _Job.model_validate_json(body)
        return tuple(
            ForwardItem(
                item.item_id,
                item.path,
                dict(item.headers),
                base64.b64decode(item.body, validate=True),
                item.tokens,
            )
            for item in document.items
        )
    except pydantic.ValidationError as error:
        raise GuavadykeError(
            ErrorCode.bad_request,
            'the job cannot be read',
            findings=validation_findings(error),
        ) from error
    except ValueError as error:
        raise GuavadykeError(
            ErrorCode.bad_request,
            'an item has a body that is not base64',
        ) from error


def _result(listing: ForwardItemResult) -> dict[str, object]:
    return {
        'Id': listing.item_id,
        'State': _STATES[listing.completed],
        'Text': listing.text,
    }


def _number(text: str, name: str) -> int:
    if not text.isdecimal():
        raise GuavadykeError(
            ErrorCode.bad_request,
            f'{name} is no number',
            findings=(Finding(name, text),),
        )
    return int(text)
