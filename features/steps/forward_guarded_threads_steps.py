"""Steps of forward_guarded_threads.feature."""

from __future__ import annotations

import contextlib
import itertools
import logging
import os
import random
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from unittest import mock

from behave import given, then, when
from behave.runner import Context

from features import builders_forward as build
from features import builders_unexpected_errors as errors
from features.builders_batch_platform import MemoryPlatform, MemoryStore
from features.builders_processes import wait_until
from guavadyke.adapters.cancellation import CallCancellation
from guavadyke.adapters.clock import SystemClock
from guavadyke.adapters.peer_sockets import (
    DatagramPort,
    TransportFaults,
    bind_sockets,
    split_address,
)
from guavadyke.controllers.mirror import Mirror, MirrorSettings
from guavadyke.controllers.prompt_trial_claimer import PromptTrialClaimer
from guavadyke.controllers.prompt_trials import PromptTrials
from guavadyke.decisions.prompt_quarantine import Quarantine
from guavadyke.filters.caller_watch import CallerWatch
from guavadyke.guarded_threads import (
    BackgroundTask,
    GuardedThread,
    submit_logged,
)
from guavadyke.log import EventLogger
from guavadyke.log_writer import LogWriter
from guavadyke.part_health import PartHealth
from guavadyke.settings import ListenSettings
from guavadyke.snapshots import FleetSnapshot, SnapshotCell

_KIND = 'things'
_WAIT_S = 8.0
_PART = 'bad'


@given('a thread whose loop raises {count:d} times')
def step_thread(context: Context, count: int) -> None:
    context.log = build.RecordingLogger()
    context.runs = []
    context.stopped = threading.Event()

    def loop() -> None:
        context.runs.append(time.monotonic())
        if len(context.runs) <= count:
            raise errors.UnexpectedError(len(context.runs))
        context.stopped.wait(_WAIT_S)

    context.thread = GuardedThread(
        loop, 'some-loop', context.stopped, context.log
    )
    context.add_cleanup(context.stopped.set)


@when('the thread is started')
def step_started(context: Context) -> None:
    context.thread.start()


@then('its loop is run {count:d} times within {limit:d} seconds')
def step_runs(context: Context, count: int, limit: int) -> None:
    assert wait_until(lambda: len(context.runs) == count, limit), context.runs


@then('the pauses before the runs grow')
def step_pauses(context: Context) -> None:
    pauses = [
        later - earlier for earlier, later in itertools.pairwise(context.runs)
    ]
    assert pauses == sorted(pauses), pauses


@then('the thread ends once it is told to stop')
def step_ends(context: Context) -> None:
    assert context.thread.is_alive()
    assert context.thread.sound
    context.stopped.set()
    context.thread.join(1)
    assert not context.thread.is_alive()


@given('a part whose task fails every {interval:d} seconds')
def step_part(context: Context, interval: int) -> None:
    context.clock = build.ManualClock()
    context.interval = interval
    context.health = PartHealth(
        'some-part', EventLogger(), context.clock.monotonic
    )


@when('{count:d} of its failures have passed')
def step_fails(context: Context, count: int) -> None:
    for number in range(count):
        context.health.failed('task', errors.UnexpectedError(number))
        context.clock.sleep(context.interval)


@when('{seconds:d} seconds without a failure have passed')
def step_quiet(context: Context, seconds: int) -> None:
    context.clock.sleep(seconds)


@then('it counts as stuck')
def step_stuck(context: Context) -> None:
    assert context.health.stuck


@then('it does not count as stuck')
def step_not_stuck(context: Context) -> None:
    assert not context.health.stuck


@given('a running mirror whose sink raises for the first change')
def step_mirror(context: Context) -> None:
    context.platform = MemoryPlatform()
    context.log = build.RecordingLogger()
    context.sink = mock.Mock()
    context.seen = []
    context.sink.put = errors.raising(
        lambda stored: context.seen.append(stored.name), errors.first_calls(1)
    )
    context.sink.replace = lambda objects, **_named: context.seen.extend(
        stored.name for stored in objects
    )
    mirror = Mirror(
        MirrorSettings(_KIND, 0.1),
        MemoryStore(context.platform),
        context.sink,
        SystemClock(),
        random.Random(3),
        context.log,
    )
    mirror.start()
    context.add_cleanup(mirror.close)
    assert wait_until(lambda: mirror.listed, _WAIT_S)
    context.mirror = mirror


@when('two objects are written')
def step_written(context: Context) -> None:
    for name in ('first', 'second'):
        with context.platform.changed:
            context.platform.put(_KIND, name, b'new')
        time.sleep(0.3)


@then('the sink has the second object')
def step_learned(context: Context) -> None:
    assert wait_until(lambda: 'second' in context.seen, _WAIT_S), context.seen
    assert wait_until(lambda: not context.mirror.failing, _WAIT_S)


@then('the log names the failure of {part}')
def step_logged(context: Context, part: str) -> None:
    failed = context.log.named('part_failed')
    assert [one['part'] for one in failed] == [part], failed


