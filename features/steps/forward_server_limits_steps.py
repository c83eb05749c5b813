"""Steps of forward_server_limits.feature."""

from __future__ import annotations

import time

from behave import given, then, when
from behave.runner import Context

from features import builders_forward_processes as processes
from features import builders_server_limits as build
from features.builders_processes import wait_until

_RESULTS_S = 20.0
_HTTP_OK = 200
_HTTP_REFUSED = 503


@given(
    '{daemons:d} daemons with {engines:d} engines of which the first names a '
    'limit of {limit:g} requests a second'
)
def step_first_limited(
    context: Context, daemons: int, engines: int, limit: float
) -> None:
    _start_fleet(context, daemons, engines)
    _limit_engines(context, 1, limit)


@given(
    '{daemons:d} daemons with {engines:d} engines that name a limit of '
    '{limit:g} requests a second'
)
def step_limited(
    context: Context, daemons: int, engines: int, limit: float
) -> None:
    _start_fleet(context, daemons, engines)
    _limit_engines(context, engines, limit)


def _start_fleet(context: Context, daemons: int, engines: int) -> None:
    context.fleet = processes.UsersFleet()
    context.add_cleanup(context.fleet.close)
    context.fleet.start(daemons, engines)
    first, *others = context.fleet.daemons
    assert wait_until(
        lambda: first.log.count('event=peer_changed') >= len(others), _RESULTS_S
    )


def _limit_engines(context: Context, count: int, limit: float) -> None:
    context.limit = limit
    context.limited_at = None
    context.limited = context.fleet.engines[:count]
    for engine in context.limited:
        engine.script.limit = limit


@when('each daemon gets {per_s:g} requests a second for {seconds:g} seconds')
def step_load(context: Context, per_s: float, seconds: float) -> None:
    context.load = build.SteadyLoad(context.fleet, per_s)
    context.load.run(seconds)


@when('a job of {items:d} items is submitted and {seconds:g} seconds pass')
def step_job(context: Context, items: int, seconds: float) -> None:
    context.fleet.submit(items)
    time.sleep(seconds)


@when('the engine names no limit any more')
def step_unlimited(context: Context) -> None:
    for engine in context.limited:
        engine.script.limit = None


@then('the first engine gets no more in 4 seconds than its limit allows')
@then('no engine gets more in 4 seconds than its limit allows')
def step_kept(context: Context) -> None:
    most = [
        build.most_in_window(
            engine.arrivals, engine.arrivals[0] + build.SETTLED_S
        )
        for engine in context.limited
    ]
    assert max(most) <= build.allowed_in_window(context.limit), most


@then('all requests are served')
def step_served(context: Context) -> None:
    statuses = context.load.statuses
    assert set(statuses) == {_HTTP_OK}, statuses


@then('all requests of the last second are served')
def step_last_served(context: Context) -> None:
    last = context.load.statuses[-12:]
    assert set(last) == {_HTTP_OK}, context.load.statuses


@then('the engine gets at least half of what its limit allows')
def step_used(context: Context) -> None:
    arrivals = context.limited[0].arrivals
    span_s = arrivals[-1] - arrivals[0]
    assert len(arrivals) >= context.limit * span_s / 2, (len(arrivals), span_s)


@then('the other requests were refused with 503')
def step_refused(context: Context) -> None:
    assert set(context.load.statuses) == {_HTTP_OK, _HTTP_REFUSED}


@then('all {count:d} results can be read')
def step_results(context: Context, count: int) -> None:
    daemon = context.fleet.daemons[0]
    assert wait_until(
        lambda: len(processes.results(daemon)) == count, _RESULTS_S
    ), len(processes.results(daemon))
