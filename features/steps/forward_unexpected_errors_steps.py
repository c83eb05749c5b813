"""Steps of forward_unexpected_errors.feature."""

from __future__ import annotations

import collections
import random
import threading
import time
from typing import Any

from behave import given, then, when
from behave.runner import Context

from features import builders_forward as build
from features import builders_forward_processes as processes
from features import builders_unexpected_errors as errors
from features.builders_forward_runner import RunnerBench
from features.builders_processes import wait_until
from features.faulty_daemon import fault_path
from guavadyke.controllers.actors import ask_function, tell_function
from guavadyke.controllers.batch_loops import LoopActor, LoopSettings
from guavadyke.forward_duties import DutyWatch
from guavadyke.snapshots import FleetSnapshot, PeerView, SnapshotCell

_WAIT_S = 15.0


@given('a host that works on jobs and keeps its log')
def step_host(context: Context) -> None:
    context.log = build.RecordingLogger()
    context.bench = RunnerBench(logger=context.log)
    context.add_cleanup(context.bench.close)


@given('the first {count:d} reads of results raise an unexpected error')
def step_first_reads(context: Context, count: int) -> None:
    errors.break_reads(context.bench, errors.first_calls(count))


@given(
    'reads of results of the jobs bad-1 to bad-{last:d} raise an unexpected '
    'error'
)
def step_bad_reads(context: Context, last: int) -> None:
    context.reads = collections.Counter()

    def failing(job_id: str) -> bool:
        context.reads[job_id] += 1
        return job_id.startswith('bad-')

    errors.break_reads(context.bench, failing)


@when('the jobs bad-1 to bad-{last:d} of {items:d} items are accepted for it')
def step_bad_jobs(context: Context, last: int, items: int) -> None:
    context.bad = [f'bad-{number}' for number in range(1, last + 1)]
    for job_id in context.bad:
        errors.accept_named(context.bench, job_id, items)


@when('job {job_id} of {items:d} items is accepted for it')
def step_job(context: Context, job_id: str, items: int) -> None:
    context.accepted_at = time.monotonic()
    errors.accept_named(context.bench, job_id, items)


@then('the {count:d} items of {job_id} are completed')
def step_completed(context: Context, count: int, job_id: str) -> None:
    _assert_completed(context, job_id, count, _WAIT_S)


@then('the {count:d} items of {job_id} are completed within {limit:d} seconds')
def step_completed_within(
    context: Context, count: int, job_id: str, limit: int
) -> None:
    _assert_completed(context, job_id, count, limit)


@then('the log names {count:d} crashed steps of {job_id}')
def step_crashed(context: Context, count: int, job_id: str) -> None:
    crashed = context.log.named('job_step_crashed')
    assert len(crashed) == count, crashed
    assert {one['job_id'] for one in crashed} == {job_id}
    assert all('UnexpectedError' in str(one['reason']) for one in crashed)


@then(
    'after {wait:d} seconds each of them was read {least:d} to {most:d} times'
)
def step_read(context: Context, wait: int, least: int, most: int) -> None:
    time.sleep(max(0, context.accepted_at + wait - time.monotonic()))
    reads = {job_id: context.reads[job_id] for job_id in context.bad}
    assert all(least <= count <= most for count in reads.values()), reads


def _assert_completed(
    context: Context, job_id: str, count: int, limit_s: float
) -> None:
    found = wait_until(
        lambda: errors.completed(context.bench, job_id) == count, limit_s
    )
    assert found, errors.completed(context.bench, job_id)


@given('{count:d} ticks of its runner raise an unexpected error')
def step_ticks(context: Context, count: int) -> None:
    errors.break_ticks(context.bench, errors.first_calls(count))


@then('the log names failures {first:d} and {second:d} of {task} of {part}')
def step_part_failed(
    context: Context, first: int, second: int, task: str, part: str
) -> None:
    failed = context.log.named('part_failed')
    found = [(one['part'], one['task'], one['failures']) for one in failed]
    assert found == [(part, task, first), (part, task, second)], found


@given('a {name} actor that keeps its log')
def step_actor(context: Context, name: str) -> None:
    starts = {
        'catalogue': errors.catalogue_actor,
        'membership': errors.membership_actor,
    }
    context.log = build.RecordingLogger()
    actor, question = starts[name](context.log)
    context.actor = actor
    context.question = question
    context.add_cleanup(context.actor.stop)


@when('it is told something that it cannot handle')
def step_told(context: Context) -> None:
    tell_function(context.actor)(errors.NoMessage())


@then('it answers the next message')
def step_answers(context: Context) -> None:
    assert ask_function(context.actor)(context.question) is not None


@then('asking it the same raises the error')
def step_raises(context: Context) -> None:
    try:
        ask_function(context.actor)(errors.NoMessage())
    except TypeError:
        return
    raise AssertionError('no error was raised')


@given('a batch loop whose first run returns no delay')
def step_loop(context: Context) -> None:
    context.runs = []
    context.log = build.RecordingLogger()

    def run_once() -> float:
        context.runs.append(time.monotonic())
        delay: Any = 0.1 if len(context.runs) > 1 else 'soon'
        return delay

    closed = threading.Event()
    settings = LoopSettings('lease', run_once, random.Random(1), context.log)
    actor = LoopActor.start(settings, closed)
    context.add_cleanup(actor.stop)
    context.add_cleanup(closed.set)


