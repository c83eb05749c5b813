"""The command line: one command for operators, callers and daemons."""

from __future__ import annotations

import json
import sys
from pathlib import Path

import click

from guavadyke import __version__
from guavadyke.errors import GuavadykeError
from guavadyke.settings import load_settings

_EXIT_SETTINGS = 2


@click.group()
@click.version_option(__version__, prog_name='guavadyke')
def main() -> None:
    """Serve language models for online and batch inference."""


def report(error: GuavadykeError) -> None:
    """Print an error with all its findings to standard error."""
    click.echo(f'{error.code}: {error.message}', err=True)
    for finding in error.findings:
        click.echo(f'  {finding.place}: {finding.message}', err=True)


@main.command('check-settings')
@click.argument('path', type=click.Path(path_type=Path))
def check_settings(path: Path) -> None:
    """Check a settings file and print every finding with its place."""
    try:
        settings = load_settings(path)
    except GuavadykeError as error:
        report(error)
        sys.exit(_EXIT_SETTINGS)
    click.echo(json.dumps(settings.model_dump(mode='json'), indent=2))
