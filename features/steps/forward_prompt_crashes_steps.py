"""Steps of forward_prompt_crashes.feature."""

from __future__ import annotations

import itertools
import signal
import time

from behave import given, then, when
from behave.runner import Context

from features import builders_forward_processes as processes
from features import builders_prompt_crashes as build
from features.builders_processes import wait_until

_HTTP_OK = 200


@given(
    '{daemons:d} daemons with {engines:d} engines that crash on a prompt part'
)
@given('{daemons:d} daemons with {engines:d} engines that crash on one body')
def step_fleet(context: Context, daemons: int, engines: int) -> None:
    context.fleet = build.CrashingFleet()
    context.add_cleanup(context.fleet.close)
    context.fleet.start(daemons, engines)


@when('{count:d} sound requests are sent to the daemons in turn')
def step_sound(context: Context, count: int) -> None:
    statuses = context.fleet.send_to_each(count, build.SHARED_PART)
    assert set(statuses) == {_HTTP_OK}, statuses


@when(
    '{count:d} requests with the crashing part are sent to the daemons in turn'
)
def step_crashing(context: Context, count: int) -> None:
    context.reached_before = context.fleet.crashing_requests
    context.fleet.send_to_each(count, build.SHARED_PART, build.CRASHING_PART)


@when(
    'a request with the crashing body comes {count:d} times, each time with '
    'sound ones of its session'
)
def step_repeated(context: Context, count: int) -> None:
    _repeat(context, count, build.SHARED_PART, build.SESSION_PART)


@when(
    'a request with the crashing body and no shared part comes {count:d} times'
)
def step_repeated_alone(context: Context, count: int) -> None:
    _repeat(context, count)


def _repeat(context: Context, count: int, *parts: str) -> None:
    context.reached_before = context.fleet.crashing_requests
    context.sound_statuses = []
    turns = itertools.cycle(context.fleet.daemons)
    for daemon in itertools.islice(turns, count):
        context.fleet.send(daemon, *parts, body=build.CRASHING_BODY)
        answer = context.fleet.send(daemon, *parts)
        context.sound_statuses.append(answer.status)


@when('all daemons are killed and started again')
def step_restart_all(context: Context) -> None:
    for daemon in context.fleet.daemons:
        daemon.process.send_signal(signal.SIGKILL)
    for killed in context.fleet.daemons:
        killed.process.wait(processes.STOP_S)
    for started in context.fleet.daemons:
        started.start()
    context.fleet.wait_ready()


@when('the engines crash no more')
def step_sound_engines(context: Context) -> None:
    for engine in context.fleet.engines:
        engine.crashing = False


@when(
    'a job of {items:d} items with the crashing part is submitted to each '
    'daemon'
)
def step_submit(context: Context, items: int) -> None:
    context.items = items
    context.reached_before = context.fleet.crashing_requests
    context.fleet.submit_to_each(items, build.SHARED_PART, build.CRASHING_PART)


@then('all items complete within {seconds:d} seconds')
def step_items_complete(context: Context, seconds: int) -> None:
    wanted = [context.items for _ in context.fleet.daemons]
    assert wait_until(lambda: context.fleet.completed() == wanted, seconds), (
        context.fleet.completed()
    )


@then('at most {count:d} of the items have reached engines')
def step_items_reached(context: Context, count: int) -> None:
    step_reached(context, count)


@then('no item has a result')
def step_no_item(context: Context) -> None:
    assert not any(context.fleet.completed()), context.fleet.completed()


@when('{seconds:g} seconds have passed')
def step_wait(_context: Context, seconds: float) -> None:
    time.sleep(seconds)


@when('the first daemon is killed and started again')
def step_restart(context: Context) -> None:
    daemon = context.fleet.daemons[0]
    daemon.process.send_signal(signal.SIGKILL)
    daemon.process.wait(processes.STOP_S)
    daemon.start()
    context.fleet.wait_ready()


@when('another daemon starts')
def step_start(context: Context) -> None:
    context.fleet.start_daemon()
    context.fleet.wait_ready()


@then('at most {count:d} of the last requests have reached engines')
def step_reached(context: Context, count: int) -> None:
    reached = context.fleet.crashing_requests - context.reached_before
    assert reached <= count, reached


@then('at most {count:d} of these requests have reached engines')
def step_reached_in_all(context: Context, count: int) -> None:
    step_reached(context, count)


@then('the sound requests of the session were served')
def step_session_served(context: Context) -> None:
    statuses = context.sound_statuses
    assert set(statuses) == {_HTTP_OK}, statuses


@then('sound requests with the same first part are served by every daemon')
def step_served(context: Context) -> None:
    daemons = len(context.fleet.daemons)
    statuses = context.fleet.send_to_each(2 * daemons, build.SHARED_PART)
    assert set(statuses) == {_HTTP_OK}, statuses
