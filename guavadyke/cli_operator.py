"""Shared options and output of the operators' commands."""

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

_EXIT_REQUEST_FAILED = 1
_TIMEOUT_S = 15


def operator_command(command: Callable[..., None]) -> Callable[..., None]:
    """Add the ``--url`` and ``--token`` options of the operator port.

    The command is called with a ``client`` for that port. An error is
    printed with all its findings and ends the process with exit code 1.
    """
    url = click.option(
        '--url',
        envvar='GUAVADYKE_OPERATOR_URL',
        required=True,
        help='URL of the operator port of any entry host, http://IP:PORT.',
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
            print_error(error)
            sys.exit(_EXIT_REQUEST_FAILED)

    return url(token(wrapped))


def audited_command(command: Callable[..., None]) -> Callable[..., None]:
    """Add the options of ``operator_command``, and ``--who`` and ``--why``.

    The command is called with a ``client`` and with the request headers for
    the audit trail as ``audit``.
    """
    who = click.option(
        '--who',
        default=getpass.getuser,
        help='Name for the audit trail; defaults to the login name.',
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


def print_error(error: GuavadykeError) -> None:
    """Print an error with all its findings to standard error."""
    click.echo(f'{error.code}: {error.message}', err=True)
    for finding in error.findings:
        click.echo(f'  {finding.place}: {finding.message}', err=True)


def show(document: object) -> None:
    """Print a document as indented JSON."""
    click.echo(json.dumps(document, indent=2))


def show_table(rows: list[tuple[object, ...]]) -> None:
    """Print rows as aligned columns; the first row holds the headings."""
    texts = [[str(cell) for cell in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(*texts, strict=True)]
    for row in texts:
        cells = (
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        click.echo('  '.join(cells).rstrip())
