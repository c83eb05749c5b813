"""Steps of forward_runner.feature."""

from __future__ import annotations

import time

from behave import given, then, when
from behave.runner import Context

from features import builders_forward as build
from features.builders_forward_runner import RunnerBench, script
from features.builders_processes import wait_until
from guavadyke.decisions.forward_job_records import (
    ForwardItemResult,
    JobProgress,
)
from guavadyke.decisions.load_balancing import ANY_SERVER

_WAIT_S = 15.0
# Longer than the maximum retry delay of an item.
_QUIET_S = 2.5
_TEXT = '\n'.join(f'word {number}' for number in range(1, build.EVENTS + 1))


@given('a host that works on jobs, with two servers')
def step_host(context: Context) -> None:
    context.bench = RunnerBench()
    context.add_cleanup(context.bench.close)


@given('a host that runs {count:d} items at a time, with two servers')
def step_limited_host(context: Context, count: int) -> None:
    context.bench = RunnerBench(item_workers=count)
    context.add_cleanup(context.bench.close)


@given('the servers do not answer yet')
def step_held(context: Context) -> None:
    context.bench.servers.released.clear()
    context.add_cleanup(context.bench.servers.released.set)


@when('the servers answer')
def step_released(context: Context) -> None:
    context.bench.servers.released.set()


@then(
    '{running:d} items run and the host tells others that {waiting:d} wait '
    'for a slot'
)
def step_tells_waiting(context: Context, running: int, waiting: int) -> None:
    bench = context.bench

    def told() -> tuple[int, int]:
        counts = {
            count.backend_id: count.in_flight
            for count in bench.in_flight().batch_counts
        }
        any_server = counts.pop(ANY_SERVER, 0)
        return sum(counts.values()), any_server

    assert wait_until(lambda: told() == (running, waiting), _WAIT_S), told()


@given('runs end as {ends}')
def step_ends(context: Context, ends: str) -> None:
    context.bench.servers.scripts.extend(map(script, ends.split(', ')))


@given('item 0 of a job of host-9 is listed')
def step_listed(context: Context) -> None:
    context.bench.accept(3, owner='host-9')
    listing = ForwardItemResult('item-0', completed=True, text=_TEXT)
    context.bench.host.store.append('job-1', (listing,))


@when('a job of {items:d} items is accepted for it')
def step_accepted(context: Context, items: int) -> None:
    context.bench.accept(items)


@when(
    'a job of {items:d} items is accepted for it, and the platform becomes '
    'unreachable',
)
def step_accepted_then_outage(context: Context, items: int) -> None:
    bench = context.bench
    bench.accept(items)
    assert wait_until(lambda: bool(bench.servers.calls), _WAIT_S)
    bench.host.link.faults.cut = True


@when('the platform is back after all items have run')
def step_back(context: Context) -> None:
    bench = context.bench
    assert wait_until(lambda: len(bench.servers.calls) == 3, _WAIT_S)
    bench.host.link.faults.cut = False


@given('the host has not heard for long which jobs have ended')
def step_ends_unknown(context: Context) -> None:
    context.bench.knows_ends = False


@when('the host no longer hears which jobs have ended after its first run')
def step_ends_unknown_later(context: Context) -> None:
    assert wait_until(lambda: context.bench.servers.calls, _WAIT_S)
    context.bench.knows_ends = False


@when('the host hears which jobs have ended')
def step_ends_known(context: Context) -> None:
    context.bench.knows_ends = True


@then('no item of it has run after {seconds:d} second')
def step_none_run(context: Context, seconds: int) -> None:
    time.sleep(seconds)
    assert not context.bench.servers.calls, context.bench.servers.calls


@when('the job is cancelled after its first run')
def step_cancelled(context: Context) -> None:
    _after_first_run(context, JobProgress(cancelled=True))


@when('another host takes the job over after its first run')
def step_taken_over(context: Context) -> None:
    # Without a live peer of this name the job would be taken over again.
    context.bench.add_peer('host-2')
    _after_first_run(context, JobProgress(owner='host-2'))


@when('host-9 is absent')
def step_absent(context: Context) -> None:
    assert not context.bench.fleet.current.peers


@then('all {count:d} items are listed as completed with their whole text')
def step_all_listed(context: Context, count: int) -> None:
    bench = context.bench
    assert wait_until(lambda: len(bench.listed()) == count, _WAIT_S)
    listed = bench.listed()
    assert all(one.completed for one in listed)
    assert {one.text for one in listed} == {_TEXT}
    assert len({one.item_id for one in listed}) == count


@then('the one result is {state} after {runs:d} runs')
def step_one_listed(context: Context, state: str, runs: int) -> None:
    bench = context.bench
    assert wait_until(lambda: bool(bench.listed()), _WAIT_S)
    listed = bench.listed()
    assert len(listed) == 1
    assert listed[0].completed is (state == 'completed')
    whole = _TEXT if listed[0].completed else ''
    assert listed[0].text == whole
    assert len(bench.servers.calls) == runs


@then('the job is stored as finished')
def step_finished(context: Context) -> None:
    bench = context.bench

    def finished() -> bool:
        bench.host.catch_up()
        return bench.host.registry.view('job-1').progress.finished

    assert wait_until(finished, _WAIT_S)


@then('none of its items is in flight')
def step_nothing(context: Context) -> None:
    batch_counts = context.bench.in_flight().batch_counts
    assert not sum(count.in_flight for count in batch_counts)


@then('the runs resumed after events {first:d}, {second:d} and {third:d}')
def step_resumed_after(
    context: Context,
    first: int,
    second: int,
    third: int,
) -> None:
    resumed_after = [call.last_event_id for call in context.bench.servers.calls]
    assert resumed_after == [first, second, third]


@then('no run starts later')
def step_no_run(context: Context) -> None:
    # A run that was about to start may have begun before the change.
    time.sleep(0.5)
    begun = len(context.bench.servers.calls)
    time.sleep(_QUIET_S)
    assert len(context.bench.servers.calls) == begun


@then('each item has run once')
def step_once(context: Context) -> None:
    calls = context.bench.servers.calls
    assert len(calls) == len({call.request_id for call in calls}) == 3


def _after_first_run(context: Context, progress: JobProgress) -> None:
    bench = context.bench
    assert wait_until(lambda: bool(bench.servers.calls), _WAIT_S)
    bench.write_progress(progress)
