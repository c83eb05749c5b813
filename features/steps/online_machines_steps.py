"""Steps of online_machines.feature."""

import types

from absl import logging
from behave import then, when
from behave.runner import Context
from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test

from features.machines import online_limits
from features.machines.online_claims import ClaimMachine
from features.machines.online_slots import SlotMachine

_MACHINES = types.MappingProxyType({
    'limits': online_limits.LimitMachine,
    'slots': SlotMachine,
    'claims': ClaimMachine,
})
_LIMIT_CASES = types.MappingProxyType({
    'a smaller grant does not arrive': (
        online_limits.a_smaller_grant_does_not_arrive
    ),
    'requests outlive the grant that let them begin': (
        online_limits.requests_outlive_their_grant
    ),
    'a coordinator dies right after its last grant': (
        online_limits.a_coordinator_dies
    ),
})
_EXAMPLES = types.MappingProxyType({
    'limits': 300,
    'slots': 150,
    'claims': 150,
})
_SETTINGS = settings(
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    database=None,
)


@when('the online machine "{name}" is run over random events')
def step_run(context: Context, name: str) -> None:
    logging.set_verbosity(logging.ERROR)
    amount = settings(_SETTINGS, max_examples=_EXAMPLES[name])
    run_state_machine_as_test(_MACHINES[name], settings=amount)
    context.agreed = True


@when('hosts share a limit and {case}')
def step_case(context: Context, case: str) -> None:
    machine = online_limits.LimitMachine()
    machine.a_coordinator_begins()
    _LIMIT_CASES[case](machine)
    machine.never_above_the_limit()
    context.agreed = True


@then('its oracle agrees')
def step_agreed(context: Context) -> None:
    assert context.agreed
