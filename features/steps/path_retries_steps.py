"""Steps of path_retries.feature."""

import collections
import random

from behave import given, then, when
from behave.runner import Context

from features import builders
from guavadyke.controllers.assignment import RendezvousAssignment
from guavadyke.decisions.health import ServerHealth
from guavadyke.decisions.retries import RetryBudget
from guavadyke.decisions.routing import Router, ServerView
from guavadyke.settings import EntrySettings
from guavadyke.snapshots import FleetSnapshot, PeerView, SnapshotCell

_SLOTS = 8
_FAILED_AT_S = 10.0
_QUIET_INTERVAL_S = 0.05
_REQUESTS_PER_S = 100


@given('a reachable server at which three requests failed')
def step_failing(context: Context) -> None:
    context.health = ServerHealth(random.Random(1))
    for _ in range(3):
        context.health.failed(_FAILED_AT_S, unreachable=False)


@given('a server that one request could not reach')
def step_unreachable(context: Context) -> None:
    context.health = ServerHealth(random.Random(1))
    context.health.failed(_FAILED_AT_S, unreachable=True)
    assert not context.health.usable_slots(_SLOTS, _FAILED_AT_S)


@when('it reports its load')
def step_report(context: Context) -> None:
    context.health.reported(_FAILED_AT_S)


@then('it gets no requests yet')
def step_no_request(context: Context) -> None:
    assert not context.health.usable_slots(_SLOTS, _FAILED_AT_S)


@then('it gets requests again')
def step_requests(context: Context) -> None:
    assert context.health.usable_slots(_SLOTS, _FAILED_AT_S) > 0


@given('a retry budget of {ratio:f} after {quiet:d} requests without a fault')
def step_budget(context: Context, ratio: float, quiet: int) -> None:
    context.budget = RetryBudget(ratio)
    context.budget_now = quiet * _QUIET_INTERVAL_S
    for number in range(quiet):
        context.budget.note_request((number + 1) * _QUIET_INTERVAL_S)


@when('half of {count:d} requests fail at {rate:d} a second')
def step_half_fail(context: Context, count: int, rate: int) -> None:
    context.attempts = _attempts(context, count, 1 / rate, 2)


@when('all of {count:d} requests fail at one in {interval_s:d} seconds')
def step_all_fail(context: Context, count: int, interval_s: int) -> None:
    context.attempts = _attempts(context, count, interval_s, 1)


@then('there are at most {count:d} attempts')
def step_at_most_attempts(context: Context, count: int) -> None:
    assert context.attempts <= count, context.attempts


@then('there are {count:d} attempts')
def step_attempts(context: Context, count: int) -> None:
    assert context.attempts == count, context.attempts


@given('a host that sees {count:d} live peers in its zone')
def step_assigned_host(context: Context, count: int) -> None:
    settings = EntrySettings.model_validate(builders.entry_settings_document())
    context.peer_cell = SnapshotCell(FleetSnapshot(peers=_peers(count)))
    context.assignment = RendezvousAssignment(settings, context.peer_cell)


@when('it checks {keys:d} keys, loses {lost:d} of the peers and checks again')
def step_check_twice(context: Context, keys: int, lost: int) -> None:
    names = [f'key-{number}' for number in range(keys)]
    is_assigned = context.assignment.is_assigned
    context.keys_before = {name for name in names if is_assigned(name)}
    remaining = len(context.peer_cell.current.peers) - lost
    context.peer_cell.publish(FleetSnapshot(peers=_peers(remaining)))
    context.keys_after = {name for name in names if is_assigned(name)}


@then('it is still assigned every key that it had, and more')
def step_keeps_keys(context: Context) -> None:
    assert context.keys_before, 'no key was assigned before'
    assert context.keys_before < context.keys_after, (
        len(context.keys_before),
        len(context.keys_after),
    )


def _attempts(
    context: Context,
    count: int,
    interval_s: float,
    fail_every: int,
) -> int:
    """Return the number of attempts when every n-th request fails once.

    Args:
        context: holds the retry budget and its time.
        count: number of requests.
        interval_s: seconds between requests.
        fail_every: n; 1 fails every request.
    """
    attempts = 0
    for number in range(count):
        context.budget_now += interval_s
        context.budget.note_request(context.budget_now)
        attempts += 1
        if number % fail_every == 0 and context.budget.try_spend():
            attempts += 1
    return attempts


def _peers(count: int) -> tuple[PeerView, ...]:
    return tuple(
        PeerView(
            host_id=f'peer-{number}',
            zone='cali-norte',
            region='default',
            address=f'127.0.0.1:{number + 1}',
            state='alive',
            incarnation=1,
            age_s=0,
        )
        for number in range(count)
    )


@given('a router with {near:d} engines in its zone and {far:d} in another')
def step_router(context: Context, near: int, far: int) -> None:
    context.router = Router('near', random.Random(1))
    context.views = [
        ServerView(
            server_id=f'{zone}-{number}',
            zone=zone,
            address='127.0.0.1:1',
            slots=_SLOTS,
            fair_slots=_SLOTS,
        )
        for zone, count in (('near', near), ('far', far))
        for number in range(count)
    ]


@when('the engines of its zone fail every request for {seconds:d} seconds')
def step_zone_fails(context: Context, seconds: int) -> None:
    context.requests_by_server = collections.Counter()
    for number in range(seconds * _REQUESTS_PER_S):
        now = _FAILED_AT_S + number / _REQUESTS_PER_S
        view = context.router.choose(context.views, b'%d' % number, now)
        health = context.router.server(view.server_id).health
        context.requests_by_server[view.server_id] += 1
        if view.zone == 'near':
            health.failed(now, unreachable=False)
        else:
            health.succeeded(now)


@then('at most {count:d} of 1000 requests went to the failing engines')
def step_few_failing_requests(context: Context, count: int) -> None:
    assert context.requests_by_server.total() == 1000
    assert _near_requests(context) <= count, context.requests_by_server


@then('every failing engine is probed again')
def step_probed(context: Context) -> None:
    near = [
        count
        for name, count in context.requests_by_server.items()
        if 'near' in name
    ]
    assert len(near) == 4, context.requests_by_server
    assert min(near) > 3, context.requests_by_server


def _near_requests(context: Context) -> int:
    return sum(
        count
        for name, count in context.requests_by_server.items()
        if 'near' in name
    )
