"""Steps of forward_silence.feature."""

from __future__ import annotations

import functools
import math
import time
from collections.abc import Callable
from concurrent import futures

from behave import given, then, when
from behave.runner import Context

from features import builders_forward as build
from features import builders_pausing_server as pausing
from features.builders_trickling_server import TricklingServer
from guavadyke.decisions.forward_routes import RouteKind
from guavadyke.errors import GuavadykeError
from guavadyke.filters.forward import Forwarder
from guavadyke.filters.forward_attempt import ForwardTools


@given('a {kind} route with {attempts:d} attempts')
def step_route(context: Context, kind: str, attempts: int) -> None:
    resumable = kind == 'resumable stream'
    context.route = build.route(
        RouteKind('streamed' if resumable else kind),
        resumable=resumable,
        max_attempts=attempts,
    )
    context.servers = ()
    context.hindrances = ()
    context.caller_pause_s = 0


@given('a server that pauses for {seconds:g} seconds after event {event:d}')
def step_server(context: Context, seconds: float, event: int) -> None:
    name = f's{len(context.servers) + 1}'
    server = pausing.PausingServer(name, event, seconds)
    context.add_cleanup(server.close)
    context.servers = (*context.servers, server)


@given('a server that sends a byte now and then after event {event:d}')
def step_trickle(context: Context, event: int) -> None:
    _add_trickling(context, event, 1, 60)


@given('a server that sends a large event slowly after event {event:d}')
def step_large(context: Context, event: int) -> None:
    _add_trickling(context, event, 512, 20_480)


@given('the last server has a limit in force')
def step_limit(context: Context) -> None:
    _hinder(context, pausing.exhaust_limit)


@given('the last server has a long queue')
def step_queue(context: Context) -> None:
    step_queue_for(context, math.inf)


@given('the last server has a long queue for {seconds:g} second')
def step_queue_for(context: Context, seconds: float) -> None:
    def queue(tools: ForwardTools, server_id: str) -> None:
        elsewhere = pausing.QueueElsewhere(tools, server_id, seconds)
        context.add_cleanup(elsewhere.close)

    _hinder(context, queue)


@given('a caller that pauses for {seconds:g} seconds after the first event')
def step_slow_caller(context: Context, seconds: float) -> None:
    context.caller_pause_s = seconds


@when('a request is sent')
def step_send(context: Context) -> None:
    step_send_many(context, 1)


@when('{count:d} requests are sent at the same time')
def step_send_many(context: Context, count: int) -> None:
    context.tools = pausing.real_time_tools(context.servers)
    context.add_cleanup(context.tools.watch.close)
    for hinder in context.hindrances:
        hinder(context.tools)
    began = time.monotonic()
    with futures.ThreadPoolExecutor(count) as callers:
        context.bodies = list(
            callers.map(lambda _number: _body(context), range(count))
        )
    context.elapsed_s = time.monotonic() - began


@then('its answer is whole')
def step_whole(context: Context) -> None:
    assert set(context.bodies) == {build.stream()}, context.bodies


@then('its last event is whole')
def step_last_event(context: Context) -> None:
    last = build.event(build.EVENTS)
    assert all(body.endswith(last) for body in context.bodies), context.bodies


@then('its answer is whole within {seconds:g} seconds')
def step_whole_within(context: Context, seconds: float) -> None:
    step_whole(context)
    assert context.elapsed_s < seconds, context.elapsed_s


@then('the servers have got {count:d} request')
@then('the servers have got {count:d} requests')
def step_requests(context: Context, count: int) -> None:
    got = [server.requests for server in context.servers]
    assert sum(got) == count, got


@then('no request is counted at any server')
def step_no_lease(context: Context) -> None:
    assert not context.tools.pool.load_notice().counts


@then('a caller that is refused may return within {seconds:g} seconds')
def step_return(context: Context, seconds: float) -> None:
    pool = context.tools.pool
    lease = pool.acquire_online(build.SERVICE, frozenset(('s1',)), 'next')
    retry_s = pool.wait_estimator.estimate_retry_after_s(lease, 0)
    assert retry_s < seconds, retry_s


def _add_trickling(
    context: Context, event: int, part_bytes: int, padding: int
) -> None:
    name = f's{len(context.servers) + 1}'
    server = TricklingServer(name, event, part_bytes, padding)
    context.add_cleanup(server.close)
    context.servers = (*context.servers, server)


def _hinder(
    context: Context, hinder: Callable[[ForwardTools, str], object]
) -> None:
    """Keep the last server from taking requests once the host runs."""
    server_id = context.servers[-1].listed.server_id
    context.hindrances = (
        *context.hindrances,
        functools.partial(hinder, server_id=server_id),
    )


def _body(context: Context) -> bytes:
    """Return what the caller gets, up to an error."""
    body = b''
    try:
        answer = Forwarder(
            pausing.real_time_request(), context.route, context.tools
        ).answer()
        if isinstance(answer.body, bytes):
            return answer.body
        for event in answer.body:
            if not body:
                time.sleep(context.caller_pause_s)
            body = b''.join((body, event))
    except GuavadykeError as error:
        return b'%b, then %b' % (body, str(error.code).encode())
    return body
