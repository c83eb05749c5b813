"""Steps of forward_removed_jobs.feature."""

from __future__ import annotations

import time

from behave import given, then, when
from behave.runner import Context

from features import builders_forward as build
from features import builders_removed_jobs as removed
from features.builders_forward_runner import RunnerBench
from features.builders_job_owners import JOB
from features.builders_processes import wait_until
from guavadyke.forward_job_documents import JOB_KIND, PAGE_KIND, PROGRESS_KIND

_WAIT_S = 5
# Longer than the interval of the ticks of a host without jobs.
_TICKS_S = 1


@given('{count:d} hosts, of which host-0 owns a job with results')
def step_hosts(context: Context, count: int) -> None:
    context.fleets = [removed.RemovingFleet(count)]


@given('the job is {end} at {host_id}')
def step_ended(context: Context, end: str, host_id: str) -> None:
    context.fleets[0].end(host_id, end)


@given('host-1 and host-2 do not hear of jobs')
def step_hear_no_jobs(context: Context) -> None:
    for name in ('host-1', 'host-2'):
        context.fleets[0].be_late(name, 'jobs')


@when('it expires and {host_id} hears of {kind} {seconds:d} seconds late')
def step_late(context: Context, host_id: str, kind: str, seconds: int) -> None:
    fleet = context.fleets[0]
    fleet.be_late(host_id, kind)
    fleet.expire()
    fleet.run(seconds)
    fleet.be_late(host_id, '')
    fleet.run(seconds)


@when(
    'it expires while each host that removes it ends after any number of calls'
)
def step_interrupted(context: Context) -> None:
    context.fleets = [
        removed.interrupted_fleet(calls) for calls in range(removed.MOST_CALLS)
    ]


@when('it expires while each host that removes it loses the answer to {which}')
def step_lossy(context: Context, which: str) -> None:
    every = 1 if which == 'every write' else 2
    context.fleets = [removed.lossy_fleet(every)]


@when('its progress alone is deleted')
def step_delete_progress(context: Context) -> None:
    context.fleets[0].platform.take(PROGRESS_KIND, JOB)


@when('the job alone is deleted and {host_id} writes {left} after that')
def step_write_late(context: Context, host_id: str, left: str) -> None:
    fleet = context.fleets[0]
    fleet.platform.take(JOB_KIND, JOB)
    fleet.run(removed.SETTLED_S)
    fleet.write_after_removal(host_id, left)


@when('{host_id} reads the job, which is removed before its mirror shows it')
def step_read_before(context: Context, host_id: str) -> None:
    fleet = context.fleets[0]
    fleet.platform.take(JOB_KIND, JOB)
    fleet.catch_up()
    fleet.hosts[host_id].host.registry.accepted(build.job())


@when('{host_id} claims the job')
def step_claim(context: Context, host_id: str) -> None:
    fleet = context.fleets[0]
    fleet.hosts[host_id].host.store.claim(JOB, host_id, 'host-0')
    fleet.catch_up()


@when('{host_id} takes its progress for deleted')
def step_misheard(context: Context, host_id: str) -> None:
    _host(context, host_id).registry.progress.remove(JOB)
    assert _host(context, host_id).registry.view(JOB) is None


@when('the hosts go on for {seconds:d} seconds')
def step_pass(context: Context, seconds: int) -> None:
    context.fleets[0].run(seconds)


@then('no host has taken it for open')
def step_never_open(context: Context) -> None:
    found = [fleet.took_open() for fleet in context.fleets]
    assert not any(found), found


@then('nothing of it is left on the platform')
def step_nothing_left(context: Context) -> None:
    found = [fleet.left() for fleet in context.fleets]
    assert not any(found), found


@then('the job with its progress and results is on the platform')
def step_all_left(context: Context) -> None:
    assert context.fleets[0].left() == [
        f'{JOB_KIND}/{JOB}',
        f'{PROGRESS_KIND}/{JOB}',
        f'{PAGE_KIND}/{JOB}.0',
        f'{PAGE_KIND}/{JOB}.1',
    ]


@then('{host_id} knows the job again')
def step_knows(context: Context, host_id: str) -> None:
    assert _host(context, host_id).registry.view(JOB) is not None


@then('{host_id} does not know the job')
def step_forgotten(context: Context, host_id: str) -> None:
    assert _host(context, host_id).registry.view(JOB) is None


@when('it knows a job of {count:d} items that is no longer on the platform')
def step_removed_before(context: Context, count: int) -> None:
    context.bench.host.registry.accepted(build.job(items=count))


@then('the job is unknown to the host')
def step_host_forgets(context: Context) -> None:
    assert context.bench.host.registry.view(JOB) is None


@given('a host that works on a job of {count:d} items, which is removed')
def step_removed_while_run(context: Context, count: int) -> None:
    context.clock = build.ManualClock()
    bench = RunnerBench(clock=context.clock)
    context.add_cleanup(bench.close)
    bench.servers.released.clear()
    context.add_cleanup(bench.servers.released.set)
    bench.accept(count)
    assert wait_until(lambda: len(bench.servers.calls) == count, _WAIT_S)
    bench.platform.take(JOB_KIND, JOB)
    bench.host.registry.removed(JOB)
    context.bench = bench


@when('the host writes a result of it after that')
def step_stored_late(context: Context) -> None:
    assert wait_until(lambda: not context.bench.busy, _WAIT_S)
    context.bench.host.store.append(JOB, (removed.result(0),))
    assert context.bench.platform.of_kind(PAGE_KIND)


@when('it has heard of the removal {seconds:d} seconds ago')
def step_heard(context: Context, seconds: int) -> None:
    context.clock.now += 1
    time.sleep(_TICKS_S)
    context.clock.now += seconds


@then('the result is deleted')
def step_deleted(context: Context) -> None:
    assert wait_until(
        lambda: not context.bench.platform.of_kind(PAGE_KIND), _WAIT_S
    )


def _host(context: Context, host_id: str) -> build.JobHost:
    return context.fleets[0].hosts[host_id].host
