"""Commands that show the fleet and drain backend servers."""

from __future__ import annotations

import time
from typing import Any

import click

from guavadyke.cli_operator import (
    audited_command,
    operator_command,
    show,
    show_table,
)
from guavadyke.client import Client
from guavadyke.errors import ErrorCode, GuavadykeError

_POLL_INTERVAL_S = 0.5
_DRAIN_PROPAGATION_S = 2.0
_REQUIRED_IDLE_REPORTS = 3


@click.command('fleet')
@click.option(
    '--json', 'as_json', is_flag=True, help='Print the full status as JSON.'
)
@operator_command
def fleet(as_json: bool, client: Client) -> None:
    """Show the fleet as one entry host sees it."""
    answer = client.expect('GET', '/operator/fleet')
    document = answer.document()
    if as_json:
        show(document)
    else:
        _print_fleet(document)


@click.command('drain')
@click.argument('backend_id')
@click.option(
    '--wait', is_flag=True, help='Wait until no request is in flight.'
)
@click.option(
    '--undo',
    is_flag=True,
    help='Send new work to the backend server again.',
)
@click.option(
    '--timeout',
    'timeout_s',
    default=600.0,
    help='Maximum time to wait, in seconds.',
)
@audited_command
def drain(
    backend_id: str,
    wait: bool,
    undo: bool,
    timeout_s: float,
    audit: dict[str, str],
    client: Client,
) -> None:
    """Stop sending new work to a backend server."""
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
        _wait_until_idle(client, backend_id, timeout_s)
        click.echo(f'{backend_id} has nothing in flight')


def _wait_until_idle(client: Client, backend_id: str, timeout_s: float) -> None:
    """Wait until several consecutive reports show no request in flight.

    Entry hosts learn of the drain within two seconds and may send new work
    until then, so earlier reports are ignored.
    """
    deadline = time.monotonic() + timeout_s
    time.sleep(_DRAIN_PROPAGATION_S)
    idle_reports = 0
    while idle_reports < _REQUIRED_IDLE_REPORTS:
        if time.monotonic() > deadline:
            raise GuavadykeError(
                ErrorCode.deadline_exceeded,
                f'{backend_id} is not idle after {timeout_s} s',
            )
        idle_reports = idle_reports + 1 if _is_idle(client, backend_id) else 0
        time.sleep(_POLL_INTERVAL_S)


def _is_idle(client: Client, backend_id: str) -> bool:
    answer = client.expect('GET', f'/operator/backend-servers/{backend_id}')
    load = answer.document()['load']
    if load is None:
        return False
    return bool(load['running'] == 0 and load['waiting'] == 0)


def _print_fleet(document: dict[str, Any]) -> None:
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
