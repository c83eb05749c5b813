"""Load generator: callers that send requests and record the answers."""

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
class CallRecord:
    """A request of a caller and its result.

    ``run`` is None for a whole answer; for an error it says whether the
    request has run, and ``reason`` is the message.
    """

    kind: str
    prompt: str
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
    """Threads that each send one request after the other.

    Like a load balancer, a caller chooses the next host that is ready. A
    failed reservation is sent once more with the same idempotency key.

    Args:
        fleet: the fleet that receives the requests.
        callers: number of threads.
    """

    def __init__(self, fleet: ProcessFleet, callers: int) -> None:
        self.calls: list[CallRecord] = []
        self._fleet = fleet
        self._ended = threading.Event()
        self._call_numbers = itertools.count()
        self._threads = [
            threading.Thread(target=self._run_caller, args=(number,))
            for number in range(callers)
        ]

    def start(self) -> None:
        """Start the callers."""
        for thread in self._threads:
            thread.start()

    def end(self) -> None:
        """Stop the callers and wait for their last answers."""
        self._ended.set()
        for thread in self._threads:
            thread.join()

    def _run_caller(self, caller: int) -> None:
        kinds: dict[str, Callable[[str, str], str]] = {
            'streamed': self._stream_chat,
            'whole': self._complete_chat,
            'reservation': self._reserve,
        }
        for kind in itertools.cycle(kinds):
            if self._ended.wait(0.01):
                return
            prompt = f'{kind} {caller} {next(self._call_numbers)}'
            self.calls.append(self._call(kind, prompt, kinds[kind]))

    def _call(
        self,
        kind: str,
        prompt: str,
        send: Callable[[str, str], str],
    ) -> CallRecord:
        try:
            answer = send(self._choose_host(), prompt)
        except GuavadykeError as error:
            return CallRecord(kind, prompt, '', error.run, error.message)
        return CallRecord(kind, prompt, answer, None)

    def _choose_host(self) -> str:
        hosts = list(self._fleet.hosts)
        start = next(self._call_numbers)
        order = [
            hosts[(start + step) % len(hosts)] for step in range(len(hosts))
        ]
        ready = (host_id for host_id in order if self._fleet.ready(host_id))
        return next(ready, order[0])

    def _stream_chat(self, host_id: str, prompt: str) -> str:
        body = json.dumps({**chat_document(prompt), 'stream': True}).encode()
        client = self._fleet.caller(host_id)
        return ''.join(
            choice['delta'].get('content') or ''
            for event in client.events('/v1/chat/completions', body)
            for choice in event['choices']
        )

    def _complete_chat(self, host_id: str, prompt: str) -> str:
        body = json.dumps(chat_document(prompt)).encode()
        client = self._fleet.caller(host_id)
        answer = client.expect('POST', '/v1/chat/completions', body)
        text: str = answer.document()['choices'][0]['message']['content']
        return text

    def _reserve(self, host_id: str, prompt: str) -> str:
        """Send a reservation, after an error once more with the same key."""
        path = f'/v1/services/{SERVICE_ENTRY}/{prompt.replace(" ", "-")}'
        headers = {'Idempotency-Key': uuid.uuid4().hex}
        try:
            answer = self._fleet.caller(host_id).expect(
                'POST',
                path,
                b'{}',
                headers,
            )
        except GuavadykeError:
            answer = self._fleet.caller(self._choose_host()).expect(
                'POST',
                path,
                b'{}',
                headers,
            )
        return answer.body.decode()
