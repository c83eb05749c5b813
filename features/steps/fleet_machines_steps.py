"""Steps of fleet_machines.feature."""

import types

from behave import step
from behave.runner import Context
from hypothesis import HealthCheck, settings
from hypothesis.stateful import run_state_machine_as_test

from features.machines import fleet_catalogue, fleet_membership, fleet_orders
from guavadyke.decisions.leaving_servers import (
    LeavingMark,
    LeavingRegistry,
    LeavingSource,
)
from guavadyke.decisions.order_lease import (
    OrderLease,
    OrderLeasePolicy,
    OrderObject,
)

_MACHINES = types.MappingProxyType({
    'MembershipMachine': (fleet_membership.MembershipMachine, 8, 12),
    'CatalogueMachine': (fleet_catalogue.CatalogueMachine, 80, 25),
    'OrderMachine': (fleet_orders.OrderMachine, 200, 30),
    'LeaseMachine': (fleet_orders.LeaseMachine, 300, 30),
    'LeavingMachine': (fleet_orders.LeavingMachine, 300, 30),
})


@step('the state machine "{name}" finds no counterexample')
def step_machine(context: Context, name: str) -> None:
    machine, examples, steps = _MACHINES[name]
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=steps,
            deadline=None,
            derandomize=True,
            database=None,
            suppress_health_check=list(HealthCheck),
        ),
    )


@step('an engine that ignores fencing tokens and two hosts')
def step_two_hosts(context: Context) -> None:
    policy = OrderLeasePolicy(lease_s=15, margin_s=5)
    context.first = OrderLease('first', policy, fenced=False)
    context.second = OrderLease('second', policy, fenced=False)


@step('the first host acquires the lease and is paused until the lease expires')
def step_first_paused(context: Context) -> None:
    context.first.observe(OrderObject(0, ''), now=0)
    assert context.first.may_acquire(now=0)
    context.first.acquired(version=1, asked_at=0)
    assert context.first.may_send(version=1, now=9)


@step('the second host waits until the lease expires and sends an order')
def step_takes_over(context: Context) -> None:
    context.second.observe(OrderObject(1, 'first'), now=1)
    context.second.observe(OrderObject(1, 'first'), now=15)
    assert not context.second.may_acquire(now=15)
    assert context.second.may_acquire(now=16)
    context.second.acquired(version=2, asked_at=16)
    assert context.second.may_send(version=2, now=17)


@step('the first host sends nothing when it resumes')
def step_first_sends_nothing(context: Context) -> None:
    assert not context.first.may_send(version=1, now=18)
    assert not context.first.may_send(version=1, now=10)


@step('a host that merged marks of a server leaving, staying, leaving again')
def step_marks(context: Context) -> None:
    context.registry = LeavingRegistry(lag_s=2)
    context.marks = [
        LeavingMark('engine-1', LeavingSource.report, version, leaving)
        for version, leaving in ((1, True), (2, False), (3, True))
    ]
    newer = context.registry.merge(context.marks, now=0)
    assert newer == context.marks


@step('the older marks arrive again')
def step_late_marks(context: Context) -> None:
    assert not context.registry.merge(context.marks[:2], now=9)
    fresh = LeavingRegistry(lag_s=2)
    fresh.merge(reversed(context.marks), now=9)
    assert fresh.leaving == context.registry.leaving


@step('the backend server is still leaving')
def step_still_leaving(context: Context) -> None:
    assert context.registry.leaving == {'engine-1'}
