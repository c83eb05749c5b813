"""Steps of forward_fleet_pulls.feature."""

from __future__ import annotations

from behave import given, then, when
from behave.runner import Context

from features.builders_fleet_pulls import PullingFleet


@given('{count:d} hosts, each of which knows {known:d} others')
def step_hosts(context: Context, count: int, known: int) -> None:
    context.fleet = PullingFleet(count, known)


@given('no host answers pulls')
def step_silent(context: Context) -> None:
    context.fleet.silent = True


@when('each host pulls until it is done')
def step_pull(context: Context) -> None:
    context.fleet.pull_all()


@then('each host knows {count:d} others')
def step_know(context: Context, count: int) -> None:
    known = {len(host.known) - 1 for host in context.fleet.hosts.values()}
    assert known == {count}, known


@then('no host has pulled more than {count:d} times')
def step_pulls(context: Context, count: int) -> None:
    most = max(host.pulls for host in context.fleet.hosts.values())
    assert most <= count, most
