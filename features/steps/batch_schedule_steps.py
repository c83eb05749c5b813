"""Steps of batch_schedule.feature."""

import random
import time
from urllib.parse import quote

from behave import given, then, when
from behave.runner import Context

from features import builders_batch
from guavadyke.controllers.batch_input import format_time
from guavadyke.decisions.chunking import ChunkingInput, items_per_chunk
from guavadyke.decisions.job_forecast import JobLoad, forecast
from guavadyke.decisions.job_order import JobPriority, order_jobs
from guavadyke.settings import BatchSettings


@given('a batch job of {count:d} items due in {due_s:d} seconds')
def step_job(context: Context, count: int, due_s: int) -> None:
    context.size = (count, due_s)


@when('it is divided for {hosts:d} hosts that complete 8 items a second each')
def step_divide(context: Context, hosts: int) -> None:
    count, due_s = context.size
    size = ChunkingInput(
        items=count, due_s=due_s, hosts=hosts, slots=8, item_s=1
    )
    context.chunk = items_per_chunk(size, BatchSettings())


@then('its chunks hold {expected:d} items')
def step_chunk(context: Context, expected: int) -> None:
    assert context.chunk == expected, context.chunk


@given('batch demands in a shuffled order')
def step_demands(context: Context) -> None:
    context.demands = [
        JobPriority('a-early', 'a', 10, 0, owner_items=5),
        JobPriority('a-late', 'a', 20, 0, owner_items=5),
        JobPriority('b-early', 'b', 30, 0),
        JobPriority('b-late', 'b', 40, 0),
        JobPriority('risky', 'c', 50, 0, at_risk=True),
        JobPriority('cancelled', 'c', 60, 0, cancelled=True),
    ]
    random.Random(7).shuffle(context.demands)


@when('the batch demands are ordered')
def step_order(context: Context) -> None:
    context.order = [one.job_id for one in order_jobs(context.demands)]


@then('the batch order is "{expected}"')
def step_ordered(context: Context, expected: str) -> None:
    assert context.order == expected.split(', '), context.order


@given('two batch jobs of one entry with 100 and 300 items left')
def step_loads(context: Context) -> None:
    context.loads = [
        JobLoad('first', 'notes', 100, 1_000),
        JobLoad('second', 'notes', 300, 100),
    ]


def _prospects(context: Context, rate: float, weight: float) -> str:
    found = forecast(context.loads, {'notes': rate}, 0, weight)
    return ', '.join(
        found[load.job_id].prospect.value for load in context.loads
    )


@then('with tail weight {weight:g} the batch prospects are "{expected}"')
def step_prospects(context: Context, weight: float, expected: str) -> None:
    assert _prospects(context, 5, weight) == expected


@then('at a tenth of the rate the batch prospects are "{expected}"')
def step_slow_prospects(context: Context, expected: str) -> None:
    context.loads[0] = JobLoad('first', 'notes', 100, 100)
    assert _prospects(context, 0.5, 0.5) == expected


def _submit(context: Context, count: int, query: str) -> None:
    context.submitted = builders_batch.submission(count)
    host = context.hosts['entry-1']
    path = f'/v1/batches?entry={builders_batch.ENTRY}&{query}'
    status, body = host.call('POST', path, context.submitted)
    assert status == 201, body
    context.job = builders_batch.read_lines(body)[0]['id']


@when(
    'a batch of {count:d} items due in {due_s:d} seconds'
    ' is submitted to "entry-1"',
)
def step_submit_due(context: Context, count: int, due_s: int) -> None:
    context.due = time.time() + due_s
    _submit(context, count, f'due={quote(format_time(context.due))}')


@when(
    'a batch of {count:d} items expiring in {end_s:d} seconds'
    ' is submitted to "entry-1"',
)
def step_submit_expiring(context: Context, count: int, end_s: int) -> None:
    end = format_time(time.time() + end_s)
    _submit(context, count, f'expires={quote(end)}')


@then('the batch is reported as late before it is due')
def step_reported_late(context: Context) -> None:
    host = context.hosts['entry-1']
    path = f'/v1/batches/{context.job}'
    builders_batch.wait_for(
        lambda: host.document('GET', path)['expected_end'] is not None,
    )
    document = host.document('GET', path)
    assert document['state'] == 'running', document
    assert document['late'], document
    assert str(document['expected_end']) > str(document['due']), document
