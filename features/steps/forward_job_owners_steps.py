"""Steps of forward_job_owners.feature."""

from __future__ import annotations

from behave import given, then, when
from behave.runner import Context
from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test

from features import builders_job_owners as owners
from features.machines.job_owners import JobOwnersMachine

_OWNER = 'host-0'
_EXAMPLES = 60
_STEPS = 30


@given('{count:d} hosts, of which host-0 owns a job')
def step_hosts(context: Context, count: int) -> None:
    names = [f'host-{number}' for number in range(count)]
    context.fleet = owners.OwnerFleet(names)
    context.states = dict.fromkeys(names, 'alive')
    context.fleet.see(context.states)
    context.fleet.accept(_OWNER)
    context.first = owners.first_taker(names[1:])
    context.fleet.run(1)


@given('the host that takes it over first is cut off from the platform')
def step_cut(context: Context) -> None:
    context.fleet.hosts[context.first].cut_off()


@given('the host that takes it over first is stopping')
def step_stopping(context: Context) -> None:
    context.fleet.hosts[context.first].stopping = True


@given('the host that takes it over first does not know of the job')
def step_deaf(context: Context) -> None:
    context.fleet.hosts[context.first].go_deaf()


@given('the host that takes it over first takes host-0 for alive')
def step_sees_alive(context: Context) -> None:
    context.sees_alive = True


@when('host-0 is lost for {seconds:d} seconds')
def step_lost(context: Context, seconds: int) -> None:
    context.fleet.see({**context.states, _OWNER: 'dead'})
    if 'sees_alive' in context:
        context.fleet.hosts[context.first].see(context.states)
    context.gone = {_OWNER: 'dead'}
    context.fleet.run(seconds, lost=context.gone)


@when(
    'host-0 is lost, and host-1 claims its job before host-2, which has not '
    'learned of it'
)
def step_both_claim(context: Context) -> None:
    for name in ('host-1', 'host-2'):
        context.fleet.hosts[name].claim(owners.JOB, _OWNER)


@then('host-1 owns the job and host-2 knows it')
def step_first_keeps(context: Context) -> None:
    assert context.fleet.owners() == [_OWNER, 'host-1']
    known = context.fleet.hosts['host-2'].owner_of(owners.JOB)
    assert known == 'host-1', known
    context.fleet.catch_up()
    assert context.fleet.owners() == ['host-1']


@when('host-0 leaves and its write that passes the job on fails')
def step_not_passed_on(context: Context) -> None:
    leaving = context.fleet.hosts[_OWNER]
    leaving.cut_off()
    leaving.pass_on(owners.JOB, 'host-3')
    assert leaving.logger.named('job_write_failed')
    context.gone = {_OWNER: 'left'}


@when('host-0 passes the job on to host-3 and leaves, and host-3 is lost')
def step_passed_to_lost(context: Context) -> None:
    context.fleet.hosts[_OWNER].pass_on(owners.JOB, 'host-3')
    context.gone = {_OWNER: 'left', 'host-3': 'dead'}


@when(
    'the host that comes first is suspended for {seconds:d} seconds, just '
    'after host-0 has left to restart'
)
def step_suspended(context: Context, seconds: int) -> None:
    fleet = context.fleet
    fleet.see({**context.states, _OWNER: 'left'})
    fleet.run(0.5, lost={_OWNER})
    for name in set(fleet.hosts) - {context.first}:
        fleet.hosts[name].see(context.states)
    fleet.run(seconds, lost={context.first})
    # It decides before it has heard that the owner is back.
    fleet.run(0.5)
    context.gone = {}


@when('host-0 is back')
def step_back(context: Context) -> None:
    context.gone = {}


@then('one other host owns the job within {seconds:d} seconds')
def step_other_within(context: Context, seconds: int) -> None:
    context.fleet.see({**context.states, **context.gone})
    context.fleet.run(seconds, lost=context.gone)
    found = [
        name for name in context.fleet.owners() if name not in context.gone
    ]
    assert len(found) == 1, found
    assert found != [_OWNER]


@then('host-0 owns the job after {seconds:d} seconds')
def step_keeps(context: Context, seconds: int) -> None:
    context.fleet.see(context.states)
    context.fleet.run(seconds)
    assert context.fleet.owners() == [_OWNER]


@when('host-1 claims the job, and host-2 learns so while its own claim waits')
def step_claim_waits(context: Context) -> None:
    fleet = context.fleet
    fleet.hosts['host-1'].claim(owners.JOB, _OWNER)
    fleet.catch_up()
    before = fleet.platform.calls.total()
    fleet.hosts['host-2'].claim(owners.JOB, _OWNER)
    context.calls = fleet.platform.calls.total() - before


@then('host-1 owns the job and host-2 has called the platform {count:d} times')
def step_calls(context: Context, count: int) -> None:
    assert context.fleet.owners() == ['host-1']
    assert context.calls == count, context.calls


@when('host-1 and then host-2 take it over')
def step_twice(context: Context) -> None:
    hosts = context.fleet.hosts
    hosts['host-1'].claim(owners.JOB, _OWNER)
    context.fleet.catch_up()
    hosts['host-2'].claim(owners.JOB, 'host-1')


@when('host-2 learns of another job before its mirrors show its claim')
def step_other_job(context: Context) -> None:
    context.fleet.hosts['host-2'].learn_of_job('job-2')


@when(
    'host-1 takes it over, and host-2 from it before host-1 has recorded its '
    'claim'
)
def step_late_record(context: Context) -> None:
    first, second = (context.fleet.hosts[f'host-{n}'] for n in (1, 2))
    claimed = first.host.store.claim(owners.JOB, 'host-1', _OWNER)
    second.catch_up()
    second.claim(owners.JOB, 'host-1')
    first.catch_up()
    first.host.registry.progress_written(owners.JOB, claimed)


