"""Steps of forward_handover.feature."""

from __future__ import annotations

import itertools
import re
import signal
import time
import types

from behave import given, then, when
from behave.runner import Context

from features import builders_forward as build
from features import builders_forward_processes as processes
from features import builders_handover as handover
from features.builders_forward_runner import RunnerBench
from features.builders_processes import wait_until
from guavadyke.decisions.forward_job_ownership import (
    choose_next_owner,
    choose_owner,
)
from guavadyke.decisions.forward_job_records import JobView
from guavadyke.decisions.partial_texts import JobTexts
from guavadyke.snapshots import FleetSnapshot, SnapshotCell

_WAIT_S = 20.0
_EVENTS = 5
_LONG_AGO_S = 60.0
_TOO_MANY = 100_000
_WHOLE = '\n'.join(f'word {number}' for number in range(1, _EVENTS + 1))
_RUN_ENDED = re.compile(r'event=item_run_ended .*item_id=(\S+) .*events=(\d+)')
_TEXTS = types.MappingProxyType({
    '3 events of the item': ('job-1', 'item-0', handover.text_of(3)),
    '3 events of an item of another job': (
        'job-2',
        'item-0',
        handover.text_of(3),
    ),
    '3 events of another item': ('job-1', 'item-9', handover.text_of(3)),
    '3 events of another software version': (
        'job-1',
        'item-0',
        handover.text_of(3, 'v2'),
    ),
    'more events of the item than are kept': (
        'job-1',
        'item-0',
        handover.text_of(_TOO_MANY),
    ),
})


@when('the host that works on the job gets a stop signal while its items run')
def step_stop_owner(context: Context) -> None:
    fleet = context.fleet
    pause_s = fleet.engines[0].script.pause_s

    def sent() -> list[object]:
        return list(
            itertools.chain.from_iterable(one.requests for one in fleet.engines)
        )

    assert wait_until(lambda: len(sent()) == 4, _WAIT_S)
    time.sleep(1.5 * pause_s)
    context.owner = next(
        one for one in fleet.daemons if 'event=job_taken ' in one.log
    )
    context.owner.process.send_signal(signal.SIGTERM)


@then('another host lists all {count:d} results whole')
def step_listed_whole(context: Context, count: int) -> None:
    other = next(
        one for one in context.fleet.daemons if one is not context.owner
    )
    assert wait_until(
        lambda: len(processes.results(other)) == count, _WAIT_S
    ), other.log
    listed = processes.results(other)
    assert {one['Text'] for one in listed} == {_WHOLE}
    assert len({one['Id'] for one in listed}) == count


@then('the job was passed on within {seconds:g} second')
def step_passed_on(context: Context, seconds: float) -> None:
    times = {
        event: _logged_at(context.owner.log, event)
        for event in ('host_stopping', 'job_passed_on')
    }
    assert times['job_passed_on'] - times['host_stopping'] < seconds, times


@then('each item went on once, after the last event that its host had read')
def step_went_on(context: Context) -> None:
    runs = handover.runs_of(
        itertools.chain.from_iterable(
            one.requests for one in context.fleet.engines
        )
    )
    read = {
        item_id: int(events)
        for item_id, events in _RUN_ENDED.findall(context.owner.log)
    }
    assert min(read.values()) > 0, read
    went_on = {item_id: sorted(after) for item_id, after in runs.items()}
    assert went_on == {
        item_id: [0, events] for item_id, events in read.items()
    }, (went_on, read)


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


@given('3 hosts')
def step_hosts(context: Context) -> None:
    context.abilities = build.host_abilities(
        'host-0', SnapshotCell(FleetSnapshot())
    )


@when('host-0 is leaving')
def step_leaving(context: Context) -> None:
    context.abilities.leaving = True


@then('a new job that it accepts belongs to another host')
def step_new_job(context: Context) -> None:
    owners = {
        choose_owner(
            f'job-{number}',
            'host-0',
            ('host-1', 'host-2'),
            (),
            context.abilities.unable(),
        )
        for number in range(10)
    }
    assert owners == {'host-1', 'host-2'}, owners


@given('it has received {text}, too long ago')
def step_received_before(context: Context, text: str) -> None:
    job_id, item_id, partial = _TEXTS[text]
    context.bench.handover._received.add(
        JobTexts(job_id, {item_id: partial}), time.monotonic() - _LONG_AGO_S
    )


@given('it has received {text}')
@when('its host receives {text} while it runs')
def step_received(context: Context, text: str) -> None:
    bench: RunnerBench = context.bench
    job_id, item_id, partial = _TEXTS[text]
    if job_id in bench.host.registry.views():
        assert wait_until(lambda: bench.servers.calls, _WAIT_S)
    bench.handover.receive(JobTexts(job_id, {item_id: partial}))


@then('its run goes on after event {after:d}')
def step_resumed_after(context: Context, after: int) -> None:
    calls = context.bench.servers.calls
    assert [call.last_event_id for call in calls] == [after], calls


@given('a host that receives texts of items')
@given('a next owner that {fault}')
def step_receiver(context: Context, fault: str = '') -> None:
    context.receiver = handover.TextReceiver(fault)
    context.add_cleanup(context.receiver.close)


@when('{items:d} items with {events:d} events each are handed to it')
def step_handed(context: Context, items: int, events: int) -> None:
    context.texts = handover.texts_of_items(items, events)
    began_at = time.monotonic()
    context.receiver.sender.send('host-2', context.texts)
    context.took_s = time.monotonic() - began_at


@then('it has received both texts as they were sent')
def step_got(context: Context) -> None:
    assert context.receiver.requests == [context.texts]


@then(
    'the host goes on within {seconds:g} second and logs that they were not '
    'sent'
)
def step_not_sent(context: Context, seconds: float) -> None:
    assert context.took_s < seconds, context.took_s
    assert context.receiver.logger.named('item_texts_not_sent')
    assert not context.receiver.requests


def _logged_at(log: str, event: str) -> float:
    """Return when a host has logged an event first, in seconds of the day."""
    line = next(one for one in log.splitlines() if f'event={event} ' in one)
    hours, minutes, seconds = re.search(
        r'(\d+):(\d+):(\d+\.\d+)', line
    ).groups()
    return 3600 * int(hours) + 60 * int(minutes) + float(seconds)
