"""Commands that read and edit the catalogue."""

from __future__ import annotations

from typing import BinaryIO

import click

from guavadyke.cli_operator import (
    audited_command,
    operator_command,
    show,
    show_table,
)
from guavadyke.client import Client

_PATH = '/operator/catalogue'


@click.group('catalogue')
def catalogue() -> None:
    """Read and edit the catalogue."""


@catalogue.command('list')
@operator_command
def list_objects(client: Client) -> None:
    """List the current objects and the objects with faults."""
    answer = client.expect('GET', _PATH)
    document = answer.document()
    rows = [
        (item['name'], item['entry']['kind'], item['version'])
        for item in document['objects']
    ]
    show_table([('NAME', 'KIND', 'VERSION'), *rows])
    for name, reason in document['faults'].items():
        click.echo(f'fault: {name}: {reason}', err=True)


@catalogue.command('show')
@click.argument('name')
@operator_command
def show_object(name: str, client: Client) -> None:
    """Show an object and its version."""
    answer = client.expect('GET', f'{_PATH}/{name}')
    show(answer.document())


@catalogue.command('put')
@click.argument('name')
@click.option(
    '--file',
    'body',
    type=click.File('rb'),
    required=True,
    help='JSON file, or - to read standard input.',
)
@click.option(
    '--version',
    type=click.IntRange(min=1),
    help='Version to replace; if not given, the object must not exist.',
)
@audited_command
def put_object(
    name: str,
    body: BinaryIO,
    version: int | None,
    audit: dict[str, str],
    client: Client,
) -> None:
    """Create or replace an object."""
    condition = (
        {'If-None-Match': '*'}
        if version is None
        else {'If-Match': f'"{version}"'}
    )
    answer = client.expect(
        'PUT',
        f'{_PATH}/{name}',
        body.read(),
        {**condition, **audit},
    )
    document = answer.document()
    click.echo(f'{name} has version {document["version"]}')


@catalogue.command('delete')
@click.argument('name')
@click.option(
    '--version',
    type=click.IntRange(min=1),
    required=True,
    help='Version to delete.',
)
@audited_command
def delete_object(
    name: str,
    version: int,
    audit: dict[str, str],
    client: Client,
) -> None:
    """Delete an object."""
    client.expect(
        'DELETE',
        f'{_PATH}/{name}',
        headers={'If-Match': f'"{version}"', **audit},
    )
    click.echo(f'{name} is deleted')


@catalogue.command('history')
@click.argument('name', required=False)
@click.option(
    '--limit', default=50, help='Number of edits to show without a NAME.'
)
@operator_command
def history(name: str | None, limit: int, client: Client) -> None:
    """Show the accepted edits of one object, or the newest of all objects."""
    path = (
        f'/operator/audit?limit={limit}'
        if name is None
        else f'{_PATH}/{name}/history'
    )
    answer = client.expect('GET', path)
    show(answer.document()['changes'])
