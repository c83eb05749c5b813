"""Experiment on bursty online load with concurrent batch work.

All phases use the same arrival times. The baselines run without batch work,
with batch work that fills all slots and isn't preempted, and with such work
on half of the slots. Two more phases run a batch job of the fleet, one for
each policy.
"""

from __future__ import annotations

import contextlib
import itertools
import types
from collections.abc import Iterable, Mapping

from guavadyke.measure import occupancy
from guavadyke.measure.comparison import Comparison, online_figures
from guavadyke.measure.experiment import ExperimentResult, Setup
from guavadyke.measure.phases import Phase, PhaseRunner
from guavadyke.measure.plot import Curve, Panel
from guavadyke.measure.report import figure
from guavadyke.measure.target import Target

POLICIES: Mapping[str, float] = types.MappingProxyType({
    'lammikko': 0.9,
    'pesebres': 0.2,
})
_STATIC_SPLIT_SHARE = 0.5
_PLOT_STEP_S = 0.1
_MS_PER_S = 1000


def run(setup: Setup) -> ExperimentResult:
    """Run all phases and compare each to the one without batch work.

    The policy of the fleet is restored at the end.
    """
    target = setup.target
    original_weight = target.tail_weight()
    runner = PhaseRunner(setup)
    no_batch = runner.run_phase('no_batch', contextlib.nullcontext())
    baselines = [
        runner.run_phase('no_yield', runner.direct_batch(1)),
        runner.run_phase(
            'static_split', runner.direct_batch(_STATIC_SPLIT_SHARE)
        ),
    ]
    try:
        phases = [
            _policy_phase(runner, target, name, weight)
            for name, weight in POLICIES.items()
        ]
    finally:
        target.set_tail_weight(original_weight)
    comparisons = [
        Comparison(phase, no_batch, runner, has_targets=phase.name in POLICIES)
        for phase in (*baselines, *phases)
    ]
    return ExperimentResult(
        figures=(
            figure('full.items_rate', runner.capacity, 'items/s'),
            *online_figures(no_batch),
            Comparison(
                no_batch, no_batch, runner, has_targets=False
            ).slot_wait_p99,
            *itertools.chain.from_iterable(
                comparison.figures() for comparison in comparisons
            ),
        ),
        policy=POLICIES,
        panels=_panels([no_batch, *baselines, *phases]),
    )


def _policy_phase(
    runner: PhaseRunner,
    target: Target,
    name: str,
    tail_weight: float,
) -> Phase:
    target.set_tail_weight(tail_weight)
    return runner.run_phase(name, runner.job(name))


def _panels(phases: Iterable[Phase]) -> tuple[Panel, ...]:
    phases_drawn = tuple(phases)
    first_token = Panel(
        title='Time to first token',
        x_label='intended arrival (s)',
        y_label='ms',
        curves=tuple(map(_first_token_curve, phases_drawn)),
        y_logarithmic=True,
    )
    running = Panel(
        title='Batch items running on the engines',
        x_label='time (s)',
        y_label='items',
        curves=tuple(map(_batch_curve, phases_drawn)),
    )
    return (first_token, running)


def _first_token_curve(phase: Phase) -> Curve:
    points = [
        (
            result.intended_at - phase.load.started_at,
            result.first_token_s * _MS_PER_S,
        )
        for result in phase.load.results
        if result.first_token_s is not None
    ]
    return Curve(
        phase.name,
        [arrival_s for arrival_s, _ms in points],
        [first_ms for _moment, first_ms in points],
        points_only=True,
    )


def _batch_curve(phase: Phase) -> Curve:
    batch_steps = occupancy.concurrency_steps(phase.batch, phase.window.end)
    seconds = phase.window.end - phase.window.start
    times_s = [
        place * _PLOT_STEP_S for place in range(round(seconds / _PLOT_STEP_S))
    ]
    counts = [
        occupancy.running_at(batch_steps, phase.window.start + time_s)
        for time_s in times_s
    ]
    return Curve(phase.name, times_s, counts)
