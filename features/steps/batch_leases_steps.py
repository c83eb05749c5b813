"""Steps of batch_leases.feature."""

import tempfile
from pathlib import Path

from behave import given, then, when
from behave.runner import Context

from features import builders_batch
from features.machines.batch_fleet import HOSTS, SimulatedFleet
from guavadyke.adapters.ports import ItemEnd

JOBS = f'/v1/batches?entry={builders_batch.ENTRY}'
LONGEST_STEPS = 400
ONE_TURN = 12


def _submit(
    context: Context,
    count: int,
    name: str,
    **more: object,
) -> None:
    lines = [
        builders_batch.item_line(f'job/{index}', **more)
        for index in range(count)
    ]
    status, document = context.simulated.call(
        name,
        'POST',
        JOBS,
        b'\n'.join(lines),
        'job',
    )
    assert status == 201, document
    context.count = count
    context.job = document['id']


def _document(context: Context, name: str) -> dict[str, object]:
    path = f'/v1/batches/{context.job}'
    status, document = context.simulated.call(name, 'GET', path)
    assert status == 200, document
    return dict(document)


def _outcomes(context: Context, name: str) -> dict[str, str]:
    host = context.simulated.hosts[name].host
    path = f'/v1/batches/{context.job}/results'
    lines = builders_batch.read_lines(host.call('GET', path)[1])
    return {str(line['custom_id']): str(line['outcome']) for line in lines}


def _run_until_ended(context: Context, name: str) -> None:
    for _ in range(LONGEST_STEPS):
        context.simulated.work_all(1)
        if _document(context, name)['state'] in {'completed', 'cancelled'}:
            return
    raise AssertionError(_document(context, name))


@given('a simulated batch fleet')
def step_fleet(context: Context) -> None:
    context.simulated = SimulatedFleet()


@given('a simulated batch fleet with a job of {count:d} items at "{name}"')
def step_fleet_job(context: Context, count: int, name: str) -> None:
    context.simulated = SimulatedFleet()
    for other in HOSTS:
        context.simulated.hosts[other].paused = other != name
    _submit(context, count, name)
    for _ in range(ONE_TURN):
        context.simulated.clock.now += 1
        context.simulated.work(name, ONE_TURN)
        if context.simulated.starts:
            break
    assert context.simulated.starts
    for simulated in context.simulated.hosts.values():
        simulated.paused = False


@when('watches of "{name}" fall silent')
def step_silent(context: Context, name: str) -> None:
    context.simulated.hosts[name].faults.cut_watches = True


@when('watches of "{name}" show no event')
def step_stale(context: Context, name: str) -> None:
    context.simulated.hosts[name].faults.stale_watches = True


@when('writes of "{name}" are cut off')
def step_cut_writes(context: Context, name: str) -> None:
    context.simulated.hosts[name].faults.cut_writes = True


@when('writes of "{name}" are mended')
def step_mend_writes(context: Context, name: str) -> None:
    context.simulated.hosts[name].faults.clear_faults()


@when('the simulated batch is cancelled at "{name}"')
def step_cancel(context: Context, name: str) -> None:
    path = f'/v1/batches/{context.job}/cancel'
    status, document = context.simulated.call(name, 'POST', path)
    assert status == 200, document
    context.cancel_answer = document


@when('{seconds:d} seconds pass for the batch fleet')
def step_time(context: Context, seconds: int) -> None:
    for _ in range(seconds):
        context.simulated.clock.now += 1
        context.simulated.work('entry-1', 0)


@then('"{name}" starts no batch item')
def step_no_start(context: Context, name: str) -> None:
    begun = len(context.simulated.starts)
    context.simulated.end_items(name, ItemEnd.completed, 4)
    context.simulated.work(name, ONE_TURN)
    assert len(context.simulated.starts) == begun


@then('"{name}" starts batch items again')
def step_starts(context: Context, name: str) -> None:
    begun = len(context.simulated.starts)
    for _ in range(ONE_TURN):
        context.simulated.clock.now += 1
        context.simulated.work(name, ONE_TURN)
    assert len(context.simulated.starts) > begun


@when('"{name}" is paused and its batch is completed by others')
def step_paused(context: Context, name: str) -> None:
    context.simulated.hosts[name].paused = True
    other = next(one for one in HOSTS if one != name)
    _run_until_ended(context, other)
    context.first = _outcomes(context, other)


