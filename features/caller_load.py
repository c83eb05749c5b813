"""Callers that ask all the time, and what each of them was told."""

from __future__ import annotations

import dataclasses
import itertools
import json
import threading
import uuid
from typing import TYPE_CHECKING

from guavadyke.errors import GuavadykeError, RunStatus
from guavadyke.standins.completion_format import answer_text, chat_prompt
from guavadyke.trial_catalogue import CHAT_ENTRY, SERVICE_ENTRY

if TYPE_CHECKING:
    from collections.abc import Callable

    from features.builders_processes import ProcessFleet

MAX_TOKENS = 16


@dataclasses.dataclass(frozen=True)
class Told:
    """What one caller asked for and what it was told.

    ``run`` is None for a whole answer.
    """

    kind: str
    asked: str
    answer: str
    run: RunStatus | None
    reason: str = ''


def chat_document(text: str) -> dict[str, object]:
    """Return a chat request."""
    return {
        'model': CHAT_ENTRY,
        'messages': [{'role': 'user', 'content': text}],
        'max_tokens': MAX_TOKENS,
    }


def expected_answer(text: str) -> str:
    """Return the whole answer to a chat of one message."""
    prompt = chat_prompt([{'role': 'user', 'content': text}])
    return answer_text(prompt, MAX_TOKENS)


class CallerLoad:
    """Threads that each ask one request after the other.

    A caller takes the next host that the balancer holds for ready; it
    asks again elsewhere only where it was told that nothing ran.

    Args:
        fleet: the fleet that is asked.
        callers: how many ask at once.
    """

    def __init__(self, fleet: ProcessFleet, callers: int) -> None:
        self.told: list[Told] = []
        self._fleet = fleet
        self._ended = threading.Event()
        self._numbers = itertools.count()
        self._threads = [
            threading.Thread(target=self._ask_on, args=(number,))
            for number in range(callers)
        ]

    def start(self) -> None:
        """Begin to ask."""
        for thread in self._threads:
            thread.start()

    def end(self) -> None:
        """Stop asking and wait for the last answers."""
        self._ended.set()
        for thread in self._threads:
            thread.join()

    def _ask_on(self, caller: int) -> None:
        kinds: dict[str, Callable[[str, str], str]] = {
            'streamed': self._streamed,
            'whole': self._whole,
            'reservation': self._reservation,
        }
        for kind in itertools.cycle(kinds):
            if self._ended.wait(0.01):
                return
            asked = f'{kind} {caller} {next(self._numbers)}'
            self.told.append(self._ask(kind, asked, kinds[kind]))

    def _ask(
        self,
        kind: str,
        asked: str,
        action: Callable[[str, str], str],
    ) -> Told:
        try:
            answer = action(self._balanced(), asked)
        except GuavadykeError as error:
            return Told(kind, asked, '', error.run, error.message)
        return Told(kind, asked, answer, None)

    def _balanced(self) -> str:
        hosts = list(self._fleet.hosts)
        start = next(self._numbers)
        order = [
            hosts[(start + step) % len(hosts)] for step in range(len(hosts))
        ]
        ready = (one for one in order if self._fleet.ready(one))
        return next(ready, order[0])

    def _streamed(self, host_id: str, asked: str) -> str:
        body = json.dumps({**chat_document(asked), 'stream': True}).encode()
        client = self._fleet.caller(host_id)
        return ''.join(
            choice['delta'].get('content') or ''
            for event in client.events('/v1/chat/completions', body)
            for choice in event['choices']
        )

    def _whole(self, host_id: str, asked: str) -> str:
        body = json.dumps(chat_document(asked)).encode()
        client = self._fleet.caller(host_id)
        answer = client.expect('POST', '/v1/chat/completions', body)
        text: str = answer.document()['choices'][0]['message']['content']
        return text

    def _reservation(self, host_id: str, asked: str) -> str:
        """Reserve, and resend once with the same key to any host."""
        path = f'/v1/services/{SERVICE_ENTRY}/{asked.replace(" ", "-")}'
        headers = {'Idempotency-Key': uuid.uuid4().hex}
        try:
            answer = self._fleet.caller(host_id).expect(
                'POST',
                path,
                b'{}',
                headers,
            )
        except GuavadykeError:
            answer = self._fleet.caller(self._balanced()).expect(
                'POST',
                path,
                b'{}',
                headers,
            )
        return answer.body.decode()
