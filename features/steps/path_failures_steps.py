"""Steps of path_failures.feature."""

from __future__ import annotations

import collections
import functools
import json
import time
import uuid
from typing import Any

from behave import given, step, then, when
from behave.runner import Context

from features.builders_processes import LEASE_S, ProcessFleet, wait_until
from features.caller_load import CallerLoad, chat_document, expected_answer
from guavadyke.errors import ErrorCode, GuavadykeError, RunStatus
from guavadyke.trial_catalogue import CHAT_ENTRY, SERVICE_ENTRY

_CALLERS = 4
_SUBMITTER = 'cali-sur-2'
_BATCH_TIMEOUT_S = 60.0
_RUN_BEFORE_S = 1.0
_END_STATES = frozenset(('completed', 'cancelled'))


@given('a fleet of processes with callers that ask all the time')
def step_fleet(context: Context) -> None:
    fleet = ProcessFleet()
    context.add_cleanup(fleet.close)
    fleet.start()
    context.process_fleet = fleet
    context.caller_load = CallerLoad(fleet, _CALLERS)
    context.add_cleanup(context.caller_load.end)
    context.caller_load.start()


@step(
    'a batch of {items:d} items of which {bad:d} are bad '
    'and {once:d} are not idempotent',
)
def step_batch(context: Context, items: int, bad: int, once: int) -> None:
    lines = [_line(number, bad, once) for number in range(items)]
    answer = context.process_fleet.caller(_SUBMITTER).expect(
        'POST',
        f'/v1/batches?entry={CHAT_ENTRY}',
        b'\n'.join(lines),
        {'Idempotency-Key': uuid.uuid4().hex},
    )
    context.job_id = answer.document()['id']
    context.custom_ids = [f'note-{number}' for number in range(items)]
    context.bad_ids = set(context.custom_ids[:bad])
    context.once_ids = set(context.custom_ids[bad : bad + once])


def _line(number: int, bad: int, once: int) -> bytes:
    body = chat_document(f'note-{number}')
    if number < bad:
        body['metadata'] = {'standin': 'reject'}
    return json.dumps({
        'custom_id': f'note-{number}',
        'body': body,
        'idempotent': not bad <= number < bad + once,
    }).encode()


@when('a host is killed and another freezes for longer than its lease')
def step_kill_and_freeze(context: Context) -> None:
    fleet = context.process_fleet
    time.sleep(_RUN_BEFORE_S)
    assert not _ended(context), 'the batch ended before the failure'
    fleet.processes.kill('cali-norte-1')
    fleet.processes.pause('cali-sur-1')
    time.sleep(LEASE_S + 1)
    fleet.processes.wake('cali-sur-1')


@when(
    'the platform loses {count:d} answers '
    'and then refuses calls for {seconds:d} seconds',
)
def step_platform(context: Context, count: int, seconds: int) -> None:
    fleet = context.process_fleet
    fleet.fault('platform', lost_answers_next=count)
    time.sleep(_RUN_BEFORE_S)
    fleet.fault('platform', outage='refuse')
    time.sleep(seconds)
    fleet.fault('platform')


@when('the killed host is started again')
def step_start_again(context: Context) -> None:
    context.process_fleet.start_host('cali-norte-1')


@when('every host is stopped as planned and started again in turn')
def step_rolling_restart(context: Context) -> None:
    fleet = context.process_fleet
    for host_id in fleet.hosts:
        assert fleet.processes.stop(host_id) == 0, host_id
        fleet.start_host(host_id)
        assert wait_until(
            functools.partial(fleet.ready, host_id), _BATCH_TIMEOUT_S
        )


@then('every item of the batch has one outcome, the same on every host')
def step_one_outcome(context: Context) -> None:
    fleet = context.process_fleet
    ended = wait_until(lambda: _ended(context), _BATCH_TIMEOUT_S)
    assert ended, _show(context)
    context.caller_load.end()
    readings = {host_id: _results(context, host_id) for host_id in fleet.hosts}
    first = next(iter(readings.values()))
    assert all(one == first for one in readings.values()), readings.keys()
    assert [one['custom_id'] for one in first] == context.custom_ids
    failed = {one['custom_id'] for one in first if one['outcome'] == 'failed'}
    assert failed == context.bad_ids, failed
    unknown = {one['custom_id'] for one in first if one['outcome'] == 'unknown'}
    assert unknown <= context.once_ids, unknown
    context.results = first


@then('each completed item has its own whole answer')
def step_own_answers(context: Context) -> None:
    completed = [
        one for one in context.results if one['outcome'] == 'completed'
    ]
    assert len(completed) >= len(context.custom_ids) - len(
        context.bad_ids | context.once_ids,
    )
    for item in completed:
        text = _text(item['response'])
        assert text == expected_answer(item['custom_id']), item


@then('no item that is not idempotent ran twice')
def step_items_once(context: Context) -> None:
    runs = _chat_runs(context)
    twice = {one for one in context.once_ids if runs[one] > 1}
    assert not twice, twice


@then('no item ended unknown')
def step_none_unknown(context: Context) -> None:
    unknown = [one for one in context.results if one['outcome'] == 'unknown']
    assert not unknown, unknown


@then('each caller got its own whole answer or a true error')
def step_callers(context: Context) -> None:
    told = context.caller_load.told
    runs = _chat_runs(context)
    whole = [one for one in told if one.run is None]
    assert whole, 'nobody was answered'
    for answered in whole:
        if answered.kind != 'reservation':
            expected = expected_answer(answered.asked)
            assert answered.answer == expected, answered
    refused = [
        one
        for one in told
        if one.run is RunStatus.not_run and one.kind != 'reservation'
    ]
    lies = [one for one in refused if runs[one.asked]]
    assert not lies, lies


