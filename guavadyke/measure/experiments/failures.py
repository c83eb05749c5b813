"""Experiment on engine failures.

First one engine resets its connections, later half of the engines answer
every request with an error.
"""

from __future__ import annotations

import dataclasses
import itertools
import threading

from guavadyke.measure.constant_load import (
    RequestShape,
    engine_capacity,
    poisson_load,
)
from guavadyke.measure.experiment import (
    Engines,
    ExperimentResult,
    Setup,
    count,
    first_tokens,
)
from guavadyke.measure.load_generator import LoadResult
from guavadyke.measure.plot import Curve, Panel
from guavadyke.measure.recorder import MEDIAN, P99, record_latencies
from guavadyke.measure.report import Figure, figure, ratio
from guavadyke.measure.stream_client import Ending, StreamResult

_REQUEST_SHAPE = RequestShape(tokens=8, deadline_s=10)
_LOAD_SHARE = 0.5
_HALF_FAILING_LOAD_SHARE = 0.25
_WINDOW_S = 1.0
_RECOVERED_FACTOR = 1.5
_MS_PER_S = 1000
_SERVER_ERROR = 500


def run(setup: Setup) -> ExperimentResult:
    """Make one engine fail under load, then half of the engines."""
    engines = Engines(setup.target.engines())
    capacity = engine_capacity(
        engines,
        setup.target.model,
        _REQUEST_SHAPE.tokens,
        max(2, setup.seconds / 4),
    )
    loss = _EngineLoss(setup, engines)
    load = loss.run(capacity * _LOAD_SHARE)
    return ExperimentResult(
        figures=(
            figure('engines', len(engines.servers), 'engines'),
            *loss.figures(load),
            *_half_failing_figures(
                setup, engines, capacity * _HALF_FAILING_LOAD_SHARE
            ),
        ),
        policy={'fleet': setup.target.tail_weight()},
        panels=(_panel(load, loss.lost_at_s),),
    )


class _EngineLoss:
    """Load during which one engine starts to reset every connection.

    The fault begins after a third of the load.

    Args:
        setup: fleet, length of the load and seed.
        engines: engines of the fleet.
    """

    def __init__(self, setup: Setup, engines: Engines) -> None:
        self._setup = setup
        self._control = next(iter(engines.controls.values()))
        self.lost_at_s = setup.seconds / 3

    def run(self, rate_per_s: float) -> LoadResult:
        """Run the load with the fault, and clear the fault at the end."""
        timer = threading.Timer(
            self.lost_at_s,
            self._control.set_faults,
            kwargs={'reset': True},
        )
        timer.start()
        try:
            return poisson_load(self._setup, 'loss', rate_per_s, _REQUEST_SHAPE)
        finally:
            timer.join()
            self._control.set_faults()

    def figures(self, load: LoadResult) -> tuple[Figure, ...]:
        """Return the effect of the fault on online requests."""
        lost_at = load.started_at + self.lost_at_s
        before = [
            result for result in load.results if result.intended_at < lost_at
        ]
        after = [
            result for result in load.results if result.intended_at >= lost_at
        ]
        not_whole = len(load.results) - count(load.results, Ending.whole)
        p99_before_ms = first_tokens(before).percentile_ms(P99)
        return (
            figure('loss.requests', len(load.results), 'requests'),
            figure('loss.not_whole', not_whole, 'requests', '<= 0'),
            figure('loss.ttft_p99_before', p99_before_ms, 'ms'),
            figure(
                'loss.ttft_p99_after',
                first_tokens(after).percentile_ms(P99),
                'ms',
            ),
            figure(
                'loss.p99_recovery',
                _recovery_s(load, lost_at, p99_before_ms),
                's',
                '<= 5',
            ),
        )


def _recovery_s(
    load: LoadResult,
    lost_at: float,
    p99_before_ms: float | None,
) -> float | None:
    """Return how long after the loss latency stays high, in seconds.

    It is the end of the last one-second window in which the 99th percentile
    of the time to first token is above 1.5 times that before the loss, or
    in which a request was not answered whole.
    """
    if p99_before_ms is None:
        return None
    bound_s = p99_before_ms * _RECOVERED_FACTOR / _MS_PER_S
    slow_window_ends_s = [
        window.end_s
        for window in _windows(load, lost_at)
        if not window.is_normal(bound_s)
    ]
    return max(slow_window_ends_s, default=0)


@dataclasses.dataclass(frozen=True)
class _Window:
    end_s: float
    results: tuple[StreamResult, ...]

    def is_normal(self, bound_s: float) -> bool:
        """Return whether the window shows no effect of the loss.

        All requests were answered whole, and the 99th percentile of the
        time to first token is at most the bound.
        """
        if any(result.ending is not Ending.whole for result in self.results):
            return False
        tail_ms = first_tokens(self.results).percentile_ms(P99)
        return tail_ms is not None and tail_ms <= bound_s * _MS_PER_S


def _windows(load: LoadResult, lost_at: float) -> list[_Window]:
    after = [result for result in load.results if result.intended_at >= lost_at]
    grouped = itertools.groupby(
        after,
        key=lambda result: int((result.intended_at - lost_at) // _WINDOW_S),
    )
    return [
        _Window((number + 1) * _WINDOW_S, tuple(group))
        for number, group in grouped
    ]


def _half_failing_figures(
    setup: Setup,
    engines: Engines,
    rate_per_s: float,
) -> tuple[Figure, ...]:
    """Make half of the engines fail and count attempts per request."""
    names = sorted(engines.controls)
    failing = names[: len(names) // 2]
    engines.start_recording()
    for name in failing:
        engines.controls[name].set_faults(error=_SERVER_ERROR)
    try:
        load = poisson_load(setup, 'storm', rate_per_s, _REQUEST_SHAPE)
    finally:
        for name in failing:
            engines.controls[name].set_faults()
    attempts = [
        record for record in engines.records() if 'online' in record.prompt
    ]
    results = load.results
    elapsed = record_latencies(result.elapsed_s for result in results)
    return (
        figure('half_failing.requests', len(results), 'requests'),
        figure(
            'half_failing.attempts_ratio',
            ratio(len(attempts), len(results)),
            '1',
            '<= 1.2',
        ),
        figure(
            'half_failing.not_whole',
            len(results) - count(results, Ending.whole),
            'requests',
        ),
        figure(
            'half_failing.elapsed_p50',
            elapsed.percentile_ms(MEDIAN),
            'ms',
        ),
    )


def _panel(load: LoadResult, lost_at_s: float) -> Panel:
    points = [
        (result.intended_at - load.started_at, result.first_token_s * _MS_PER_S)
        for result in load.results
        if result.first_token_s is not None
    ]
    highest = max((first_ms for _at, first_ms in points), default=1)
    return Panel(
        title='Time to first token, one engine lost',
        x_label='intended arrival (s)',
        y_label='ms',
        curves=(
            Curve(
                'requests',
                [arrival_s for arrival_s, _ms in points],
                [first_ms for _moment, first_ms in points],
                points_only=True,
            ),
            Curve('loss', [lost_at_s, lost_at_s], [0, highest]),
        ),
    )
