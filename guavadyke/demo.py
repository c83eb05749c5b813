"""Demo of the whole system in one process, with every result checked."""

from __future__ import annotations

import dataclasses
import json
import time
import uuid
from collections.abc import Callable, Sequence
from concurrent import futures
from typing import Any

from guavadyke.client import Client
from guavadyke.embedded_fleet import EmbeddedFleet, EmbeddedPlan
from guavadyke.errors import GuavadykeError
from guavadyke.trial_catalogue import CHAT_ENTRY, SERVICE_ENTRY

_BATCH_ITEMS = 200
_BAD_ITEMS = frozenset((17, 90, 171))
_WAIT_TIMEOUT_S = 40.0
_POLL_INTERVAL_S = 0.1
_MAX_TOKENS = 24
_EDITED_CONCURRENCY = 40
_CONCURRENT_CHATS = 6
_HTTP_OK = 200


@dataclasses.dataclass(frozen=True)
class DemoStep:
    """Result of one step: what was observed, and whether it is correct."""

    name: str
    observed: str
    holds: bool

    def __str__(self) -> str:
        """Return one row of the table."""
        mark = 'holds' if self.holds else 'FAILS'
        return f'{mark:6} {self.name:42} {self.observed}'


def chat_body(text: str, **fields: object) -> bytes:
    """Return the body of a chat request."""
    return json.dumps({
        'model': CHAT_ENTRY,
        'messages': [{'role': 'user', 'content': text}],
        'max_tokens': _MAX_TOKENS,
        **fields,
    }).encode()


def completion_text(client: Client, text: str) -> str:
    """Request a chat completion and return its text."""
    answer = client.expect('POST', '/v1/chat/completions', chat_body(text))
    return str(answer.document()['choices'][0]['message']['content'])


def streamed_text(client: Client, text: str) -> str:
    """Request a streamed chat completion and return its text."""
    events = client.events('/v1/chat/completions', chat_body(text, stream=True))
    return ''.join(
        choice['delta'].get('content') or ''
        for event in events
        for choice in event['choices']
    )


def batch_lines(items: int, bad: frozenset[int]) -> bytes:
    """Return the body of a batch job; engines reject the ``bad`` items."""
    return b'\n'.join(_batch_line(number, bad) for number in range(items))


def _batch_line(number: int, bad: frozenset[int]) -> bytes:
    body = json.loads(chat_body(f'inspection note {number}'))
    if number in bad:
        body['metadata'] = {'standin': 'reject'}
    return json.dumps({
        'custom_id': f'note-{number}',
        'body': body,
        'idempotent': True,
    }).encode()


