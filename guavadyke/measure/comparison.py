"""Compares online latency and batch throughput of phases of load."""

from __future__ import annotations

import itertools
import math
from collections.abc import Iterable

from guavadyke.measure import occupancy
from guavadyke.measure.arrivals import burst_starts
from guavadyke.measure.experiment import (
    count,
    epoch_time,
    first_tokens,
    send_lag,
)
from guavadyke.measure.phases import Phase, PhaseRunner
from guavadyke.measure.recorder import MEDIAN, P99, record_latencies
from guavadyke.measure.report import Figure, figure, ratio
from guavadyke.measure.standin_client import EngineRecord
from guavadyke.measure.stream_client import Ending

_REFILLED_SHARE = 0.9


def online_figures(phase: Phase) -> tuple[Figure, ...]:
    """Return the latency and failure figures of a phase's online load."""
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
    """Compares a phase with batch work to the phase without.

    Args:
        phase: the phase with batch work.
        no_batch: the phase without batch work.
        runner: the runner of both phases.
        has_targets: whether the figures have targets; baselines have none.
    """

    def __init__(
        self,
        phase: Phase,
        no_batch: Phase,
        runner: PhaseRunner,
        *,
        has_targets: bool,
    ) -> None:
        self._phase = phase
        self._no_batch = no_batch
        self._runner = runner
        self._has_targets = has_targets

    @property
    def slot_wait_p99(self) -> Figure:
        """The 99th percentile of the wait for a slot during bursts.

        Without batch work it is the time that online requests wait for
        each other.
        """
        return self._figure(
            'yield_p99', self._slot_wait_p99_ms(), 'ms', '<= 100'
        )

    def figures(self) -> tuple[Figure, ...]:
        """Return the online and batch figures of the phase."""
        return (*online_figures(self._phase), *self._batch_figures())

    def _batch_figures(self) -> tuple[Figure, ...]:
        idle_rate = self._runner.capacity - self._no_batch.online_rate
        rate = self._phase.batch_rate
        return (
            self._figure('ttft_p99_ratio', self._p99_ratio(), '1', '<= 1.10'),
            self._figure('batch_rate', rate, 'items/s'),
            self._figure(
                'batch_share_of_idle',
                ratio(rate, idle_rate),
                '1',
                '>= 0.85',
            ),
            self.slot_wait_p99,
            self._figure('refill_worst', self._worst_refill_s(), 's', '<= 1'),
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
            target if self._has_targets else None,
        )

    def _p99_ratio(self) -> float | None:
        return ratio(
            first_tokens(self._phase.load.results).percentile_ms(P99),
            first_tokens(self._no_batch.load.results).percentile_ms(P99),
        )

    def _burst_intervals(self) -> list[occupancy.Interval]:
        start = self._phase.window.start
        seconds = self._phase.window.end - start
        return [
            occupancy.Interval(
                start + burst, start + burst + self._runner.pattern.on_s
            )
            for burst in burst_starts(self._runner.pattern, seconds)
        ]

    def _burst_arrivals(self) -> dict[str, float]:
        """Return the intended arrivals within bursts, by request label.

        Times are seconds since the epoch.
        """
        intended = (
            (
                f'online {self._phase.name} {number}',
                epoch_time(result.intended_at),
            )
            for number, result in enumerate(self._phase.load.results)
        )
        bursts = self._burst_intervals()
        return {
            request: arrived_at
            for request, arrived_at in intended
            if any(burst.holds(arrived_at) for burst in bursts)
        }

    def _slot_wait_p99_ms(self) -> float | None:
        """Return the 99th percentile of the wait for a free slot, in ms.

        The wait lasts from the intended arrival of a request within a burst
        until it runs on an engine with no more requests than slots.
        """
        arrivals_in_bursts = self._burst_arrivals()
        overloaded = {
            name: occupancy.intervals_above(
                occupancy.concurrency_steps(
                    (
                        engine_record
                        for engine_record in self._phase.records
                        if engine_record.engine == name
                    ),
                    self._phase.window.end,
                ),
                server.slots,
            )
            for name, server in self._runner.engines.servers.items()
        }
        waits = (
            _slot_free_at(record, overloaded[record.engine])
            - arrivals_in_bursts[request]
            for record in self._phase.online
            for request in (_request_label(record),)
            if request in arrivals_in_bursts
        )
        return record_latencies(waits).percentile_ms(P99)

    def _worst_refill_s(self) -> float | None:
        """Return the longest time to refill slots with batch items, in s.

        For each burst it counts from the end of the burst's last online
        request until batch items occupy 90% of the slots that they occupy
        at the end of the following pause. It is None if any burst was
        followed by no refill.
        """
        batch_steps = occupancy.concurrency_steps(
            self._phase.batch, self._phase.window.end
        )
        refills = [
            self._refill_after_burst(burst, following, batch_steps)
            for burst, following in itertools.pairwise(self._burst_intervals())
        ]
        known_refills = [refill for refill in refills if refill is not None]
        return (
            max(known_refills)
            if known_refills and len(known_refills) == len(refills)
            else None
        )

    def _refill_after_burst(
        self,
        burst: occupancy.Interval,
        following: occupancy.Interval,
        batch_steps: tuple[occupancy.ConcurrencyStep, ...],
    ) -> float | None:
        burst_requests = {
            request
            for request, arrived_at in self._burst_arrivals().items()
            if burst.holds(arrived_at)
        }
        ends = [
            record.ended
            for record in self._phase.online
            if record.ended is not None
            and _request_label(record) in burst_requests
        ]
        online_end = max(ends, default=burst.end)
        refilled_window = occupancy.Interval(
            following.start - 1, following.start
        )
        refilled_slots = occupancy.busy_slot_seconds(
            self._phase.batch, refilled_window
        )
        refilled_at = occupancy.first_time_at_least(
            batch_steps,
            max(1, math.floor(refilled_slots * _REFILLED_SHARE)),
            online_end,
        )
        return None if refilled_at is None else refilled_at - online_end


def _request_label(record: EngineRecord) -> str:
    """Return the part of an online prompt that identifies the request."""
    return record.prompt[record.prompt.find('online ') :]


def _slot_free_at(
    record: EngineRecord, overloaded: Iterable[occupancy.Interval]
) -> float:
    interval_ends = (
        interval.end
        for interval in overloaded
        if interval.holds(record.started)
    )
    return next(interval_ends, record.started)
