"""Steps of forward_stops.feature."""

from __future__ import annotations

import json
import signal
import threading
import time
from concurrent import futures

from behave import given, then, when
from behave.runner import Context

from features import builders_answer_paths as paths
from features import builders_forward as build
from features import builders_forward_processes as processes
from features import builders_framed_server as framed
from features import builders_users_platform as users
from features.builders_kept_connections import KeptAnswer, KeptConnection
from guavadyke.adapters.backend import HttpBackendServers
from guavadyke.adapters.clock import SystemClock
from guavadyke.decisions.forward_routes import RouteKind
from guavadyke.errors import RunStatus
from guavadyke.filters.base import Answer, Exchange, Handler
from guavadyke.filters.forward import Forwarder
from guavadyke.http_application import HttpApplication, Route
from guavadyke.http_server import HttpServer, HttpServerSettings
from guavadyke.log import EventLogger
from guavadyke.platform.engine_adapter import EngineDialect
from guavadyke.settings import ListenSettings

_ORDERS_PREFIX = '/bofi118/'
_CONNECTIONS = 18
# One use after the other goes on beyond the grace period of 8 seconds.
_USED_EVERY_S = 0.5
_RUN_S = 1.0
_EVENTS = 5
_NOT_RUN = 503
_SETTLED_S = 5.0


@given('a host process with callers that keep their connections')
def step_forwarding(context: Context) -> None:
    context.fleet = processes.UsersFleet()
    context.add_cleanup(context.fleet.close)
    context.fleet.store.put(
        'config',
        'main',
        users.configuration(users.route('orders', _ORDERS_PREFIX, 'unsafe')),
    )
    for _ in range(3):
        context.fleet.add_engine().script.pause_s = _RUN_S / _EVENTS
    context.daemon = context.fleet.start_daemon()
    context.fleet.wait_ready()
    context.connections = [
        KeptConnection(context.daemon.ip, context.daemon.front)
        for _ in range(_CONNECTIONS)
    ]
    first = _use_all(context, 'first', 0)
    assert all(not answer.closes for answer in first), first


@when('it gets a stop signal and the connections are used one after the other')
def step_stop(context: Context) -> None:
    context.daemon.process.send_signal(signal.SIGTERM)
    context.answers = _use_all(context, 'second', _USED_EVERY_S)


@then('every request that an engine got is answered whole')
def step_whole(context: Context) -> None:
    run = _run_ids(context)
    cut = [
        answer
        for answer in context.answers
        if answer.request_id in run and answer.status != 200
    ]
    assert not cut, cut
    assert run & {answer.request_id for answer in context.answers}


@then('every other request is refused as not run, or its connection is closed')
def step_refused(context: Context) -> None:
    run = _run_ids(context)
    others = [
        answer for answer in context.answers if answer.request_id not in run
    ]
    assert others
    assert {answer.status for answer in others} <= {_NOT_RUN, None}, others


@then('the process exits by itself')
def step_exits(context: Context) -> None:
    assert not context.daemon.process.wait(processes.STOP_S)


@given('an HTTP server with {count:d} kept connections and a request in flight')
def step_server(context: Context, count: int) -> None:
    context.arrived = threading.Event()
    context.finish = threading.Event()
    application = HttpApplication(
        [
            Route('/slow', {'POST': _wait_for(context)}),
            Route('/fast', {'POST': _answer_fast}),
        ],
        SystemClock(),
        EventLogger(),
    )
    listen = ListenSettings.model_validate({'ip': users.LOOPBACK, 'port': 0})
    server = HttpServer(application, HttpServerSettings(listen, threads=4))
    server.start()
    context.add_cleanup(server.close)
    context.server = server
    context.connections = [
        KeptConnection(users.LOOPBACK, server.port) for _ in range(count)
    ]
    for connection in context.connections:
        assert connection.call('/fast', 'r-1', {}).status == 200
    context.callers = futures.ThreadPoolExecutor(1)
    context.slow = context.callers.submit(
        KeptConnection(users.LOOPBACK, server.port).call, '/slow', 'r-2', {}
    )
    assert context.arrived.wait(_SETTLED_S)


