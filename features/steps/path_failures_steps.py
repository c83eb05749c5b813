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
_WAIT_TIMEOUT_S = 60.0
_TIME_UNDER_LOAD_S = 1.0
_END_STATES = frozenset(('completed', 'cancelled'))


@given('a fleet of processes under constant load from callers')
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
    lines = [_batch_line(number, bad, once) for number in range(items)]
    answer = context.process_fleet.caller(_SUBMITTER).expect(
        'POST',
        f'/v1/batches?entry={CHAT_ENTRY}',
        b'\n'.join(lines),
        {'Idempotency-Key': uuid.uuid4().hex},
    )
    context.job_id = answer.document()['id']
    context.custom_ids = [f'note-{number}' for number in range(items)]
    context.bad_ids = set(context.custom_ids[:bad])
    context.non_idempotent_ids = set(context.custom_ids[bad : bad + once])


def _batch_line(number: int, bad: int, once: int) -> bytes:
    body = chat_document(f'note-{number}')
    if number < bad:
        body['metadata'] = {'standin': 'reject'}
    return json.dumps({
        'custom_id': f'note-{number}',
        'body': body,
        'idempotent': not bad <= number < bad + once,
    }).encode()


@when('a host is killed and another is paused for longer than its lease')
def step_kill_and_pause(context: Context) -> None:
    fleet = context.process_fleet
    time.sleep(_TIME_UNDER_LOAD_S)
    assert not _job_ended(context), 'the batch ended before the failure'
    fleet.processes.kill('cali-norte-1')
    fleet.processes.pause('cali-sur-1')
    time.sleep(LEASE_S + 1)
    fleet.processes.resume('cali-sur-1')


@when(
    'the platform loses {count:d} answers '
    'and then rejects calls for {seconds:d} seconds',
)
def step_platform(context: Context, count: int, seconds: int) -> None:
    fleet = context.process_fleet
    fleet.set_faults('platform', lost_answers_next=count)
    time.sleep(_TIME_UNDER_LOAD_S)
    fleet.set_faults('platform', outage='refuse')
    time.sleep(seconds)
    fleet.set_faults('platform')


@when('the killed host is started again')
def step_start_again(context: Context) -> None:
    context.process_fleet.start_host('cali-norte-1')


@when('every host in turn is stopped gracefully and started again')
def step_rolling_restart(context: Context) -> None:
    fleet = context.process_fleet
    for host_id in fleet.hosts:
        assert fleet.processes.stop(host_id) == 0, host_id
        fleet.start_host(host_id)
        assert wait_until(
            functools.partial(fleet.ready, host_id), _WAIT_TIMEOUT_S
        )


@then('every item of the batch has one outcome, the same on every host')
def step_one_outcome(context: Context) -> None:
    fleet = context.process_fleet
    ended = wait_until(lambda: _job_ended(context), _WAIT_TIMEOUT_S)
    assert ended, _job_document(context)
    context.caller_load.end()
    results_by_host = {
        host_id: _job_results(context, host_id) for host_id in fleet.hosts
    }
    first = next(iter(results_by_host.values()))
    assert all(results == first for results in results_by_host.values()), (
        results_by_host.keys()
    )
    assert [item['custom_id'] for item in first] == context.custom_ids
    failed = {
        item['custom_id'] for item in first if item['outcome'] == 'failed'
    }
    assert failed == context.bad_ids, failed
    unknown = {
        item['custom_id'] for item in first if item['outcome'] == 'unknown'
    }
    assert unknown <= context.non_idempotent_ids, unknown
    context.results = first


@then('each completed item has its own whole answer')
def step_own_answers(context: Context) -> None:
    completed = [
        item for item in context.results if item['outcome'] == 'completed'
    ]
    assert len(completed) >= len(context.custom_ids) - len(
        context.bad_ids | context.non_idempotent_ids,
    )
    for item in completed:
        text = _answer_text(item['response'])
        assert text == expected_answer(item['custom_id']), item


