"""What the operators' commands share: the operator port and the errors."""

from __future__ import annotations

import functools
import getpass
import json
import sys
from collections.abc import Callable
from typing import Any

import click

from guavadyke.client import Client
from guavadyke.errors import GuavadykeError

_EXIT_REFUSED = 1
_TIMEOUT_S = 15


def operator_command(command: Callable[..., None]) -> Callable[..., None]:
    """Add the options that name the operator port.

    The command gets a ``client`` of it; an error is printed with all its
    findings and the exit code is 1.
    """
    url = click.option(
        '--url',
        envvar='GUAVADYKE_OPERATOR_URL',
        required=True,
        help='Operator port of any entry host, http://IP:PORT.',
    )
    token = click.option(
        '--token',
        envvar='GUAVADYKE_OPERATOR_TOKEN',
        required=True,
        help="The operators' token.",
    )

    @functools.wraps(command)
    def wrapped(*args: Any, url: str, token: str, **kwargs: Any) -> None:
        client = Client(url, token, _TIMEOUT_S)
        try:
            command(*args, client=client, **kwargs)
        except GuavadykeError as error:
            report(error)
            sys.exit(_EXIT_REFUSED)

    return url(token(wrapped))


def audited(command: Callable[..., None]) -> Callable[..., None]:
    """Add the options of an edit, those of the operator port included.

    The command gets a ``client``, and the ``audit`` headers that carry who
    edits and why.
    """
    who = click.option(
        '--who',
        default=getpass.getuser,
        help='Name for the audit trail; the login name by default.',
    )
    why = click.option(
        '--why',
        default='',
        help='Reason for the audit trail.',
    )

    @functools.wraps(command)
    def wrapped(*args: Any, who: str, why: str, **kwargs: Any) -> None:
        audit = {'Guavadyke-Operator': who, 'Guavadyke-Reason': why}
        command(*args, audit=audit, **kwargs)

    return who(why(operator_command(wrapped)))


def report(error: GuavadykeError) -> None:
    """Print an error with all its findings."""
    click.echo(f'{error.code}: {error.message}', err=True)
    for finding in error.findings:
        click.echo(f'  {finding.place}: {finding.message}', err=True)


def show(document: object) -> None:
    """Print a document as JSON."""
    click.echo(json.dumps(document, indent=2))


def show_table(rows: list[tuple[object, ...]]) -> None:
    """Print rows in columns; the first row is the head."""
    texts = [[str(cell) for cell in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(*texts, strict=True)]
    for row in texts:
        cells = (
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        click.echo('  '.join(cells).rstrip())
