"""Command that checks a configuration before it is sent."""

from __future__ import annotations

import functools
import json
import sys
from pathlib import Path

import click

from guavadyke.decisions.configuration_checks import (
    ConfigurationFinding,
    Place,
)
from guavadyke.platform.configuration_file import ConfigurationFile

_FILE = click.Path(path_type=Path, exists=True, dir_okay=False)
_KEY_SHOWN_AS = '(key)'
_NOTHING_FOUND = 'nothing found'


@click.command('check-configuration')
@click.argument('path', type=_FILE)
@click.option(
    '--in-force',
    'in_force',
    type=_FILE,
    help='File with the version in force, to compare with.',
)
@click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
def check_configuration(
    path: Path, in_force: Path | None, *, as_json: bool
) -> None:
    """Check a configuration file, and how it differs from that in force.

    The exit code is 0 if nothing was found, 1 for warnings and 2 for errors;
    differences count as nothing. No network is used.
    """
    offered = ConfigurationFile(path.read_bytes())
    keys = offered.keys
    if in_force is not None:
        current = ConfigurationFile(in_force.read_bytes())
        offered.compare(current)
        keys |= current.keys
    rows = [_row(finding, keys) for finding in offered.findings]
    if as_json:
        click.echo(json.dumps({'findings': rows}, indent=2))
    else:
        lines = [
            f'{row["severity"]}: {row["place"]}: {row["message"]}'
            for row in rows
        ]
        click.echo('\n'.join(lines or (_NOTHING_FOUND,)))
    severities = (int(one.severity) for one in offered.findings)
    sys.exit(max(severities, default=0))


def _row(finding: ConfigurationFinding, keys: frozenset[str]) -> dict[str, str]:
    """Return a finding as text; a key used as a name is not shown."""
    longest_first = sorted(filter(None, keys), key=len, reverse=True)
    place, message = (
        functools.reduce(_without_key, longest_first, text)
        for text in (_place_text(finding.place), finding.message)
    )
    return {
        'severity': finding.severity.name,
        'place': place,
        'message': message,
    }


def _without_key(text: str, key: str) -> str:
    """Return the text without the key, as it is or as messages quote it."""
    quoted = repr(key)[1:-1]
    return text.replace(key, _KEY_SHOWN_AS).replace(quoted, _KEY_SHOWN_AS)


def _place_text(place: Place) -> str:
    """Return a place as a JSON path."""
    parts = (
        f'[{part}]' if isinstance(part, int) else f'.{part}' for part in place
    )
    return f'${"".join(parts)}'