@when('host-1 claims the job and completes an item')
def step_claims_and_completes(context: Context) -> None:
    context.fleet.hosts['host-1'].claim(owners.JOB, _OWNER)
    context.fleet.hosts['host-1'].complete_item(owners.JOB)


@when(
    'host-1 claims the job and passes it on to host-2, which completes an item'
)
def step_claims_and_passes_on(context: Context) -> None:
    hosts = context.fleet.hosts
    hosts['host-1'].claim(owners.JOB, _OWNER)
    hosts['host-1'].complete_item(owners.JOB)
    hosts['host-1'].pass_on(owners.JOB, 'host-2')
    context.fleet.catch_up()
    hosts['host-2'].complete_item(owners.JOB)


@when('host-1 claims the job without an answer and completes an item')
def step_claims_late(context: Context) -> None:
    claiming = context.fleet.hosts['host-1']
    claiming.host.link.faults.delay_write_every = 1
    claiming.claim(owners.JOB, _OWNER)
    claiming.heal()
    context.fleet.platform.apply_late_writes()
    context.fleet.catch_up()
    claiming.complete_item(owners.JOB)


@when(
    'host-1 claims the job, and host-0 passes it on to host-3 before it learns '
    'so'
)
def step_passes_on_lost(context: Context) -> None:
    context.fleet.hosts['host-1'].claim(owners.JOB, _OWNER)
    context.fleet.hosts[_OWNER].pass_on(owners.JOB, 'host-3')
    context.fleet.catch_up()


@then('one host owns the job, which is {host_id}')
def step_one_owner_is(context: Context, host_id: str) -> None:
    assert context.fleet.owners() == [host_id], context.fleet.owners()


@when('host-0 passes the job on to host-1, which completes an item')
def step_passed_and_completes(context: Context) -> None:
    context.fleet.hosts[_OWNER].pass_on(owners.JOB, 'host-1')
    context.fleet.catch_up()
    context.fleet.hosts['host-1'].complete_item(owners.JOB)


@then('{host_id} lists {count:d} results after {seconds:d} seconds')
@then('{host_id} lists {count:d} result after {seconds:d} seconds')
def step_lists(
    context: Context, host_id: str, count: int, seconds: int
) -> None:
    host = context.fleet.hosts[host_id]
    listed = host.listed_at(owners.JOB, context.fleet.now + seconds)
    assert listed == count, listed


@then('{host_id} takes itself for the owner')
def step_takes_itself(context: Context, host_id: str) -> None:
    assert context.fleet.hosts[host_id].owns(owners.JOB)


@then('host-1 takes host-2 for the owner')
def step_takes_other(context: Context) -> None:
    known = context.fleet.hosts['host-1'].owner_of(owners.JOB)
    assert known == 'host-2', known


@then('one other host than the first owns the job')
def step_other_owns(context: Context) -> None:
    found = context.fleet.owners()
    assert len(found) == 1, found
    assert found[0] not in (_OWNER, context.first), found


@then('the host that comes first owns the job')
def step_first_owns(context: Context) -> None:
    assert context.fleet.owners() == [context.first]


@when(
    'host-1 starts anew, and learns of another host each second for '
    '{seconds:d} seconds'
)
def step_one_starts(context: Context, seconds: int) -> None:
    _learn_slowly(context, {'host-1'}, seconds)


@when(
    'all hosts start anew, and learn of another host each second for '
    '{seconds:d} seconds'
)
def step_all_start(context: Context, seconds: int) -> None:
    _learn_slowly(context, set(context.states), seconds)


@when(
    'all hosts but host-0 start anew, and learn of another host each second '
    'for {seconds:d} seconds'
)
def step_others_start(context: Context, seconds: int) -> None:
    context.states.pop(_OWNER)
    context.gone = {_OWNER: 'dead'}
    _learn_slowly(context, set(context.states), seconds)


@when('all hosts but host-0 start anew and know each other')
def step_others_know(context: Context) -> None:
    context.gone = {}
    context.states.pop(_OWNER)
    for host in context.fleet.hosts.values():
        host.see(context.states, context.fleet.now)


def _learn_slowly(context: Context, starting: set[str], seconds: int) -> None:
    """Let hosts learn of the others, host-0 last, one after another."""
    others = sorted(context.states, reverse=True)
    lost = set(context.fleet.hosts) - set(context.states)
    for second in range(seconds):
        known = dict.fromkeys(others[: second + 1], 'alive')
        for name in starting:
            context.fleet.hosts[name].see(known, context.fleet.now)
        context.fleet.run(1, lost)


@then('the job has been taken over 0 times')
def step_never(context: Context) -> None:
    taken = [
        event
        for host in context.fleet.hosts.values()
        for event in host.logger.named('job_taken_over')
    ]
    assert not taken, taken


@then('the job has been taken over once')
def step_once(context: Context) -> None:
    taken = [
        event
        for host in context.fleet.hosts.values()
        for event in host.logger.named('job_taken_over')
    ]
    assert len(taken) == 1, taken


@when('hosts own jobs in any sequence of views and faults')
def step_any_sequence(context: Context) -> None:
    run_state_machine_as_test(
        JobOwnersMachine,
        settings=settings(
            max_examples=_EXAMPLES,
            stateful_step_count=_STEPS,
            deadline=None,
            derandomize=True,
        ),
    )


@then('each open job has had one owner within 6.5 seconds of healing')
def step_one_owner(context: Context) -> None:
    """The machine checks it after each sequence."""
