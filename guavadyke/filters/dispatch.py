"""Last step of the chain: requests become work on backend servers."""

from __future__ import annotations

import collections
import dataclasses
import json
from collections.abc import Iterator, Mapping
from typing import Any
from urllib.parse import quote

from guavadyke.adapters.ports import (
    BackendFault,
    BackendServerError,
)
from guavadyke.decisions.slot import Slot
from guavadyke.errors import ErrorCode, GuavadykeError, RunStatus
from guavadyke.filters.attempts import Attempts, check_status
from guavadyke.filters.backend_request import AttemptTools, SlotSource, Work
from guavadyke.filters.base import Answer, Exchange
from guavadyke.filters.slot_pool import SlotRequest
from guavadyke.filters.streaming import StreamRun
from guavadyke.http_application import json_answer

_KEY_BYTES = 256
_LONGEST_ANSWER_BYTES = 16_777_216
_NOT_FORWARDED = frozenset((
    'accept-encoding',
    'authorization',
    'connection',
    'content-length',
    'expect',
    'host',
    'keep-alive',
    'te',
    'trailer',
    'transfer-encoding',
    'upgrade',
))
_OWN_PREFIXES = ('guavadyke-', 'proxy-', 'x-request-id')
_COMPLEX_KEYS = ('tools', 'functions', 'logprobs', 'top_logprobs', 'audio')
_NOT_RETURNED = _NOT_FORWARDED | {'content-type', 'server', 'date'}
_HOST_HEADER = 'guavadyke-host'


class OnlineSlots:
    """Slots for the attempts at one online request.

    Args:
        work: the request.
        tools: what attempts share.
        queue: how many of the entry may wait, None for no bound.
    """

    def __init__(
        self, work: Work, tools: AttemptTools, queue: int | None
    ) -> None:
        self._work = work
        self._tools = tools
        self._queue = queue

    def acquire(self, excluded: frozenset[str]) -> Slot:
        """Wait for a slot.

        Raises:
            GuavadykeError: there is none in time.
        """
        began_at = self._tools.clock.monotonic()
        slot = self._tools.capacity.acquire(
            SlotRequest(
                entry_name=self._work.entry_name,
                key=affinity_key(self._work),
                deadline=self._work.deadline,
                abandoned=self._work.abandoned,
                excluded=excluded,
                queue=self._queue,
            ),
        )
        waited_s = self._tools.clock.monotonic() - began_at
        self._tools.metrics.record('queue_wait', waited_s)
        return slot


class Dispatcher:
    """Runs requests that have passed all filters.

    Args:
        tools: what attempts share.
        host_id: this host, told to backend servers.
    """

    def __init__(self, tools: AttemptTools, host_id: str) -> None:
        self._tools = tools
        self._host_id = host_id

    def model(self, exchange: Exchange) -> Answer:
        """Run a request on a language model.

        Raises:
            GuavadykeError: there is no answer.
        """
        work = self._work(exchange)
        if exchange.streamed:
            return self._stream(work, exchange)
        if work.idempotent and is_simple(work.document):
            return self._gathered(work, exchange)
        return self._whole(work, exchange)

    def service(self, exchange: Exchange) -> Answer:
        """Run a request on a plain service.

        Raises:
            GuavadykeError: there is no answer.
        """
        work = dataclasses.replace(
            self._work(exchange),
            path=_service_path(exchange),
        )
        return self._whole(work, exchange)

    def _stream(self, work: Work, exchange: Exchange) -> Answer:
        source = self._slots(work, exchange)
        run = StreamRun(work, source, self._tools)
        answer = run.answer()
        now = self._tools.clock.monotonic()
        first_s = now - exchange.received_at
        self._tools.metrics.record('time_to_first_token', first_s)
        return answer

    def _gathered(self, work: Work, exchange: Exchange) -> Answer:
        work = streamed_work(work)
        source = self._slots(work, exchange)
        run = StreamRun(work, source, self._tools)
        return json_answer(run.whole())

    def _whole(self, work: Work, exchange: Exchange) -> Answer:
        source = self._slots(work, exchange)
        return WholeRun(work, source, self._tools).answer()

    def _slots(self, work: Work, exchange: Exchange) -> OnlineSlots:
        entry = exchange.entry
        queue = entry.limits.queue if entry else None
        return OnlineSlots(work, self._tools, queue)

    def _work(self, exchange: Exchange) -> Work:
        headers = {
            name: text
            for name, text in exchange.headers.items()
            if name not in _NOT_FORWARDED and not name.startswith(_OWN_PREFIXES)
        }
        return Work(
            request_id=exchange.request_id,
            entry_name=exchange.entry_name,
            method=exchange.method,
            path=exchange.path,
            headers={**headers, _HOST_HEADER: self._host_id},
            body=exchange.body,
            idempotent=exchange.idempotent,
            deadline=exchange.deadline,
            abandoned=exchange.disconnected,
            document=exchange.document,
            kept=bool(exchange.idempotency_key) or not exchange.idempotent,
        )


