"""Steps of forward_changed_routes.feature."""

from __future__ import annotations

import time
import types
from concurrent import futures

from behave import given, then, when
from behave.runner import Context

from features import builders_changed_routes as build
from features.builders_processes import wait_until

_CHANGES = types.MappingProxyType({
    'a short timeout': {'timeout_s': 0.5},
    'a long timeout': {'timeout_s': 5},
    'another service': {'service': build.OTHER_SERVICE},
    'no entry': {'present': False},
})
_SLACK_S = 0.5
_BETWEEN_S = 0.02
_EARLY_S = 0.1
_SETTLED_S = 10.0
_USES = 3
# Times since the last answer at which the connections are used again.
_FIRST_USE_S = 1.6
_LAST_USE_S = 4.4


@given('a host with a {kind} route with a timeout of {seconds:g} seconds')
@given('a host with an {kind} route with a timeout of {seconds:g} seconds')
def step_route(context: Context, kind: str, seconds: float) -> None:
    context.settings = build.Settings(kind, seconds)


@given('engines that take {seconds:g} seconds for an answer')
def step_host(context: Context, seconds: float) -> None:
    context.host = build.ChangingHost(context.settings, seconds)
    context.add_cleanup(context.host.close)
    context.callers = futures.ThreadPoolExecutor(1)
    context.add_cleanup(context.callers.shutdown)


@when('its route gets {change} while a request is under way')
def step_change(context: Context, change: str) -> None:
    _change_during_request(context, _CHANGES[change])


@when('the limit of idle time becomes 2 seconds while a request is under way')
def step_idle_change(context: Context) -> None:
    _change_during_request(context, {'idle_s': 2})


@when('the engine of the request ends')
def step_engine_ends(context: Context) -> None:
    context.host.at(context.host.engines, 'first')[0].close()


@when('a connection has been used and the limit of idle time becomes 2 seconds')
def step_used(context: Context) -> None:
    context.connection = context.host.connect()
    answer = build.call(context.connection, 'first')
    assert answer.body == build.WHOLE, answer
    context.host.change(idle_s=2)


@when(
    '{count:d} connections are used again around the limit of idle time '
    'of 2 seconds'
)
def step_crossing(context: Context, count: int) -> None:
    context.host.change(idle_s=2)
    step_s = (_LAST_USE_S - _FIRST_USE_S) / count

    def use_twice(number: int) -> build.KeptAnswer:
        connection = context.host.connect()
        # No more requests at a time than the engines have slots.
        time.sleep(number * _BETWEEN_S)
        first = build.call(connection, f'first-{number}')
        assert first.body == build.WHOLE, first
        time.sleep(_FIRST_USE_S + number * step_s)
        return build.call(connection, f'second-{number}')

    with futures.ThreadPoolExecutor(count) as callers:
        context.answers = list(callers.map(use_twice, range(count)))


@then('that request is answered whole by one engine of the old service')
def step_whole(context: Context) -> None:
    _check_whole(context, 1)


@then('that request is answered whole by two engines of the old service')
def step_whole_by_two(context: Context) -> None:
    _check_whole(context, 2)


@then('that request ends at its timeout')
def step_ends(context: Context) -> None:
    answer, elapsed_s = context.first.result(_SETTLED_S)
    assert answer.body != build.WHOLE, answer
    timeout_s = context.settings.timeout_s
    assert timeout_s - _EARLY_S <= elapsed_s <= timeout_s + _SLACK_S, elapsed_s


@then('the next request ends at its timeout')
def step_next_ends(context: Context) -> None:
    answer, elapsed_s = build.timed_call(context.host.connect(), 'next')
    assert answer.body != build.WHOLE, answer
    assert elapsed_s <= context.host.settings.timeout_s + _SLACK_S, elapsed_s


@then('the next request is answered whole')
def step_next_whole(context: Context) -> None:
    answer = build.call(context.host.connect(), 'next')
    assert answer.body == build.WHOLE, answer


@then('the next request is served by the new service')
def step_next_moved(context: Context) -> None:
    step_next_whole(context)
    assert len(context.host.at(context.host.others, 'next')) == 1
    assert not context.host.at(context.host.engines, 'next')


@then('the next request finds no route')
def step_next_unknown(context: Context) -> None:
    answer = build.call(context.host.connect(), 'next')
    assert answer.status == 404, answer


@then('the connection serves requests with {seconds:g} seconds between them')
def step_in_use(context: Context, seconds: float) -> None:
    for number in range(_USES):
        time.sleep(seconds)
        answer = build.call(context.connection, f'again-{number}')
        assert answer.body == build.WHOLE, answer


@then('it is closed within {seconds:g} seconds once it is idle')
def step_closed(context: Context, seconds: float) -> None:
    assert wait_until(lambda: context.connection.is_closed_by_host(0), seconds)


@then(
    'its connection is closed within {longest:g} seconds, '
    'but not within {shortest:g} seconds'
)
def step_closed_later(
    context: Context, longest: float, shortest: float
) -> None:
    assert not context.connection.is_closed_by_host(shortest)
    step_closed(context, longest)


@then('each request that an engine got is answered whole')
def step_none_lost(context: Context) -> None:
    lost = [
        answer
        for answer in context.answers
        if context.host.at(context.host.all_engines, answer.request_id)
        and answer.body != build.WHOLE
    ]
    assert not lost, lost


@then('some connections were closed and some were not')
def step_some_closed(context: Context) -> None:
    closed = [answer for answer in context.answers if answer.status is None]
    assert 0 < len(closed) < len(context.answers), len(closed)


def _change_during_request(context: Context, fields: dict[str, object]) -> None:
    context.connection = context.host.connect()
    context.first = context.callers.submit(
        build.timed_call, context.connection, 'first'
    )
    context.host.wait_for_request('first')
    context.host.change(**fields)
    assert not context.first.done()


def _check_whole(context: Context, engines: int) -> None:
    answer, _elapsed_s = context.first.result(_SETTLED_S)
    assert answer.body == build.WHOLE, answer
    used = context.host.at(context.host.engines, 'first')
    assert len(used) == engines, used
    assert not context.host.at(context.host.others, 'first')
