"""Steps of soak.feature."""

from __future__ import annotations

import tempfile
from pathlib import Path

from behave import given, then, when
from behave.runner import Context

from features import soak, soak_schedule
from features.builders_soak import ALLOWED, BROKEN
from features.soak_checker import broken_promises

_SECONDS = 60.0
_HOSTS = 5
# A loaded machine may not keep the bound of the platform.
_GENEROUS_S = 10.0


@given('a soak on which it is allowed that {what}')
def step_allowed(context: Context, what: str) -> None:
    context.broken = broken_promises(ALLOWED[what]())


@given('a soak on which {what}')
def step_broken(context: Context, what: str) -> None:
    context.broken = broken_promises(BROKEN[what]())


@then('it reports the promise "{promise}"')
def step_reports(context: Context, promise: str) -> None:
    names = [line.partition(':')[0] for line in context.broken]
    assert names == [promise], context.broken


@then('it reports nothing')
def step_reports_nothing(context: Context) -> None:
    assert not context.broken, '\n'.join(context.broken)


@given('the schedule of seed {seed:d}')
def step_schedule(context: Context, seed: int) -> None:
    context.seed = seed
    context.schedule = soak_schedule.draw_schedule(seed, _SECONDS, _HOSTS)


@then('the seed draws the same schedule again')
def step_same(context: Context) -> None:
    again = soak_schedule.draw_schedule(context.seed, _SECONDS, _HOSTS)
    other = soak_schedule.draw_schedule(context.seed + 1, _SECONDS, _HOSTS)
    assert again == context.schedule, again
    assert again != other, other


@then('its file holds the same schedule')
def step_file(context: Context) -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'schedule.json'
        context.schedule.write(path)
        assert soak_schedule.read_schedule(path) == context.schedule


@then('its jobs that move are the same each time')
def step_same_moves(context: Context) -> None:
    moved = soak_schedule.with_moves(context.schedule)
    again = soak_schedule.draw_schedule(context.seed, _SECONDS, _HOSTS)
    assert soak_schedule.with_moves(again) == moved, moved
    assert set(context.schedule.jobs) < set(moved.jobs), moved


@when('seed {seed:d} is played for {seconds:g} seconds on {hosts:d} hosts')
def step_play(context: Context, seed: int, seconds: float, hosts: int) -> None:
    schedule = soak_schedule.draw_schedule(seed, seconds, hosts)
    context.broken = soak.play(schedule, None, _GENEROUS_S)


@when(
    'seed {seed:d} is played for {seconds:g} seconds on {hosts:d} hosts '
    'with teams'
)
def step_play_teams(
    context: Context, seed: int, seconds: float, hosts: int
) -> None:
    schedule = soak_schedule.draw_schedule(seed, seconds, hosts)
    schedule = soak_schedule.with_teams(schedule)
    context.broken = soak.play(schedule, None, _GENEROUS_S)


@when(
    'seed {seed:d} is played for {seconds:g} seconds on {hosts:d} hosts '
    'whose jobs move'
)
def step_play_moves(
    context: Context, seed: int, seconds: float, hosts: int
) -> None:
    schedule = soak_schedule.draw_schedule(seed, seconds, hosts)
    schedule = soak_schedule.with_moves(schedule)
    context.broken = soak.play(schedule, None, _GENEROUS_S)


@when('a host is stopped and reloaded while callers keep their connections')
def step_play_stop(context: Context) -> None:
    faults = (
        soak_schedule.Fault('restarted', 4, 2, (0,)),
        soak_schedule.Fault('reloaded', 5, 0.2, (0, 1)),
    )
    schedule = soak_schedule.Schedule(901, 20, 2, faults)
    context.broken = soak.play(schedule, None, _GENEROUS_S)


@when('engines end under parts, items and requests, and in waves, among jobs')
def step_play_crashes(context: Context) -> None:
    faults = (
        soak_schedule.Fault('part_crashes', 2, 3),
        soak_schedule.Fault('item_crashes', 2.5, 4),
        soak_schedule.Fault('request_crashes', 3, 3),
        soak_schedule.Fault('engine_wave', 3.5, 1),
        soak_schedule.Fault('engine_wave', 4.1, 1),
        soak_schedule.Fault('part_crashes', 4.5, 2),
        soak_schedule.Fault('restarted', 6, 1, (0,)),
    )
    jobs = (
        _four_items(0.5, 0, 1),
        _four_items(3.2, 1, 8),
        _four_items(4, 2, 9),
        _four_items(6, 0, 2),
    )
    schedule = soak_schedule.Schedule(902, 10, 3, faults, jobs)
    context.broken = soak.play(schedule, None, _GENEROUS_S)


def _four_items(at_s: float, host: int, part: int) -> soak_schedule.JobPlan:
    return soak_schedule.JobPlan(at_s, host, (f'part-item-{part}',) * 4)