@when('"{name}" wakes and its batch items end as failed')
def step_wakes(context: Context, name: str) -> None:
    simulated = context.simulated.hosts[name]
    simulated.paused = False
    assert simulated.running
    for task in simulated.running:
        item = task.held.items[task.step.open_item.index]
        context.simulated.poison.add(item.custom_id)
    for _ in range(4):
        context.simulated.end_items(name, ItemEnd.completed, 8)
        context.simulated.work(name, ONE_TURN)
        context.simulated.clock.now += 20


@then('each batch item was read once as completed')
def step_once(context: Context) -> None:
    assert set(context.first.values()) == {'completed'}
    assert len(context.first) == context.count
    for name in HOSTS:
        assert _outcomes(context, name) == context.first


@when('"{name}" is cut off between taking a batch chunk and its input')
def step_cut_between(context: Context, name: str) -> None:
    _submit(context, 5, name)
    simulated = context.simulated.hosts[name]
    for other in HOSTS:
        context.simulated.hosts[other].paused = other != name
    simulated.faults.cut_after_write_of = 'chunk'
    while not context.simulated.platform.of_kind('chunk'):
        context.simulated.clock.now += 1
        context.simulated.work(name, 0)
    assert not simulated.host.service._held_chunks.chunks
    simulated.faults.clear_faults()


@then('the simulated batch ends at "{name}" alone')
def step_ends_alone(context: Context, name: str) -> None:
    _run_until_ended(context, name)
    assert set(_outcomes(context, name).values()) == {'completed'}


@when('all items are done and the end is not recorded')
def step_done_unrecorded(context: Context) -> None:
    service = context.simulated.hosts['entry-1'].host.service
    for _ in range(ONE_TURN):
        context.simulated.end_items('entry-1', ItemEnd.completed, 8)
        if not service._held_chunks.chunks:
            break
        task = service._held_chunks.next_task()
        if task is not None:
            service._step_executor.perform(task)
    assert not service._held_chunks.chunks
    context.simulated.hosts['entry-1'].faults.cut_writes = True
    context.before = _document(context, 'entry-1')
    assert context.before['counts']['completed'] == context.count


@then('the simulated batch tells one story for good')
def step_one_story(context: Context) -> None:
    told = context.cancel_answer
    for name in HOSTS:
        assert _document(context, name)['state'] == told['state']
    assert told['state'] in {'completed', 'cancelled'}
    assert context.before['state'] in {'running', told['state']}
    for _ in range(ONE_TURN):
        context.simulated.work_all(2)
    assert _document(context, 'entry-3')['state'] == told['state']
    assert set(_outcomes(context, 'entry-3').values()) == {'completed'}


@when('every host that runs item "{item}" dies')
def step_poisonous(context: Context, item: str) -> None:
    context.deaths = 0
    for _ in range(LONGEST_STEPS):
        context.simulated.clock.now += 1
        for name in HOSTS:
            context.simulated.work(name, ONE_TURN)
            _die_or_end(context, name, item)
        state = _document(context, HOSTS[0])['state']
        if state == 'completed':
            return
    raise AssertionError(_document(context, HOSTS[0]))


def _die_or_end(context: Context, name: str, item: str) -> None:
    running = {
        task.held.items[task.step.open_item.index].custom_id
        for task in context.simulated.hosts[name].running
    }
    if item in running:
        context.deaths += 1
        context.simulated.replace(name)
    else:
        context.simulated.end_items(name, ItemEnd.completed, 8)


@then('item "{item}" failed and the other batch items completed')
def step_only_item(context: Context, item: str) -> None:
    outcomes = _outcomes(context, HOSTS[0])
    assert outcomes.pop(item) == 'failed'
    assert len(outcomes) == context.count - 1
    assert set(outcomes.values()) == {'completed'}
    assert context.deaths <= 5, context.deaths


@when('"{name}" dies with its batch items in flight')
def step_dies(context: Context, name: str) -> None:
    assert context.simulated.hosts[name].running
    context.simulated.replace(name)


@then('the simulated batch ends on the new hosts')
def step_ends(context: Context) -> None:
    began_at = context.simulated.clock.now
    _run_until_ended(context, HOSTS[0])
    assert set(_outcomes(context, HOSTS[0]).values()) == {'completed'}
    assert context.simulated.clock.now - began_at < 60


@when('the simulated batch ends and {seconds:d} seconds pass')
def step_ends_and_waits(context: Context, seconds: int) -> None:
    _run_until_ended(context, HOSTS[0])
    context.before = _document(context, HOSTS[0])
    context.first = _outcomes(context, HOSTS[0])
    for _ in range(seconds):
        context.simulated.work_all(1)


