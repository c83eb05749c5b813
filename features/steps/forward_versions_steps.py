"""Steps of forward_versions.feature."""

from __future__ import annotations

import itertools
import re

from behave import given, then, when
from behave.runner import Context

from features import builders_forward_processes as processes
from features import builders_versions as build
from features.builders_processes import wait_until

_BEGUN_EVENTS = 3
_LISTED_S = 10.0
_RESULTS_S = 30.0
_PEER_EVENT = 'event=peer_changed'


@given('{daemons:d} daemon with engines of the versions "{versions}"')
@given('{daemons:d} daemons with engines of the versions "{versions}"')
def step_fleet(context: Context, daemons: int, versions: str) -> None:
    context.fleet = build.VersionFleet()
    context.add_cleanup(context.fleet.close)
    context.fleet.configure()
    for version in versions.split(','):
        context.fleet.start_engine(version)
    for _ in range(daemons):
        context.fleet.start_daemon()
    _wait_joined(context)


@when('the engines break new streams off after {count:d} events')
def step_break(context: Context, count: int) -> None:
    for engine in context.fleet.engines:
        engine.break_after = count


@when('{count:d} streams are read to their end')
def step_request(context: Context, count: int) -> None:
    for _ in range(count):
        context.fleet.request(context.fleet.daemons[0])


@when('{count:d} streams are begun at the first daemon')
def step_begin(context: Context, count: int) -> None:
    for _ in range(count):
        context.fleet.request(context.fleet.daemons[0], _BEGUN_EVENTS)


@when('their callers take them up at the other daemons')
def step_take_up(context: Context) -> None:
    others = itertools.cycle(context.fleet.daemons[1:])
    for stream, daemon in zip(context.fleet.streams, others, strict=False):
        context.fleet.take_up(daemon, stream)


@when('the first daemon is killed')
def step_kill_first(context: Context) -> None:
    context.fleet.kill(context.fleet.daemons[0])


@when('engines of the versions "{versions}" are added')
def step_add(context: Context, versions: str) -> None:
    added = [context.fleet.start_engine(one) for one in versions.split(',')]
    for daemon, engine in itertools.product(context.fleet.daemons, added):
        _wait_logged(daemon, f'backend_server={engine.name} ', 1)


@when('all daemons are killed at once and start again')
def step_kill_all(context: Context) -> None:
    context.fleet.kill(*context.fleet.daemons)
    for daemon in context.fleet.daemons:
        daemon.start()
    context.fleet.wait_ready()


@when(
    'all daemons are killed, the engines of "{version}" leave and the daemons '
    'start again'
)
def step_replace_all(context: Context, version: str) -> None:
    context.fleet.kill(*context.fleet.daemons)
    context.fleet.remove_engines(version)
    for daemon in context.fleet.daemons:
        daemon.start()
    context.fleet.wait_ready()


@when('a job of {items:d} items is run')
def step_job(context: Context, items: int) -> None:
    context.fleet.submit(items)


@then('no stream has events of two versions')
def step_unmixed(context: Context) -> None:
    mixed = [
        stream for stream in context.fleet.streams if len(stream.versions) > 1
    ]
    assert not mixed, (len(mixed), [stream.versions for stream in mixed])


@then('all streams are whole')
def step_whole(context: Context) -> None:
    broken = [one for one in context.fleet.streams if not one.is_whole]
    assert not broken, [(one.statuses, one.last_event) for one in broken]


@then('the texts of all {count:d} items are whole and of one version')
def step_texts(context: Context, count: int) -> None:
    daemon = context.fleet.daemons[0]
    assert wait_until(
        lambda: len(processes.results(daemon)) == count, _RESULTS_S
    ), len(processes.results(daemon))
    for listing in processes.results(daemon):
        found = re.findall(r'word (\d+) of (\S+)', listing['Text'])
        numbers = [int(number) for number, _version in found]
        assert numbers == list(range(1, build.EVENTS + 1)), listing
        assert len({version for _number, version in found}) == 1, listing


def _wait_joined(context: Context) -> None:
    context.fleet.wait_ready()
    others = len(context.fleet.daemons) - 1
    for daemon in context.fleet.daemons:
        _wait_logged(daemon, _PEER_EVENT, others)


def _wait_logged(
    daemon: processes.DaemonProcess, text: str, count: int
) -> None:
    assert wait_until(lambda: daemon.log.count(text) >= count, _LISTED_S), (
        daemon.log
    )
