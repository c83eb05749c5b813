"""Steps of path_demo.feature."""

import collections
import contextlib
import functools
import json
import os
import socket
import subprocess
import sys
import tempfile
import types
from pathlib import Path

from behave import given, then, when
from behave.runner import Context

from features import builders
from features.builders_processes import wait_until
from guavadyke.adapters.platform import HttpPlatformStore
from guavadyke.adapters.platform_rate_limit import RateLimitedStore
from guavadyke.client import Client
from guavadyke.demo import run_demo
from guavadyke.embedded_fleet import free_port
from guavadyke.entry_host import EntryHost
from guavadyke.settings import EntrySettings, PlatformSettings
from guavadyke.standins.faults import PlatformFaults
from guavadyke.standins.platform import PlatformStandin

_START_TIMEOUT_S = 30
_SECRETS = types.MappingProxyType({
    'GUAVADYKE_OPERATOR_TOKEN': 'operator',
    'GUAVADYKE_FLEET_KEY': 'fleet',
})


@when('the demo runs against an embedded fleet')
def step_demo(context: Context) -> None:
    context.demo_steps = run_demo()


@then('every step of the demo holds')
def step_demo_holds(context: Context) -> None:
    rows = '\n'.join(map(str, context.demo_steps))
    assert context.demo_steps, 'no step ran'
    assert all(demo_step.holds for demo_step in context.demo_steps), f'\n{rows}'


@given('settings whose caller port is in use')
def step_port_in_use(context: Context) -> None:
    occupied = socket.socket()
    context.add_cleanup(occupied.close)
    occupied.bind(('127.0.0.1', 0))
    occupied.listen()
    port = occupied.getsockname()[1]
    document = builders.entry_settings_document()
    document['caller'] = {'listen': {'ip': '127.0.0.1', 'port': port}}
    context.document = document


@when('{count:d} free ports are chosen before one of them is used')
def step_ports(context: Context, count: int) -> None:
    context.ports = [free_port() for _ in range(count)]


@then('no port is chosen twice')
def step_ports_differ(context: Context) -> None:
    counts = collections.Counter(context.ports)
    assert max(counts.values()) == 1, counts.most_common(3)


@when('the daemon is started with them as a process')
def step_daemon(context: Context) -> None:
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        path = Path(folder) / 'settings.json'
        path.write_text(json.dumps(context.document), encoding='utf-8')
        context.ended = subprocess.run(
            [sys.executable, '-m', 'guavadyke', 'entry', '--settings', path],
            capture_output=True,
            check=False,
            env={**os.environ, **_SECRETS},
            text=True,
            timeout=_START_TIMEOUT_S,
        )


@then('it ends with exit code {code:d} and names "{named}"')
def step_ended(context: Context, code: int, named: str) -> None:
    assert context.ended.returncode == code, context.ended.stderr
    assert named in context.ended.stderr, context.ended.stderr


@given('a platform stand-in and calls that may take {timeout_s:f} seconds')
def step_short_calls(context: Context, timeout_s: float) -> None:
    platform = PlatformStandin(ip='127.0.0.1')
    platform.start()
    context.add_cleanup(platform.close)
    settings = PlatformSettings(
        url=f'http://{platform.address}',
        call_timeout_s=timeout_s,
    )
    context.short_timeout_store = HttpPlatformStore(settings)


@when('an object is watched for {wait_s:f} seconds without a change')
def step_watch(context: Context, wait_s: float) -> None:
    created = context.short_timeout_store.create('job', 'one', b'1')
    context.watched = context.short_timeout_store.watch(
        'job', created.version, wait_s
    )


@then('the watch ends without an event')
def step_watch_ended(context: Context) -> None:
    assert context.watched.events == ()
    assert not context.watched.expired


class _SleepDrivenClock:
    """A clock that advances only in ``sleep``."""

    def __init__(self, now: float = 0) -> None:
        self.now = now

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now

    def sleep(self, seconds: float) -> None:
        self.now += seconds


@given(
    '{hosts:d} entry hosts that share {rate:d} writes a second, '
    '{burst:d} of them at once',
)
def step_shared_budget(
    context: Context,
    hosts: int,
    rate: int,
    burst: int,
) -> None:
    platform = PlatformStandin(ip='127.0.0.1')
    platform.start()
    context.add_cleanup(platform.close)
    settings = PlatformSettings(
        url=f'http://{platform.address}',
        fleet_writes_per_s=rate,
        burst_calls=burst,
    )
    context.sleep_driven_clock = _SleepDrivenClock()
    context.rate_limited_store = RateLimitedStore(
        HttpPlatformStore(settings),
        settings,
        context.sleep_driven_clock,
        lambda: hosts,
    )


@when('one of them writes {count:d} objects')
def step_write_objects(context: Context, count: int) -> None:
    for number in range(count):
        context.rate_limited_store.create('chunk-input', f'job-{number}', b'1')


@when('it claims a key')
def step_claim_key(context: Context) -> None:
    context.rate_limited_store.create('claim', 'key', b'1')


@then('its writes took {seconds:d} seconds')
def step_writes_took(context: Context, seconds: int) -> None:
    assert round(context.sleep_driven_clock.now, 6) == seconds


@given('an entry host whose platform is unavailable from the start')
def step_host_without_platform(context: Context) -> None:
    platform = PlatformStandin(
        ip='127.0.0.1',
        faults=PlatformFaults(outage='refuse'),
    )
    platform.start()
    context.add_cleanup(platform.close)
    os.environ.update(_SECRETS)
    document = builders.entry_settings_document()
    document['platform'] = {'url': f'http://{platform.address}'}
    context.platform = platform
    context.entry_host = EntryHost(EntrySettings.model_validate(document))
    context.entry_host.start()
    context.add_cleanup(context.entry_host.close)


@then('it is live and not ready, with the code "{code}"')
def step_not_ready(context: Context, code: str) -> None:
    client = Client(context.entry_host.caller_url, '')
    assert client.expect('GET', '/health/live').document() == {'live': True}
    answer = client.call('GET', '/health/ready')
    assert answer.document()['error']['code'] == code, answer.body


@when('the platform becomes available with a catalogue object')
def step_platform_available(context: Context) -> None:
    url = f'http://{context.platform.address}'
    standin = Client(url, '')
    standin.expect('PUT', '/standin/faults', b'{}')
    operator = Client(
        context.entry_host.operator_url,
        _SECRETS['GUAVADYKE_OPERATOR_TOKEN'],
    )
    edited = functools.partial(
        operator.call,
        'PUT',
        '/operator/catalogue/policy',
        b'{"kind": "policy"}',
        {'If-None-Match': '*'},
    )
    assert wait_until(lambda: edited().status < 300, _START_TIMEOUT_S)


@then('it is ready')
def step_ready(context: Context) -> None:
    client = Client(context.entry_host.caller_url, '')
    assert wait_until(
        lambda: client.call('GET', '/health/ready').status == 200,
        _START_TIMEOUT_S,
    )
