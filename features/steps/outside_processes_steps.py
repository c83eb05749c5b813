"""Steps of outside_processes.feature."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import time

import urllib3
from behave import given, then, when
from behave.runner import Context

from features import builders_outside as builders
from guavadyke.standins.service import ServiceStandin

MAX_WAIT_S = 20


def _start(kind: str, *options: str) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, '-m', 'guavadyke', 'standin', kind, *options],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


def _kill(process: subprocess.Popen[str]) -> None:
    if process.poll() is None:
        process.kill()
    process.communicate(timeout=MAX_WAIT_S)


def _request(
    context: Context,
    method: str,
    path: str,
    document: object = None,
) -> urllib3.BaseHTTPResponse:
    return urllib3.request(
        method,
        f'http://{context.address}{path}',
        body=None if document is None else json.dumps(document).encode(),
        retries=False,
        timeout=MAX_WAIT_S,
    )


@given('a {kind} stand-in process')
def step_process(context: Context, kind: str) -> None:
    context.process = _start(kind)
    context.add_cleanup(_kill, context.process)
    line = context.process.stdout.readline()
    assert line.startswith('listening on 127.0.0.1:'), line
    context.address = line.split()[-1]


@then('its faults can be set and cleared by HTTP')
def step_faults(context: Context) -> None:
    put = _request(context, 'PUT', '/standin/faults', {'delay_s': 1})
    assert put.status == 200, put.data
    assert put.json()['delay_s'] == 1
    cleared = _request(context, 'PUT', '/standin/faults', {})
    assert cleared.json()['delay_s'] == 0


@then('invalid faults are rejected with their locations')
def step_invalid_faults(context: Context) -> None:
    invalid_faults = {'delay_s': -1, 'surprise': True}
    put = _request(context, 'PUT', '/standin/faults', invalid_faults)
    assert put.status == 400, put.status
    message = put.json()['error']['message']
    assert '$.delay_s' in message, message
    assert '$.surprise' in message, message


@then('its history counts the call to {path}')
def step_history(context: Context, path: str) -> None:
    document = {'model': 'any', 'prompt': 'size 8'}
    method = 'PUT' if path.startswith('/objects') else 'POST'
    assert _request(context, method, path, document).status == 200
    history = _request(context, 'GET', '/standin/history').json()
    assert history['dropped'] == 0
    assert [record['sequence'] for record in history['records']] == [1]
    assert history['records'][0]['outcome'] in {'200', 'completed'}
    later = _request(context, 'GET', '/standin/history?after=1').json()
    assert later['records'] == []


@when('the stand-in process gets SIGTERM')
def step_term(context: Context) -> None:
    context.process.send_signal(signal.SIGTERM)


@then('the stand-in process exits with code {status:d}')
def step_ended(context: Context, status: int) -> None:
    assert context.process.wait(MAX_WAIT_S) == status


@when('another stand-in process is started on its port')
def step_port_in_use(context: Context) -> None:
    port = context.address.rpartition(':')[2]
    context.other = _start('service', '--port', port)
    context.add_cleanup(_kill, context.other)


@then('it exits with code {status:d} and reports "{text}"')
def step_ends_with_message(context: Context, status: int, text: str) -> None:
    _out, errors = context.other.communicate(timeout=MAX_WAIT_S)
    assert context.other.returncode == status, errors
    assert text in errors, errors


@given('two service stand-ins that were called once')
def step_two_services(context: Context) -> None:
    context.services = [ServiceStandin(ip=builders.LOOPBACK) for _ in range(2)]
    for service in context.services:
        service.start()
        context.add_cleanup(service.close)
        _call_service(context, service)


def _call_service(context: Context, service: ServiceStandin) -> None:
    call = builders.backend_call(service.address, b'{}', path='/sizes')
    body = b''.join(context.servers.send(call).chunks())
    assert json.loads(body)['path'] == '/sizes'


@when('the idle time has passed and the first service is called again')
def step_called_after_idle(context: Context) -> None:
    assert context.services[1].connections == 1
    time.sleep(context.idle_s * 2)
    _call_service(context, context.services[0])


@then('no connection to the second service is left')
def step_connection_closed(context: Context) -> None:
    until = time.monotonic() + MAX_WAIT_S
    while context.services[1].connections:
        assert time.monotonic() < until, 'a connection is still open'
        time.sleep(0.01)
