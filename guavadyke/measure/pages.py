"""Generates docs/MEASUREMENTS.md from reports of measurements.

``python -m guavadyke.measure.pages FOLDER`` prints the page for the reports
in a folder.
"""

from __future__ import annotations

import itertools
import sys
import types
from collections.abc import Mapping
from pathlib import Path

from guavadyke.measure.report import Figure, Report, read_report

_PAGE_HEAD = """# Measurements

This page is made by `python -m guavadyke.measure.pages docs/measurements`
from the reports in that folder; a test checks that it is current. All runs
were on one machine of 10 cores that did other work too, with stand-ins in
place of engines and platform. `scripts/local-fleet` starts the fleets as
processes of their own; see the [quickstart](quickstart.md). How to read and
repeat them is under [measuring a fleet](operators/measuring.md).

A missed target is marked **no**.
"""
_TABLE_HEAD = """| figure | value | target | holds |
|---|---|---|---|
"""
_TITLES: Mapping[str, str] = types.MappingProxyType({
    'relay': 'What one entry host adds and relays',
    'online-batch': 'Bursty online load beside unlimited batch work',
    'overload': 'Three times the load that engines carry',
    'failures': 'One engine lost, and half of them failing',
    'batch': 'Batch jobs',
    'placement': 'Placement over engines of uneven speed',
})


def measurements_page(reports: Mapping[str, Report]) -> str:
    """Return the page in Markdown.

    Args:
        reports: reports by file name without suffix; those that have no
            title in this module are left out.
    """
    names = [name for name in _TITLES if name in reports]
    return '\n'.join(
        itertools.chain(
            (_PAGE_HEAD,),
            (_section(reports[name]) for name in names),
        ),
    )


def read_reports(folder: Path) -> Mapping[str, Report]:
    """Return the reports of a folder by file name without suffix."""
    return {path.stem: read_report(path) for path in folder.glob('*.json')}


def _section(report: Report) -> str:
    policies = ', '.join(
        f'{name} {weight:g}' for name, weight in report.policy.items()
    )
    run = (
        f'`guavadyke measure {report.measurement} --seconds '
        f'{report.seconds:g} --seed {report.seed}`, {report.place}; '
        f'weight of the tail: {policies}; commit `{report.commit[:12]}`.'
    )
    title = f'## {_TITLES[report.measurement]}'
    table = f'{_TABLE_HEAD}{_rows(report)}\n'
    return f'{title}\n\n{run}\n\n{table}'


def _rows(report: Report) -> str:
    return '\n'.join(map(_row, report.figures))


def _row(figure: Figure) -> str:
    value = 'not measured' if figure.value is None else f'{figure.value:g}'
    unit = '' if figure.unit == '1' else f' {figure.unit}'
    cells = (figure.name, f'{value}{unit}', *_target_cells(figure))
    return f'| {" | ".join(cells)} |'


def _target_cells(figure: Figure) -> tuple[str, str]:
    if figure.target is None:
        return '', ''
    return figure.target, 'yes' if figure.holds else '**no**'


if __name__ == '__main__':
    sys.stdout.write(measurements_page(read_reports(Path(sys.argv[1]))))
