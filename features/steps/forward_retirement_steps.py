"""Steps of forward_retirement.feature."""

from __future__ import annotations

from behave import given, then, when
from behave.runner import Context

from features import builders_forward as build
from guavadyke.adapters.ports import StoredObject
from guavadyke.controllers.retirement_controller import (
    RetirementController,
    RetirementParts,
    RetirementRequest,
)
from guavadyke.errors import PlatformUnavailableError
from guavadyke.log import EventLogger
from guavadyke.snapshots import FleetSnapshot, PeerView, SnapshotCell

_HOSTS = ('worker-1', 'worker-2', 'worker-3')
_STEPS = 8


@given('a host worker-1 among live hosts')
def step_host(context: Context) -> None:
    context.done = []
    context.refused = 0
    context.hosts = {name: _retirements(context, name) for name in _HOSTS}


@given(
    'a host worker-1 among live hosts, and {count:d} hosts that handle no '
    'requests'
)
def step_mixed(context: Context, count: int) -> None:
    context.done = []
    context.refused = 0
    others = tuple(f'front-{number}' for number in range(count))
    context.hosts = {
        name: _retirements(context, name, others) for name in _HOSTS
    }


@given('the platform fails the next {count:d} writes')
def step_refused(context: Context, count: int) -> None:
    context.refused = count


@when('{name} is asked to retire within {seconds:d} seconds')
def step_asked(context: Context, name: str, seconds: int) -> None:
    context.seconds = seconds
    stored = StoredObject('retirements', name, 3, str(seconds).encode())
    for controller in context.hosts.values():
        controller.put(stored)
    for _ in range(_STEPS):
        for controller in context.hosts.values():
            controller.step()


@then(
    'it hands over within {seconds:d} seconds and then {name} is '
    'completed once',
)
def step_handed_over(context: Context, seconds: int, name: str) -> None:
    assert context.done == [('worker-1', 'handed over', seconds), name]


@then('only worker-2 itself hands over and completes')
def step_itself(context: Context) -> None:
    assert context.done == [('worker-2', 'handed over', 4), 'worker-2']


@then('{name} is completed by one of the live hosts')
def step_completed(context: Context, name: str) -> None:
    assert context.done == [name]


@then('{name} is completed by one of the live hosts within {seconds:d} seconds')
def step_completed_within(context: Context, name: str, seconds: int) -> None:
    assert context.done == [name], context.done
    latest = max(done_at for done_at in context.done_at)
    assert latest - build.NOW <= seconds, latest


def _retirements(
    context: Context, host_id: str, others: tuple[str, ...] = ()
) -> RetirementController:
    clock = build.ManualClock()
    context.done_at = []
    peers = tuple(
        PeerView(name, build.ZONE, 'south', '10.0.0.1:1', 'alive', 1, 0)
        for name in (*_HOSTS, *others)
        if name != host_id
    )

    def complete(name: str) -> None:
        clock.sleep(1)
        if context.refused:
            context.refused -= 1
            raise PlatformUnavailableError('the platform is unreachable')
        context.done.append(name)
        context.done_at.append(clock.now)

    retirements = RetirementController(
        RetirementParts(
            host_id,
            lambda stored: RetirementRequest(stored.name, float(stored.body)),
            lambda longest_s: context.done.append(
                (host_id, 'handed over', longest_s),
            ),
            complete,
            context.done.__contains__,
            SnapshotCell(FleetSnapshot(peers)),
            clock,
            EventLogger(),
        ),
    )
    step = retirements.step

    def step_and_wait() -> None:
        step()
        clock.sleep(1)

    retirements.step = step_and_wait
    return retirements
