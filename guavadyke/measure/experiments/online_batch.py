"""Bursty online load beside unlimited batch work, with baselines.

The phases use the same arrival times: without batch, with batch work that
fills all slots and does not yield, with batch work on half of the slots,
and with the fleet's own batch under both policies.
"""

from __future__ import annotations

import contextlib
import dataclasses
import itertools
import math
import random
import time
import types
from collections.abc import Generator, Iterable, Mapping

from guavadyke.measure import occupancy
from guavadyke.measure.arrivals import OnOff, arrivals, burst_starts
from guavadyke.measure.batchload import BatchJob, direct_batch, job_line
from guavadyke.measure.client import Ending, StreamRequest
from guavadyke.measure.experiment import (
    Engines,
    Outcome,
    Setup,
    count,
    epoch,
    first_tokens,
    window_of,
)
from guavadyke.measure.loadgen import LoadResult, OpenLoad, run_open
from guavadyke.measure.plot import Curve, Panel
from guavadyke.measure.probing import engine_capacity
from guavadyke.measure.recorder import MEDIAN, P99, recorded
from guavadyke.measure.report import Figure, figure, ratio
from guavadyke.measure.standin_calls import EngineRecord
from guavadyke.measure.target import Target

POLICIES: Mapping[str, float] = types.MappingProxyType({
    'lammikko': 0.9,
    'pesebres': 0.2,
})
TOKENS = 8
DEADLINE_S = 10
_ON_S = 1.0
_OFF_S = 3.0
_ON_SHARE = 0.7
_OFF_SHARE = 0.1
_SPLIT_SHARE = 0.5
_SETTLE_S = 1.5
_REFILLED_SHARE = 0.9
_JOB_MARGIN = 1.5
_MOST_ITEMS = 20_000
_PLOT_STEP_S = 0.1
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True)
class Phase:
    """What one phase gave; ``window`` and records in epoch seconds."""

    name: str
    load: LoadResult
    window: occupancy.Interval
    records: tuple[EngineRecord, ...]

    @property
    def batch(self) -> tuple[EngineRecord, ...]:
        """Records of batch items."""
        return tuple(filter(occupancy.is_batch, self.records))

    @property
    def online(self) -> tuple[EngineRecord, ...]:
        """Records of online requests."""
        return tuple(itertools.filterfalse(occupancy.is_batch, self.records))

    @property
    def batch_rate(self) -> float:
        """Batch items completed a second."""
        return occupancy.completed_rate(self.batch, self.window)

    @property
    def online_rate(self) -> float:
        """Online requests completed a second."""
        return occupancy.completed_rate(self.online, self.window)


class _Run:
    """One run of the experiment.

    Args:
        setup: fleet, length and seed.
    """

    def __init__(self, setup: Setup) -> None:
        self._setup = setup
        self._target = setup.target
        self.engines = Engines(setup.target.engines())
        self.capacity = engine_capacity(
            self.engines,
            setup.target.model,
            TOKENS,
            max(2, setup.seconds / 4),
        )
        self.pattern = OnOff(
            on_rate_per_s=self.capacity * _ON_SHARE,
            off_rate_per_s=self.capacity * _OFF_SHARE,
            on_s=_ON_S,
            off_s=_OFF_S,
        )
        self._arrivals_s = arrivals(
            self.pattern,
            setup.seconds,
            random.Random(setup.seed),
        )

    def phase(
        self,
        name: str,
        background: contextlib.AbstractContextManager[object],
    ) -> Phase:
        """Run the online load beside a background."""
        self.engines.mark()
        with background:
            time.sleep(_SETTLE_S)
            load = run_open(
                OpenLoad(
                    self._arrivals_s,
                    lambda number: self._request(name, number),
                ),
            )
        time.sleep(_SETTLE_S)
        return Phase(
            name,
            load,
            window_of(load, self._setup.seconds),
            self.engines.records(),
        )

    def direct(self, share: float) -> contextlib.AbstractContextManager[object]:
        """Return batch work that knows nothing of online requests."""
        return direct_batch(
            self.engines.servers,
            share,
            self._target.model,
            TOKENS,
        )

    @contextlib.contextmanager
    def job(self, name: str) -> Generator[None, None, None]:
        """Keep a batch job of the fleet under way."""
        needed = self.capacity * self._setup.seconds * _JOB_MARGIN
        items = min(_MOST_ITEMS, round(needed) + 2 * self.engines.slots)
        lines = (job_line(f'{name} {place}', TOKENS) for place in range(items))
        job = BatchJob(self._target, lines)
        job.submit()
        try:
            yield
        finally:
            job.cancel()

    def _request(self, name: str, number: int) -> StreamRequest:
        prompt = f'desk {number % 24} online {name} {number}'
        return self._target.request(number, prompt, TOKENS, DEADLINE_S)


def run(setup: Setup) -> Outcome:
    """Run every phase and compare."""
    target = setup.target
    before = target.tail_weight()
    one = _Run(setup)
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
        _Compared(phase, no_batch, one, targets=phase.name in POLICIES)
        for phase in (*others, *phases)
    ]
    return Outcome(
        figures=(
            figure('full.items_rate', one.capacity, 'items/s'),
            *_online_figures(no_batch),
            *itertools.chain.from_iterable(
                found.figures() for found in compared
            ),
        ),
        policy=POLICIES,
        panels=_panels([no_batch, *others, *phases]),
    )


