"""Steps of forward_handover.feature."""

from __future__ import annotations

from behave import given, then, when
from behave.runner import Context

from features import builders_forward as build
from features import builders_handover as handover
from guavadyke.decisions.forward_job_ownership import choose_next_owner
from guavadyke.decisions.forward_job_records import JobView


@given(
    'hosts that started at {started} s, of which "{unable}" cannot run items'
)
@given('hosts that started at {started} s, of which "" cannot run items')
def step_started(context: Context, started: str, unable: str = '') -> None:
    context.unable = {unable}
    context.started = {
        f'host-{number}': float(text)
        for number, text in enumerate(started.split(', '))
    }


@given('host-1 has an open job')
def step_open_job(context: Context) -> None:
    context.views = [JobView(build.job('other', owner='host-1'))]
    context.views.extend(
        JobView(build.job(name, owner=name)) for name in ('host-3',)
    )


@when('a host that started at {started_at:d} s stops')
def step_stops(context: Context, started_at: int) -> None:
    context.owner = choose_next_owner(
        'job-1', started_at, context.started, context.views, context.unable
    )


@then('{owner} gets its job')
def step_gets(context: Context, owner: str) -> None:
    assert context.owner == owner, context.owner


@given('{count:d} hosts that started later')
def step_later(context: Context, count: int) -> None:
    context.leaving = handover.LeavingHost(range(100, 100 + count))


@when('a host with {jobs:d} jobs stops')
def step_stops_with(context: Context, jobs: int) -> None:
    context.leaving.hand_over(jobs, 1)


@then('each of them gets {count:d} jobs')
def step_spread(context: Context, count: int) -> None:
    owners = context.leaving.owners
    assert set(owners.values()) == {count}, owners
    assert len(owners) == 3, owners
