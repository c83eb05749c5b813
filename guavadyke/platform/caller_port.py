"""HTTP handlers of the caller port and the readiness port."""

from __future__ import annotations

import dataclasses
import types

from guavadyke.controllers.forward_job_api import JobApi
from guavadyke.decisions.forward_job_records import ForwardItemResult
from guavadyke.decisions.forward_routes import (
    ForwardRoute,
    RouteKind,
    RouteTable,
    split_host,
)
from guavadyke.decisions.request_fingerprint import (
    RequestIdentity,
    fingerprint,
)
from guavadyke.decisions.request_headers import end_to_end_headers
from guavadyke.decisions.teams import Team
from guavadyke.errors import ErrorCode, Finding, GuavadykeError
from guavadyke.filters.base import Answer, Exchange
from guavadyke.filters.forward import Forwarder
from guavadyke.filters.forward_attempt import ForwardRequest
from guavadyke.forward_host import ForwardHost
from guavadyke.http_application import Route, json_answer, read_body
from guavadyke.platform.engine_adapter import (
    CREDENTIALS_HEADER,
    END_TO_END_HEADERS,
    TEAM_HEADERS,
)
from guavadyke.platform.job_submission import item_of_team, parse_items
from guavadyke.platform.request_size import (
    PROMPT_PREFIX_HEADER,
    shared_prompt_part_ids,
    stated_size,
)

_READY_PATTERN = '/api/readyz'
_JOB_PATTERN = '/api/lots/(?P<job>[^/]+)'
_ITEM_PATTERN = '/api/items/(?P<job>[^/]+)'
_ANY_PATTERN = '.*'
_MS_PER_S = 1000
_HTTP_ACCEPTED = 202
_BINARY_CONTENT_TYPE = 'application/octet-stream'
_REQUEST_ID_HEADER = 'request-id'
_DEADLINE_HEADER = 'deadline-ms'
_LAST_EVENT_HEADER = 'last-event-id'
_BEGAN_AS_HEADER = 'resumes'
_CREDENTIALS_SCHEME = 'token'
# Headers that are set again per attempt.
_UNFORWARDED_HEADERS = frozenset((
    'accept-encoding',
    'expect-instance',
    _DEADLINE_HEADER,
    _LAST_EVENT_HEADER,
))
_STATE_BY_COMPLETED = types.MappingProxyType({
    True: 'completed',
    False: 'dead_letter',
})


