"""Steps of forward_stranded.feature."""

from __future__ import annotations

import time
from concurrent import futures

from behave import given, then, when
from behave.runner import Context

from features import builders_users_platform as users
from features.builders_processes import wait_until
from features.builders_stranded import (
    FAILED_ADDRESS,
    Outcome,
    StrandedHost,
)
from guavadyke.adapters.ports import BackendFault, BackendServerError
from guavadyke.decisions.server_ways import ServerWays

_WAIT_S = 3.0
_PASSED_ON_S = 0.2


@given('a host with {helpers:d} other hosts, the first {cut:d} cut off as well')
def step_host(context: Context, helpers: int, cut: int) -> None:
    context.host = StrandedHost(helpers, cut)
    context.add_cleanup(context.host.close)


@given('no link that is known to be cut')
def step_ways(context: Context) -> None:
    context.ways = ServerWays()


@when('its connections to engines are {state}')
def step_link(context: Context, state: str) -> None:
    context.host.change_link(state.removesuffix(' again'))


@when('the engine is not listed any more')
def step_unlisted(context: Context) -> None:
    context.host.list_engine(listed=False)


@when('no other host gets an answer from the engine either')
def step_dark(context: Context) -> None:
    context.host.darken_engine()


@when('connections of other hosts to the engine end at once')
def step_end_at_once(context: Context) -> None:
    context.broken = context.host.break_connections()


@then('none of these connections is left open')
def step_none_open(context: Context) -> None:
    assert context.broken, 'no connection was made'
    left = [one for one in context.broken if one.fileno() >= 0]
    assert not left, left


@when('the engine resets its connection within an answer')
def step_resets(context: Context) -> None:
    context.host.engine.resets = True


@when('it forwards {count:d} requests')
def step_forward(context: Context, count: int) -> None:
    context.direct_before = context.host.direct
    context.outcomes = [
        _forward(context.host, f'request-{number}') for number in range(count)
    ]


@when('it forwards a request and its {end} within an answer without a length')
def step_unframed(context: Context, end: str) -> None:
    engine = context.host.start_unframed_engine()
    with futures.ThreadPoolExecutor(1) as callers:
        outcome = callers.submit(_forward, context.host, 'r-1', engine.address)
        assert engine.paused.wait(_WAIT_S)
        # The helper has passed the event on before its end.
        time.sleep(_PASSED_ON_S)
        if end == 'helper is killed':
            context.host.kill_helpers()
        else:
            engine.end()
        context.outcomes = [outcome.result(_WAIT_S)]


@then('the answer is whole')
def step_unframed_whole(context: Context) -> None:
    outcome = context.outcomes[0]
    assert outcome.error is None, outcome
    assert outcome.body == users.EVENT, outcome


@then('the answer is broken')
def step_unframed_broken(context: Context) -> None:
    step_broken(context)


@when('it forwards a request to an engine that has failed')
def step_failed_engine(context: Context) -> None:
    outcome = _forward(context.host, 'request-failed', FAILED_ADDRESS)
    assert outcome.error is not None, outcome


@when('a request is cancelled after its first event')
def step_cancelled(context: Context) -> None:
    context.host.engine.script.events = 200
    answer = context.host.servers.send(context.host.call('request-0'))
    next(iter(answer.chunks()))
    answer.cancel()


@then('all {count:d} requests got the whole answer of the engine')
def step_whole(context: Context, count: int) -> None:
    last = f'id: {context.host.engine.script.events}\n'.encode()
    whole = [one for one in context.outcomes if last in one.body]
    assert len(whole) == count, context.outcomes
    assert len(context.host.engine.requests) == count


@then('no request took longer than {seconds:g} second')
def step_quick(context: Context, seconds: float) -> None:
    longest_s = max(one.took_s for one in context.outcomes)
    assert longest_s <= seconds, longest_s


@then('it fails as not reached and not run')
def step_not_reached(context: Context) -> None:
    error = context.outcomes[0].error
    assert error.fault is BackendFault.not_reached, error
    assert error.not_run, error
    assert not context.host.engine.requests


@then('it fails as broken')
def step_broken(context: Context) -> None:
    error = context.outcomes[0].error
    assert error is not None, context.outcomes
    assert error.fault is BackendFault.broken, error


@then('the engine sees its connection closed')
def step_closed(context: Context) -> None:
    assert wait_until(context.host.engine.caller_disconnected.is_set, _WAIT_S)


@then('the last requests went over its own link')
def step_own_link(context: Context) -> None:
    assert context.host.direct > context.direct_before
    assert not context.host.servers.is_cut(context.host.engine.address)
    assert all(one.error is None for one in context.outcomes), context.outcomes


@then('one silent server leaves kept connections in use')
def step_one_silent(context: Context) -> None:
    assert not context.ways.fell_silent('10.0.0.1:80', 1.0)
    assert not context.ways.fell_silent('10.0.0.1:80', 1.5)


@then('a second one within 2 seconds does not')
def step_two_silent(context: Context) -> None:
    assert context.ways.fell_silent('10.0.0.2:80', 2.0)
    assert not context.ways.fell_silent('10.0.0.3:80', 5.0)


def _forward(host: StrandedHost, request_id: str, address: str = '') -> Outcome:
    began_at = time.monotonic()
    body = b''
    failure: BackendServerError | None = None
    try:
        body = b''.join(
            host.servers.send(host.call(request_id, address)).chunks()
        )
    except BackendServerError as error:
        failure = error
    return Outcome(body, failure, time.monotonic() - began_at)