def _policy_phase(
    one: _Run,
    target: Target,
    name: str,
    tail_weight: float,
) -> Phase:
    target.put_tail_weight(tail_weight)
    return one.phase(name, one.job(name))


def _online_figures(phase: Phase) -> tuple[Figure, ...]:
    recorder = first_tokens(phase.load.results)
    results = phase.load.results
    not_whole = len(results) - count(results, Ending.whole)
    return (
        figure(f'{phase.name}.requests', len(results), 'requests'),
        figure(f'{phase.name}.not_whole', not_whole, 'requests'),
        figure(
            f'{phase.name}.ttft_p50',
            recorder.percentile_ms(MEDIAN),
            'ms',
        ),
        figure(f'{phase.name}.ttft_p99', recorder.percentile_ms(P99), 'ms'),
    )


class _Compared:
    """A phase with batch work against that without.

    Args:
        phase: the phase.
        no_batch: the phase without batch work.
        one: the run.
        targets: whether its figures have targets; baselines have none.
    """

    def __init__(
        self,
        phase: Phase,
        no_batch: Phase,
        one: _Run,
        *,
        targets: bool,
    ) -> None:
        self._phase = phase
        self._no_batch = no_batch
        self._one = one
        self._targets = targets

    def figures(self) -> tuple[Figure, ...]:
        """Return the figures of the phase."""
        return (*_online_figures(self._phase), *self._batch_figures())

    def _batch_figures(self) -> tuple[Figure, ...]:
        idle = self._one.capacity - self._no_batch.online_rate
        rate = self._phase.batch_rate
        return (
            self._figure('ttft_p99_ratio', self._p99_ratio(), '1', '<= 1.10'),
            self._figure('batch_rate', rate, 'items/s'),
            self._figure(
                'batch_share_of_idle',
                ratio(rate, idle),
                '1',
                '>= 0.85',
            ),
            self._figure('yield_p99', self._yield_ms(), 'ms', '<= 100'),
            self._figure('refill_worst', self._refill_s(), 's', '<= 1'),
        )

    def _figure(
        self,
        name: str,
        value: float | None,
        unit: str,
        target: str | None = None,
    ) -> Figure:
        return figure(
            f'{self._phase.name}.{name}',
            value,
            unit,
            target if self._targets else None,
        )

    def _p99_ratio(self) -> float | None:
        return ratio(
            first_tokens(self._phase.load.results).percentile_ms(P99),
            first_tokens(self._no_batch.load.results).percentile_ms(P99),
        )

    def _bursts(self) -> list[occupancy.Interval]:
        start = self._phase.window.start
        seconds = self._phase.window.end - start
        return [
            occupancy.Interval(
                start + burst, start + burst + self._one.pattern.on_s
            )
            for burst in burst_starts(self._one.pattern, seconds)
        ]

    def _burst_arrivals(self) -> dict[str, float]:
        """Return the intended arrival of each request within a burst."""
        intended = (
            (f'online {self._phase.name} {number}', epoch(one.intended_at))
            for number, one in enumerate(self._phase.load.results)
        )
        bursts = self._bursts()
        return {
            mark: moment
            for mark, moment in intended
            if any(burst.holds(moment) for burst in bursts)
        }

    def _yield_ms(self) -> float | None:
        """Return the 99th percentile of the wait for a free slot.

        The wait is from a request's intended arrival within a burst until
        it is at an engine that runs no more requests than it has slots.
        """
        arrived = self._burst_arrivals()
        crowded = {
            name: occupancy.intervals_above(
                occupancy.steps(
                    (one for one in self._phase.records if one.engine == name),
                    self._phase.window.end,
                ),
                server.slots,
            )
            for name, server in self._one.engines.servers.items()
        }
        waits = (
            _slot_at(record, crowded[record.engine]) - arrived[mark]
            for record in self._phase.online
            for mark in (_mark(record),)
            if mark in arrived
        )
        return recorded(waits).percentile_ms(P99)

    def _refill_s(self) -> float | None:
        """Return the longest time until batch work is back after a burst.

        It counts from the end of the burst's last online request until
        batch work runs in nine tenths of the slots that it has at the end
        of the following pause.
        """
        found = occupancy.steps(self._phase.batch, self._phase.window.end)
        times = [
            self._refill_after(burst, following, found)
            for burst, following in itertools.pairwise(self._bursts())
        ]
        known = [refill for refill in times if refill is not None]
        return max(known) if known and len(known) == len(times) else None

    def _refill_after(
        self,
        burst: occupancy.Interval,
        following: occupancy.Interval,
        found: tuple[occupancy.Step, ...],
    ) -> float | None:
        arrived = {
            mark
            for mark, moment in self._burst_arrivals().items()
            if burst.holds(moment)
        }
        ends = [
            record.ended
            for record in self._phase.online
            if record.ended is not None and _mark(record) in arrived
        ]
        begin = max(ends, default=burst.end)
        settled = occupancy.Interval(following.start - 1, following.start)
        level = occupancy.busy_seconds(self._phase.batch, settled)
        refilled = occupancy.first_at_least(
            found,
            max(1, math.floor(level * _REFILLED_SHARE)),
            begin,
        )
        return None if refilled is None else refilled - begin


def _mark(record: EngineRecord) -> str:
    """Return the part of an online prompt that names the request."""
    return record.prompt[record.prompt.find('online ') :]


def _slot_at(
    record: EngineRecord, crowded: Iterable[occupancy.Interval]
) -> float:
    holding = (span.end for span in crowded if span.holds(record.started))
    return next(holding, record.started)


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