class Demo:
    """Steps that run against an embedded fleet of two entry hosts."""

    def __init__(self, fleet: EmbeddedFleet) -> None:
        self._fleet = fleet
        host_ids = tuple(fleet.hosts)
        self._first = host_ids[0]
        self._second = host_ids[1]
        self._job_id = ''

    def steps(self) -> Sequence[Callable[[], DemoStep]]:
        """Return the steps in their order."""
        return [
            self.chats,
            self.reservation,
            self.submit,
            self.edit,
            self.lose_engine,
            self.batch,
            self.planned_stop,
        ]

    def chats(self) -> DemoStep:
        """Send the same chat to two hosts, unstreamed and streamed."""
        text = 'is a shepherd in size M free?'
        whole = completion_text(self._fleet.caller(self._first), text)
        streamed = streamed_text(self._fleet.caller(self._second), text)
        return DemoStep(
            name='whole and streamed chat',
            observed=f'{len(whole)} and {len(streamed)} characters',
            holds=bool(whole) and whole == streamed,
        )

    def reservation(self) -> DemoStep:
        """Send a reservation to two hosts with the same idempotency key."""
        path = f'/v1/services/{SERVICE_ENTRY}/donkeys'
        headers = {'Idempotency-Key': uuid.uuid4().hex}
        answers = [
            self._fleet.caller(host).call('POST', path, b'{"days": 2}', headers)
            for host in (self._first, self._second)
        ]
        runs = sum(self._fleet.service.runs.values())
        same = answers[0].body == answers[1].body
        return DemoStep(
            name='reservation resent with its key',
            observed=f'ran {runs} time(s), same answer: {same}',
            holds=runs == 1 and same and answers[0].status == _HTTP_OK,
        )

    def submit(self) -> DemoStep:
        """Submit a batch job, and submit it again at the other host."""
        lines = batch_lines(_BATCH_ITEMS, _BAD_ITEMS)
        headers = {'Idempotency-Key': uuid.uuid4().hex}
        jobs = [
            self._fleet
            .caller(host)
            .expect(
                'POST',
                f'/v1/batches?entry={CHAT_ENTRY}',
                lines,
                headers,
            )
            .document()['id']
            for host in (self._first, self._second)
        ]
        self._job_id = jobs[0]
        return DemoStep(
            name='batch submitted and resent',
            observed=f'job {jobs[0]}',
            holds=jobs[0] == jobs[1],
        )

    def edit(self) -> DemoStep:
        """Edit a catalogue entry at one host and wait until both have it."""
        path = f'/operator/catalogue/{CHAT_ENTRY}'
        operator = self._fleet.operator(self._first)
        shown = operator.expect('GET', path)
        document = shown.document()
        entry = document.get('entry', document)
        entry['limits']['concurrency'] = _EDITED_CONCURRENCY
        began = time.monotonic()
        operator.expect(
            'PUT',
            path,
            json.dumps(entry).encode(),
            {'If-Match': shown.headers['etag']},
        )
        in_force = self._wait_until(self._edit_in_force)
        elapsed_ms = round((time.monotonic() - began) * 1000)
        return DemoStep(
            name='catalogue edit in force on both hosts',
            observed=f'after {elapsed_ms} ms',
            holds=in_force,
        )

    def lose_engine(self) -> DemoStep:
        """Stop an engine and repeat chats that were answered before."""
        lost = next(iter(self._fleet.engines))
        client = self._fleet.caller(self._first)
        texts = [f'question {number}' for number in range(_CONCURRENT_CHATS)]
        expected = [completion_text(client, text) for text in texts]
        self._fleet.engines[lost].close()
        after = [completion_text(client, text) for text in texts]
        return DemoStep(
            name=f'engine {lost} stopped',
            observed=f'{len(after)} chats answered after it',
            holds=after == expected,
        )

    def batch(self) -> DemoStep:
        """Wait for the batch job and read its results at the other host."""
        ended = self._wait_until(self._batch_ended)
        results = self._results()
        outcomes = [item['outcome'] for item in results]
        failed = {
            item['custom_id'] for item in results if item['outcome'] == 'failed'
        }
        bad = {f'note-{number}' for number in _BAD_ITEMS}
        completed = outcomes.count('completed')
        return DemoStep(
            name='batch of 200 items, three of them bad',
            observed=f'{completed} completed, {len(failed)} failed',
            holds=(
                ended
                and failed == bad
                and completed == _BATCH_ITEMS - len(bad)
                and len({item['custom_id'] for item in results}) == _BATCH_ITEMS
            ),
        )

    def planned_stop(self) -> DemoStep:
        """Stop a host gracefully while it streams answers."""
        client = self._fleet.caller(self._second)
        with futures.ThreadPoolExecutor(_CONCURRENT_CHATS) as callers:
            streams = [
                callers.submit(_streamed_or_empty, client)
                for _ in range(_CONCURRENT_CHATS)
            ]
            whole = self._fleet.hosts.pop(self._second).stop()
        answers = [stream.result() for stream in streams]
        cut = sum(not answer for answer in answers)
        return DemoStep(
            name='graceful stop of an entry host',
            observed=f'{len(answers)} streams, {cut} cut off',
            holds=whole and not cut and len(answers) == _CONCURRENT_CHATS,
        )

    def _edit_in_force(self) -> bool:
        snapshots = [
            host.fleet.catalogue.current for host in self._fleet.hosts.values()
        ]
        limits = [snapshot.entries[CHAT_ENTRY].limits for snapshot in snapshots]
        return all(limit.concurrency == _EDITED_CONCURRENCY for limit in limits)

    def _batch_ended(self) -> bool:
        shown = self._fleet.caller(self._second).expect(
            'GET',
            f'/v1/batches/{self._job_id}',
        )
        return bool(shown.document()['state'] == 'completed')

    def _results(self) -> list[Any]:
        answer = self._fleet.caller(self._second).expect(
            'GET',
            f'/v1/batches/{self._job_id}/results',
        )
        return [json.loads(line) for line in answer.body.splitlines()]

    def _wait_until(self, condition: Callable[[], bool]) -> bool:
        until = time.monotonic() + _WAIT_TIMEOUT_S
        while time.monotonic() < until:
            if condition():
                return True
            time.sleep(_POLL_INTERVAL_S)
        return False


def _streamed_or_empty(client: Client) -> str:
    """Return the text of a streamed answer, empty if the stream failed."""
    try:
        return streamed_text(client, 'is the small angel free?')
    except GuavadykeError:
        return ''


def run_demo() -> list[DemoStep]:
    """Run all steps on a new fleet and return their results."""
    with EmbeddedFleet(EmbeddedPlan()) as fleet:
        return [_run_step(step) for step in Demo(fleet).steps()]


def _run_step(step: Callable[[], DemoStep]) -> DemoStep:
    """Run a step; a request error counts as a failed step."""
    try:
        return step()
    except GuavadykeError as error:
        return DemoStep(
            name=step.__name__,
            observed=f'{error.code}: {error.message}',
            holds=False,
        )
