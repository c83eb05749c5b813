"""Command line entry point for operators, callers and daemons."""

from __future__ import annotations

import importlib
import json
import sys
import types
from pathlib import Path

import click

from guavadyke import __version__, log
from guavadyke.errors import GuavadykeError
from guavadyke.settings import load_settings

_EXIT_SETTINGS = 2
_COMMAND_MODULES = types.MappingProxyType({
    'batch': 'guavadyke.cli_batch',
    'chat': 'guavadyke.cli_chat',
    'catalogue': 'guavadyke.cli_catalogue',
    'drain': 'guavadyke.cli_fleet',
    'fleet': 'guavadyke.cli_fleet',
    'measure': 'guavadyke.cli_measure',
    'standin': 'guavadyke.cli_standin',
})


class _LazyGroup(click.Group):
    """A group that imports a command's module on first use."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands, without importing their modules."""
        return sorted({*super().list_commands(ctx), *_COMMAND_MODULES})

    def get_command(
        self,
        ctx: click.Context,
        cmd_name: str,
    ) -> click.Command | None:
        """Import and return a command; None if it is unknown."""
        module = _COMMAND_MODULES.get(cmd_name)
        if module is None:
            return super().get_command(ctx, cmd_name)
        command = getattr(importlib.import_module(module), cmd_name)
        return command if isinstance(command, click.Command) else None


@click.group(cls=_LazyGroup)
@click.version_option(__version__, prog_name='guavadyke')
def main() -> None:
    """Serve language models for online and batch inference."""


def _print_error(error: GuavadykeError) -> None:
    """Print an error with all its findings to standard error."""
    click.echo(f'{error.code}: {error.message}', err=True)
    for finding in error.findings:
        click.echo(f'  {finding.place}: {finding.message}', err=True)


@main.command('check-settings')
@click.argument('path', type=click.Path(path_type=Path))
def check_settings(path: Path) -> None:
    """Validate a settings file and print every finding with its JSON path."""
    try:
        settings = load_settings(path)
    except GuavadykeError as error:
        _print_error(error)
        sys.exit(_EXIT_SETTINGS)
    click.echo(json.dumps(settings.model_dump(mode='json'), indent=2))


@main.command('entry')
@click.option(
    '--settings',
    'path',
    required=True,
    type=click.Path(path_type=Path),
    help='JSON settings file; check-settings validates it.',
)
def entry(path: Path) -> None:
    """Run the daemon of an entry host until SIGTERM."""
    from guavadyke.entry_host import run_daemon

    try:
        settings = load_settings(path)
        log.configure(settings.verbosity)
        stopped_cleanly = run_daemon(settings)
    except GuavadykeError as error:
        _print_error(error)
        sys.exit(_EXIT_SETTINGS)
    sys.exit(0 if stopped_cleanly else 1)


@main.command('demo')
@click.option('--verbosity', default='error', show_default=True)
def demo(verbosity: str) -> None:
    """Run an embedded fleet in one process and verify each step."""
    from guavadyke.demo import run_demo

    log.configure(verbosity)
    steps = run_demo()
    click.echo('\n'.join(map(str, steps)))
    failed = [step.name for step in steps if not step.holds]
    if failed:
        click.echo(f'failed steps: {", ".join(failed)}', err=True)
    sys.exit(1 if failed else 0)
