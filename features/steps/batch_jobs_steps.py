"""Steps of batch_jobs.feature."""

import json
import time

from absl import logging
from behave import given, then, when
from behave.runner import Context
from hypothesis import HealthCheck, settings
from hypothesis.stateful import run_state_machine_as_test

from features import builders_batch
from features.builders_batch_platform import MemoryPlatform
from features.machines.batch_jobs import BatchMachine


def _start_hosts(context: Context, names: str, delay_s: float) -> None:
    context.platform = MemoryPlatform()
    context.history = builders_batch.RunHistory()
    context.scripts = builders_batch.Scripts()
    context.hosts = {
        name: builders_batch.batch_host(
            context.platform,
            builders_batch.HostPlan(
                name,
                history=context.history,
                script=context.scripts,
                delay_s=delay_s,
            ),
        )
        for name in names.split(', ')
    }
    for host in context.hosts.values():
        host.service.start()
        context.add_cleanup(host.service.close)


def _reachable_host(context: Context) -> builders_batch.BatchHost:
    return next(
        host for host in context.hosts.values() if not host.link.faults.cut
    )


def _document(context: Context) -> dict[str, object]:
    return _reachable_host(context).document(
        'GET', f'/v1/batches/{context.job}'
    )


def _results(
    host: builders_batch.BatchHost, job: str
) -> list[dict[str, object]]:
    status, body = host.call('GET', f'/v1/batches/{job}/results?after=0')
    assert status == 200, body
    return builders_batch.read_lines(body)


def _submit(context: Context, name: str, body: bytes) -> None:
    context.submitted = body
    context.answer = _post(context, name, body)
    document = json.loads(context.answer[1])
    context.job = document.get('id', '')


def _post(context: Context, name: str, body: bytes) -> tuple[int, bytes]:
    path = f'/v1/batches?entry={builders_batch.ENTRY}'
    headers = {'Idempotency-Key': 'key-1'}
    answer: tuple[int, bytes] = context.hosts[name].call(
        'POST',
        path,
        body,
        headers,
    )
    return answer


@given('batch hosts "{names}" on one platform')
def step_hosts(context: Context, names: str) -> None:
    _start_hosts(context, names, 0)


@given('batch hosts "{names}" on one platform, {delay_ms:d} ms an item')
def step_slow_hosts(context: Context, names: str, delay_ms: int) -> None:
    _start_hosts(context, names, delay_ms / 1000)


@given('every run of batch item "{item}" fails')
def step_always_fails(context: Context, item: str) -> None:
    context.scripts.always_retry.add(item)


@given('batch item "{item}" is rejected by its backend server')
def step_rejected(context: Context, item: str) -> None:
    context.scripts.rejected.add(item)


@given('batch item "{item}" is preempted {times:d} times')
def step_preempted(context: Context, item: str, times: int) -> None:
    context.scripts.preempted[item] = times


@given('batch item "{item}" is not run {times:d} times')
def step_not_run(context: Context, item: str, times: int) -> None:
    context.scripts.not_run[item] = times


@given('batch item "{item}" breaks off every run on its engine')
def step_breaks_off_engine(context: Context, item: str) -> None:
    context.scripts.engine_killers.add(item)


@when('an urgent batch of {count:d} items is submitted to "{name}"')
def step_submit_urgent(context: Context, count: int, name: str) -> None:
    body = builders_batch.submission(count)
    context.submitted = body
    path = f'/v1/batches?entry={builders_batch.ENTRY}&due=2020-01-01T00:00:00Z'
    status, answer = context.hosts[name].call('POST', path, body)
    assert status == 201, answer
    context.job = json.loads(answer)['id']


@then('only batch item "{item}" failed')
def step_only_failed(context: Context, item: str) -> None:
    lines = _results(_reachable_host(context), context.job)
    failed = [
        line['custom_id'] for line in lines if line['outcome'] == 'failed'
    ]
    assert failed == [item], failed
    completed = [line for line in lines if line['outcome'] == 'completed']
    assert len(completed) == len(lines) - 1


