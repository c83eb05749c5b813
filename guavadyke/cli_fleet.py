"""Commands that show the fleet and let backend servers leave."""

from __future__ import annotations

import time
from typing import Any

import click

from guavadyke.cli_operator import (
    audited,
    operator_command,
    show,
    show_table,
)
from guavadyke.client import Client
from guavadyke.errors import ErrorCode, GuavadykeError

_POLL_S = 0.5
_SPREAD_S = 2.0
_CONFIRMATIONS = 3


@click.command('fleet')
@click.option('--json', 'as_json', is_flag=True, help='Print all as JSON.')
@operator_command
def fleet(as_json: bool, client: Client) -> None:
    """Show what one entry host sees of the fleet."""
    answer = client.expect('GET', '/operator/fleet')
    document = answer.document()
    if as_json:
        show(document)
    else:
        _show_fleet(document)


@click.command('drain')
@click.argument('backend_id')
@click.option('--wait', is_flag=True, help='Wait until nothing is in flight.')
@click.option(
    '--undo',
    is_flag=True,
    help='Let the backend server get new work again.',
)
@click.option(
    '--timeout',
    'timeout_s',
    default=600.0,
    help='Seconds to wait at the most.',
)
@audited
def drain(
    backend_id: str,
    wait: bool,
    undo: bool,
    timeout_s: float,
    audit: dict[str, str],
    client: Client,
) -> None:
    """Give a backend server no new work."""
    answer = client.expect(
        'DELETE' if undo else 'POST',
        f'/operator/backend-servers/{backend_id}/drain',
        headers=audit,
    )
    document = answer.document()
    state = 'leaving' if document['leaving'] else 'staying'
    click.echo(f'{backend_id} is {state}')
    if not document['durable']:
        click.echo('the platform is away: only the hosts know it', err=True)
    if wait and not undo:
        _wait(client, backend_id, timeout_s)
        click.echo(f'{backend_id} has nothing in flight')


def _wait(client: Client, backend_id: str, timeout_s: float) -> None:
    """Wait until several reports in a row tell of nothing in flight.

    Hosts take up to two seconds to hear of the mark, so that reports
    before that do not count.
    """
    until = time.monotonic() + timeout_s
    time.sleep(_SPREAD_S)
    idle = 0
    while idle < _CONFIRMATIONS:
        if time.monotonic() > until:
            raise GuavadykeError(
                ErrorCode.deadline_exceeded,
                f'{backend_id} still has work after {timeout_s} s',
            )
        idle = idle + 1 if _idle(client, backend_id) else 0
        time.sleep(_POLL_S)


def _idle(client: Client, backend_id: str) -> bool:
    answer = client.expect('GET', f'/operator/backend-servers/{backend_id}')
    load = answer.document()['load']
    if load is None:
        return False
    return bool(load['running'] == 0 and load['waiting'] == 0)


def _show_fleet(document: dict[str, Any]) -> None:
    click.echo(
        f'{document["host_id"]} in {document["zone"]}, '
        f'platform reached: {document["reached_directly"]}, '
        f'through peers: {document["platform_reachable"]}, '
        f'catalogue revision {document["catalogue"]["revision"]}',
    )
    rows = [
        (
            peer['host_id'],
            peer['zone'],
            peer['state'],
            peer['address'],
            peer['age_s'],
        )
        for peer in document['peers']
    ]
    show_table([('PEER', 'ZONE', 'STATE', 'ADDRESS', 'AGE_S'), *rows])
    servers = [
        (
            server['id'],
            server['zone'],
            server['role'],
            'leaving' if server['leaving'] else 'serving',
            ','.join(server['serves']),
        )
        for server in document['backend_servers']
    ]
    show_table([('SERVER', 'ZONE', 'ROLE', 'STATE', 'SERVES'), *servers])
    versions = sorted(document['catalogue']['versions'].items())
    show_table([('OBJECT', 'VERSION'), *versions])
    for name, reason in document['catalogue']['faults'].items():
        click.echo(f'fault: {name}: {reason}')
