"""Experiment that measures every slope, and the capacity page from it."""

from __future__ import annotations

from pathlib import Path

from guavadyke.measure.experiment import ExperimentResult
from guavadyke.measure.plot import Curve, Panel
from guavadyke.measure.report import Report
from guavadyke.measure.slopes import (
    catalogue,
    catalogue_reads,
    engine_assignment,
    load_polls,
    membership,
    notices,
    platform_calls,
    routing,
)
from guavadyke.measure.slopes.capacity import capacity_page
from guavadyke.measure.slopes.slope import (
    MeasuredSlope,
    Slope,
    figures,
    measure_slope,
)

SLOPES = (
    Slope(
        'membership.state',
        'B',
        'peer',
        membership.SIZES,
        membership.state_bytes,
    ),
    Slope(
        'membership.cpu',
        'us/s',
        'peer',
        membership.SIZES,
        membership.cpu_us_per_s,
    ),
    Slope(
        'membership.sent',
        'B/s',
        'peer',
        membership.SIZES,
        membership.bytes_sent_per_s,
    ),
    Slope(
        'membership.datagrams',
        '1/s',
        'peer',
        membership.SIZES,
        membership.datagrams_sent_per_s,
    ),
    Slope(
        'catalogue.state',
        'B',
        'object',
        catalogue.SIZES,
        catalogue.state_bytes,
    ),
    Slope('catalogue.edit', 'us', 'object', catalogue.SIZES, catalogue.edit_us),
    Slope(
        'catalogue.start_reads',
        'calls',
        'object',
        catalogue_reads.SIZES,
        catalogue_reads.start_reads,
    ),
    Slope(
        'catalogue.relist_reads',
        'calls',
        'object',
        catalogue_reads.SIZES,
        catalogue_reads.relist_reads,
    ),
    Slope(
        'catalogue.edit_writes',
        'calls',
        'edit',
        platform_calls.EDIT_SIZES,
        platform_calls.edit_writes,
    ),
    Slope(
        'routing.choose', 'us', 'engine', routing.SIZES, routing.online_slot_us
    ),
    Slope('routing.refresh', 'us', 'engine', routing.SIZES, routing.refresh_us),
    Slope('routing.take', 'us', 'engine', routing.SIZES, routing.batch_slot_us),
    Slope(
        'routing.settle', 'us', 'engine', routing.SIZES, routing.preemption_us
    ),
    Slope(
        'duties.round',
        'us',
        'engine',
        engine_assignment.SIZES,
        engine_assignment.assignment_round_us,
    ),
    Slope('polls.cpu', 'us', 'engine', load_polls.SIZES, load_polls.poll_us),
    Slope(
        'notice.counts',
        'B',
        'engine',
        notices.SIZES,
        notices.counts_notice_bytes,
    ),
    Slope(
        'notice.demands',
        'B',
        'limit',
        notices.SIZES,
        notices.demands_notice_bytes,
    ),
    Slope(
        'notice.demands_cpu',
        'us',
        'limit',
        notices.SIZES,
        notices.demands_notice_us,
    ),
    Slope(
        'notice.received_count',
        'us',
        'host',
        notices.HOST_SIZES,
        notices.received_count_us,
    ),
    Slope(
        'platform.idle_reads',
        'calls/s',
        'host',
        platform_calls.HOST_SIZES,
        platform_calls.idle_reads,
    ),
    Slope(
        'platform.idle_writes',
        'calls/s',
        'host',
        platform_calls.HOST_SIZES,
        platform_calls.idle_writes,
    ),
    Slope(
        'platform.open_job_reads',
        'calls/s',
        'job',
        platform_calls.JOB_SIZES,
        platform_calls.open_job_reads,
    ),
    Slope(
        'batch.fleet_reads',
        'calls',
        'host',
        platform_calls.HOST_SIZES,
        platform_calls.fleet_job_reads,
    ),
    Slope(
        'batch.writes',
        'calls',
        'item',
        platform_calls.ITEM_SIZES,
        platform_calls.job_writes,
    ),
    Slope(
        'batch.reads',
        'calls',
        'item',
        platform_calls.ITEM_SIZES,
        platform_calls.job_reads,
    ),
    Slope(
        'batch.stored',
        'B',
        'item',
        platform_calls.ITEM_SIZES,
        platform_calls.job_bytes,
    ),
)


def run(seed: int) -> ExperimentResult:
    """Measure every slope; ``seed`` is passed to each measurement."""
    measured_slopes = [measure_slope(slope, seed) for slope in SLOPES]
    return ExperimentResult(
        figures=tuple(
            figure for slope in measured_slopes for figure in figures(slope)
        ),
        policy={},
        panels=tuple(map(_panel, measured_slopes)),
    )


def write_capacity(report: Report, path: Path) -> None:
    """Write the capacity page of a report of slopes."""
    path.write_text(capacity_page(report), encoding='utf-8')


def _panel(measured_slope: MeasuredSlope) -> Panel:
    sizes = [sample.size for sample in measured_slope.samples]
    return Panel(
        title=measured_slope.slope.name,
        x_label=f'{measured_slope.slope.per}s',
        y_label=measured_slope.slope.unit,
        curves=(
            Curve(
                'measured',
                sizes,
                [sample.cost for sample in measured_slope.samples],
                points_only=True,
            ),
            Curve(
                'line', sizes, [measured_slope.line.at(size) for size in sizes]
            ),
        ),
    )
