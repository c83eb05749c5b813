"""Steps of forward_requests.feature."""

from __future__ import annotations

import dataclasses
import types

from behave import given, then, when
from behave.runner import Context

from features import builders_forward as build
from guavadyke.adapters.ports import BackendFault, OnlineCount, PeerNotice
from guavadyke.decisions.forward_routes import RouteKind
from guavadyke.errors import ErrorCode, GuavadykeError
from guavadyke.filters.forward import Forwarder

_COUNTS = types.MappingProxyType({'no': 0, 'two': 2, 'three': 3})
_NOT_RUN_SUFFIX = ' and not run'


@given('a {kind} route and {count} servers')
def step_route(context: Context, kind: str, count: str) -> None:
    resumable = kind == 'resumable stream'
    name = 'streamed' if resumable else kind
    context.route = build.route(RouteKind(name), resumable=resumable)
    context.listed = tuple(
        build.server(f's{number + 1}') for number in range(_COUNTS[count])
    )
    context.pool = build.pool(context.listed)
    context.servers = build.FakeServers()


@given('the {_which} attempt ends as {fault}')
def step_fault(context: Context, _which: str, fault: str) -> None:
    context.servers.scripts.append(
        build.Scripted(
            fault=BackendFault(fault.removesuffix(_NOT_RUN_SUFFIX)),
            not_run=fault.endswith(_NOT_RUN_SUFFIX),
        ),
    )


@given('the first server breaks off after {sent:d} events')
def step_breaks(context: Context, sent: int) -> None:
    context.servers.scripts.append(
        build.Scripted(fault=BackendFault.broken, sent=sent),
    )


@given('the first server ends its stream in order after {sent:d} events')
def step_ends_in_order(context: Context, sent: int) -> None:
    context.servers.scripts.append(build.Scripted(sent=sent))


@when('a request is forwarded and its stream ends {moment}')
def step_forward_until(context: Context, moment: str) -> None:
    distance = moment.removesuffix('its deadline').split()
    seconds = float(distance[0]) if len(distance) > 1 else 0
    late_s = -seconds if distance[-1] == 'before' else seconds
    tools = build.tools(context.servers, context.pool)
    request = build.request('request-1')
    answer = Forwarder(request, context.route, tools).answer()
    context.error = None
    context.events = [next(answer.body) for _ in range(3)]
    tools.clock.now = request.deadline + late_s
    try:
        context.events.extend(answer.body)
    except GuavadykeError as error:
        context.error = error


@then('the caller has got {count:d} events and the answer is {counted}')
def step_got(context: Context, count: int, counted: str) -> None:
    assert b''.join(context.events) == build.stream(1, count)
    assert (context.error is None) == (counted == 'whole'), context.error


@given('the first server sends {fault}')
def step_sends(context: Context, fault: str) -> None:
    bodies = {
        'an event twice': build.stream(1, 2) + build.stream(2, 6),
        'a gap': build.stream(1, 2) + build.stream(4, 6),
        'no event': b'',
        'half of its last event': build.stream(1, 5) + build.event(6)[:9],
    }
    context.servers.scripts.append(build.Scripted(body=bodies[fault], sent=0))


@given('the first server answers 500 with a signature')
def step_answers_500(context: Context) -> None:
    context.servers.scripts.append(
        build.Scripted(
            status=500,
            body=b'out of memory',
            headers={'response-signature': '3e1b'},
        ),
    )


@given('the first server is leaving')
def step_leaving(context: Context) -> None:
    leaving_server = build.server('s1', leaving=True)
    context.pool.put(build.server_object(leaving_server, version=2))


@given('requests have taken {seconds:g} second each')
def step_taken(context: Context, seconds: float) -> None:
    context.pool = build.pool(context.listed)
    for _ in range(50):
        lease = context.pool.acquire_online(build.SERVICE, frozenset(), 'any')
        context.pool.wait_estimator.record_service_time(lease, seconds)
        context.pool.release(lease)


