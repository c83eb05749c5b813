"""Steps of forward_repeated_refusals.feature."""

from __future__ import annotations

from behave import given, then, when
from behave.runner import Context

from features import builders_forward as build
from features import builders_repeated_refusals as repeated
from guavadyke.adapters.backend import HttpBackendServers
from guavadyke.decisions.forward_routes import RouteKind
from guavadyke.errors import GuavadykeError, RunStatus
from guavadyke.filters.forward import Forwarder
from guavadyke.platform.engine_adapter import EngineDialect

_NAMES = 'names an earlier request'


@given(
    'a {kind} route and a server that keeps connections and refuses anew in '
    'a way that {names}'
)
def step_repeating(context: Context, kind: str, names: str) -> None:
    _start(context, kind, names_request=names == _NAMES, whole=1)


@given(
    'a {kind} route and a server that refuses the first request on each '
    'connection'
)
def step_refusing(context: Context, kind: str) -> None:
    _start(context, kind, names_request=False, whole=0)


def _start(
    context: Context, kind: str, *, names_request: bool, whole: int
) -> None:
    servers = [
        repeated.RepeatingServer(name, names_request=names_request, whole=whole)
        for name in ('s1', 's2')
    ]
    for started in servers:
        context.add_cleanup(started.close)
    context.repeating = servers
    context.route = build.route(RouteKind(kind), max_attempts=2)
    pool = build.pool(tuple(one.listed for one in servers))
    context.tools = build.tools(
        HttpBackendServers(dialect=EngineDialect()), pool
    )


@when('{count:d} requests are sent to it')
def step_send(context: Context, count: int) -> None:
    context.errors = []
    for number in range(count):
        request = build.request(f'r-{number}', ('shared',))
        try:
            Forwarder(request, context.route, context.tools).answer()
        except GuavadykeError as error:
            context.errors.append(error)


@then('the second caller is not told that its request has not run')
def step_unknown(context: Context) -> None:
    assert [error.code.run for error in context.errors] == [RunStatus.unknown]


@then('the last caller is told that its request has not run')
def step_not_run(context: Context) -> None:
    assert [error.code.run for error in context.errors] == [RunStatus.not_run]


@then('the second request has been sent once')
def step_sent_once(context: Context) -> None:
    runs = [
        request_id
        for server in context.repeating
        for request_id in server.run_ids
    ]
    assert runs.count(b'r-1') == 1, runs
