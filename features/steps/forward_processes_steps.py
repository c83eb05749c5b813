"""Steps of forward_processes.feature."""

from __future__ import annotations

import os
import shutil
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when
from behave.runner import Context

from features import builders_forward_processes as processes
from features import builders_users_platform as users
from features.builders_processes import wait_until

_EVENTS = 5
_RESULTS_S = 15.0
_LEFT_S = 2.0
_SLOW_MODULE = """
import pathlib, time
folder = pathlib.Path(__file__).parent
(folder / 'begun').touch()
time.sleep(1)
(folder / 'goes_on').touch()
"""


@given("{daemons:d} daemon on the users' platform with {engines:d} engines")
@given("{daemons:d} daemons on the users' platform with {engines:d} engines")
def step_fleet(context: Context, daemons: int, engines: int) -> None:
    context.fleet = processes.UsersFleet()
    context.add_cleanup(context.fleet.close)
    context.fleet.start(daemons, engines)


@given('1 daemon whose log nobody reads with {engines:d} engines')
def step_unread_log(context: Context, engines: int) -> None:
    context.fleet = processes.UsersFleet()
    context.add_cleanup(context.fleet.close)
    context.fleet.start(0, engines)
    context.fleet.start_daemon(unread=True)
    assert wait_until(context.fleet.daemons[0].is_ready, processes.START_S)


@given("1 daemon on the users' platform without a configuration")
def step_no_configuration(context: Context) -> None:
    context.fleet = processes.UsersFleet()
    context.add_cleanup(context.fleet.close)
    context.fleet.add_engine()
    context.fleet.start_daemon()


@given('the engines take {seconds:g} seconds for a stream')
def step_slow(context: Context, seconds: float) -> None:
    for engine in context.fleet.engines:
        engine.script.pause_s = seconds / _EVENTS


@when('a stream is requested')
def step_stream(context: Context) -> None:
    context.answer = _request_stream(context)


@when('{count:d} streams are requested')
def step_streams(context: Context, count: int) -> None:
    for number in range(count):
        assert _request_stream(context, f'r-{number}').status == 200


@when('a stream is requested and the daemon gets a stop signal')
def step_stop(context: Context) -> None:
    context.answer = _request_stream(context, preload=False)
    context.fleet.daemons[0].process.send_signal(signal.SIGTERM)


@when('a stream is requested and its caller disconnects')
def step_leave(context: Context) -> None:
    answer = _request_stream(context, preload=False)
    answer.read(4)
    answer.connection.close()
    answer.close()


@when('a job of {items:d} items is submitted')
def step_submit(context: Context, items: int) -> None:
    context.fleet.submit(items)


@when('the host that works on the job is killed')
def step_kill(context: Context) -> None:
    engines = context.fleet.engines
    assert wait_until(lambda: any(one.requests for one in engines), _RESULTS_S)
    owners = [
        daemon
        for daemon in context.fleet.daemons
        if 'event=job_taken ' in daemon.log
    ]
    assert len(owners) == 1
    owners[0].process.send_signal(signal.SIGKILL)
    context.remaining = next(
        one for one in context.fleet.daemons if one is not owners[0]
    )


@when('the platform rejects the first host')
def step_platform_rejects(context: Context) -> None:
    first = context.fleet.daemons[0]
    # The host calls through its peers, so it has to list them first.
    assert wait_until(lambda: 'event=peer_changed' in first.log, _RESULTS_S)
    context.fleet.store.rejected_hosts = frozenset((first.name,))


@when('the first engine is marked as draining')
def step_leaving(context: Context) -> None:
    engine = context.fleet.engines[0]
    context.fleet.store.put(
        'servers',
        engine.name,
        users.engine_entry(engine.address, State='draining'),
    )
    daemon = context.fleet.daemons[0]
    assert wait_until(lambda: 'leaving=True' in daemon.log, _RESULTS_S)


@when('the configuration is written')
def step_configure(context: Context) -> None:
    context.fleet.configure()


