"""Experiment on goodput at up to three times the engines' capacity."""

from __future__ import annotations

import types
from collections.abc import Mapping

from guavadyke.measure.constant_load import (
    RequestShape,
    engine_capacity,
    goodput,
    poisson_load,
)
from guavadyke.measure.experiment import (
    Engines,
    ExperimentResult,
    Setup,
    count,
    first_tokens,
    send_lag,
)
from guavadyke.measure.load_generator import LoadResult
from guavadyke.measure.plot import Curve, Panel
from guavadyke.measure.recorder import P99
from guavadyke.measure.report import Figure, figure, ratio
from guavadyke.measure.stream_client import Ending

_REQUEST_SHAPE = RequestShape(tokens=8, deadline_s=3)
_OVERLOAD_NAME = 'x3'
_LOAD_FACTORS: Mapping[str, float] = types.MappingProxyType({
    'x0.7': 0.7,
    'x0.9': 0.9,
    'x1': 1,
    _OVERLOAD_NAME: 3,
})


def run(setup: Setup) -> ExperimentResult:
    """Run loads of increasing rate, up to three times the capacity."""
    engines = Engines(setup.target.engines())
    capacity = engine_capacity(
        engines,
        setup.target.model,
        _REQUEST_SHAPE.tokens,
        max(2, setup.seconds / 4),
    )
    loads = {
        name: poisson_load(setup, name, capacity * factor, _REQUEST_SHAPE)
        for name, factor in _LOAD_FACTORS.items()
    }
    rates = {name: goodput(load, setup.seconds) for name, load in loads.items()}
    return ExperimentResult(
        figures=(
            figure('capacity', capacity, 'requests/s'),
            *(
                figure(f'{name}.goodput', rate, 'requests/s')
                for name, rate in rates.items()
            ),
            *_overload_figures(loads[_OVERLOAD_NAME], rates),
        ),
        policy={'fleet': setup.target.tail_weight()},
        panels=(_panel(capacity, rates),),
    )


def _overload_figures(
    load: LoadResult,
    rates: Mapping[str, float],
) -> tuple[Figure, ...]:
    results = load.results
    admitted_count = len(results) - count(results, Ending.refused)
    whole_count = count(results, Ending.whole)
    lag_ms = send_lag(results).percentile_ms(P99)
    first_ms = first_tokens(results).percentile_ms(P99)
    return (
        figure(
            'x3.share_of_peak',
            ratio(rates[_OVERLOAD_NAME], max(rates.values())),
            '1',
            '>= 0.9',
        ),
        figure(
            'x3.deadline_kept', ratio(whole_count, admitted_count), '1', '>= 1'
        ),
        *_ending_figures(load),
        figure('x3.ttft_p99', first_ms, 'ms'),
        figure('x3.send_lag_p99', lag_ms, 'ms'),
    )


def _ending_figures(load: LoadResult) -> tuple[Figure, ...]:
    return tuple(
        figure(f'x3.{ending}', count(load.results, ending), 'requests')
        for ending in Ending
    )


def _panel(capacity: float, rates: Mapping[str, float]) -> Panel:
    offered = [capacity * factor for factor in _LOAD_FACTORS.values()]
    return Panel(
        title='Goodput against offered load',
        x_label='offered (requests/s)',
        y_label='whole within the deadline (requests/s)',
        curves=(
            Curve('goodput', offered, list(rates.values())),
            Curve('engines alone', offered, [capacity for _ in offered]),
        ),
    )
