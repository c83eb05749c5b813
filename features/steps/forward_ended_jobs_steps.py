"""Steps of forward_ended_jobs.feature."""

from __future__ import annotations

import time

from behave import given, then, when
from behave.runner import Context

from features import builders_forward as build
from features.builders_batch_platform import MemoryPlatform, MemoryStore
from features.builders_ended_jobs import EndingHosts
from features.builders_forward_processes import DaemonProcess
from guavadyke.adapters.peer_datagram_codec import (
    PeerDatagram,
    decode_datagram,
    encode_datagram,
)
from guavadyke.adapters.ports import PeerNotice
from guavadyke.controllers.mirror import job_end_mirror
from guavadyke.decisions.forward_job_records import JobProgress
from guavadyke.decisions.object_versions import CatalogueMark
from guavadyke.forward_job_documents import PROGRESS_KIND
from guavadyke.forward_prompts import ForwardPrompts
from guavadyke.log import EventLogger
from guavadyke.snapshots import FleetSnapshot, SnapshotCell


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


@when('the jobs are ended at the {which} daemon')
def step_ended(context: Context, which: str) -> None:
    daemon = context.fleet.daemons[0 if which == 'first' else -1]
    context.ended_at = {
        job_id: _end(daemon, job_id) for job_id in context.job_ids
    }


@when('the second host hears of its end and then of an earlier write')
def step_late_write(context: Context) -> None:
    context.second.catch_up()
    context.second.registry.end_heard('job-1')
    context.second.registry.progress_written(
        'job-1', JobProgress(listed_tokens=1)
    )


@then('the second host sees it cancelled')
def step_seen_cancelled(context: Context) -> None:
    view = context.second.registry.view('job-1')
    assert view.progress == JobProgress(cancelled=True, listed_tokens=1), view


@given('two hosts of which the first ends a job of the second')
def step_ending_hosts(context: Context) -> None:
    context.hosts = EndingHosts()


@when('the job is ended twice')
def step_ended_twice(context: Context) -> None:
    context.hosts.first.job_api.cancel('job-1')
    context.hosts.first.job_api.cancel('job-1')


@then('the second host is told twice and the first never')
def step_told(context: Context) -> None:
    assert context.hosts.told == ['host-2', 'host-2'], context.hosts.told
    assert not context.hosts.second.registry.view('job-1').open


@then('a notice for an unknown job changes nothing')
def step_unknown(context: Context) -> None:
    before = context.hosts.second.registry.views()
    context.hosts.send('host-2', PeerNotice(ended_jobs=('other',)))
    assert context.hosts.second.registry.views() == before


@then('a notice of two ended jobs is decoded as it was')
def step_decoded(_context: Context) -> None:
    notice = PeerNotice(ended_jobs=('job-1', 'job-2'))
    sent = PeerDatagram(
        sender='host-1',
        incarnation=1,
        boot='boot',
        number=1,
        sent_ms=1,
        catalogue_mark=CatalogueMark(0, 0),
        platform_reachable=True,
        notice=notice,
    )
    assert decode_datagram(encode_datagram(sent)).notice == notice


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


@then('a watch for reports of prompts waits for {seconds:g} seconds')
def step_report_wait(context: Context, seconds: float) -> None:
    store = build.settled(MemoryStore(MemoryPlatform()))
    prompts = ForwardPrompts(
        context.settings,
        store,
        SnapshotCell(FleetSnapshot()),
        build.ManualClock(),
        EventLogger(),
    )
    found = prompts.mirror_settings.watch_wait_s
    assert found == seconds, found


def _end(daemon: DaemonProcess, job_id: str) -> float:
    """End a job; return when that was confirmed."""
    answer = daemon.call('DELETE', f'/api/lots/{job_id}')
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
