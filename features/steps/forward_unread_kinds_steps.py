"""Steps of forward_unread_kinds.feature."""

from __future__ import annotations

import time

from behave import given, then, when
from behave.runner import Context

from features.builders_processes import wait_until
from features.builders_unread_kinds import ReadingHost

_STARTED_S = 5.0


@given('a host that works on jobs and cannot read {kind}')
def step_host(context: Context, kind: str) -> None:
    context.reading = ReadingHost()
    context.add_cleanup(context.reading.close)
    context.reading.link.rejected = frozenset((kind,))


@given('a host that works on jobs and has read each kind')
def step_current_host(context: Context) -> None:
    context.reading = ReadingHost()
    context.add_cleanup(context.reading.close)
    context.reading.pass_seconds(1)
    assert context.reading.allows_items()


@given('a job of {items:d} items for it')
def step_job(context: Context, items: int) -> None:
    context.reading.add_job(items, cancelled=False)


@given('a job of {items:d} items for it that has been cancelled')
@when('a job of {items:d} items for it is accepted and cancelled meanwhile')
def step_cancelled_job(context: Context, items: int) -> None:
    context.reading.add_job(items, cancelled=True)


@given('a job of it that "{owner}" has taken over')
def step_moved_job(context: Context, owner: str) -> None:
    context.reading.add_moved_job(owner)


@when('it hands its jobs over after {seconds:d} second')
def step_leave(context: Context, seconds: int) -> None:
    time.sleep(seconds)
    context.reading.leave()


@then('"{owner}" still owns the job after {seconds:d} second')
def step_owner(context: Context, owner: str, seconds: int) -> None:
    time.sleep(seconds)
    assert context.reading.owner() == owner, context.reading.owner()


@when('it reads each kind')
def step_read(context: Context) -> None:
    context.reading.read()


@when('it can read all kinds')
def step_all_kinds(context: Context) -> None:
    context.reading.link.rejected = frozenset()
    context.reading.link.faults.cut = False


@when('it reads each kind but {kind}')
def step_read_others(context: Context, kind: str) -> None:
    step_all_kinds(context)
    context.reading.link.rejected = frozenset((kind,))
    context.reading.read()


@when('{seconds:d} seconds pass in which it reads each kind')
def step_pass(context: Context, seconds: int) -> None:
    context.reading.pass_seconds(seconds)


@when('it can read each kind but {kind} for {seconds:d} seconds')
def step_rejected(context: Context, kind: str, seconds: int) -> None:
    context.reading.link.rejected = frozenset((kind,))
    context.reading.pass_seconds(seconds)


@when('the platform is away for {seconds:d} seconds')
def step_away(context: Context, seconds: int) -> None:
    context.reading.link.faults.cut = True
    context.reading.pass_seconds(seconds)


@then('it knows the job and none of its items starts in {seconds:d} second')
def step_none_starts(context: Context, seconds: int) -> None:
    assert context.reading.knows_job()
    time.sleep(seconds)
    assert not context.reading.runs, context.reading.runs


@then('none of its items starts in {seconds:d} second')
def step_none_started(context: Context, seconds: int) -> None:
    step_none_starts(context, seconds)


@then('all {items:d} items start')
def step_all_start(context: Context, items: int) -> None:
    reading = context.reading
    assert wait_until(lambda: reading.runs == items, _STARTED_S), reading.runs


@then('it may start items')
def step_may(context: Context) -> None:
    assert context.reading.allows_items()


@then('it may start no item')
def step_may_not(context: Context) -> None:
    assert not context.reading.allows_items()