@given('a daemon that is importing its modules')
def step_importing(context: Context) -> None:
    folder = Path(tempfile.mkdtemp())
    context.add_cleanup(shutil.rmtree, folder)
    context.goes_on = folder / 'goes_on'
    begun = folder / 'begun'
    # Takes the place of the library.
    (folder / 'click.py').write_text(_SLOW_MODULE, encoding='utf-8')
    context.process = subprocess.Popen(
        [sys.executable, '-m', 'guavadyke.platform', 'entry'],
        cwd=processes.ROOT,
        env={**os.environ, 'PYTHONPATH': str(folder)},
        stderr=subprocess.DEVNULL,
    )
    context.add_cleanup(context.process.wait)
    context.add_cleanup(context.process.kill)
    assert wait_until(begun.exists, processes.START_S)


@when('it gets a reload signal then')
def step_early_reload(context: Context) -> None:
    context.process.send_signal(signal.SIGHUP)


@then('it goes on to import them')
def step_goes_on(context: Context) -> None:
    assert wait_until(context.goes_on.exists, _RESULTS_S), context.process


@when('its settings file is made invalid and it gets a reload signal')
def step_reload(context: Context) -> None:
    daemon = context.fleet.daemons[0]
    invalid = users.settings_lines(Node='')
    daemon.settings_path.write_text(invalid, encoding='utf-8')
    daemon.process.send_signal(signal.SIGHUP)
    assert wait_until(
        lambda: 'event=settings_not_reloaded' in daemon.log,
        _RESULTS_S,
    )


@then('the stream is whole and signed by its engine')
def step_whole(context: Context) -> None:
    assert context.answer.status == 200
    words = [
        f'id: {number}\ndata: word {number}\n\n'
        for number in range(1, _EVENTS + 1)
    ]
    assert context.answer.data.decode() == ''.join(words)
    signature = context.answer.headers['Response-Signature']
    assert signature in {f'signed by {one.name}' for one in _engines(context)}


@then('the daemon exits by itself')
def step_ends(context: Context) -> None:
    daemon = context.fleet.daemons[0]
    assert not daemon.process.wait(processes.STOP_S), daemon.log


@then('the engine sees the call end')
def step_engine_left(context: Context) -> None:
    assert _engines(context)[0].caller_disconnected.wait(_LEFT_S)


@then('all {count:d} results can be read at stable positions')
def step_results(context: Context, count: int) -> None:
    daemon = context.fleet.daemons[0]
    assert wait_until(
        lambda: len(processes.results(daemon)) == count,
        _RESULTS_S,
    )
    whole = processes.results(daemon)
    assert processes.results(daemon, 2) == whole[2:]
    text = '\n'.join(f'word {number}' for number in range(1, _EVENTS + 1))
    assert {one['Text'] for one in whole} == {text}
    assert {one['State'] for one in whole} == {'completed'}
    body = daemon.call('GET', '/api/items/job-1?Id=item-0')
    assert body.data == b'text'


@then('the other host lists all {count:d} results once')
def step_taken_over(context: Context, count: int) -> None:
    assert wait_until(
        lambda: len(processes.results(context.remaining)) == count,
        2 * _RESULTS_S,
    ), context.remaining.log
    ids = [one['Id'] for one in processes.results(context.remaining)]
    assert len(set(ids)) == count


@then('the first engine has received none of them')
def step_none(context: Context) -> None:
    assert not _engines(context)[0].requests


@then('a request is answered 503 and the host is not ready')
def step_not_ready(context: Context) -> None:
    daemon = context.fleet.daemons[0]
    assert wait_until(lambda: 'event=host_started' in daemon.log, _RESULTS_S)
    answer = _request_stream(context)
    assert answer.status == 503
    assert float(answer.headers['Retry-After']) > 0
    assert not daemon.is_ready()


@then('the host is ready and a request is answered 200')
def step_ready(context: Context) -> None:
    context.fleet.wait_ready()
    assert _request_stream(context).status == 200


@then('a request is answered 200 and the log names the error')
def step_reloaded(context: Context) -> None:
    assert _request_stream(context).status == 200
    assert 'missing' in context.fleet.daemons[0].log


def _request_stream(
    context: Context,
    request_id: str = 'r-1',
    *,
    preload: bool = True,
) -> object:
    return context.fleet.daemons[0].call(
        'POST',
        f'{users.STREAM_PREFIX}1',
        body=b'text',
        headers={'Request-Id': request_id, 'Deadline-Ms': '5000'},
        preload=preload,
    )


def _engines(context: Context) -> list[users.UsersEngine]:
    return context.fleet.engines
