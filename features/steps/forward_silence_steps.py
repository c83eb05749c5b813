"""Steps of forward_silence.feature."""

from __future__ import annotations

import contextlib
import dataclasses
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
from guavadyke.adapters.ports import BackendFault
from guavadyke.decisions.forward_routes import RouteKind
from guavadyke.errors import GuavadykeError
from guavadyke.filters.forward import Forwarder
from guavadyke.filters.forward_attempt import ForwardTools

_MEGABYTE = 1_048_576
_FAILURES = 3


@given('a {kind} route with {attempts:d} attempts')
def step_route(context: Context, kind: str, attempts: int) -> None:
    resumable = kind == 'resumable stream'
    context.route = build.route(
        RouteKind('streamed' if resumable else kind),
        resumable=resumable,
        max_attempts=attempts,
    )
    context.servers = ()
    context.body_bytes = 4
    context.hindrances = ()
    context.caller_pause_s = 0


@given('a server that pauses for {seconds:g} seconds after event {event:d}')
def step_server(context: Context, seconds: float, event: int) -> None:
    name = f's{len(context.servers) + 1}'
    server = pausing.PausingServer(name, event, seconds)
    context.add_cleanup(server.close)
    context.servers = (*context.servers, server)


@given('a server that breaks off after event {event:d}')
def step_breaks(context: Context, event: int) -> None:
    step_server(context, math.inf, event)


@given('a server that refuses requests')
def step_refuses(context: Context) -> None:
    name = f's{len(context.servers) + 1}'
    server = pausing.RefusingServer(name, -1, 0)
    context.add_cleanup(server.close)
    context.servers = (*context.servers, server)


@given('a server that reads a request after {seconds:g} seconds')
def step_reads_late(context: Context, seconds: float) -> None:
    name = f's{len(context.servers) + 1}'
    server = pausing.PausingServer(name, -1, 0, seconds)
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
    _queue(context, pausing.LONG_QUEUE)


@given('the last server has a long queue for {seconds:g} second')
def step_queue_for(context: Context, seconds: float) -> None:
    _queue(context, pausing.LONG_QUEUE, seconds)


@given('server {number:d} has {requests:d} requests of other hosts')
def step_requests_at(context: Context, number: int, requests: int) -> None:
    _queue(context, requests, server=number - 1)


@given('the last server has {requests:d} requests of other hosts')
def step_requests_elsewhere(context: Context, requests: int) -> None:
    _queue(context, requests)


@when('a request with a body of {megabytes:d} MB is sent')
def step_send_large(context: Context, megabytes: int) -> None:
    context.body_bytes = megabytes * _MEGABYTE
    step_send_many(context, 1)


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


@when(
    'a request is sent whose caller leaves after {seconds:g} seconds '
    'to a failing server'
)
def step_leave(context: Context, seconds: float) -> None:
    context.tools = pausing.real_time_tools(context.servers)
    context.add_cleanup(context.tools.watch.close)
    for _ in range(_FAILURES):
        lease = context.tools.pool.acquire_online(
            build.SERVICE, frozenset(), 'key'
        )
        context.tools.pool.release(lease, BackendFault.broken)
    leaves_at = time.monotonic() + seconds
    request = dataclasses.replace(
        pausing.real_time_request(),
        abandoned=lambda: time.monotonic() >= leaves_at,
    )
    with contextlib.suppress(GuavadykeError):
        Forwarder(request, context.route, context.tools).answer()


@then('the server is still taken for failing')
def step_still_failing(context: Context) -> None:
    balancer = context.tools.pool._load_balancer
    health = balancer.health(context.servers[0].listed)
    assert health.ejected_until is not None


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


def _queue(
    context: Context,
    requests: int,
    for_s: float = math.inf,
    server: int = -1,
) -> None:
    """Let another host have requests at a server."""

    def queue(tools: ForwardTools, server_id: str) -> None:
        elsewhere = pausing.QueueElsewhere(tools, server_id, requests, for_s)
        context.add_cleanup(elsewhere.close)

    _hinder(context, queue, server)


def _hinder(
    context: Context,
    hinder: Callable[[ForwardTools, str], object],
    server: int = -1,
) -> None:
    """Keep a server from taking requests once the host runs."""
    server_id = context.servers[server].listed.server_id
    context.hindrances = (
        *context.hindrances,
        functools.partial(hinder, server_id=server_id),
    )


def _body(context: Context) -> bytes:
    """Return what the caller gets, up to an error."""
    body = b''
    try:
        answer = Forwarder(
            pausing.real_time_request(context.body_bytes),
            context.route,
            context.tools,
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
