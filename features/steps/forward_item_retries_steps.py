"""Steps of forward_item_retries.feature."""

from __future__ import annotations

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from features import builders_forward as build
from features import builders_item_retries as retries
from guavadyke.decisions.forward_job_items import JobItemTracker

_LONGEST_OFF_S = 2.0
_LONGEST_EJECTION_S = 15.0
_EXAMPLES = 200
_ITEM = 'item-0'
_quick = settings(max_examples=_EXAMPLES, deadline=None, derandomize=True)


@when('runs of an item end in any sequence')
def step_any_ends(_context: Context) -> None:
    _check_ends()


@then('it may start again 2 seconds after each end')
def step_may_start(_context: Context) -> None:
    """The check of each sequence has passed."""


@given('a job of one item')
def step_item(context: Context) -> None:
    context.work = JobItemTracker(build.job(items=1))
    context.work.drop_stored(())


@when('{count:d} runs of it are preempted')
def step_preempted(context: Context, count: int) -> None:
    for _ in range(count):
        context.work.started(_ITEM)
        context.work.preempted(_ITEM)


@then('it may start at once')
def step_at_once(context: Context) -> None:
    assert tuple(context.work.startable_items(0))


@when('2 servers fail, refuse and recover in any sequence at 3 hosts')
def step_any_failures(_context: Context) -> None:
    _check_failures()


@then('an item of each host starts within 15 seconds of the last failure')
def step_starts_after_failures(_context: Context) -> None:
    """The check of each sequence has passed."""


@given('a host whose items are preempted by online requests of another host')
def step_filled(context: Context) -> None:
    context.clock = build.ManualClock()
    context.pool = build.pool((build.server('s1'),), context.clock)
    lease = retries.lease_item(context.pool)
    assert lease is not None
    for _ in range(20):
        context.clock.now += 0.25
        retries.fill(context.pool, 's1')
    assert context.pool.items_to_preempt() == {'s1': 1}
    context.pool.release(lease)
    assert retries.lease_item(context.pool) is None


@when('the other host is lost with its requests')
def step_other_lost(context: Context) -> None:
    context.lost_at = context.clock.now


@then('an item starts within 2 seconds')
def step_starts(context: Context) -> None:
    waited_s = retries.wait_for_start(context.pool, context.clock)
    assert waited_s <= _LONGEST_OFF_S, waited_s


@_quick
@for_all(st.lists(st.tuples(st.sampled_from(retries.ENDS), st.floats(0, 5))))
def _check_ends(ends: list[tuple[str, float]]) -> None:
    work = JobItemTracker(build.job(items=1))
    work.drop_stored(())
    now = build.NOW
    for end, pause_s in ends:
        work.started(_ITEM)
        retries.end_run(work, end, now)
        assert tuple(work.startable_items(now + _LONGEST_OFF_S))
        now += pause_s


@_quick
@for_all(st.lists(retries.server_events, min_size=20, max_size=60))
def _check_failures(events: list[retries.ServerEvent]) -> None:
    fleet = retries.FailingFleet()
    for event in events:
        fleet.apply(event)
    waited_s = fleet.wait_for_items()
    assert waited_s <= _LONGEST_EJECTION_S, waited_s
