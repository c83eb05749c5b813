"""Steps of path_polling.feature."""

import collections

from behave import given, then, when
from behave.runner import Context

from guavadyke.decisions.load_polling import PollScheduler, PollTargets

_STEP_S = 0.125


@given('a host that may poll {rate:d} servers a second and has polled {polled}')
def step_polling_host(context: Context, rate: int, polled: str) -> None:
    context.poll_scheduler = PollScheduler(rate, 0)
    context.has_polled_zone = polled == 'its zone'


@when(
    'it has {near:d} near and {far:d} far servers and uses {used:d} '
    'for {seconds:d} seconds',
)
def step_polls(
    context: Context,
    near: int,
    far: int,
    used: int,
    seconds: int,
) -> None:
    names = [f'near-{number}' for number in range(near)]
    far_names = [f'far-{number}' for number in range(far)]
    targets = PollTargets(names, far_names, names[:used])
    start = float(near) if context.has_polled_zone else _STEP_S
    for at in range(near if context.has_polled_zone else 0):
        context.poll_scheduler.servers_to_poll(targets, at)
    context.near_names = names
    context.used_names = names[:used]
    context.polls = collections.Counter(
        name
        for step in range(int(seconds / _STEP_S))
        for name in context.poll_scheduler.servers_to_poll(
            targets, start + step * _STEP_S
        )
    )


@then('it polled at most {count:d} times')
def step_at_most(context: Context, count: int) -> None:
    assert 0 < sum(context.polls.values()) <= count, context.polls.total()


@then('it polled each server it uses at least {count:d} times')
def step_each_used(context: Context, count: int) -> None:
    poll_counts = [context.polls[name] for name in context.used_names]
    assert min(poll_counts) >= count, poll_counts


@then('it polled every near server')
def step_every_near(context: Context) -> None:
    unpolled = [name for name in context.near_names if not context.polls[name]]
    assert not unpolled, unpolled
