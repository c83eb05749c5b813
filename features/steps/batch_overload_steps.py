"""Steps of batch_overload.feature."""

from __future__ import annotations

from behave import given, then, when
from behave.runner import Context

from features.builders_batch_overload import JobStream, run_overload


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