@then('no reservation ran twice')
def step_reservations(context: Context) -> None:
    records = context.process_fleet.history('service')
    runs = collections.Counter(one['path'] for one in records if one['run'])
    assert runs, 'no reservation ran'
    assert max(runs.values()) == 1, runs.most_common(3)


@then('no caller got an error')
def step_no_error(context: Context) -> None:
    context.caller_load.end()
    told = context.caller_load.told
    assert told, 'nobody asked'
    failed = [one for one in told if one.run is not None]
    assert not failed, failed[:5]


def _show(context: Context) -> Any:
    client = context.process_fleet.caller(_SUBMITTER)
    return client.expect('GET', f'/v1/batches/{context.job_id}').document()


def _ended(context: Context) -> bool:
    """Return whether the job has ended; reads may fail for some time."""
    try:
        return _show(context)['state'] in _END_STATES
    except GuavadykeError as error:
        assert error.code is ErrorCode.platform_unavailable, error.message
    return False


def _results(context: Context, host_id: str) -> list[dict[str, Any]]:
    answer = context.process_fleet.caller(host_id).expect(
        'GET',
        f'/v1/batches/{context.job_id}/results',
    )
    return [json.loads(line) for line in answer.body.splitlines()]


def _text(response: Any) -> str:
    body = response.get('body', response)
    text: str = body['choices'][0]['message']['content']
    return text


def _chat_runs(context: Context) -> collections.Counter[str]:
    """Return how often the engines ran each prompt's last words."""
    fleet = context.process_fleet
    return collections.Counter(
        record['prompt'].partition(': ')[2]
        for engine in fleet.engines
        for record in fleet.history(engine)
        if record['operation'] == 'completion'
        and record['outcome'] not in {'refused', 'rejected'}
    )


@when('the hosts of "{zone}" no longer reach the platform')
def step_cut_zone(context: Context, zone: str) -> None:
    fleet = context.process_fleet
    cut = [host_id for host_id, at in fleet.hosts.items() if at.zone == zone]
    fleet.fault('platform', cut_hosts=cut)
    context.cut_host = cut[0]


@when(
    'the limit of "{entry}" is set to {limit:d} requests at a host of "{zone}"',
)
def step_set_limit(
    context: Context,
    entry: str,
    limit: int,
    zone: str,
) -> None:
    fleet = context.process_fleet
    host_id = next(
        name for name, ports in fleet.hosts.items() if ports.zone == zone
    )
    operator = fleet.operator(host_id)
    path = f'/operator/catalogue/{entry}'
    shown = operator.expect('GET', path)
    document = _entry_of(shown.document())
    document['limits'] = {**document['limits'], 'concurrency': limit}
    body = json.dumps(document).encode()
    operator.expect('PUT', path, body, {'If-Match': shown.headers['etag']})


@then('every host has the limit of {limit:d} in force')
def step_limit_in_force(context: Context, limit: int) -> None:
    fleet = context.process_fleet
    behind = {
        host_id
        for host_id in fleet.hosts
        if not wait_until(
            functools.partial(_has_limit, fleet, host_id, limit),
            _BATCH_TIMEOUT_S,
        )
    }
    assert not behind, behind


@then('a reservation at a host of "{zone}" runs once')
def step_reservation_in_zone(context: Context, zone: str) -> None:
    fleet = context.process_fleet
    assert fleet.hosts[context.cut_host].zone == zone
    path = f'/v1/services/{SERVICE_ENTRY}/cut-zone'
    headers = {'Idempotency-Key': 'cut-zone'}
    client = fleet.caller(context.cut_host)
    answers = [
        client.expect('POST', path, b'{}', headers).body for _ in range(2)
    ]
    assert answers[0] == answers[1], answers
    assert _service_runs(context, 'cut-zone') == 1


@when('the platform is away')
def step_platform_away(context: Context) -> None:
    context.process_fleet.fault('platform', outage='refuse')


@then('a batch job is refused as not run')
def step_batch_refused(context: Context) -> None:
    answer = context.process_fleet.caller(_SUBMITTER).call(
        'POST',
        f'/v1/batches?entry={CHAT_ENTRY}',
        _line(1, 0, 0),
    )
    error = answer.document()['error']
    assert error['code'] == 'platform_unavailable', error
    assert error['run'] == 'not_run', error


@then('a reservation is refused as not run and did not run')
def step_reservation_refused(context: Context) -> None:
    answer = context.process_fleet.caller(_SUBMITTER).call(
        'POST',
        f'/v1/services/{SERVICE_ENTRY}/away',
        b'{}',
        {'Idempotency-Key': 'away'},
    )
    assert answer.document()['error']['run'] == 'not_run', answer.body
    assert not _service_runs(context, 'away')


@then('no caller of a chat got an error')
def step_chats_answered(context: Context) -> None:
    time.sleep(_RUN_BEFORE_S)
    context.caller_load.end()
    chats = [
        one for one in context.caller_load.told if one.kind != 'reservation'
    ]
    assert chats, 'nobody asked for a chat'
    failed = [one for one in chats if one.run is not None]
    assert not failed, failed[:5]


def _entry_of(document: dict[str, Any]) -> dict[str, Any]:
    entry: dict[str, Any] = document.get('entry', document)
    return entry


def _has_limit(fleet: ProcessFleet, host_id: str, limit: int) -> bool:
    shown = fleet.operator(host_id).expect('GET', '/operator/catalogue/chat')
    limits = _entry_of(shown.document())['limits']
    return bool(limits['concurrency'] == limit)


def _service_runs(context: Context, name: str) -> int:
    return sum(
        record['path'].endswith(f'/{name}')
        for record in context.process_fleet.history('service')
    )