@then('it runs again within {limit:d} seconds')
def step_runs_again(context: Context, limit: int) -> None:
    assert wait_until(lambda: len(context.runs) > 1, limit), context.runs
    assert len(context.log.named('batch_loop_failed')) == 1


@given('{member} of the job {job_id} raises an unexpected error')
def step_bad_tracker(context: Context, member: str, job_id: str) -> None:
    mend = errors.break_tracker(
        member, lambda work, *_args: work.job.job_id == job_id
    )
    context.add_cleanup(mend)


@given('the first completed item of a job raises an unexpected error')
def step_bad_end(context: Context) -> None:
    context.add_cleanup(
        errors.break_tracker('completed', errors.first_calls(1))
    )


@then('the log names {job_id} as failed')
def step_job_failed(context: Context, job_id: str) -> None:
    failed = context.log.named('job_failed')
    assert [one['job_id'] for one in failed] == [job_id], failed


@then(
    'the log names {job_id} as failed, at most {most:d} times in {wait:d} '
    'seconds'
)
def step_job_failures(
    context: Context, job_id: str, most: int, wait: int
) -> None:
    time.sleep(max(0, context.accepted_at + wait - time.monotonic()))
    failed = context.log.named('job_failed')
    assert {one['job_id'] for one in failed} == {job_id}, failed
    assert len(failed) <= most, failed


@given('{member} of the jobs bad-1 to bad-{last:d} raises an unexpected error')
def step_bad_trackers(context: Context, member: str, last: int) -> None:
    bad = {f'bad-{number}' for number in range(1, last + 1)}
    mend = errors.break_tracker(
        member, lambda work, *_args: work.job.job_id in bad
    )
    context.add_cleanup(mend)


@then('the log names {task} of {part} as failing again and again')
def step_part_fails(context: Context, task: str, part: str) -> None:
    def failures() -> list[object]:
        return [
            one['failures']
            for one in context.log.named('part_failed')
            if (one['part'], one['task']) == (part, task)
        ]

    assert wait_until(lambda: 8 in failures(), _WAIT_S), failures()


@given('{daemons:d} daemons whose runners can fail with {engines:d} engines')
def step_daemons(context: Context, daemons: int, engines: int) -> None:
    context.fleet = processes.UsersFleet(module='features.faulty_daemon')
    context.add_cleanup(context.fleet.close)
    context.fleet.start(daemons, engines)


@when('the runner of the host that works on the job fails from now on')
def step_runner_fails(context: Context) -> None:
    daemons = context.fleet.daemons

    def owners() -> list[processes.DaemonProcess]:
        return [one for one in daemons if 'event=job_taken ' in one.log]

    assert wait_until(owners, _WAIT_S)
    context.failing = owners()[0]
    context.remaining = next(
        one for one in daemons if one is not context.failing
    )
    fault_path(context.failing.settings_path).touch()


@then(
    'that host ends by itself with status {status:d} within {limit:d} seconds'
)
def step_ended(context: Context, status: int, limit: int) -> None:
    process = context.failing.process
    ended = wait_until(lambda: process.poll() is not None, limit)
    assert ended, context.failing.log
    assert process.returncode == status, process.returncode


@then('its log names {part} as the part that failed')
def step_unsound(context: Context, part: str) -> None:
    lines = [
        line
        for line in context.failing.log.splitlines()
        if 'event=host_unsound ' in line
    ]
    assert lines, context.failing.log
    assert all(f'parts={part} ends=True' in line for line in lines), lines


@given('a watch over duties with a failing part')
def step_duties(context: Context) -> None:
    context.log = build.RecordingLogger()
    context.fleet_cell = SnapshotCell(FleetSnapshot())
    context.ends = []
    context.duties = DutyWatch(
        lambda: ('some-part',), context.fleet_cell, context.log
    )
    context.duties.on_unsound(lambda: context.ends.append(1))


@given('{alive:d} other hosts are alive and {left:d} have left')
def step_peers(context: Context, alive: int, left: int) -> None:
    states = ('alive',) * alive + ('left',) * left
    context.fleet_cell.publish(
        FleetSnapshot(
            tuple(
                PeerView(f'host-{number}', build.ZONE, '', '', state, 1, 0)
                for number, state in enumerate(states)
            )
        )
    )


@when('the watch checks the duties {count:d} times')
def step_checks(context: Context, count: int) -> None:
    for _ in range(count):
        context.duties.check()


@then('the host ends {count:d} times and this is logged once')
def step_host_ends(context: Context, count: int) -> None:
    assert len(context.ends) == count
    assert context.duties.ending is (count > 0)
    logged = context.log.named('host_unsound')
    assert logged == [{'parts': 'some-part', 'ends': count > 0}], logged


@given('a sound membership actor in its service')
def step_service(context: Context) -> None:
    context.service = errors.membership_service()
    context.add_cleanup(context.service.close)


@then('the service has no failed part')
def step_sound(context: Context) -> None:
    assert not context.service.failed_parts()


@when('the actor is ended')
def step_actor_ended(context: Context) -> None:
    context.service.controller.stop()


@then('the service names its failed part')
def step_part_named(context: Context) -> None:
    assert context.service.failed_parts() == ('membership',)