@given('another host has {count:d} requests at each server')
def step_elsewhere(context: Context, count: int) -> None:
    counts = tuple(
        OnlineCount(server.server_id, count, 0) for server in context.listed
    )
    context.pool.record_notice('host-2', PeerNotice(counts=counts))


@then('the error has a retry time of {least:g} to {most:g} seconds')
def step_retry_after_between(
    context: Context, least: float, most: float
) -> None:
    assert least <= context.error.retry_after_s <= most, context.error


@when('a request is forwarded')
def step_forward(context: Context) -> None:
    context.error = None
    context.answer = None
    try:
        context.answer = _forward(context, 'request-1')
    except GuavadykeError as error:
        context.error = error


@when('{count:d} requests are forwarded')
def step_forward_many(context: Context, count: int) -> None:
    for number in range(count):
        b''.join(_forward(context, f'request-{number}').body)


@when(
    'a request is forwarded and its caller disconnects after {count:d} events'
)
def step_leaves(context: Context, count: int) -> None:
    body = _forward(context, 'request-1').body
    for _ in range(count):
        next(body)
    body.close()


@then('it ends with {end} after {attempts:d} attempts')
def step_ends(context: Context, end: str, attempts: int) -> None:
    if end == 'an answer':
        assert context.error is None, context.error
        assert context.answer.status == 200
    else:
        assert context.error is not None
        assert context.error.code is ErrorCode(end), context.error.code
    assert len(context.servers.calls) == attempts
    server_ids = {call.server_id for call in context.servers.calls}
    assert len(server_ids) == attempts


@then('the error has a retry time')
def step_retry_after(context: Context) -> None:
    assert context.error.retry_after_s > 0


@then('the caller gets every event once')
def step_every_event(context: Context) -> None:
    assert b''.join(context.answer.body) == build.stream()


@then('the second server was asked to resume after event {number:d}')
def step_resumes_after(context: Context, number: int) -> None:
    assert context.servers.calls[1].last_event_id == number


@then('the answer breaks off after {count:d} events')
def step_breaks_off(context: Context, count: int) -> None:
    events = [next(context.answer.body) for _ in range(count)]
    assert len(events) == count
    cut = False
    try:
        next(context.answer.body)
    except GuavadykeError:
        cut = True
    assert cut
    assert context.servers.answers[0].cancelled
    assert len(context.servers.calls) == 1


@then('the caller gets that answer')
def step_passed_on(context: Context) -> None:
    assert context.answer.status == 500
    assert context.answer.body == b'out of memory'
    assert context.answer.headers['Response-Signature'] == '3e1b'


@then('the call to the server is cancelled')
def step_cancelled(context: Context) -> None:
    assert context.servers.answers[0].cancelled


@then('nothing is in flight')
def step_nothing(context: Context) -> None:
    counts = context.pool.load_notice()
    assert not counts.counts
    assert not counts.batch_counts


@then('all of them went to the second server')
def step_second(context: Context) -> None:
    assert {call.server_id for call in context.servers.calls} == {'s2'}


@then('its attempts had first byte timeouts of {waits} seconds')
def step_waits(context: Context, waits: str) -> None:
    timeouts_s = [call.first_byte_timeout_s for call in context.servers.calls]
    assert timeouts_s == [float(one) for one in waits.split(' and ')], (
        timeouts_s
    )


@then('both servers got some of them')
def step_both_servers(context: Context) -> None:
    later = context.servers.calls[2:]
    assert {call.server_id for call in later} == {'s1', 's2'}


@then('the call has the server, the unchanged path and the time left')
def step_call(context: Context) -> None:
    call = context.servers.calls[0]
    assert call.server_id in {'s1', 's2'}
    assert call.path == '/reply/1?x=%20y'
    assert call.deadline_s == build.DEADLINE_S
    assert call.request_id == 'request-1'


def _forward(context: Context, request_id: str) -> object:
    tools = build.tools(context.servers, context.pool)
    if 'limits' in context:
        tools = dataclasses.replace(tools, limits=context.limits)
    return Forwarder(
        build.request(request_id),
        context.route,
        tools,
    ).answer()
