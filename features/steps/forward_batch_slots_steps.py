"""Steps of forward_batch_slots.feature."""

from __future__ import annotations

from behave import given, then, when
from behave.runner import Context

from features import builders_batch_slots as slots
from features import builders_forward as build
from guavadyke.decisions.load_balancing import ANY_SERVER

_ME = 'me'
# Slots of a server that items may take.
_USABLE = slots.SLOTS - 1


@given(
    'a host with {waiting:d} waiting items after {count:d} host that tells of '
    '{told:d} and starts none'
)
@given(
    'a host with {waiting:d} waiting items after {count:d} hosts that tell of '
    '{told:d} and start none'
)
def step_after(context: Context, waiting: int, count: int, told: int) -> None:
    names = [f'first-{number}' for number in range(count)]
    host = slots.WaitingHost(_ME, waiting, (*names, _ME))
    context.hosts = [host]
    context.names = names

    def tell(now: float) -> None:
        for name in names:
            host.hear(name, {ANY_SERVER: told}, now)

    context.at_tick = tell


@given('{count:d} hosts with {waiting:d} waiting items, each after the other')
@given('{count:d} hosts with {waiting:d} waiting items, each after all others')
def step_each_after(context: Context, count: int, waiting: int) -> None:
    names = [f'host-{number}' for number in range(count)]
    context.hosts = [
        slots.WaitingHost(
            name, waiting, (*(one for one in names if one != name), name)
        )
        for name in names
    ]
    context.at_tick = float


@when('it looks for slots at {servers:d} servers for {seconds:d} seconds')
@when('they look for slots at {servers:d} servers for {seconds:d} seconds')
def step_look(context: Context, servers: int, seconds: int) -> None:
    context.most = slots.run_hosts(
        context.hosts, servers, seconds, context.at_tick
    )


@when(
    'it looks for slots for {seconds:d} seconds that the other takes within '
    '{taken_s:g} seconds'
)
def step_taken(context: Context, seconds: int, taken_s: float) -> None:
    host = context.hosts[0]
    period_s = taken_s + 2 * slots.TICK_S

    def use(now: float) -> None:
        context.at_tick(now)
        is_free = (now - build.NOW) % period_s < taken_s
        host.hear(context.names[0], {'s0': _USABLE - is_free}, now)

    slots.run_hosts(context.hosts, 1, seconds, use)


@then('it has started {count:d} items')
def step_started(context: Context, count: int) -> None:
    assert context.hosts[0].started == count, context.hosts[0].started


@then('it has started {count:d} items or more')
@then('each has started {count:d} items or more')
def step_started_more(context: Context, count: int) -> None:
    started = [host.started for host in context.hosts]
    assert min(started) >= count, started


@then('all {count:d} slots are used')
def step_used(context: Context, count: int) -> None:
    started = sum(host.started for host in context.hosts)
    assert started >= count, started


@then('no server has more than {count:d} items')
def step_most(context: Context, count: int) -> None:
    assert context.most <= count, context.most
