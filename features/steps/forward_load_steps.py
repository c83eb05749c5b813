"""Steps of forward_load.feature."""

from __future__ import annotations

import collections
import dataclasses
import types

from behave import given, then, when
from behave.runner import Context

from features import builders_forward as build
from features.builders_forward_batch_load import BatchSimulation, SimulatedJob
from features.builders_forward_load import (
    UNBOUND_WAIT_S,
    Caller,
    Load,
    LoadSimulation,
    Step,
)
from guavadyke.adapters.ports import OnlineCount, PeerNotice
from guavadyke.decisions.load_shedding import longest_wait_s

_SEEDS = (1, 2, 3)
_PEAK_S = 2.8
_TROUGH_S = 3.8
_TENTHS = 10
_JOBS_LENGTH_S = 60


def _peaks(trough_s: float) -> tuple[Step, ...]:
    """Return four troughs of 0.377 times capacity, each with a peak.

    A peak of 1.84 times capacity lasts 2.8 s.
    """
    period_s = trough_s + _PEAK_S
    return tuple(
        step
        for number in range(4)
        for step in (
            (number * period_s, 0.377),
            (number * period_s + trough_s, 1.84),
        )
    )


_LOADS = types.MappingProxyType({
    '0.5 of capacity': Load(((0, 0.5),), 20),
    '0.9 of capacity': Load(((0, 0.9),), 20),
    '1.2 times capacity': Load(((0, 1.2),), 20),
    '2 times capacity': Load(((0, 2),), 20),
    'peaks of 1.84 times capacity': Load(_peaks(_TROUGH_S), 26),
    'peaks in close succession': Load(_peaks(1.5), 17),
    'a burst of 3 times capacity': Load(((0, 0.5), (5, 3), (8, 0.5)), 15),
    'a wave at the start': Load(((0, 8), (0.6, 0.8)), 8),
    'two of five servers lost': Load(((0, 0.8),), 20, lost=2),
})


def _simulate(load: Load, *, objective: bool) -> list[Caller]:
    """Simulate a load with each seed; return the callers of all."""
    route = build.route()
    if not objective:
        route = dataclasses.replace(route, target_latency_s=0)
    return [
        caller
        for seed in _SEEDS
        for caller in LoadSimulation(
            dataclasses.replace(load, seed=seed), route
        ).run()
    ]


@given('a load of {load} on 5 servers behind 10 hosts')
def step_load(context: Context, load: str) -> None:
    context.load = _LOADS[load]


@given(
    'a host with {count:d} requests that have queued for {seconds:g} seconds '
    'at a full server',
)
def step_queued(context: Context, count: int, seconds: float) -> None:
    clock = build.ManualClock()
    server = build.server('s1')
    context.pool = build.pool((server,), clock)
    counts = (OnlineCount(server.server_id, server.slots, 0),)
    context.pool.record_notice('host-2', PeerNotice(counts=counts))
    for number in range(count):
        context.pool.acquire_online(build.SERVICE, frozenset(), str(number))
    clock.sleep(seconds)
    context.pool.record_notice('host-2', PeerNotice(counts=counts))


@then('the estimated wait of another request is at least {seconds:g} seconds')
def step_estimated_wait(context: Context, seconds: float) -> None:
    lease = context.pool.acquire_online(build.SERVICE, frozenset(), 'next')
    assert lease is not None
    wait_s = context.pool.wait_estimator.estimate_wait_s(lease)
    assert wait_s >= seconds, wait_s


@given('a route with an objective of 0.3 seconds')
def step_objective(context: Context) -> None:
    context.route = build.route()


@when(
    'it is simulated with waits of up to 1.5 seconds and with waits bounded '
    'by the objective',
)
def step_simulate(context: Context) -> None:
    context.before = _simulate(context.load, objective=False)
    context.callers = _simulate(context.load, objective=True)


@then('at least {times:g} times as many callers are answered in time')
def step_in_time(context: Context, times: float) -> None:
    before = sum(caller.in_time for caller in context.before)
    now = sum(caller.in_time for caller in context.callers)
    assert now >= times * before, (now, before, len(context.callers))


@then('at least {part:g} of the servable requests are served')
def step_part(context: Context, part: float) -> None:
    served = sum(one.first_event_s is not None for one in context.callers)
    servable = len(_SEEDS) * context.load.servable
    assert served >= part * servable, (served, servable)


@then('at least {part:g} of the servable requests are answered in time')
def step_part_in_time(context: Context, part: float) -> None:
    in_time = sum(caller.in_time for caller in context.callers)
    servable = len(_SEEDS) * context.load.servable
    assert in_time >= part * servable, (in_time, servable)


@then('no caller is refused')
def step_none_refused(context: Context) -> None:
    refused = [caller for caller in context.callers if caller.refusals]
    assert not refused, len(refused)


@then('at most {most:d} callers get a retry time in the same tenth of a second')
def step_spread(context: Context, most: int) -> None:
    first = context.callers[: len(context.callers) // len(_SEEDS)]
    by_tenth = collections.Counter(
        int((caller.arrived_at + caller.retry_delays_s[0]) * _TENTHS)
        for caller in first
        if caller.retry_delays_s
    )
    assert max(by_tenth.values()) <= most, by_tenth.most_common(3)


@then('a request with {left:g} seconds left may wait for {wait:g} seconds')
def step_wait(context: Context, left: float, wait: float) -> None:
    found = longest_wait_s(context.route, left, UNBOUND_WAIT_S)
    assert round(found, 3) == wait, found


@given(
    '{hosts:d} hosts with a job of {items:d} items of {seconds:g} seconds '
    'each, one job a second, on 3 servers',
)
def step_jobs(
    context: Context,
    hosts: int,
    items: int,
    seconds: float,
) -> None:
    context.simulations = [
        BatchSimulation(hosts, items, 1, ordered=ordered)
        for ordered in (False, True)
    ]
    context.item_s = seconds


@when('the jobs are simulated with and without the due order')
def step_simulate_jobs(context: Context) -> None:
    before, ordered = context.simulations
    context.jobs_before = before.run(_JOBS_LENGTH_S, context.item_s)
    context.jobs = ordered.run(_JOBS_LENGTH_S, context.item_s)


@then(
    'the slowest job takes at most {part:g} of its time without the due order'
)
def step_longest(context: Context, part: float) -> None:
    before = max(map(_took_s, context.jobs_before))
    now = max(map(_took_s, context.jobs))
    assert now <= part * before, (now, before)


@then('the jobs end in the order in which they are due')
def step_in_order(context: Context) -> None:
    ends = [job.ended_at for job in context.jobs]
    assert ends == sorted(ends), ends


@then('the last job ends no later than without the due order')
def step_last(context: Context) -> None:
    before = max(job.ended_at for job in context.jobs_before)
    now = max(job.ended_at for job in context.jobs)
    assert now <= before, (now, before)


@then('no server holds more items than its slots')
def step_slots(context: Context) -> None:
    most = context.simulations[-1].most_over_slots
    assert most <= 0, most


def _took_s(job: SimulatedJob) -> float:
    assert job.ended_at is not None, job
    return job.ended_at - job.arrived_at