@then('the simulated batch is archived and read as before')
def step_archived(context: Context) -> None:
    assert not context.simulated.platform.of_kind('job')
    assert len(context.simulated.platform.of_kind('job-archive')) == 1
    for name in HOSTS:
        assert _document(context, name) == context.before
        assert _outcomes(context, name) == context.first


@then('resending the simulated batch gives the archived job')
def step_resend_archived(context: Context) -> None:
    job = context.job
    _submit(context, context.count, HOSTS[1])
    assert context.job == job
    assert not context.simulated.platform.of_kind('job')


@when('{days:d} days pass for the batch fleet')
def step_days(context: Context, days: int) -> None:
    context.simulated.clock.now += days * 86_400
    for _ in range(ONE_TURN):
        context.simulated.work_all(20)


@then('the platform holds no object of the simulated batch')
def step_no_objects(context: Context) -> None:
    kinds = {kind for kind, _name in context.simulated.platform.objects}
    assert not kinds - {'batch-lease'}, kinds


@when('"{name}" dies before it commits a batch of {count:d} items')
def step_dies_before_commit(context: Context, name: str, count: int) -> None:
    lines = [builders_batch.item_line(f'job/{index}') for index in range(count)]
    # Two reads, the pending job, one more read and two of three inputs.
    context.simulated.hosts[name].faults.cut_after = 6
    status, document = context.simulated.call(
        name,
        'POST',
        JOBS,
        b'\n'.join(lines),
        'job',
    )
    assert status == 503, document
    assert context.simulated.platform.of_kind('job')
    assert context.simulated.platform.of_kind('chunk-input')
    context.simulated.replace(name)


@then('nobody finds the simulated batch')
def step_nobody(context: Context) -> None:
    pending = context.simulated.platform.of_kind('job')[0]
    for name in HOSTS:
        path = f'/v1/batches/{pending.name}'
        assert context.simulated.call(name, 'GET', path)[0] == 404


@when('the simulated batch of {count:d} items is sent again to "{name}"')
def step_send_again(context: Context, count: int, name: str) -> None:
    _submit(context, count, name)


@given('a simulated batch fleet where "{name}" has a data folder')
def step_fleet_folder(context: Context, name: str) -> None:
    context.simulated = SimulatedFleet()
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = folder.name
    context.simulated.replace(name, context.folder)


def _start_alone(context: Context, name: str, steps: int) -> None:
    """Let only one host take a job of five non-idempotent items."""
    _submit(context, 5, name, idempotent=False)
    for other in HOSTS:
        context.simulated.hosts[other].paused = other != name
    while not context.simulated.platform.of_kind('chunk'):
        context.simulated.clock.now += 1
        context.simulated.work(name, 0)
    context.simulated.work(name, steps)


@when(
    'a batch of 5 non-idempotent items runs at "{name}" during an outage',
)
def step_outage(context: Context, name: str) -> None:
    _start_alone(context, name, 2)
    simulated = context.simulated.hosts[name]
    for _ in range(5):
        context.simulated.work(name, ONE_TURN)
        if len(context.simulated.starts) < 5:
            context.simulated.end_items(name, ItemEnd.completed, 1)
    assert len(context.simulated.starts) == 5
    simulated.faults.cut = True
    context.simulated.end_items(name, ItemEnd.completed, 8)
    context.simulated.work(name, ONE_TURN)
    assert list(Path(context.folder).rglob('*.json'))


@when('"{name}" restarts with its data folder and the platform is back')
def step_restart(context: Context, name: str) -> None:
    context.simulated.replace(name, context.folder)
    for other in HOSTS:
        context.simulated.hosts[other].paused = False


@when('"{name}" records starts of 5 non-idempotent items and hands over')
def step_record_and_release(context: Context, name: str) -> None:
    _start_alone(context, name, 1)
    assert not context.simulated.starts
    service = context.simulated.hosts[name].host.service
    service._job_scanner.stop()
    service._held_chunks.stop(preempt=False)
    context.simulated.work(name, ONE_TURN)
    assert not service._held_chunks.chunks
    for other in HOSTS:
        context.simulated.hosts[other].paused = other == name


@then('the simulated batch completed with each item run once')
def step_each_once(context: Context) -> None:
    _run_until_ended(context, HOSTS[1])
    assert set(_outcomes(context, HOSTS[1]).values()) == {'completed'}
    ran = sorted(start.custom_id for start in context.simulated.starts)
    assert ran == [f'job/{index}' for index in range(5)], ran
    if hasattr(context, 'folder'):
        assert not list(Path(context.folder).rglob('*.json'))
