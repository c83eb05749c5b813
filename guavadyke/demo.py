"""The whole path in one process, on stand-ins, with each claim verified."""

from __future__ import annotations

import dataclasses
import json
import time
import uuid
from collections.abc import Callable, Sequence
from concurrent import futures
from typing import Any

from guavadyke.client import Client
from guavadyke.embedded import EmbeddedFleet, EmbeddedPlan
from guavadyke.errors import GuavadykeError
from guavadyke.trial_catalogue import CHAT_ENTRY, SERVICE_ENTRY

_BATCH_ITEMS = 200
_BAD_ITEMS = frozenset((17, 90, 171))
_BATCH_TIMEOUT_S = 40.0
_LOOK_INTERVAL_S = 0.1
_MAX_TOKENS = 24
_EDITED_CONCURRENCY = 40
_STOP_CHATS = 6
_HTTP_OK = 200


@dataclasses.dataclass(frozen=True)
class DemoStep:
    """What one step did, and whether it held."""

    name: str
    seen: str
    holds: bool

    def __str__(self) -> str:
        """Return one row of the table."""
        mark = 'holds' if self.holds else 'FAILS'
        return f'{mark:6} {self.name:42} {self.seen}'


def chat_body(text: str, **fields: object) -> bytes:
    """Return the body of a chat request."""
    return json.dumps({
        'model': CHAT_ENTRY,
        'messages': [{'role': 'user', 'content': text}],
        'max_tokens': _MAX_TOKENS,
        **fields,
    }).encode()


def whole_text(client: Client, text: str) -> str:
    """Return the text of a whole chat answer."""
    answer = client.expect('POST', '/v1/chat/completions', chat_body(text))
    return str(answer.document()['choices'][0]['message']['content'])


def streamed_text(client: Client, text: str) -> str:
    """Return the text of a streamed chat answer."""
    events = client.events('/v1/chat/completions', chat_body(text, stream=True))
    return ''.join(
        choice['delta'].get('content') or ''
        for event in events
        for choice in event['choices']
    )


def batch_lines(items: int, bad: frozenset[int]) -> bytes:
    """Return a batch job; the ``bad`` items can never be done."""
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
    """Runs the steps against an embedded fleet."""

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
        """Ask the same of two hosts, whole and streamed."""
        text = 'is a shepherd in size M free?'
        whole = whole_text(self._fleet.caller(self._first), text)
        streamed = streamed_text(self._fleet.caller(self._second), text)
        return DemoStep(
            name='whole and streamed chat',
            seen=f'{len(whole)} and {len(streamed)} characters',
            holds=bool(whole) and whole == streamed,
        )

    def reservation(self) -> DemoStep:
        """Send a reservation to two hosts with the same key."""
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
            seen=f'ran {runs} time(s), same answer: {same}',
            holds=runs == 1 and same and answers[0].status == _HTTP_OK,
        )

    def submit(self) -> DemoStep:
        """Submit a batch job, and resend it to the other host."""
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
            seen=f'job {jobs[0]}',
            holds=jobs[0] == jobs[1],
        )

    def edit(self) -> DemoStep:
        """Edit a catalogue entry at one host and see it at both."""
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
        seen = self._wait(self._edit_in_force)
        elapsed_ms = round((time.monotonic() - began) * 1000)
        return DemoStep(
            name='catalogue edit in force on both hosts',
            seen=f'after {elapsed_ms} ms',
            holds=seen,
        )

    def lose_engine(self) -> DemoStep:
        """Lose an engine while chats go on."""
        lost = next(iter(self._fleet.engines))
        client = self._fleet.caller(self._first)
        texts = [f'question {number}' for number in range(_STOP_CHATS)]
        expected = [whole_text(client, text) for text in texts]
        self._fleet.engines[lost].close()
        after = [whole_text(client, text) for text in texts]
        return DemoStep(
            name=f'engine {lost} lost',
            seen=f'{len(after)} chats answered after it',
            holds=after == expected,
        )

    def batch(self) -> DemoStep:
        """Wait for the batch job and read its results at the other host."""
        ended = self._wait(self._batch_ended)
        results = self._results()
        outcomes = [found['outcome'] for found in results]
        failed = {
            found['custom_id']
            for found in results
            if found['outcome'] == 'failed'
        }
        bad = {f'note-{number}' for number in _BAD_ITEMS}
        completed = outcomes.count('completed')
        return DemoStep(
            name='batch of 200 items, three of them bad',
            seen=f'{completed} completed, {len(failed)} failed',
            holds=(
                ended
                and failed == bad
                and completed == _BATCH_ITEMS - len(bad)
                and len({found['custom_id'] for found in results})
                == _BATCH_ITEMS
            ),
        )

    def planned_stop(self) -> DemoStep:
        """Stop a host as planned while it streams answers."""
        client = self._fleet.caller(self._second)
        with futures.ThreadPoolExecutor(_STOP_CHATS) as callers:
            streams = [
                callers.submit(_streamed_or_empty, client)
                for _ in range(_STOP_CHATS)
            ]
            whole = self._fleet.hosts.pop(self._second).stop()
        answers = [stream.result() for stream in streams]
        cut = sum(not answer for answer in answers)
        return DemoStep(
            name='planned stop of an entry host',
            seen=f'{len(answers)} streams, {cut} cut off',
            holds=whole and not cut and len(answers) == _STOP_CHATS,
        )

    def _edit_in_force(self) -> bool:
        snapshots = [
            host.fleet.catalogue.current for host in self._fleet.hosts.values()
        ]
        limits = [found.entries[CHAT_ENTRY].limits for found in snapshots]
        return all(one.concurrency == _EDITED_CONCURRENCY for one in limits)

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

    def _wait(self, condition: Callable[[], bool]) -> bool:
        until = time.monotonic() + _BATCH_TIMEOUT_S
        while time.monotonic() < until:
            if condition():
                return True
            time.sleep(_LOOK_INTERVAL_S)
        return False


def _streamed_or_empty(client: Client) -> str:
    """Return a streamed answer, or nothing where it was cut off."""
    try:
        return streamed_text(client, 'is the small angel free?')
    except GuavadykeError:
        return ''


def run_demo() -> list[DemoStep]:
    """Run the whole path and return what each step saw."""
    with EmbeddedFleet(EmbeddedPlan()) as fleet:
        return [_attempt(step) for step in Demo(fleet).steps()]


def _attempt(step: Callable[[], DemoStep]) -> DemoStep:
    """Run a step; an error is something that did not hold."""
    try:
        return step()
    except GuavadykeError as error:
        return DemoStep(
            name=step.__name__,
            seen=f'{error.code}: {error.message}',
            holds=False,
        )