class CallerPort:
    """Handlers of the caller port: requests, batch jobs and their results.

    Args:
        host: forwards the requests and runs the jobs.
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
            Route(_ANY_PATTERN, {'*': self._handle}),
        ]

    def _handle(self, exchange: Exchange) -> Answer:
        table = self._route_table()
        host = split_host(exchange.headers.get('host', ''))
        path = exchange.target.partition('?')[0] or exchange.path
        route = table.match(host, path)
        if route is None:
            raise GuavadykeError(
                ErrorCode.not_found,
                f'version {table.version} has no route for {host}{path}',
            )
        exchange.entry_name = route.name
        caller = _Caller(
            table,
            self._host.teams.authentication.team_of_request(
                table, route, _key(exchange)
            ),
        )
        exchange.body = read_body(exchange, table.limits.max_body_bytes)
        if route.kind is RouteKind.batch:
            return self._submit(exchange, route, host, caller)
        forwarder = Forwarder(
            _forward_request(exchange, route, caller),
            route,
            self._host.tools,
        )
        return self._host.teams.answer(caller.team, forwarder.answer)

    def _submit(
        self,
        exchange: Exchange,
        route: ForwardRoute,
        host: str,
        caller: _Caller,
    ) -> Answer:
        items = parse_items(exchange.body, route, caller.team)
        if caller.table.teams:
            items = tuple(
                item_of_team(item, caller.team_name) for item in items
            )
        self._job_api.submit(
            _request_id(exchange),
            route,
            host,
            items,
            caller.team_name if caller.table.teams else None,
        )
        return json_answer({}, status=_HTTP_ACCEPTED)

    def _read_results(self, exchange: Exchange) -> Answer:
        job_id = exchange.path_parts['job']
        team = self._team_of_job_call(exchange, job_id)
        after = _parse_number(exchange.query.get('After', '0'), 'After')
        page = self._job_api.results(job_id, after, team)
        return json_answer({
            'Total': page.total,
            'Next': after + len(page.listings),
            'Results': [_result_document(listing) for listing in page.listings],
        })

    def _read_body(self, exchange: Exchange) -> Answer:
        job_id = exchange.path_parts['job']
        team = self._team_of_job_call(exchange, job_id)
        body = self._job_api.body(job_id, exchange.query.get('Id', ''), team)
        return Answer(200, body, _BINARY_CONTENT_TYPE)

    def _cancel(self, exchange: Exchange) -> Answer:
        job_id = exchange.path_parts['job']
        self._job_api.cancel(job_id, self._team_of_job_call(exchange, job_id))
        return json_answer({})

    def _team_of_job_call(self, exchange: Exchange, job_id: str) -> str | None:
        return self._host.teams.authentication.team_of_job_call(
            self._route_table(),
            _key(exchange),
            lambda: self._job_api.route_without_team(job_id),
        )

    def _route_table(self) -> RouteTable:
        """Return the route table in force.

        Raises:
            GuavadykeError: ``not_ready`` before the first configuration
                has been read.
        """
        table = self._host.table.current
        if not table.configured:
            raise GuavadykeError(
                ErrorCode.not_ready,
                'this host has no configuration yet',
                retry_after_s=1,
            )
        return table

    @property
    def _job_api(self) -> JobApi:
        return self._host.job_api


class ReadinessPort:
    """Handler of the load balancer's readiness check.

    Args:
        host: says whether it is ready or stopping.
    """

    def __init__(self, host: ForwardHost) -> None:
        self._host = host

    def routes(self) -> list[Route]:
        """Return the routes of the readiness port."""
        return [Route(_READY_PATTERN, {'GET': self._check_ready})]

    def _check_ready(self, _exchange: Exchange) -> Answer:
        if self._host.stopping:
            raise GuavadykeError(ErrorCode.stopping, 'this host is stopping')
        if not self._host.ready:
            raise GuavadykeError(
                ErrorCode.not_ready,
                'startup is incomplete, so nothing can be served yet',
            )
        if not self._host.teams.authentication.trust.trusted:
            raise GuavadykeError(
                ErrorCode.not_ready,
                'the configuration known here may be too old',
            )
        return json_answer({'ready': True})


@dataclasses.dataclass(frozen=True)
class _Caller:
    """The configuration that a request came under, and its team."""

    table: RouteTable
    team: Team | None

    @property
    def unforwarded_headers(self) -> frozenset[str]:
        """Names of the headers that servers must not get."""
        if self.table.teams:
            return _UNFORWARDED_HEADERS | TEAM_HEADERS
        return _UNFORWARDED_HEADERS

    @property
    def team_name(self) -> str:
        """Name of the team, empty for none."""
        return '' if self.team is None else self.team.name

    def identity(self, exchange: Exchange) -> str:
        """Return what tells the caller of a request from others."""
        if self.table.teams:
            return self.team_name
        return exchange.headers.get(CREDENTIALS_HEADER, '')


def _forward_request(
    exchange: Exchange, route: ForwardRoute, caller: _Caller
) -> ForwardRequest:
    timeout_s = route.timeout_s
    stated = exchange.headers.get(_DEADLINE_HEADER, '')
    if stated.isdecimal():
        timeout_s = min(timeout_s, int(stated) / _MS_PER_S)
    last_event = exchange.headers.get(_LAST_EVENT_HEADER, '')
    unforwarded = caller.unforwarded_headers
    return ForwardRequest(
        request_id=_request_id(exchange),
        method=exchange.method,
        target=exchange.target,
        headers={
            name.title(): text
            for name, text in end_to_end_headers(
                exchange.headers, END_TO_END_HEADERS
            ).items()
            if name not in unforwarded and text
        },
        body=exchange.body,
        received_at=exchange.received_at,
        deadline=exchange.received_at + timeout_s,
        abandoned=exchange.disconnected,
        last_event_id=int(last_event) if last_event.isdecimal() else 0,
        prompt_parts=shared_prompt_part_ids(
            exchange.headers.get(PROMPT_PREFIX_HEADER, '')
        ),
        fingerprint=fingerprint(_identity(exchange, caller.identity(exchange))),
        began_as=exchange.headers.get(_BEGAN_AS_HEADER, ''),
        team=caller.team,
        size=stated_size(exchange.headers, route, caller.team),
    )


def _key(exchange: Exchange) -> str:
    """Return the key that a request carries, empty if it has none."""
    credentials = exchange.headers.get(CREDENTIALS_HEADER, '')
    scheme, key = (*credentials.split(maxsplit=1), '', '')[:2]
    return key.strip() if scheme.lower() == _CREDENTIALS_SCHEME else ''


def _identity(exchange: Exchange, caller: str) -> RequestIdentity:
    return RequestIdentity(
        host=split_host(exchange.headers.get('host', '')),
        method=exchange.method,
        target=exchange.target,
        caller=caller,
        body=exchange.body,
    )


def _request_id(exchange: Exchange) -> str:
    stated = exchange.headers.get(_REQUEST_ID_HEADER, '')
    if not stated:
        raise GuavadykeError(
            ErrorCode.bad_request,
            'the request has no id',
            findings=(Finding('Request-Id', 'missing'),),
        )
    exchange.request_id = stated
    return stated


def _result_document(listing: ForwardItemResult) -> dict[str, object]:
    return {
        'Id': listing.item_id,
        'State': _STATE_BY_COMPLETED[listing.completed],
        'Text': listing.text,
    }


def _parse_number(text: str, name: str) -> int:
    if not text.isdecimal():
        raise GuavadykeError(
            ErrorCode.bad_request,
            f'{name} is not a number',
            findings=(Finding(name, text),),
        )
    return int(text)
