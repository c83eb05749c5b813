"""Steps of outside_settled.feature."""

from __future__ import annotations

import functools
import threading
import time
import types
from collections.abc import Callable

from behave import given, then, when
from behave.runner import Context

from features import builders_outside as builders
from features.machines import outside_settled
from guavadyke.adapters.clock import SystemClock
from guavadyke.adapters.platform_rate_limit import RateLimitedStore
from guavadyke.errors import (
    GuavadykeError,
    ObjectConflictError,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
)
from guavadyke.standins.faults import PlatformFaults
from guavadyke.standins.platform import HostEntry, HostList

KIND = 'thing'
LONGEST_S = 10
LAG_S = 0.3
OUTCOMES = types.MappingProxyType({
    PlatformOutcomeUnknownError: 'unknown',
    PlatformUnavailableError: 'unavailable',
    ObjectConflictError: 'conflict',
})


def outcome_of(error: GuavadykeError) -> str:
    return OUTCOMES.get(type(error), repr(error))


@when('two writers go through every order of lost answers and races')
def step_machine(context: Context) -> None:
    context.calls = outside_settled.run()


@then('the platform always held what the writers were told')
def step_machine_ran(context: Context) -> None:
    assert context.calls > 1000, context.calls


@given("the platform's faults are {document}")
def step_faults(context: Context, document: str) -> None:
    context.platform.faults = PlatformFaults.model_validate_json(document)


@given('the platform is closed')
def step_closed(context: Context) -> None:
    context.platform.close()


@when('the platform object "{name}" is written')
def step_write(context: Context, name: str) -> None:
    try:
        context.store.create(KIND, name, b'body')
    except GuavadykeError as error:
        context.outcome = outcome_of(error)
    else:
        context.outcome = 'written'


@then('the write ends as {outcome} and the object is {state}')
def step_outcome(context: Context, outcome: str, state: str) -> None:
    assert context.outcome == outcome, context.outcome
    context.platform.faults = PlatformFaults()
    wanted = state == 'present'
    until = time.monotonic() + LONGEST_S
    while (context.store.read(KIND, 'a') is not None) != wanted:
        assert time.monotonic() < until, f'the object is not {state}'
        time.sleep(0.01)


@then('the write ends as unavailable')
def step_unavailable(context: Context) -> None:
    assert context.outcome == 'unavailable', context.outcome


@then('reading from the platform is unavailable')
def step_read_unavailable(context: Context) -> None:
    try:
        context.store.read(KIND, 'a')
    except GuavadykeError as error:
        assert outcome_of(error) == 'unavailable', error
    else:
        raise AssertionError('the read was answered')


@when("the platform's reads become stale by {seconds:g} seconds")
def step_stale(context: Context, seconds: float) -> None:
    context.platform.faults = PlatformFaults(stale_s=seconds)


@then('the object "{name}" is not seen yet')
def step_not_seen(context: Context, name: str) -> None:
    assert context.store.read(KIND, name) is None
    assert context.store.list_objects(KIND).objects == ()


@then('a conditional write sees it')
def step_conditional(context: Context) -> None:
    step_write(context, 'a')
    assert context.outcome == 'conflict', context.outcome


@then('a platform watch over a change ends as {end}')
def step_watch(context: Context, end: str) -> None:
    revision = context.store.list_objects(KIND).revision
    change = threading.Timer(0.1, context.store.create, (KIND, 'b', b'x'))
    change.start()
    try:
        answer = context.store.watch(KIND, revision, 0.5)
    except GuavadykeError as error:
        found = outcome_of(error)
    else:
        found = 'an event' if answer.events else 'no event'
    change.join()
    assert found == end, found


@when("a host is added to the platform's list")
def step_host(context: Context) -> None:
    host = HostEntry(
        host_id='entry-2',
        role='entry',
        zone='palmira',
        address='127.0.0.1:7102',
    )
    context.platform.hosts = HostList(hosts=(host,))
    context.added_at = time.monotonic()


@then('the host is seen only after the lag')
def step_host_seen(context: Context) -> None:
    assert context.store.hosts() == ()
    hosts = ()
    while not hosts:
        assert time.monotonic() < context.added_at + LONGEST_S
        hosts = context.store.hosts()
    assert time.monotonic() >= context.added_at + LAG_S
    assert [host.host_id for host in hosts] == ['entry-2']
    assert hosts[0].address == '127.0.0.1:7102'
    assert not hosts[0].leaving


@then('the platform\'s history is {outcomes} of "{host_id}"')
def step_history(context: Context, outcomes: str, host_id: str) -> None:
    records = context.platform.history.records()
    found = ', '.join(f'{one["operation"]} {one["outcome"]}' for one in records)
    assert found == outcomes, found
    assert {one['host_id'] for one in records} == {host_id}
    assert all(one['ended'] >= one['started'] for one in records)


@given(
    '{hosts:d} hosts that share {reads:d} reads and {writes:d} writes a second,'
    ' without a burst',
)
def step_budget(
    context: Context,
    hosts: int,
    reads: int,
    writes: int,
) -> None:
    settings = builders.platform_settings(context.platform).model_copy(
        update={
            'fleet_reads_per_s': reads,
            'fleet_writes_per_s': writes,
            'burst_calls': 1,
        },
    )
    context.budgeted = RateLimitedStore(
        context.store,
        settings,
        SystemClock(),
        lambda: hosts,
    )


@when('{reads:d} bulk reads and {writes:d} bulk writes are made at once')
def step_calls(context: Context, reads: int, writes: int) -> None:
    context.refusals = []
    store = context.budgeted
    calls = [
        *(functools.partial(store.read, 'chunk', 'a') for _ in range(reads)),
        *(
            functools.partial(store.create, 'chunk', f'made-{number}', b'')
            for number in range(writes)
        ),
    ]
    threads = [
        threading.Thread(target=_call, args=(context, call)) for call in calls
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(LONGEST_S)


def _call(context: Context, call: Callable[[], object]) -> None:
    try:
        call()
    except GuavadykeError as error:
        context.refusals.append(outcome_of(error))


@then(
    '{reads:d} reads and {writes:d} write reached the platform'
    ' and the rest were refused',
)
def step_reached(context: Context, reads: int, writes: int) -> None:
    counts = context.platform.counts
    assert counts == {'read': reads, 'write': writes}, counts
    assert len(context.refusals) == 7 - reads - writes
    assert set(context.refusals) == {'unavailable'}
