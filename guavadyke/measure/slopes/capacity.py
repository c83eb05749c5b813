"""Generates docs/CAPACITY.md from a report of slopes."""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Iterator

from guavadyke.measure.report import Figure, Report
from guavadyke.measure.slopes.capacity_rows import Role, Row
from guavadyke.measure.slopes.fitted_lines import FittedLines
from guavadyke.measure.slopes.host_roles import HostRoles
from guavadyke.measure.slopes.planned_size import Budget, FleetSize
from guavadyke.measure.slopes.platform_roles import PlatformRoles

_PAGE_HEAD = """# Capacity

What each role costs at the size that the system is to grow to (see
[contributing](contributing.md)): 390 entry hosts, 2,700 engines, 7,400
requests and 1.6 million tokens a second, 36 million batch items a day in
85,000 jobs, 4,200 teams, 2,200 edits a day.

Budget: control costs one host at most 2% of a core, 32 MB and 14 KB a
second; the whole fleet asks the platform for at most 300 writes and 2,000
reads a second.

This page is made by `guavadyke measure slopes --report FILE --capacity
docs/CAPACITY.md`; its figures are lines fitted to that run (commit
`{commit}`, seed {seed}) and put at the sizes above. They are worked out,
not observed: no fleet of this size has been run. Processor times were taken
on a machine that did other work at the same time, which makes them larger.
"""
_ROLE_TABLE_HEAD = """| what | at that size | budget | fits | worked out from |
|---|---|---|---|---|
"""
_SLOPES_HEAD = """## Measured slopes

Least squares over at least four sizes each; errors are standard errors.

| slope | of one more | error | at size 0 | error |
|---|---|---|---|---|
"""
_IMPROVEMENTS = """## What would make it fit

- *Jobs, over all hosts that watch them*, and *looks at the chunks of open
  jobs* are bounded by what the hosts allow each other (see
  [batch](design/batch.md)); a watch on a shard of the jobs would wake only
  those that work on it and make a job start sooner.
- *Loads of idle engines*: at a bounded rate an idle engine is asked seldom;
  one host of the zone that asks and tells the others would see it sooner.
"""
_UNMEASURED_ROLES = """## Roles that are not measured yet

- **Order owner**: no slope is measured of its state and calls.
- **Disk host**: no slope is measured of its cache and spool.
- **Issuer of allowances**: no slope is measured of its state and calls;
  [allowances](design/allowances.md) has single figures.
- **Placement by work**: no slope is measured of its state and choices;
  [placement](design/placement.md) has single figures.
- **Tokens**: what one entry host relays is under
  [measurements](MEASUREMENTS.md); it is no cost of control.
"""


def capacity_page(report: Report) -> str:
    """Return the page in Markdown."""
    lines = FittedLines(report.figures)
    size, budget = FleetSize(), Budget()
    hosts = HostRoles(lines, size, budget)
    platform = PlatformRoles(lines, size, budget)
    roles = (
        hosts.entry_host(),
        hosts.batch_sender(),
        platform.chunk_holder(),
        hosts.catalogue_reader(),
        hosts.limit_sharer(),
        platform.operator_port(),
        platform.ordinary_day(),
        platform.worst_day(),
    )
    return '\n'.join((
        _PAGE_HEAD.format(commit=report.commit, seed=report.seed),
        _misfits_section(roles),
        _IMPROVEMENTS,
        *map(_role_section, roles),
        _UNMEASURED_ROLES,
        _slopes_section(report.figures),
    ))


def _misfits_section(roles: Iterable[Role]) -> str:
    rows = itertools.chain.from_iterable(
        ((role, row) for row in role.rows) for role in roles
    )
    misfits = '\n'.join(
        f'- {role.name}: {row.what}: {_with_unit(row.value, row.unit)}, '
        f'the budget is {_with_unit(row.bound, row.unit)}.'
        for role, row in rows
        if row.fits is False
    )
    return f'## What does not fit yet\n\n{misfits or "- Nothing."}\n'


def _role_section(role: Role) -> str:
    rows = '\n'.join(map(_table_row, role.rows))
    return f'## {role.name}\n\n{role.mechanism}\n\n{_ROLE_TABLE_HEAD}{rows}\n'


def _table_row(row: Row) -> str:
    fits = {None: '', True: 'yes', False: '**no**'}[row.fits]
    budget = '' if row.bound is None else _with_unit(row.bound, row.unit)
    return (
        f'| {row.what} | {_with_unit(row.value, row.unit)} | {budget} '
        f'| {fits} | {row.derivation} |'
    )


def _slopes_section(figures: Iterable[Figure]) -> str:
    rows = '\n'.join(_slope_rows(tuple(figures)))
    return f'{_SLOPES_HEAD}{rows}\n'


def _slope_rows(figures: tuple[Figure, ...]) -> Iterator[str]:
    by_name = {figure.name: figure for figure in figures}
    for figure in figures:
        name = figure.name.removesuffix('.slope')
        if name == figure.name:
            continue
        error = by_name[f'{name}.slope_error']
        intercept = by_name[f'{name}.intercept']
        intercept_error = by_name[f'{name}.intercept_error']
        yield (
            f'| {name} | {_format_value(figure.value)} {figure.unit} '
            f'| {_format_value(error.value)} '
            f'| {_format_value(intercept.value)} {intercept.unit} '
            f'| {_format_value(intercept_error.value)} |'
        )


def _with_unit(value: float | None, unit: str) -> str:
    return (
        _format_value(value)
        if value is None
        else f'{_format_value(value)} {unit}'
    )


def _format_value(value: float | None) -> str:
    if value is None:
        return 'not measured'
    if abs(value) >= 100:
        return f'{value:,.0f}'
    return f'{value:.3g}'