@when('it refuses further requests')
def step_refuse(context: Context) -> None:
    context.server.refuse_requests()


@then('its idle connections are closed')
def step_idle_closed(context: Context) -> None:
    assert all(one.closed_by_host for one in context.connections)


@then('a request on an open connection is refused as not run')
def step_refuses(context: Context) -> None:
    late = KeptConnection(users.LOOPBACK, context.server.port)
    answer = late.call('/fast', 'r-3', {})
    assert answer.status == _NOT_RUN, answer
    assert answer.closes
    assert answer.headers['retry-after'] == '0'
    assert b'not_run' in answer.body


@then('the request in flight is answered whole')
def step_slow_whole(context: Context) -> None:
    assert not context.server.wait_until_idle(SystemClock(), 0.1)
    context.finish.set()
    assert context.slow.result(_SETTLED_S).body == b'slow'
    assert context.server.wait_until_idle(SystemClock(), _SETTLED_S)
    context.callers.shutdown()


@given('an HTTP server whose answer has a header that it cannot send')
def step_odd_answer(context: Context) -> None:
    _serve(context, lambda _exchange: Answer(200, headers={'Upgrade': 'h2c'}))


@given('a backend server whose answer has a header {name}')
def step_odd_backend(context: Context, name: str) -> None:
    path = 'idempotent request'
    backend = framed.FramedServer(
        's1', [paths.proper_answer(path, f'HTTP/1.1 200 OK\r\n{name}: h2c')]
    )
    context.add_cleanup(backend.close)
    tools = build.tools(
        HttpBackendServers(dialect=EngineDialect()),
        build.pool((backend.listed,)),
    )
    route = build.route(RouteKind.idempotent)
    _serve(
        context,
        lambda _exchange: Forwarder(build.request(), route, tools).answer(),
    )


@when('the answer is called for')
def step_call(context: Context) -> None:
    connection = KeptConnection(users.LOOPBACK, context.server.port)
    context.answer = connection.call('/', 'r-1', {})


@then('the call is answered with status 500 and may have run')
def step_failed(context: Context) -> None:
    assert context.answer.status == 500, context.answer
    error = json.loads(context.answer.body)['error']
    assert error['run'] == RunStatus.unknown, error


@then('the server is idle')
def step_idle(context: Context) -> None:
    assert context.server.wait_until_idle(SystemClock(), _SETTLED_S)


@then('the call is answered with status 200 and no header {name}')
def step_passed_on(context: Context, name: str) -> None:
    assert context.answer.status == 200, context.answer
    assert context.answer.headers['response-signature']
    assert name.lower() not in context.answer.headers
    step_idle(context)


def _serve(context: Context, handler: Handler) -> None:
    application = HttpApplication(
        [Route('.*', {'*': handler})], SystemClock(), EventLogger()
    )
    listen = ListenSettings.model_validate({'ip': users.LOOPBACK, 'port': 0})
    context.server = HttpServer(
        application, HttpServerSettings(listen, threads=1)
    )
    context.server.start()
    context.add_cleanup(context.server.close)


def _wait_for(context: Context):
    def answer_slowly(_exchange: Exchange) -> Answer:
        context.arrived.set()
        context.finish.wait(_SETTLED_S)
        return Answer(200, b'slow')

    return answer_slowly


def _answer_fast(_exchange: Exchange) -> Answer:
    return Answer(200, b'fast')


def _use_all(context: Context, name: str, every_s: float) -> list[KeptAnswer]:
    """Use each connection once, one ``every_s`` seconds after the other."""
    began = time.monotonic()

    def use(number: int) -> KeptAnswer:
        time.sleep(max(0, began + number * every_s - time.monotonic()))
        return context.connections[number].call(
            f'{_ORDERS_PREFIX}2f',
            f'{name}-{number}',
            {'Host': users.HOST, 'Deadline-Ms': '5000'},
        )

    with futures.ThreadPoolExecutor(_CONNECTIONS) as callers:
        return list(callers.map(use, range(_CONNECTIONS)))


def _run_ids(context: Context) -> set[str]:
    return {
        request.headers['request-id']
        for engine in context.fleet.engines
        for request in engine.requests
    }
