"""Steps of forward_ended_jobs.feature."""

from __future__ import annotations

import time

from behave import given, then, when
from behave.runner import Context

from guavadyke.controllers.mirror import job_end_mirror
from guavadyke.forward_job_documents import PROGRESS_KIND


@given('an item takes {seconds:g} second')
def step_item_time(context: Context, seconds: float) -> None:
    for engine in context.fleet.engines:
        engine.script.pause_s = seconds / engine.script.events


@when('{jobs:d} jobs of {items:d} items are submitted')
def step_submitted(context: Context, jobs: int, items: int) -> None:
    context.job_ids = [f'job-{number}' for number in range(jobs)]
    context.items = jobs * items
    for job_id in context.job_ids:
        context.fleet.submit(items, job_id, job_id)


@when('the open connections to the platform fall silent')
def step_silent_connections(context: Context) -> None:
    assert context.fleet.store.silence_open_connections()


@when('the jobs are ended at the first daemon')
def step_ended(context: Context) -> None:
    context.ended_at = {
        job_id: _end(context, job_id) for job_id in context.job_ids
    }


@then(
    'no item has reached an engine over {seconds:g} seconds after the end '
    'of its job'
)
def step_none_late(context: Context, seconds: float) -> None:
    late = {
        item_id: round(after_s, 2)
        for item_id, after_s in _after_end(context)
        if after_s > seconds
    }
    assert not late, f'{len(late)} items, the last one {max(late.values())} s'


@then('items were left when the jobs ended')
def step_left(context: Context) -> None:
    begun = {item_id for item_id, _after_s in _after_end(context)}
    assert len(begun) < context.items, len(begun)


@then('a watch for ended jobs waits for {seconds:g} seconds')
def step_wait(context: Context, seconds: float) -> None:
    found = job_end_mirror(PROGRESS_KIND, context.settings.platform)
    assert found.watch_wait_s == seconds, found.watch_wait_s


def _end(context: Context, job_id: str) -> float:
    """End a job; return when that was confirmed."""
    answer = context.fleet.daemons[0].call('DELETE', f'/api/lots/{job_id}')
    assert answer.status == 200, answer.data
    return time.monotonic()


def _after_end(context: Context) -> list[tuple[str, float]]:
    """Return when items reached engines, in seconds after their job's end."""
    arrivals = [
        (request.headers['request-id'], arrived_at)
        for engine in context.fleet.engines
        for request, arrived_at in zip(
            engine.requests, engine.arrivals, strict=False
        )
    ]
    return [
        (item_id, arrived_at - context.ended_at[item_id.rpartition('-')[0]])
        for item_id, arrived_at in arrivals
    ]
