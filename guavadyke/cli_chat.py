"""Command for one online chat."""

from __future__ import annotations

import json
import sys

import click

from guavadyke.client import Client
from guavadyke.decisions.answer_stream import choice_text
from guavadyke.errors import GuavadykeError
from guavadyke.filters.backend_request import CHAT_PATH

_EXIT_REFUSED = 1


@click.command('chat')
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
@click.option('--model', required=True, help='Catalogue entry to ask.')
@click.option('--stream', is_flag=True, help='Print tokens as they come.')
@click.argument('text')
def chat(
    url: str,
    key: str,
    model: str,
    text: str,
    *,
    stream: bool,
) -> None:
    """Ask a language model one question and print its answer."""
    request = {
        'model': model,
        'messages': [{'role': 'user', 'content': text}],
        'stream': stream,
    }
    body = json.dumps(request).encode()
    client = Client(url, key)
    try:
        _ask(client, body, stream=stream)
    except GuavadykeError as error:
        _refuse(error)


def _ask(client: Client, body: bytes, *, stream: bool) -> None:
    if not stream:
        answer = client.expect('POST', CHAT_PATH, body).document()
        click.echo(answer['choices'][0]['message']['content'])
        return
    for event in client.events(CHAT_PATH, body):
        for choice in event.get('choices', ()):
            click.echo(choice_text(choice), nl=False)
    click.echo()


def _refuse(error: GuavadykeError) -> None:
    click.echo(f'{error.code}: {error.message} (run: {error.run})', err=True)
    for finding in error.findings:
        click.echo(f'  {finding.place}: {finding.message}', err=True)
    sys.exit(_EXIT_REFUSED)
