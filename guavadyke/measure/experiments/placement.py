"""Experiment on placement of requests over engines of uneven speed.

The same arrivals, drawn before the run, are sent three times to the same
stand-ins of engines: placed by counts of requests, by power of two choices,
and by expected cost and remaining work.
"""

from __future__ import annotations

import dataclasses
import itertools
import random
import types
from collections.abc import Callable, Iterable, Mapping, Sequence

from guavadyke.decisions.forward_routes import ForwardRoute, RouteKind
from guavadyke.measure.arrivals import OnOff, arrivals
from guavadyke.measure.experiment import ExperimentResult
from guavadyke.measure.placement_fleet import (
    ZONES,
    Method,
    PlacedResult,
    PlacementFleet,
    SizedRequest,
    mean_capacity,
)
from guavadyke.measure.plot import Curve, Panel
from guavadyke.measure.recorder import P95, record_latencies
from guavadyke.measure.report import Figure, figure, ratio

_UTILIZATION = 0.8
# The load steps between these multiples of its mean, for so many seconds.
_LOW, _LOW_S = 0.377, 3.8
_HIGH, _HIGH_S = 1.84, 2.8
# Servers are learned in this time, which does not count.
_WARM_UP_S = 10.0
_LARGE_SHARE = 0.3
_STREAMED_SHARE = 0.8
# Median prompt tokens and events.
_SMALL = (60, 5)
_LARGE = (600, 36)
# Spread of sizes, and of hints around the true length, as the standard
# deviation of their logarithm.
_SIZE_SIGMA = 0.3
_HINT_SIGMA = 0.7

# Objectives: the first event of a stream, and the end of a whole answer.
_STREAMS = ForwardRoute(
    'streams',
    'reports.example',
    '/',
    RouteKind.streamed,
    60,
    (),
    target_latency_s=0.5,
)
_WHOLE = dataclasses.replace(
    _STREAMS, name='whole', kind=RouteKind.idempotent, target_latency_s=2
)

_Group = Callable[[PlacedResult], bool]


def run(seconds: float, seed: int) -> ExperimentResult:
    """Compare the methods.

    Args:
        seconds: length of each load without the time to learn.
        seed: of the arrivals and the requests.
    """
    rng = random.Random(seed)
    requests = _requests(rng, seconds + _WARM_UP_S)
    results = {
        method: _counted(PlacementFleet(method, seed).run(requests))
        for method in Method
    }
    return ExperimentResult(
        figures=tuple(
            itertools.chain.from_iterable(
                _figures(method.value, found)
                for method, found in results.items()
            )
        ),
        policy={},
        panels=(_times_panel(results), _groups_panel(results)),
    )


def _requests(rng: random.Random, seconds: float) -> list[SizedRequest]:
    sample = [_draw(rng, 0) for _ in range(5000)]
    mean_s = sum(one.slot_seconds for one in sample) / len(sample)
    rate_per_s = _UTILIZATION * mean_capacity() / mean_s
    pattern = OnOff(_HIGH * rate_per_s, _LOW * rate_per_s, _HIGH_S, _LOW_S)
    return [_draw(rng, at) for at in arrivals(pattern, seconds, rng)]


def _draw(rng: random.Random, at: float) -> SizedRequest:
    large = rng.random() < _LARGE_SHARE
    prompt, events = _LARGE if large else _SMALL
    length = max(1, round(events * rng.lognormvariate(0, _SIZE_SIGMA)))
    streamed = rng.random() < _STREAMED_SHARE
    return SizedRequest(
        at=at,
        prompt_tokens=round(prompt * rng.lognormvariate(0, _SIZE_SIGMA)),
        events=length,
        hint=max(1, round(length * rng.lognormvariate(0, _HINT_SIGMA))),
        large=large,
        streamed=streamed,
        route=_STREAMS if streamed else _WHOLE,
    )


def _counted(results: Iterable[PlacedResult]) -> list[PlacedResult]:
    return [one for one in results if one.request.at >= _WARM_UP_S]


def _in_time(one: PlacedResult) -> bool:
    taken_s = one.first_s if one.request.streamed else one.whole_s
    objective_s = one.request.route.target_latency_s
    return taken_s is not None and taken_s <= objective_s


def _share(results: Sequence[PlacedResult], group: _Group) -> float | None:
    chosen = [_in_time(one) for one in results if group(one)]
    return ratio(sum(chosen), len(chosen))


def _figures(name: str, results: Sequence[PlacedResult]) -> tuple[Figure, ...]:
    firsts = record_latencies(
        one.first_s for one in results if one.first_s is not None
    )
    refused = sum(one.refused for one in results)
    failed = sum(one.whole_s is None for one in results) - refused
    shares = tuple(
        figure(f'{name}.in_time.{group}', _share(results, of_group), '1')
        for group, of_group in _GROUPS.items()
    )
    lag_ms = record_latencies(one.lag_s for one in results).percentile_ms(P95)
    return (
        *shares,
        *_times(name, firsts.percentile_ms(P95), lag_ms),
        figure(f'{name}.requests', len(results), 'requests'),
        figure(f'{name}.refused', refused, 'requests'),
        figure(f'{name}.failed', failed, 'requests'),
    )


def _times(
    name: str, first_ms: float | None, lag_ms: float | None
) -> tuple[Figure, ...]:
    return (
        figure(f'{name}.first_event_p95', first_ms, 'ms'),
        figure(f'{name}.send_lag_p95', lag_ms, 'ms'),
    )


def _times_panel(results: Mapping[Method, Sequence[PlacedResult]]) -> Panel:
    return Panel(
        title='Times to the first event, of all streams',
        x_label='time to the first event (s)',
        y_label='share of streams',
        curves=tuple(
            _times_curve(method.value, found)
            for method, found in results.items()
        ),
    )


def _times_curve(name: str, results: Sequence[PlacedResult]) -> Curve:
    streams = [one for one in results if one.request.streamed]
    times = sorted(one.first_s for one in streams if one.first_s is not None)
    shares = [number / len(streams) for number in range(1, len(times) + 1)]
    return Curve(name, times, shares)


def _groups_panel(results: Mapping[Method, Sequence[PlacedResult]]) -> Panel:
    return Panel(
        title='Share in time by group',
        x_label=', '.join(
            f'{number}: {name}' for number, name in enumerate(_GROUPS)
        ),
        y_label='share in time',
        curves=tuple(
            Curve(
                method.value,
                list(range(len(_GROUPS))),
                [_share(found, group) or 0 for group in _GROUPS.values()],
                points_only=True,
            )
            for method, found in results.items()
        ),
    )


def _of_zone(zone: str) -> _Group:
    return lambda one: one.zone == zone


_GROUPS: Mapping[str, _Group] = types.MappingProxyType({
    'all': lambda _one: True,
    'small': lambda one: not one.request.large,
    'large': lambda one: one.request.large,
    'streamed': lambda one: one.request.streamed,
    'whole': lambda one: not one.request.streamed,
    **{f'zone_{zone}': _of_zone(zone) for zone in ZONES},
})
