"""Commands that submit, follow and cancel batch jobs."""

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

_EXIT_REQUEST_FAILED = 1
_MIN_ERROR_STATUS = 400
_FINAL_STATES = frozenset(('completed', 'cancelled'))
_POLL_INTERVAL_S = 1.0
_JSON = 'application/json'


@click.group('batch')
def batch() -> None:
    """Submit batch jobs, and read their state and results."""


def _caller_command(command: Callable[..., None]) -> Callable[..., None]:
    """Add the ``--url`` and ``--key`` options and pass on a client."""

    @click.option(
        '--url',
        envvar='GUAVADYKE_URL',
        required=True,
        help='URL of a caller port, http://IP:PORT.',
    )
    @click.option(
        '--key',
        envvar='GUAVADYKE_KEY',
        required=True,
        help="The caller's key.",
    )
    @functools.wraps(command)
    def wrapped(url: str, key: str, **options: Any) -> None:
        try:
            command(Client(url, key), **options)
        except GuavadykeError as error:
            _exit_with_error(f'{error.code}: {error.message}')

    return wrapped


def _time_limit_options(command: Callable[..., None]) -> Callable[..., None]:
    """Add the ``--due`` and ``--expires`` options."""
    due = click.option(
        '--due',
        help='RFC 3339 time by which the job should be finished.',
    )
    expires = click.option(
        '--expires',
        help='RFC 3339 time after which no item is started.',
    )
    return due(expires(command))


def _exit_with_error(message: str) -> NoReturn:
    click.echo(message, err=True)
    sys.exit(_EXIT_REQUEST_FAILED)


def _require_success(answer: ClientAnswer) -> ClientAnswer:
    """Return the answer, or exit and print an error with its findings."""
    if answer.status < _MIN_ERROR_STATUS:
        return answer
    error = answer.document()['error']
    findings = [
        f'  {finding["place"]}: {finding["message"]}'
        for finding in error['findings']
    ]
    head = f'{error["code"]} ({error["run"]}): {error["message"]}'
    return _exit_with_error('\n'.join((head, *findings)))


def _print_json(document: dict[str, Any]) -> None:
    click.echo(json.dumps(document, indent=2))


@batch.command()
@_caller_command
@click.argument('path', type=click.Path(path_type=Path, exists=True))
@click.option('--entry', required=True, help='Entry that runs the items.')
@_time_limit_options
@click.option(
    '--idempotency-key',
    help='Submitting again with the same key returns the same job.',
)
def submit(
    client: Client,
    path: Path,
    idempotency_key: str | None,
    **query: str | None,
) -> None:
    """Submit an NDJSON file, one item per line, as one job."""
    parameters = {name: text for name, text in query.items() if text}
    answer = client.call(
        'POST',
        f'/v1/batches?{urlencode(parameters)}',
        path.read_bytes(),
        {
            'Content-Type': 'application/x-ndjson',
            'Idempotency-Key': idempotency_key or uuid.uuid4().hex,
        },
    )
    _print_json(_require_success(answer).document())


@batch.command()
@_caller_command
@click.argument('job_id')
def show(client: Client, job_id: str) -> None:
    """Show a job's state and the number of its items in each state."""
    _print_json(
        _require_success(client.call('GET', f'/v1/batches/{job_id}')).document()
    )


@batch.command()
@_caller_command
@click.argument('job_id')
@click.option(
    '--after', default=0, help='Number of items to skip at the start.'
)
def results(client: Client, job_id: str, after: int) -> None:
    """Print the results of finished items as NDJSON in item order."""
    path = f'/v1/batches/{job_id}/results?after={after}'
    answer = _require_success(client.call('GET', path))
    click.echo(answer.body, nl=False)


@batch.command()
@_caller_command
@click.argument('job_id')
def cancel(client: Client, job_id: str) -> None:
    """Cancel a job; finished items keep their results."""
    path = f'/v1/batches/{job_id}/cancel'
    answer = client.call('POST', path, b'', {'Content-Type': _JSON})
    _print_json(_require_success(answer).document())


@batch.command()
@_caller_command
@click.argument('job_id')
def wait(client: Client, job_id: str) -> None:
    """Wait for a job to end and show a progress bar."""
    document = _require_success(
        client.call('GET', f'/v1/batches/{job_id}'),
    ).document()
    with click.progressbar(
        length=document['items'],
        label=job_id,
        file=sys.stderr,
    ) as progress:
        while document['state'] not in _FINAL_STATES:
            progress.update(_count_ended_items(document) - progress.pos)
            time.sleep(_POLL_INTERVAL_S)
            answer = client.call('GET', f'/v1/batches/{job_id}')
            document = _require_success(answer).document()
        progress.update(_count_ended_items(document) - progress.pos)
    _print_json(document)


def _count_ended_items(document: dict[str, Any]) -> int:
    counts = document['counts']
    open_items = counts['waiting'] + counts['running']
    return int(document['items'] - open_items)
