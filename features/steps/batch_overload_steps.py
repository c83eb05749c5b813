"""Steps of batch_overload.feature."""

from __future__ import annotations

from collections.abc import Mapping

from behave import given, then, when
from behave.runner import Context

from features import builders_forward as build
from features.builders_batch_overload import (
    JobStream,
    StartedItems,
    run_overload,
)
from features.builders_batch_slots import WaitingHost
from guavadyke.decisions.load_balancing import ANY_SERVER, LATE_ITEMS


@given(
    '{jobs:d} jobs of {items:d} items of 5 seconds each, due in 18 seconds, '
    'one every {gap_s:g} seconds'
)
def step_stream(context: Context, jobs: int, items: int, gap_s: float) -> None:
    context.stream = JobStream(jobs, items, gap_s)


@when('{hosts:d} hosts run them in 21 slots')
def step_run(context: Context, hosts: int) -> None:
    context.in_time = run_overload(context.stream, hosts)


@then('three quarters of the items that fit the slots are done in time')
def step_in_time(context: Context) -> None:
    fit = context.stream.items_that_fit
    assert context.in_time >= 0.75 * fit, (context.in_time, fit)


@given(
    'jobs due in 18 seconds whose items run for {run_s:g} seconds and are '
    'given up after {wait_s:g} seconds'
)
def step_order(context: Context, run_s: float, wait_s: float) -> None:
    context.started = StartedItems(run_s, wait_s)


@when(
    'an item of a job that is {age_s:g} seconds old has run for {done_s:g} '
    'seconds before'
)
def step_items(context: Context, age_s: float, done_s: float) -> None:
    context.started.start({'older': age_s, 'newer': 1}, {'older': done_s})


@then('it starts {turn} one of a job that is 1 second old')
def step_starts(context: Context, turn: str) -> None:
    first = {'before': 'older', 'after': 'newer'}[turn]
    assert context.started.job_ids[0] == first, context.started.job_ids


@given(
    'a host with {own:d} waiting items, {late:d} of them late, after one with '
    '{other:d}, {other_late:d} of them late'
)
def step_hosts(
    context: Context, own: int, late: int, other: int, other_late: int
) -> None:
    counts = {ANY_SERVER: other, LATE_ITEMS: other_late}
    context.hosts = [_host_after(own, late, counts)]


@given(
    'a host with {own:d} waiting items, {late:d} of them late, after one with '
    '{other:d} of an older release'
)
def step_older_release(
    context: Context, own: int, late: int, other: int
) -> None:
    context.hosts = [_host_after(own, late, {ANY_SERVER: other})]


@when('it looks for slots at {servers:d} servers')
def step_look(context: Context, servers: int) -> None:
    context.hosts[0].look(servers, build.NOW)


@when(
    'a host has {items:d} items that wait for a slot and {in_time:d} that '
    'would be in time'
)
def step_backlog(context: Context, items: int, in_time: int) -> None:
    context.pool = build.pool((build.server('s0'),))
    context.pool.set_batch_backlog(items, in_time, (), pressing=False)


@then('it tells other hosts of {items:d} waiting items, {late:d} of them late')
def step_told(context: Context, items: int, late: int) -> None:
    told = {
        count.backend_id: count.in_flight
        for count in context.pool.load_notice().batch_counts
    }
    assert told == {ANY_SERVER: items, LATE_ITEMS: late}, told


def _host_after(own: int, late: int, counts: Mapping[str, int]) -> WaitingHost:
    """Return a host whose jobs go after those of one with these counts."""
    host = WaitingHost('h2', own, ('h1', 'h2'))
    host.balancer.own_late = late
    host.hear('h1', dict(counts), build.NOW)
    return host
