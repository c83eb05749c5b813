"""Commands for callers' batch jobs."""

from __future__ import annotations

import functools
import json
import sys
import time
import uuid
from collections.abc import Callable
from pathlib import Path
from typing import Any, NoReturn
from urllib.parse import urlencode

import click

from guavadyke.client import Client, ClientAnswer
from guavadyke.errors import GuavadykeError

_EXIT_REFUSED = 1
_REFUSED_STATUS = 400
_ENDED = frozenset(('completed', 'cancelled'))
_WAIT_INTERVAL_S = 1.0
_JSON = 'application/json'


@click.group('batch')
def batch() -> None:
    """Submit batch jobs and read what became of them."""


def _calling(command: Callable[..., None]) -> Callable[..., None]:
    """Add the options that say where the fleet is and who asks."""

    @click.option(
        '--url',
        envvar='GUAVADYKE_URL',
        required=True,
        help='http://IP:PORT of a caller port.',
    )
    @click.option(
        '--key',
        envvar='GUAVADYKE_KEY',
        required=True,
        help="Caller's key.",
    )
    @functools.wraps(command)
    def wrapped(url: str, key: str, **options: Any) -> None:
        try:
            command(Client(url, key), **options)
        except GuavadykeError as error:
            _refuse(f'{error.code}: {error.message}')

    return wrapped


def _timed(command: Callable[..., None]) -> Callable[..., None]:
    """Add the options that say when a job is to end."""
    due = click.option(
        '--due',
        help='RFC 3339 time by which the job is to end.',
    )
    expires = click.option(
        '--expires',
        help='RFC 3339 time after which no item begins.',
    )
    return due(expires(command))


def _refuse(message: str) -> NoReturn:
    click.echo(message, err=True)
    sys.exit(_EXIT_REFUSED)


def _accepted(answer: ClientAnswer) -> ClientAnswer:
    """Return the answer, or end with every finding of a refusal."""
    if answer.status < _REFUSED_STATUS:
        return answer
    error = answer.document()['error']
    findings = [
        f'  {finding["place"]}: {finding["message"]}'
        for finding in error['findings']
    ]
    head = f'{error["code"]} ({error["run"]}): {error["message"]}'
    return _refuse('\n'.join((head, *findings)))


def _show(document: dict[str, Any]) -> None:
    click.echo(json.dumps(document, indent=2))


@batch.command()
@_calling
@click.argument('path', type=click.Path(path_type=Path, exists=True))
@click.option('--entry', required=True, help='Entry that runs the items.')
@_timed
@click.option(
    '--idempotency-key',
    help='Resending with the same key gives the same job.',
)
def submit(
    client: Client,
    path: Path,
    idempotency_key: str | None,
    **query: str | None,
) -> None:
    """Submit a file of NDJSON lines as one job."""
    given = {name: text for name, text in query.items() if text}
    answer = client.call(
        'POST',
        f'/v1/batches?{urlencode(given)}',
        path.read_bytes(),
        {
            'Content-Type': 'application/x-ndjson',
            'Idempotency-Key': idempotency_key or uuid.uuid4().hex,
        },
    )
    _show(_accepted(answer).document())


@batch.command()
@_calling
@click.argument('job_id')
def show(client: Client, job_id: str) -> None:
    """Show a job's state and its items by state."""
    _show(_accepted(client.call('GET', f'/v1/batches/{job_id}')).document())


@batch.command()
@_calling
@click.argument('job_id')
@click.option('--after', default=0, help='Items to leave out at the start.')
def results(client: Client, job_id: str, after: int) -> None:
    """Write the final outcomes as NDJSON in item order."""
    path = f'/v1/batches/{job_id}/results?after={after}'
    answer = _accepted(client.call('GET', path))
    click.echo(answer.body, nl=False)


@batch.command()
@_calling
@click.argument('job_id')
def cancel(client: Client, job_id: str) -> None:
    """Cancel a job; what has an outcome keeps it."""
    path = f'/v1/batches/{job_id}/cancel'
    answer = client.call('POST', path, b'', {'Content-Type': _JSON})
    _show(_accepted(answer).document())


@batch.command()
@_calling
@click.argument('job_id')
def wait(client: Client, job_id: str) -> None:
    """Wait until a job has ended, with a progress progress."""
    document = _accepted(
        client.call('GET', f'/v1/batches/{job_id}'),
    ).document()
    with click.progressbar(
        length=document['items'],
        label=job_id,
        file=sys.stderr,
    ) as progress:
        while document['state'] not in _ENDED:
            progress.update(_ended_items(document) - progress.pos)
            time.sleep(_WAIT_INTERVAL_S)
            answer = client.call('GET', f'/v1/batches/{job_id}')
            document = _accepted(answer).document()
        progress.update(_ended_items(document) - progress.pos)
    _show(document)


def _ended_items(document: dict[str, Any]) -> int:
    counts = document['counts']
    open_items = counts['waiting'] + counts['running']
    return int(document['items'] - open_items)
