"""The ``guavadyke measure`` command."""

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
from guavadyke.measure.experiment import Experiment, ExperimentResult, Setup
from guavadyke.measure.experiments import (
    batch,
    failures,
    online_batch,
    overload,
    placement,
    relay,
)
from guavadyke.measure.load_generator import MAX_LOAD_S
from guavadyke.measure.slopes import experiment as slopes
from guavadyke.measure.target import EMBEDDED, Target
from guavadyke.settings import SettingsModel, validation_findings

_EXIT_ERROR = 2
_SLOPES = 'slopes'
_PLACEMENT = 'placement'
_EXPERIMENTS: Mapping[str, Experiment] = types.MappingProxyType({
    'online-batch': online_batch.run,
    'overload': overload.run,
    'failures': failures.run,
    'batch': batch.run,
    'relay': relay.run,
})


class MeasureOptions(SettingsModel):
    """Validated options of the command.

    ``seconds`` is the length of each phase of load. ``platform`` is the
    address of the platform stand-in, ``host_pid`` the process whose memory
    and CPU time are read.
    """

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
    seconds: float = pydantic.Field(gt=0, le=MAX_LOAD_S)
    seed: int
    report: Path | None
    plot: Path | None
    capacity: Path | None
    verbosity: str

    @pydantic.model_validator(mode='after')
    def _check_target(self) -> MeasureOptions:
        if self.embedded and self.target:
            raise ValueError('give either --embedded or --target')
        return self


_PATH = click.Path(path_type=Path)
_OPTIONS = (
    click.Argument(
        ['name'], type=click.Choice([*_EXPERIMENTS, _SLOPES, _PLACEMENT])
    ),
    click.Option(
        ['--embedded'], is_flag=True, help='Start a fleet in this process.'
    ),
    click.Option(['--target'], multiple=True, help='Caller URL; repeatable.'),
    click.Option(['--key'], default='', help="A caller's key."),
    click.Option(['--entry'], default='chat', show_default=True),
    click.Option(['--batch-entry'], default='', help='By default --entry.'),
    click.Option(['--model'], default='small', show_default=True),
    click.Option(['--operator-url'], default=''),
    click.Option(['--operator-token'], default=''),
    click.Option(['--platform'], default='', help='IP:PORT of the stand-in.'),
    click.Option(['--host-pid'], type=int, help='PID of the target.'),
    click.Option(['--seconds'], default=20.0, show_default=True),
    click.Option(['--seed'], default=1, show_default=True),
    click.Option(['--report'], type=_PATH),
    click.Option(['--plot'], type=_PATH),
    click.Option(['--capacity'], type=_PATH, help='Capacity page to write.'),
    click.Option(['--verbosity'], default='error', show_default=True),
)


def run_measurement(name: str, **options: Any) -> None:
    """Measure a running fleet, or one that is embedded in this process.

    Exits with 0 even if a figure misses its target; the report shows
    which figures do.
    """
    try:
        _run(name, _validated_options(options))
    except GuavadykeError as error:
        click.echo(f'{error.code}: {error.message}', err=True)
        for finding in error.findings:
            click.echo(f'  {finding.place}: {finding.message}', err=True)
        sys.exit(_EXIT_ERROR)


def _validated_options(options: dict[str, Any]) -> MeasureOptions:
    try:
        return MeasureOptions.model_validate(options)
    except pydantic.ValidationError as error:
        raise GuavadykeError(
            ErrorCode.bad_request,
            'invalid options',
            findings=validation_findings(error),
        ) from error


def _run(name: str, options: MeasureOptions) -> None:
    log.configure(options.verbosity)
    if options.plot is not None:
        plot.check_plot_path(options.plot)
    outcome, place = _run_experiment(name, options)
    result_report = report.Report(
        measurement=name,
        figures=outcome.figures,
        policy=outcome.policy,
        seed=options.seed,
        seconds=options.seconds,
        commit=report.current_commit(Path.cwd()),
        place=place,
    )
    _print_figures(result_report)
    if options.report is not None:
        report.write_report(result_report, options.report)
    if options.plot is not None:
        plot.draw(outcome.panels, options.plot)
    if options.capacity is not None:
        slopes.write_capacity(result_report, options.capacity)


def _run_experiment(
    name: str, options: MeasureOptions
) -> tuple[ExperimentResult, str]:
    if name == _SLOPES:
        return slopes.run(options.seed), EMBEDDED
    if name == _PLACEMENT:
        return placement.run(options.seconds, options.seed), EMBEDDED
    with contextlib.ExitStack() as stack:
        if options.target:
            target = _running_target(options)
        elif options.embedded:
            target = stack.enter_context(_embedded_target(name))
        else:
            raise GuavadykeError(
                ErrorCode.bad_request,
                'give --embedded or --target',
            )
        setup = Setup(target, options.seconds, options.seed)
        return _EXPERIMENTS[name](setup), target.place


def _embedded_target(name: str) -> contextlib.AbstractContextManager[Target]:
    from guavadyke.measure.embedded_target import embedded_target
    from guavadyke.measure.plans import PLANS

    return embedded_target(PLANS[name])


def _running_target(options: MeasureOptions) -> Target:
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


def _print_figures(result_report: report.Report) -> None:
    for figure in result_report.figures:
        shown = 'null' if figure.value is None else f'{figure.value:g}'
        verdict = '' if figure.target is None else f'({figure.target})'
        if figure.target is not None and not figure.holds:
            verdict = f'MISSED {verdict}'
        click.echo(f'{figure.name:<44} {shown:>10} {figure.unit:<12} {verdict}')


measure = click.Command(
    'measure',
    params=list(_OPTIONS),
    context_settings={'auto_envvar_prefix': 'GUAVADYKE'},
    callback=run_measurement,
    help=run_measurement.__doc__,
)
