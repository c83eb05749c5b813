"""Command line of the load and experiment tool."""

from __future__ import annotations

import contextlib
import sys
import types
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import click
import pydantic

from guavadyke import log
from guavadyke.errors import ErrorCode, GuavadykeError
from guavadyke.measure import plot, report
from guavadyke.measure.experiment import Experiment, Outcome, Setup
from guavadyke.measure.experiments import (
    batch,
    failures,
    online_batch,
    overload,
    relay,
)
from guavadyke.measure.loadgen import MAX_SECONDS
from guavadyke.measure.slopes import experiment as slopes
from guavadyke.measure.target import EMBEDDED, Target
from guavadyke.settings import SettingsModel, validation_findings

_EXIT_WRONG = 2
_SLOPES = 'slopes'
_EXPERIMENTS: Mapping[str, Experiment] = types.MappingProxyType({
    'online-batch': online_batch.run,
    'overload': overload.run,
    'failures': failures.run,
    'batch': batch.run,
    'relay': relay.run,
})


class MeasureOptions(SettingsModel):
    """Options of one measurement; ``seconds`` is the length of a phase."""

    embedded: bool
    target: tuple[str, ...]
    key: str
    entry: str
    batch_entry: str
    model: str
    operator_url: str
    operator_token: str
    platform: str
    host_pid: int | None
    seconds: float = pydantic.Field(gt=0, le=MAX_SECONDS)
    seed: int
    report: Path | None
    plot: Path | None
    capacity: Path | None
    verbosity: str

    @pydantic.model_validator(mode='after')
    def _one_place(self) -> MeasureOptions:
        if self.embedded and self.target:
            raise ValueError('give either --embedded or --target')
        return self


_PATH = click.Path(path_type=Path)
_OPTIONS = (
    click.Argument(['name'], type=click.Choice([*_EXPERIMENTS, _SLOPES])),
    click.Option(['--embedded'], is_flag=True, help='Start a fleet for it.'),
    click.Option(['--target'], multiple=True, help='Caller URL; repeatable.'),
    click.Option(['--key'], default='', help="A caller's key."),
    click.Option(['--entry'], default='chat', show_default=True),
    click.Option(['--batch-entry'], default='', help='By default --entry.'),
    click.Option(['--model'], default='small', show_default=True),
    click.Option(['--operator-url'], default=''),
    click.Option(['--operator-token'], default=''),
    click.Option(['--platform'], default='', help='IP:PORT of the stand-in.'),
    click.Option(['--host-pid'], type=int, help='Process of the target.'),
    click.Option(['--seconds'], default=20.0, show_default=True),
    click.Option(['--seed'], default=1, show_default=True),
    click.Option(['--report'], type=_PATH),
    click.Option(['--plot'], type=_PATH),
    click.Option(['--capacity'], type=_PATH, help='Page made of slopes.'),
    click.Option(['--verbosity'], default='error', show_default=True),
)


def run_measurement(name: str, **options: Any) -> None:
    """Measure a running fleet, or one that is embedded in this process.

    Exits with 0 also where a target is missed; the report tells which.
    """
    try:
        _run(name, _checked(options))
    except GuavadykeError as error:
        click.echo(f'{error.code}: {error.message}', err=True)
        for finding in error.findings:
            click.echo(f'  {finding.place}: {finding.message}', err=True)
        sys.exit(_EXIT_WRONG)


def _checked(options: dict[str, Any]) -> MeasureOptions:
    try:
        return MeasureOptions.model_validate(options)
    except pydantic.ValidationError as error:
        raise GuavadykeError(
            ErrorCode.bad_request,
            'the options are wrong',
            findings=validation_findings(error),
        ) from error


def _run(name: str, options: MeasureOptions) -> None:
    log.configure(options.verbosity)
    if options.plot is not None:
        plot.check_plot_path(options.plot)
    outcome, place = _outcome(name, options)
    written = report.Report(
        measurement=name,
        figures=outcome.figures,
        policy=outcome.policy,
        seed=options.seed,
        seconds=options.seconds,
        commit=report.current_commit(Path.cwd()),
        place=place,
    )
    _show(written)
    if options.report is not None:
        report.write_report(written, options.report)
    if options.plot is not None:
        plot.draw(outcome.panels, options.plot)
    if options.capacity is not None:
        slopes.write_capacity(written, options.capacity)


def _outcome(name: str, options: MeasureOptions) -> tuple[Outcome, str]:
    if name == _SLOPES:
        return slopes.run(options.seed), EMBEDDED
    with contextlib.ExitStack() as stack:
        if options.target:
            target = _given_target(options)
        elif options.embedded:
            target = stack.enter_context(_embedded(name))
        else:
            raise GuavadykeError(
                ErrorCode.bad_request,
                'give --embedded or --target',
            )
        setup = Setup(target, options.seconds, options.seed)
        return _EXPERIMENTS[name](setup), target.place


def _embedded(name: str) -> contextlib.AbstractContextManager[Target]:
    from guavadyke.measure.embedded_target import embedded_target
    from guavadyke.measure.plans import PLANS

    return embedded_target(PLANS[name])


def _given_target(options: MeasureOptions) -> Target:
    return Target(
        caller_urls=options.target,
        key=options.key,
        entry=options.entry,
        batch_entry=options.batch_entry or options.entry,
        model=options.model,
        operator_url=options.operator_url,
        operator_token=options.operator_token,
        platform_address=options.platform,
        host_pid=options.host_pid,
        place=', '.join(options.target),
    )


def _show(written: report.Report) -> None:
    for one in written.figures:
        shown = 'null' if one.value is None else f'{one.value:g}'
        verdict = '' if one.target is None else f'({one.target})'
        if one.target is not None and not one.holds:
            verdict = f'MISSED {verdict}'
        click.echo(f'{one.name:<44} {shown:>10} {one.unit:<12} {verdict}')


measure = click.Command(
    'measure',
    params=list(_OPTIONS),
    context_settings={'auto_envvar_prefix': 'GUAVADYKE'},
    callback=run_measurement,
    help=run_measurement.__doc__,
)
