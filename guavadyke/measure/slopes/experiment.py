"""Measures every slope and writes the capacity page."""

from __future__ import annotations

from pathlib import Path

from guavadyke.measure.experiment import Outcome
from guavadyke.measure.plot import Curve, Panel
from guavadyke.measure.report import Report
from guavadyke.measure.slopes import (
    catalogue,
    catalogue_reads,
    duties,
    fleet_calls,
    notices,
    peers,
    polls,
    routing,
)
from guavadyke.measure.slopes.capacity import capacity_page
from guavadyke.measure.slopes.slope import (
    Measured,
    Slope,
    figures,
    measured,
)

SLOPES = (
    Slope('membership.state', 'B', 'peer', peers.SIZES, peers.state_bytes),
    Slope('membership.cpu', 'us/s', 'peer', peers.SIZES, peers.processor_us),
    Slope('membership.sent', 'B/s', 'peer', peers.SIZES, peers.bytes_sent),
    Slope(
        'membership.datagrams',
        '1/s',
        'peer',
        peers.SIZES,
        peers.datagrams_sent,
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
        fleet_calls.EDIT_SIZES,
        fleet_calls.edit_writes,
    ),
    Slope('routing.choose', 'us', 'engine', routing.SIZES, routing.choose_us),
    Slope('routing.refresh', 'us', 'engine', routing.SIZES, routing.refresh_us),
    Slope('routing.take', 'us', 'engine', routing.SIZES, routing.take_us),
    Slope('routing.settle', 'us', 'engine', routing.SIZES, routing.settle_us),
    Slope('duties.round', 'us', 'engine', duties.SIZES, duties.round_us),
    Slope('polls.cpu', 'us', 'engine', polls.SIZES, polls.poll_us),
    Slope(
        'notice.counts',
        'B',
        'engine',
        notices.SIZES,
        notices.count_bytes,
    ),
    Slope(
        'notice.demands',
        'B',
        'limit',
        notices.SIZES,
        notices.demand_bytes,
    ),
    Slope(
        'notice.demands_cpu',
        'us',
        'limit',
        notices.SIZES,
        notices.demand_us,
    ),
    Slope(
        'platform.idle_reads',
        'calls/s',
        'host',
        fleet_calls.HOST_SIZES,
        fleet_calls.idle_reads,
    ),
    Slope(
        'platform.idle_writes',
        'calls/s',
        'host',
        fleet_calls.HOST_SIZES,
        fleet_calls.idle_writes,
    ),
    Slope(
        'platform.open_job_reads',
        'calls/s',
        'job',
        fleet_calls.JOB_SIZES,
        fleet_calls.open_job_reads,
    ),
    Slope(
        'batch.fleet_reads',
        'calls',
        'host',
        fleet_calls.HOST_SIZES,
        fleet_calls.job_reads_of_fleet,
    ),
    Slope(
        'batch.writes',
        'calls',
        'item',
        fleet_calls.ITEM_SIZES,
        fleet_calls.job_writes,
    ),
    Slope(
        'batch.reads',
        'calls',
        'item',
        fleet_calls.ITEM_SIZES,
        fleet_calls.job_reads,
    ),
    Slope(
        'batch.stored',
        'B',
        'item',
        fleet_calls.ITEM_SIZES,
        fleet_calls.job_bytes,
    ),
)


def run(seed: int) -> Outcome:
    """Measure every slope."""
    found = [measured(slope, seed) for slope in SLOPES]
    return Outcome(
        figures=tuple(one for slope in found for one in figures(slope)),
        policy={},
        panels=tuple(map(_panel, found)),
    )


def write_capacity(report: Report, path: Path) -> None:
    """Write the page that the slopes give."""
    path.write_text(capacity_page(report), encoding='utf-8')


def _panel(one: Measured) -> Panel:
    sizes = [sample.size for sample in one.samples]
    return Panel(
        title=one.slope.name,
        x_label=f'{one.slope.per}s',
        y_label=one.slope.unit,
        curves=(
            Curve(
                'measured',
                sizes,
                [sample.cost for sample in one.samples],
                marks=True,
            ),
            Curve('line', sizes, [one.fit.at(size) for size in sizes]),
        ),
    )
