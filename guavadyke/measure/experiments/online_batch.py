"""Bursty online load beside unlimited batch work, with baselines.

The phases use the same arrival times: without batch, with batch work that
fills all slots and does not yield, with batch work on half of the slots,
and with the fleet's own batch under both policies.
"""

from __future__ import annotations

import contextlib
import itertools
import types
from collections.abc import Iterable, Mapping

from guavadyke.measure import occupancy
from guavadyke.measure.comparison import Comparison, online_figures
from guavadyke.measure.experiment import Outcome, Setup
from guavadyke.measure.phases import Phase, PhaseRun
from guavadyke.measure.plot import Curve, Panel
from guavadyke.measure.report import figure
from guavadyke.measure.target import Target

POLICIES: Mapping[str, float] = types.MappingProxyType({
    'lammikko': 0.9,
    'pesebres': 0.2,
})
_SPLIT_SHARE = 0.5
_PLOT_STEP_S = 0.1
_MS_PER_S = 1000


def run(setup: Setup) -> Outcome:
    """Run every phase and compare."""
    target = setup.target
    before = target.tail_weight()
    one = PhaseRun(setup)
    no_batch = one.phase('no_batch', contextlib.nullcontext())
    others = [
        one.phase('no_yield', one.direct(1)),
        one.phase('static_split', one.direct(_SPLIT_SHARE)),
    ]
    try:
        phases = [
            _policy_phase(one, target, name, weight)
            for name, weight in POLICIES.items()
        ]
    finally:
        target.put_tail_weight(before)
    compared = [
        Comparison(phase, no_batch, one, targets=phase.name in POLICIES)
        for phase in (*others, *phases)
    ]
    return Outcome(
        figures=(
            figure('full.items_rate', one.capacity, 'items/s'),
            *online_figures(no_batch),
            Comparison(no_batch, no_batch, one, targets=False).wait_p99,
            *itertools.chain.from_iterable(
                found.figures() for found in compared
            ),
        ),
        policy=POLICIES,
        panels=_panels([no_batch, *others, *phases]),
    )


def _policy_phase(
    one: PhaseRun,
    target: Target,
    name: str,
    tail_weight: float,
) -> Phase:
    target.put_tail_weight(tail_weight)
    return one.phase(name, one.job(name))


def _panels(phases: Iterable[Phase]) -> tuple[Panel, ...]:
    shown = tuple(phases)
    first_token = Panel(
        title='Time to first token',
        x_label='intended arrival (s)',
        y_label='ms',
        curves=tuple(map(_first_token_curve, shown)),
        y_logarithmic=True,
    )
    running = Panel(
        title='Batch items running on the engines',
        x_label='time (s)',
        y_label='items',
        curves=tuple(map(_batch_curve, shown)),
    )
    return (first_token, running)


def _first_token_curve(phase: Phase) -> Curve:
    points = [
        (one.intended_at - phase.load.started_at, one.first_token_s * _MS_PER_S)
        for one in phase.load.results
        if one.first_token_s is not None
    ]
    return Curve(
        phase.name,
        [moment for moment, _ms in points],
        [first_ms for _moment, first_ms in points],
        marks=True,
    )


def _batch_curve(phase: Phase) -> Curve:
    found = occupancy.steps(phase.batch, phase.window.end)
    seconds = phase.window.end - phase.window.start
    moments = [
        place * _PLOT_STEP_S for place in range(round(seconds / _PLOT_STEP_S))
    ]
    counts = [
        occupancy.count_at(found, phase.window.start + moment)
        for moment in moments
    ]
    return Curve(phase.name, moments, counts)
