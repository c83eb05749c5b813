"""Steps of batch_history.feature."""

import json
import random
import time
from collections import Counter

from behave import given, then, when
from behave.runner import Context

from features import builders_batch
from guavadyke.adapters.platform import HttpPlatformStore
from guavadyke.settings import PlatformSettings
from guavadyke.standins.faults import PlatformFaults
from guavadyke.standins.platform import PlatformStandin

SEED = 11
HOSTS = 4
JOBS = 6
JOB_ITEMS = 150
ALWAYS_FAILING = frozenset(('job-1/17', 'job-4/99'))
ANSWER_LOSS = PlatformFaults(seed=SEED, lost_answers=0.1)


def _host(context: Context, name: str) -> builders_batch.BatchHost:
    settings = PlatformSettings(
        url=f'http://{context.standin.address}',
        call_timeout_s=1,
        watch_wait_s=1,
    )
    host = builders_batch.host_with_link(
        HttpPlatformStore(settings, name),
        builders_batch.HostPlan(
            name,
            history=context.history,
            script=context.scripts,
            delay_s=0.02,
            batch={'chunk_items': 25},
        ),
    )
    host.service.start()
    context.add_cleanup(host.service.close)
    return host


def _kill(host: builders_batch.BatchHost) -> None:
    """Stop all activity of a host, as if its process was killed."""
    host.runner.dead = True
    host.service._held_chunks.stop(preempt=True)
    host.service.close()


@given('four batch hosts on a platform stand-in that loses answers')
def step_hosts(context: Context) -> None:
    context.standin = PlatformStandin(ip='127.0.0.1', faults=ANSWER_LOSS)
    context.standin.start()
    context.add_cleanup(context.standin.close)
    context.history = builders_batch.RunHistory()
    context.scripts = builders_batch.Scripts(always_retry=set(ALWAYS_FAILING))
    context.hosts = {
        f'entry-{number}': _host(context, f'entry-{number}')
        for number in range(HOSTS)
    }


def _body(job: str) -> bytes:
    return b'\n'.join(
        builders_batch.item_line(f'{job}/{index}', idempotent=bool(index % 10))
        for index in range(JOB_ITEMS)
    )


def _submit(context: Context, name: str, job: str) -> None:
    status, answer = context.hosts[name].call(
        'POST',
        f'/v1/batches?entry={builders_batch.ENTRY}',
        _body(job),
        {'Idempotency-Key': job},
    )
    document = json.loads(answer)
    if status == 201:
        known = context.accepted.setdefault(job, document['id'])
        assert known == document['id']
    else:
        assert status in {409, 502, 503}, answer


@when(
    'batches are submitted and resent while hosts die and the platform is out',
)
def step_run(context: Context) -> None:
    rng = random.Random(SEED)
    names = sorted(context.hosts)
    context.accepted = {}
    for number in range(JOBS):
        job = f'job-{number}'
        for _ in range(2):
            _submit(context, rng.choice(names), job)
        _inject_fault(context, rng.choice(names), number)
    for number in range(JOBS):
        _submit(context, rng.choice(names), f'job-{number}')
    assert len(context.accepted) == JOBS
    path = f'/v1/batches/{context.accepted["job-2"]}/cancel'
    builders_batch.wait_for(
        lambda: context.hosts[names[0]].call('POST', path)[0] == 200,
    )


def _inject_fault(context: Context, name: str, number: int) -> None:
    if number % 2:
        _kill(context.hosts[name])
        context.hosts[name] = _host(context, name)
        return
    context.standin.faults = PlatformFaults(outage='refuse')
    time.sleep(0.4)
    context.standin.faults = ANSWER_LOSS


def _ended(context: Context, job_id: str) -> bool:
    host = context.hosts['entry-0']
    status, body = host.call('GET', f'/v1/batches/{job_id}')
    states = {'completed', 'cancelled'}
    return status == 200 and json.loads(body)['state'] in states


@then('every accepted batch item has one outcome that agrees with its runs')
def step_compare(context: Context) -> None:
    builders_batch.wait_for(
        lambda: all(
            _ended(context, job_id) for job_id in context.accepted.values()
        ),
        60,
    )
    runs = Counter(run.custom_id for run in context.history.runs)
    non_idempotent = [run for run in context.history.runs if not run.idempotent]
    repeated = [
        run.custom_id for run in non_idempotent if runs[run.custom_id] > 1
    ]
    assert not repeated, repeated
    for job, job_id in context.accepted.items():
        _compare(context, job, job_id, runs)


def _compare(
    context: Context,
    job: str,
    job_id: str,
    runs: Counter[str],
) -> None:
    path = f'/v1/batches/{job_id}/results'
    read = [
        context.hosts[name].call('GET', path)[1]
        for name in ('entry-1', 'entry-3')
    ]
    assert read[0] == read[1]
    lines = builders_batch.read_lines(read[0])
    expected = [f'{job}/{index}' for index in range(JOB_ITEMS)]
    assert [line['custom_id'] for line in lines] == expected
    for line in lines:
        custom_id = str(line['custom_id'])
        if line['outcome'] == 'completed':
            assert runs[custom_id] >= 1
            assert line['response'] == {'echo': custom_id}
        elif line['outcome'] == 'failed':
            assert custom_id in ALWAYS_FAILING, line
        elif line['outcome'] == 'cancelled':
            assert job == 'job-2', line
        else:
            assert line['outcome'] == 'unknown', line
            assert not int(custom_id.rpartition('/')[2]) % 10, line