class WholeRun:
    """One answer that is passed on as a whole.

    Args:
        work: the request.
        source: gives a slot for each attempt.
        tools: what attempts share.
    """

    def __init__(
        self, work: Work, source: SlotSource, tools: AttemptTools
    ) -> None:
        self._work = work
        self._tools = tools
        self._attempts = Attempts(work, source, tools)

    @property
    def maybe_ran(self) -> bool:
        """Whether an attempt may have run, or has."""
        return self._attempts.maybe_ran

    def answer(self) -> Answer:
        """Return the backend server's answer.

        Raises:
            GuavadykeError: there is none.
        """
        answers = collections.deque(self._attempts.run(self._once), maxlen=1)
        return answers.pop()

    def _once(self, slot: Slot) -> Iterator[Answer]:
        work = self._work
        with self._attempts.watched(slot):
            answer = self._attempts.send(slot, work.body, whole=True)
            if work.document:
                check_status(answer)
            body = b''.join(self._bounded(answer.chunks()))
        if work.document and not _is_json(body):
            raise BackendServerError(
                BackendFault.broken,
                'the answer is not whole JSON',
                not_run=False,
            )
        headers = {
            name: text
            for name, text in answer.headers.items()
            if name not in _NOT_RETURNED and not name.startswith(_OWN_PREFIXES)
        }
        content_type = answer.headers.get('content-type', 'application/json')
        yield Answer(answer.status, body, content_type, headers)

    def _bounded(self, pieces: Iterator[bytes]) -> Iterator[bytes]:
        received = 0
        for piece in pieces:
            received += len(piece)
            if received > _LONGEST_ANSWER_BYTES:
                raise GuavadykeError(
                    ErrorCode.backend_failed,
                    f'the answer has more than {_LONGEST_ANSWER_BYTES} bytes',
                    run=RunStatus.ran,
                )
            yield piece


def streamed_work(work: Work) -> Work:
    """Return the same request for a model, asking for a stream."""
    document = {
        **work.document,
        'stream': True,
        'stream_options': {'include_usage': True},
    }
    return dataclasses.replace(
        work,
        document=document,
        body=json.dumps(document).encode(),
    )


def is_simple(document: Mapping[str, Any]) -> bool:
    """Return whether text is all that the answer holds."""
    return document.get('n') in {None, 1} and not any(
        document.get(key) for key in _COMPLEX_KEYS
    )


def affinity_key(work: Work) -> bytes:
    """Return what requests share that had better meet one engine."""
    messages = work.document.get('messages')
    prompt = work.document.get('prompt', '')
    text = messages[0].get('content') if messages else prompt
    return f'{work.entry_name}\0{text}'.encode()[:_KEY_BYTES]


def _service_path(exchange: Exchange) -> str:
    path = quote(f'/{exchange.path_parts["path"]}')
    query = exchange.query_string
    return f'{path}?{query}' if query else path


def _is_json(body: bytes) -> bool:
    try:
        json.loads(body)
    except ValueError:
        return False
    return True