@then('no item that is not idempotent ran twice')
def step_items_once(context: Context) -> None:
    runs = _chat_runs(context)
    twice = {
        custom_id
        for custom_id in context.non_idempotent_ids
        if runs[custom_id] > 1
    }
    assert not twice, twice


@then('no item has an unknown outcome')
def step_none_unknown(context: Context) -> None:
    unknown = [item for item in context.results if item['outcome'] == 'unknown']
    assert not unknown, unknown


@then('each caller got its own whole answer or a correct error')
def step_callers(context: Context) -> None:
    calls = context.caller_load.calls
    runs = _chat_runs(context)
    answered = [call for call in calls if call.run is None]
    assert answered, 'no call was answered'
    for reply in answered:
        if reply.kind != 'reservation':
            expected = expected_answer(reply.prompt)
            assert reply.answer == expected, reply
    rejected = [
        call
        for call in calls
        if call.run is RunStatus.not_run and call.kind != 'reservation'
    ]
    wrong = [call for call in rejected if runs[call.prompt]]
    assert not wrong, wrong


@then('no reservation ran twice')
def step_reservations(context: Context) -> None:
    records = context.process_fleet.history('service')
    runs = collections.Counter(
        record['path'] for record in records if record['run']
    )
    assert runs, 'no reservation ran'
    assert max(runs.values()) == 1, runs.most_common(3)


@then('no caller got an error')
def step_no_error(context: Context) -> None:
    context.caller_load.end()
    calls = context.caller_load.calls
    assert calls, 'no call was made'
    failed = [call for call in calls if call.run is not None]
    assert not failed, failed[:5]


def _job_document(context: Context) -> Any:
    client = context.process_fleet.caller(_SUBMITTER)
    return client.expect('GET', f'/v1/batches/{context.job_id}').document()


def _job_ended(context: Context) -> bool:
    """Return whether the job has ended.

    A read may fail with ``platform_unavailable`` during an outage.
    """
    try:
        return _job_document(context)['state'] in _END_STATES
    except GuavadykeError as error:
        assert error.code is ErrorCode.platform_unavailable, error.message
    return False


def _job_results(context: Context, host_id: str) -> list[dict[str, Any]]:
    answer = context.process_fleet.caller(host_id).expect(
        'GET',
        f'/v1/batches/{context.job_id}/results',
    )
    return [json.loads(line) for line in answer.body.splitlines()]


def _answer_text(response: Any) -> str:
    body = response.get('body', response)
    text: str = body['choices'][0]['message']['content']
    return text


def _chat_runs(context: Context) -> collections.Counter[str]:
    """Return how often the engines ran each prompt, without its prefix."""
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
    cut = [
        host_id for host_id, ports in fleet.hosts.items() if ports.zone == zone
    ]
    fleet.set_faults('platform', cut_hosts=cut)
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
            _WAIT_TIMEOUT_S,
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


@when('the platform rejects every call')
def step_platform_outage(context: Context) -> None:
    context.process_fleet.set_faults('platform', outage='refuse')


@then('a batch job is rejected as not run')
def step_batch_rejected(context: Context) -> None:
    answer = context.process_fleet.caller(_SUBMITTER).call(
        'POST',
        f'/v1/batches?entry={CHAT_ENTRY}',
        _batch_line(1, 0, 0),
    )
    error = answer.document()['error']
    assert error['code'] == 'platform_unavailable', error
    assert error['run'] == 'not_run', error


@then('a reservation is rejected as not run and did not run')
def step_reservation_rejected(context: Context) -> None:
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
    time.sleep(_TIME_UNDER_LOAD_S)
    context.caller_load.end()
    chats = [
        call for call in context.caller_load.calls if call.kind != 'reservation'
    ]
    assert chats, 'no chat was requested'
    failed = [call for call in chats if call.run is not None]
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
