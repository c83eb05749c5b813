"""Steps of forward_leaving_answers.feature."""

from __future__ import annotations

import itertools
import time

from behave import then, when
from behave.runner import Context

from features import builders_forward_processes as processes
from features import builders_users_platform as users

_HTTP_OK = 200
_HTTP_UNAVAILABLE = 503
_LATER_BORN_MS = 1_700_000_100_000
_LISTED_S = 0.5


@when('the first engine says in its answers that it leaves')
def step_leaving(context: Context) -> None:
    context.fleet.engines[0].script.leaving = True


@when('{count:d} requests are sent to each daemon')
def step_send_to_each(context: Context, count: int) -> None:
    _send(context, context.fleet.daemons, count)


@when('{count:d} requests are sent to the first daemon')
def step_send_to_first(context: Context, count: int) -> None:
    _send(context, context.fleet.daemons[:1], count)
    # Only an answer of the engine itself can tell that it leaves.
    assert context.got_before < len(context.fleet.engines[0].requests)


@then('the first engine has got none of the last requests')
def step_none(context: Context) -> None:
    got = len(context.fleet.engines[0].requests) - context.got_before
    assert not got, got


@then('all of them were served')
def step_served(context: Context) -> None:
    assert set(context.statuses) == {_HTTP_OK}, context.statuses


@when('the first engine starts again under its id')
def step_starts_again(context: Context) -> None:
    engine = context.fleet.engines[0]
    engine.script.leaving = False
    entry = users.engine_entry(engine.address, born=_LATER_BORN_MS)
    context.fleet.store.put('servers', engine.name, entry)
    time.sleep(_LISTED_S)


@when('another engine that leaves has taken the address of the first one')
def step_reused(context: Context) -> None:
    context.former = context.fleet.engines[0].name
    context.fleet.engines[0].name = 'i-other'
    context.fleet.engines[0].script.leaving = True


@then('the entry of the first engine still gets requests')
def step_entry_used(context: Context) -> None:
    log = context.fleet.daemons[0].log
    assert 'backend_server_says_leaving' not in log, log


@then('the first engine has got some of the last requests')
def step_some(context: Context) -> None:
    assert len(context.fleet.engines[0].requests) > context.got_before


@then('all of them were refused as not run')
def step_refused(context: Context) -> None:
    assert set(context.statuses) == {_HTTP_UNAVAILABLE}, context.statuses


def _send(
    context: Context, daemons: list[processes.DaemonProcess], count: int
) -> None:
    context.got_before = len(context.fleet.engines[0].requests)
    context.statuses = []
    for _, daemon in itertools.product(range(count), daemons):
        number = next(context.numbers)
        answer = daemon.call(
            'POST',
            f'{users.STREAM_PREFIX}1',
            body=f'text {number}'.encode(),
            headers={
                'Request-Id': f'request-{number}',
                'Model': 'm',
                # Spreads the requests over the engines.
                'Prompt-Prefix': f'{number:x}0a:100,{number:x}0b:100',
            },
        )
        context.statuses.append(answer.status)
