"""Compares a phase with batch work to that without."""

from __future__ import annotations

import itertools
import math
from collections.abc import Iterable

from guavadyke.measure import occupancy
from guavadyke.measure.arrivals import burst_starts
from guavadyke.measure.client import Ending
from guavadyke.measure.experiment import (
    count,
    epoch,
    first_tokens,
    send_lag,
)
from guavadyke.measure.phases import Phase, PhaseRun
from guavadyke.measure.recorder import MEDIAN, P99, recorded
from guavadyke.measure.report import Figure, figure, ratio
from guavadyke.measure.standin_calls import EngineRecord

_REFILLED_SHARE = 0.9


def online_figures(phase: Phase) -> tuple[Figure, ...]:
    """Return what callers saw in a phase."""
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
        figure(
            f'{phase.name}.send_lag_p99',
            send_lag(results).percentile_ms(P99),
            'ms',
        ),
    )


class Comparison:
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
        one: PhaseRun,
        *,
        targets: bool,
    ) -> None:
        self._phase = phase
        self._no_batch = no_batch
        self._one = one
        self._targets = targets

    @property
    def wait_p99(self) -> Figure:
        """The wait for a slot within bursts.

        Without batch work it tells what online requests wait for each
        other.
        """
        return self._figure('yield_p99', self._yield_ms(), 'ms', '<= 100')

    def figures(self) -> tuple[Figure, ...]:
        """Return the figures of the phase."""
        return (*online_figures(self._phase), *self._batch_figures())

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
            self.wait_p99,
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