@when('a batch of {count:d} items is submitted to "{name}"')
def step_submit(context: Context, count: int, name: str) -> None:
    _submit(context, name, builders_batch.submission(count))


@when('a batch of {count:d} non-idempotent items is submitted to "{name}"')
def step_submit_once(context: Context, count: int, name: str) -> None:
    _submit(context, name, builders_batch.submission(count, idempotent=False))


@when('the same batch is submitted to "{name}"')
def step_resubmit(context: Context, name: str) -> None:
    context.first_answer = context.answer
    _submit(context, name, context.submitted)


@when('a batch with four bad lines is submitted to "{name}"')
def step_submit_bad(context: Context, name: str) -> None:
    lines = (
        builders_batch.item_line('a'),
        b'{"custom_id": "b"',
        builders_batch.item_line('c', surprise=1),
        builders_batch.item_line('d'),
        builders_batch.item_line('a'),
        b'{"custom_id": 5, "body": {}}',
    )
    _submit(context, name, b'\n'.join(lines))


@when('the batch has ended')
def step_ended(context: Context) -> None:
    builders_batch.wait_for(
        lambda: _document(context)['state'] in {'completed', 'cancelled'},
    )


@when('some batch items have completed')
def step_some_done(context: Context) -> None:
    builders_batch.wait_for(lambda: len(context.history.runs) > 60)


@when('some batch items have begun')
def step_some_begun(context: Context) -> None:
    builders_batch.wait_for(lambda: len(context.history.runs) > 20)


@when('the batch platform is cut off from "{name}"')
def step_cut(context: Context, name: str) -> None:
    context.hosts[name].link.faults.cut = True


@when('batch host "{name}" freezes and loses its link')
def step_freeze(context: Context, name: str) -> None:
    host = context.hosts[name]
    host.link.faults.cut = True
    host.runner.dead = True
    host.service.close()


@when('batch host "{name}" hands over')
def step_hand_over(context: Context, name: str) -> None:
    context.hosts[name].service.hand_over()


@when('the batch is cancelled at "{name}"')
def step_cancel(context: Context, name: str) -> None:
    status, body = context.hosts[name].call(
        'POST',
        f'/v1/batches/{context.job}/cancel',
    )
    assert status == 200, body
    context.cancelled_at = time.monotonic()


@then('every batch item completed exactly once in item order')
def step_all_once(context: Context) -> None:
    lines = _results(_reachable_host(context), context.job)
    sent = [
        json.loads(line)['custom_id'] for line in context.submitted.splitlines()
    ]
    assert [line['custom_id'] for line in lines] == sent
    assert {line['outcome'] for line in lines} == {'completed'}
    assert all(
        line['response'] == {'echo': line['custom_id']} for line in lines
    )


@then('every host reports the same batch')
def step_same_on_every_host(context: Context) -> None:
    read = [_results(host, context.job) for host in context.hosts.values()]
    assert all(lines == read[0] for lines in read)
    shown = [
        host.document('GET', f'/v1/batches/{context.job}')
        for host in context.hosts.values()
    ]
    assert all(document == shown[0] for document in shown)
    paged = context.hosts['entry-1'].call(
        'GET',
        f'/v1/batches/{context.job}/results?after=1000&limit=7',
    )
    assert builders_batch.read_lines(paged[1]) == read[0][1000:1007]


@then('both batch submissions returned the same job')
def step_one_job(context: Context) -> None:
    first = json.loads(context.first_answer[1])
    again = json.loads(context.answer[1])
    assert context.first_answer[0] == context.answer[0] == 201
    assert first['id'] == again['id']
    assert len(context.platform.of_kind('job')) == 1


@then('other batch content under the same key is refused with 409')
def step_conflict(context: Context) -> None:
    status, body = _post(context, 'entry-2', builders_batch.submission(31))
    assert status == 409, body
    assert json.loads(body)['error']['code'] == 'key_conflict'


@then('the batch findings name lines {numbers}')
def step_findings(context: Context, numbers: str) -> None:
    status, body = context.answer
    assert status == 400, body
    error = json.loads(body)['error']
    assert error['run'] == 'not_run'
    places = [finding['place'] for finding in error['findings']]
    assert places == [f'line {number}' for number in numbers.split(', ')], (
        places
    )