@given('a running claimer of trials whose first write raises')
def step_claimer(context: Context) -> None:
    store = build.settled(MemoryStore(MemoryPlatform()))
    failing = mock.patch.object(
        store, 'create', errors.raising(store.create, errors.first_calls(1))
    )
    failing.start()
    context.add_cleanup(failing.stop)
    clock = SystemClock()
    context.trials = PromptTrials(
        'host-1', SnapshotCell(FleetSnapshot()), clock, EventLogger()
    )
    claimer = PromptTrialClaimer(
        'host-1', context.trials, store, clock, EventLogger()
    )
    claimer.start()
    context.add_cleanup(claimer.close)


@when('a request with the quarantined part asks for a trial')
def step_asks(context: Context) -> None:
    context.found = mock.create_autospec(
        Quarantine, instance=True, part=_PART, trial_in_s=0, overdue_s=60
    )
    context.trials.allows(context.found)
    time.sleep(0.3)


@then('the trial is claimed at a later request')
def step_claimed(context: Context) -> None:
    assert wait_until(lambda: context.trials.allows(context.found), _WAIT_S)


@given('a peer port whose first datagram raises')
def step_port(context: Context) -> None:
    context.handled = []
    sockets = bind_sockets(
        ListenSettings.model_validate({'ip': build.LOOPBACK, 'port': 0})
    )
    context.address = split_address(sockets.address)
    port = DatagramPort(
        sockets,
        errors.raising(
            lambda message, _address: context.handled.append(message),
            errors.first_calls(1),
        ),
        TransportFaults(),
    )
    port.start()
    context.add_cleanup(sockets.calls.close)
    context.add_cleanup(port.close)


@when('{count:d} datagrams are sent to it')
def step_sent(context: Context, count: int) -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for number in range(count):
            sender.sendto(bytes((number,)), context.address)


@then('it handles the other {count:d} within {limit:d} seconds')
def step_handled(context: Context, count: int, limit: int) -> None:
    assert wait_until(lambda: len(context.handled) == count, limit)


@given('a watch of callers with a call whose check raises')
def step_watch(context: Context) -> None:
    context.watch = CallerWatch()
    context.watch.start()
    context.add_cleanup(context.watch.close)
    context.calls = contextlib.ExitStack()
    context.add_cleanup(context.calls.close)
    abandoned = errors.raising(bool, errors.first_calls(1000))
    context.calls.enter_context(
        context.watch.cancel_when_abandoned(abandoned, CallCancellation())
    )


@when('the caller of another call leaves')
def step_leaves(context: Context) -> None:
    context.cancellation = CallCancellation()
    context.calls.enter_context(
        context.watch.cancel_when_abandoned(lambda: True, context.cancellation)
    )


@then('that call is cancelled within {limit:d} seconds')
def step_cancelled(context: Context, limit: int) -> None:
    assert wait_until(lambda: context.cancellation.cancelled, limit)


@given('a log into a pipe')
def step_log(context: Context) -> None:
    # Stays open: the thread of the log may still use it.
    reading, writing = os.pipe()
    os.set_blocking(reading, False)
    context.reading = reading
    context.writer = LogWriter(writing, logging.Formatter('%(message)s'))


@when('a record that cannot be formatted is logged, and a sound one')
def step_records(context: Context) -> None:
    for text, values in (('%d', ('none',)), ('sound %s', ('record',))):
        context.writer.handle(
            logging.LogRecord(
                'test', logging.WARNING, __file__, 0, text, values, None
            )
        )


@then('both have a line')
def step_lines(context: Context) -> None:
    context.writer.flush()
    time.sleep(0.2)
    lines = os.read(context.reading, 1000).decode().split('\n')
    assert lines == [
        'event=log_record_unusable reason=TypeError',
        'sound record',
        '',
    ], lines


@given('a pool with a task that raises')
def step_pool(context: Context) -> None:
    context.log = build.RecordingLogger()
    task = errors.raising(step_pool, lambda: True)
    with (
        mock.patch(
            'guavadyke.guarded_threads.EventLogger', lambda: context.log
        ),
        ThreadPoolExecutor(1) as pool,
    ):
        submit_logged(pool, task)


@then('a line names the task and its error')
def step_task(context: Context) -> None:
    failed = context.log.named('task_failed')
    assert [one['task'] for one in failed] == ['step_pool'], failed
    assert 'UnexpectedError' in str(failed[0]['reason'])


@given('a task in the background that raises {count:d} times')
def step_background(context: Context, count: int) -> None:
    context.runs = []

    def task() -> None:
        context.runs.append(time.monotonic())
        if len(context.runs) <= count:
            raise errors.UnexpectedError(len(context.runs))

    context.task = BackgroundTask(task, 'some-task', build.RecordingLogger())


@when('it is started and waited for')
def step_waited(context: Context) -> None:
    context.task.start()
    context.task.wait(_WAIT_S)


@then('it was tried {count:d} times')
def step_tried(context: Context, count: int) -> None:
    assert len(context.runs) == count, context.runs
