"""Loss of one engine, and half of the engines failing every request."""

from __future__ import annotations

import dataclasses
import itertools
import threading

from guavadyke.measure.client import Ending, StreamResult
from guavadyke.measure.experiment import (
    Engines,
    Outcome,
    Setup,
    count,
    first_tokens,
)
from guavadyke.measure.loadgen import LoadResult
from guavadyke.measure.plot import Curve, Panel
from guavadyke.measure.probing import (
    RequestShape,
    engine_capacity,
    poisson_load,
)
from guavadyke.measure.recorder import MEDIAN, P99, recorded
from guavadyke.measure.report import Figure, figure, ratio

_SHAPE = RequestShape(tokens=8, deadline_s=10)
_LOAD_SHARE = 0.5
_STORM_SHARE = 0.25
_WINDOW_S = 1.0
_RECOVERED_FACTOR = 1.5
_MS_PER_S = 1000
_SERVER_ERROR = 500


def run(setup: Setup) -> Outcome:
    """Lose one engine under load, then let half of them fail."""
    engines = Engines(setup.target.engines())
    capacity = engine_capacity(
        engines,
        setup.target.model,
        _SHAPE.tokens,
        max(2, setup.seconds / 4),
    )
    loss = _Loss(setup, engines)
    load = loss.run(capacity * _LOAD_SHARE)
    return Outcome(
        figures=(
            figure('engines', len(engines.servers), 'engines'),
            *loss.figures(load),
            *_storm_figures(setup, engines, capacity * _STORM_SHARE),
        ),
        policy={'fleet': setup.target.tail_weight()},
        panels=(_panel(load, loss.lost_at_s),),
    )


class _Loss:
    """One engine resets every connection from a third of the load on.

    Args:
        setup: fleet, length and seed.
        engines: its engines.
    """

    def __init__(self, setup: Setup, engines: Engines) -> None:
        self._setup = setup
        self._control = next(iter(engines.controls.values()))
        self.lost_at_s = setup.seconds / 3

    def run(self, rate_per_s: float) -> LoadResult:
        """Run the load and lose the engine on the way."""
        timer = threading.Timer(
            self.lost_at_s,
            self._control.put_faults,
            kwargs={'reset': True},
        )
        timer.start()
        try:
            return poisson_load(self._setup, 'loss', rate_per_s, _SHAPE)
        finally:
            timer.join()
            self._control.put_faults()

    def figures(self, load: LoadResult) -> tuple[Figure, ...]:
        """Return what the loss did to callers."""
        lost_at = load.started_at + self.lost_at_s
        before = [one for one in load.results if one.intended_at < lost_at]
        after = [one for one in load.results if one.intended_at >= lost_at]
        not_whole = len(load.results) - count(load.results, Ending.whole)
        base_ms = first_tokens(before).percentile_ms(P99)
        return (
            figure('loss.requests', len(load.results), 'requests'),
            figure('loss.not_whole', not_whole, 'requests', '<= 0'),
            figure('loss.ttft_p99_before', base_ms, 'ms'),
            figure(
                'loss.ttft_p99_after',
                first_tokens(after).percentile_ms(P99),
                'ms',
            ),
            figure(
                'loss.p99_recovery',
                _recovery_s(load, lost_at, base_ms),
                's',
                '<= 5',
            ),
        )


def _recovery_s(
    load: LoadResult,
    lost_at: float,
    base_ms: float | None,
) -> float | None:
    """Return how long after the loss the tail stays raised.

    It is the end of the last window of a second whose 99th percentile is
    more than half above that before the loss; failed requests count as
    raised.
    """
    if base_ms is None:
        return None
    bound_s = base_ms * _RECOVERED_FACTOR / _MS_PER_S
    raised = [
        window.end_s
        for window in _windows(load, lost_at)
        if not window.within(bound_s)
    ]
    return max(raised, default=0)


@dataclasses.dataclass(frozen=True)
class _Window:
    end_s: float
    results: tuple[StreamResult, ...]

    def within(self, bound_s: float) -> bool:
        """Return whether all was whole and the tail below the bound."""
        if any(one.ending is not Ending.whole for one in self.results):
            return False
        tail_ms = first_tokens(self.results).percentile_ms(P99)
        return tail_ms is not None and tail_ms <= bound_s * _MS_PER_S


def _windows(load: LoadResult, lost_at: float) -> list[_Window]:
    after = [one for one in load.results if one.intended_at >= lost_at]
    grouped = itertools.groupby(
        after,
        key=lambda one: int((one.intended_at - lost_at) // _WINDOW_S),
    )
    return [
        _Window((place + 1) * _WINDOW_S, tuple(group))
        for place, group in grouped
    ]


def _storm_figures(
    setup: Setup,
    engines: Engines,
    rate_per_s: float,
) -> tuple[Figure, ...]:
    """Let half of the engines fail and count the attempts."""
    names = sorted(engines.controls)
    failing = names[: len(names) // 2]
    engines.mark()
    for name in failing:
        engines.controls[name].put_faults(error=_SERVER_ERROR)
    try:
        load = poisson_load(setup, 'storm', rate_per_s, _SHAPE)
    finally:
        for name in failing:
            engines.controls[name].put_faults()
    attempts = [one for one in engines.records() if 'online' in one.prompt]
    results = load.results
    elapsed = recorded(one.elapsed_s for one in results)
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
    shown = [
        (one.intended_at - load.started_at, one.first_token_s * _MS_PER_S)
        for one in load.results
        if one.first_token_s is not None
    ]
    highest = max((first_ms for _at, first_ms in shown), default=1)
    return Panel(
        title='Time to first token, one engine lost',
        x_label='intended arrival (s)',
        y_label='ms',
        curves=(
            Curve(
                'requests',
                [moment for moment, _ms in shown],
                [first_ms for _moment, first_ms in shown],
                marks=True,
            ),
            Curve('loss', [lost_at_s, lost_at_s], [0, highest]),
        ),
    )
