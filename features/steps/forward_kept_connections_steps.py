"""Steps of forward_kept_connections.feature."""

from __future__ import annotations

import random
import time
from collections import Counter
from concurrent import futures

from behave import given, then, when
from behave.runner import Context

from features import builders_forward as build
from features import builders_pausing_server as pausing
from features import builders_silenced_connections as silenced
from guavadyke.decisions.forward_routes import RouteKind
from guavadyke.errors import GuavadykeError, RunStatus
from guavadyke.filters.forward import Forwarder

_BETWEEN_S = 0.008


@given('a server that keeps connections')
def step_keeping(context: Context) -> None:
    _add_server(context, resets=False)


@given('a server that resets connections that are used again')
def step_resetting(context: Context) -> None:
    _add_server(context, resets=True)


@given('two servers that are silent whenever they are called')
def step_silent(context: Context) -> None:
    context.has_silent = True


@when('{callers:d} callers send {count:d} {kind} requests each')
def step_send(context: Context, callers: int, count: int, kind: str) -> None:
    tools = pausing.real_time_tools(context.servers)
    context.add_cleanup(tools.watch.close)
    if 'has_silent' in context:
        silent = silenced.SilentServers(tools.servers)
        context.add_cleanup(silent.close)
    route = build.route(RouteKind(kind), max_attempts=2)
    context.callers = callers
    rng = random.Random(1)

    def send(_number: int) -> tuple[str, bytes | GuavadykeError]:
        # Leaves connections idle now and then.
        time.sleep(rng.uniform(0, _BETWEEN_S))
        request = pausing.real_time_request()
        try:
            answer = Forwarder(request, route, tools).answer()
        except GuavadykeError as error:
            return request.request_id, error
        return request.request_id, answer.body

    with futures.ThreadPoolExecutor(callers) as threads:
        context.answers = dict(threads.map(send, range(callers * count)))


@then('each request is answered whole')
def step_whole(context: Context) -> None:
    others = [
        answer for answer in context.answers.values() if answer != silenced.BODY
    ]
    assert not others, others


@then('each request has run once')
def step_once(context: Context) -> None:
    runs = sum((server.runs for server in context.servers), Counter())
    assert runs == Counter(context.answers.keys()), runs - Counter(
        context.answers.keys()
    )


@then('idle connections were closed in between')
def step_closed(context: Context) -> None:
    opened = sum(server.connections for server in context.servers)
    assert context.callers < opened, opened


@then('no request that is not answered counts as not run')
def step_unknown(context: Context) -> None:
    errors = [
        answer
        for answer in context.answers.values()
        if isinstance(answer, GuavadykeError)
    ]
    assert errors
    assert all(error.code.run is not RunStatus.not_run for error in errors), (
        errors
    )


def _add_server(context: Context, *, resets: bool) -> None:
    servers = getattr(context, 'servers', ())
    server = silenced.KeepingServer(f's{len(servers) + 1}', resets=resets)
    context.add_cleanup(server.close)
    context.servers = (*servers, server)