@then('the platform stores no object of a batch job')
def step_no_objects(context: Context) -> None:
    kinds = {kind for kind, _name in context.platform.objects}
    assert not kinds, kinds


@then('another owner finds neither the batch nor its results')
def step_other_owner(context: Context) -> None:
    host = _reachable_host(context)
    for path in ('', '/results', '/cancel'):
        method = 'POST' if path == '/cancel' else 'GET'
        status, body = host.call(
            method,
            f'/v1/batches/{context.job}{path}',
            owner='lammikko',
        )
        assert status == 404, body


@then('the batch submission was refused with 503 as not run')
def step_refused(context: Context) -> None:
    status, body = context.answer
    error = json.loads(body)['error']
    assert status == 503, body
    assert error['run'] == 'not_run'
    context.hosts['entry-1'].link.faults.cut = False
    assert not context.platform.of_kind('job')


@then('no further batch item starts')
def step_no_start(context: Context) -> None:
    begun = len(context.history.runs)
    time.sleep(0.5)
    assert len(context.history.runs) == begun


@then('the batch ended as cancelled with an outcome for each item')
def step_cancelled(context: Context) -> None:
    document = _document(context)
    assert document['state'] == 'cancelled'
    lines = _results(_reachable_host(context), context.job)
    assert len(lines) == 2000
    outcomes = {line['outcome'] for line in lines}
    assert outcomes <= {'completed', 'cancelled'}, outcomes
    assert 'cancelled' in outcomes
    counts = document['counts']
    assert isinstance(counts, dict)
    for outcome in outcomes:
        number = sum(line['outcome'] == outcome for line in lines)
        assert counts[outcome] == number


@then('batch item "{item}" failed after {runs:d} runs')
def step_failed(context: Context, item: str, runs: int) -> None:
    lines = _results(_reachable_host(context), context.job)
    line = next(line for line in lines if line['custom_id'] == item)
    assert line['outcome'] == 'failed', line
    assert line['error'], line
    assert len(context.history.runs_of(item)) == runs


@then('all other batch items completed')
def step_others_completed(context: Context) -> None:
    lines = _results(_reachable_host(context), context.job)
    assert len(lines) == 100
    failed = [line for line in lines if line['outcome'] != 'completed']
    assert len(failed) == 2, failed


@then('every batch item has the outcome "{outcome}"')
def step_outcome(context: Context, outcome: str) -> None:
    lines = _results(_reachable_host(context), context.job)
    assert len(lines) == len(context.submitted.splitlines())
    assert {line['outcome'] for line in lines} == {outcome}


@then('batch outcomes are "{first}" and "{second}"')
def step_outcomes(context: Context, first: str, second: str) -> None:
    lines = _results(_reachable_host(context), context.job)
    assert len(lines) == len(context.submitted.splitlines())
    outcomes = {line['outcome'] for line in lines}
    assert outcomes == {first, second}, outcomes


@then('every batch item ran at most once')
def step_at_most_once(context: Context) -> None:
    ran = [run.custom_id for run in context.history.runs]
    assert len(ran) == len(set(ran))


@then('batch host "{name}" holds no chunk')
def step_holds_none(context: Context, name: str) -> None:
    status = context.hosts[name].service.status()
    assert not status['chunks']
    assert not status['lease']


@when('the batch state machine runs')
def step_machine(context: Context) -> None:
    verbosity = logging.get_verbosity()
    logging.set_verbosity(logging.FATAL)
    try:
        run_state_machine_as_test(
            BatchMachine,
            settings=settings(
                max_examples=40,
                stateful_step_count=40,
                derandomize=True,
                deadline=None,
                database=None,
                suppress_health_check=list(HealthCheck),
            ),
        )
    finally:
        logging.set_verbosity(verbosity)
    context.machine_ran = True


@then('no batch guarantee was violated')
def step_no_guarantee_violated(context: Context) -> None:
    assert context.machine_ran
