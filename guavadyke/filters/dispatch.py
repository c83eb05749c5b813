"""Last handler of the chain: sends requests to backend servers."""

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
from guavadyke.decisions.request_headers import (
    CONNECTION_HEADERS,
    end_to_end_headers,
)
from guavadyke.decisions.slot import Slot
from guavadyke.errors import ErrorCode, GuavadykeError, RunStatus
from guavadyke.filters.attempt_silence import UnseenAnswer
from guavadyke.filters.attempts import Attempts, check_status
from guavadyke.filters.backend_request import (
    AttemptTools,
    BackendRequest,
    SlotSource,
)
from guavadyke.filters.base import Answer, Exchange
from guavadyke.filters.slot_pool import SlotRequest
from guavadyke.filters.streaming import StreamRun
from guavadyke.http_application import json_answer

_MAX_AFFINITY_KEY_BYTES = 256
_MAX_ANSWER_BYTES = 16_777_216
# Headers of the caller's request that servers do not get.
_UNFORWARDED_HEADERS = frozenset(('accept-encoding', 'authorization', 'host'))
_INTERNAL_HEADER_PREFIXES = ('guavadyke-', 'proxy-', 'x-request-id')
_NON_TEXT_KEYS = ('tools', 'functions', 'logprobs', 'top_logprobs', 'audio')
_UNRETURNED_HEADERS = (
    CONNECTION_HEADERS
    | _UNFORWARDED_HEADERS
    | {'content-type', 'server', 'date'}
)
_HOST_HEADER = 'guavadyke-host'


class OnlineSlots:
    """Allocates slots for the attempts at one online request.

    Args:
        request: the request.
        tools: settings, clock and services that all attempts share.
        queue: maximum number of requests of the entry that may wait,
            None for no limit of the entry's own.
    """

    def __init__(
        self,
        request: BackendRequest,
        tools: AttemptTools,
        queue: int | None,
    ) -> None:
        self._request = request
        self._tools = tools
        self._queue = queue

    def acquire(self, excluded: frozenset[str]) -> Slot:
        """Wait for a slot and record the waiting time.

        Raises:
            GuavadykeError: no slot became free before the deadline.
        """
        began_at = self._tools.clock.monotonic()
        slot = self._tools.capacity.acquire(self._slot_request(excluded))
        waited_s = self._tools.clock.monotonic() - began_at
        self._tools.metrics.record('queue_wait', waited_s)
        return slot

    def reserve(self, excluded: frozenset[str]) -> Slot | None:
        """Return a free slot at a server that is not excluded, or None."""
        return self._tools.capacity.try_acquire(self._slot_request(excluded))

    def _slot_request(self, excluded: frozenset[str]) -> SlotRequest:
        return SlotRequest(
            entry_name=self._request.entry_name,
            key=affinity_key(self._request),
            deadline=self._request.deadline,
            abandoned=self._request.abandoned,
            excluded=excluded,
            queue=self._queue,
        )


class Dispatcher:
    """Sends requests that have passed all filters to backend servers.

    Args:
        tools: settings, clock and services that all attempts share.
        host_id: id of this host, sent to backend servers in a header.
    """

    def __init__(self, tools: AttemptTools, host_id: str) -> None:
        self._tools = tools
        self._host_id = host_id

    def model(self, exchange: Exchange) -> Answer:
        """Run a request on a language model.

        An idempotent request for a plain text answer is sent as a stream
        even if the caller wants the answer whole, so that it can be
        resumed on another server.

        Raises:
            GuavadykeError: the request failed.
        """
        request = self._build_request(exchange)
        if exchange.streamed:
            return self._run_streamed(request, exchange)
        if request.idempotent and has_text_answer_only(request.document):
            return self._collect_stream(request, exchange)
        return self._run_buffered(request, exchange)

    def service(self, exchange: Exchange) -> Answer:
        """Run a request on a plain service.

        Raises:
            GuavadykeError: the request failed.
        """
        request = dataclasses.replace(
            self._build_request(exchange),
            path=_service_path(exchange),
        )
        return self._run_buffered(request, exchange)

    def _run_streamed(
        self,
        request: BackendRequest,
        exchange: Exchange,
    ) -> Answer:
        source = self._slot_source(request, exchange)
        run = StreamRun(request, source, self._tools)
        answer = run.answer()
        now = self._tools.clock.monotonic()
        to_first_token_s = now - exchange.received_at
        self._tools.metrics.record('time_to_first_token', to_first_token_s)
        return answer

    def _collect_stream(
        self,
        request: BackendRequest,
        exchange: Exchange,
    ) -> Answer:
        request = as_streaming_request(request)
        source = self._slot_source(request, exchange)
        run = StreamRun(request, source, self._tools)
        return json_answer(run.whole())

    def _run_buffered(
        self,
        request: BackendRequest,
        exchange: Exchange,
    ) -> Answer:
        source = self._slot_source(request, exchange)
        return BufferedRun(request, source, self._tools).answer()

    def _slot_source(
        self,
        request: BackendRequest,
        exchange: Exchange,
    ) -> OnlineSlots:
        entry = exchange.entry
        queue = entry.limits.queue if entry else None
        return OnlineSlots(request, self._tools, queue)

    def _build_request(self, exchange: Exchange) -> BackendRequest:
        headers = {
            name: text
            for name, text in end_to_end_headers(exchange.headers).items()
            if name not in _UNFORWARDED_HEADERS
            and not name.startswith(_INTERNAL_HEADER_PREFIXES)
        }
        return BackendRequest(
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
            completes_if_abandoned=bool(exchange.idempotency_key)
            or not exchange.idempotent,
        )


class BufferedRun:
    """A request whose complete answer is received before it is returned.

    Args:
        request: the request.
        source: provides a backend server slot for each attempt.
        tools: settings, clock and services that all attempts share.
    """

    def __init__(
        self,
        request: BackendRequest,
        source: SlotSource,
        tools: AttemptTools,
    ) -> None:
        self._request = request
        self._tools = tools
        self._attempts = Attempts(request, source, tools, UnseenAnswer())

    @property
    def maybe_ran(self) -> bool:
        """Whether a backend server may have run the request."""
        return self._attempts.maybe_ran

    def answer(self) -> Answer:
        """Return the backend server's answer.

        Raises:
            GuavadykeError: the request failed.
        """
        answers = collections.deque(self._attempts.run(self._attempt), maxlen=1)
        return answers.pop()

    def _attempt(self, slot: Slot) -> Iterator[Answer]:
        request = self._request
        with self._attempts.watch_call(slot):
            answer = self._attempts.send(slot, request.body, whole=True)
            if request.document:
                check_status(answer)
            body = b''.join(self._limit_size(answer.chunks()))
        if request.document and not _is_valid_json(body):
            raise BackendServerError(
                BackendFault.broken,
                'the answer is not whole JSON',
                not_run=False,
            )
        headers = {
            name: text
            for name, text in answer.headers.items()
            if name not in _UNRETURNED_HEADERS
            and not name.startswith(_INTERNAL_HEADER_PREFIXES)
        }
        content_type = answer.headers.get('content-type', 'application/json')
        yield Answer(answer.status, body, content_type, headers)

    def _limit_size(self, pieces: Iterator[bytes]) -> Iterator[bytes]:
        received = 0
        for piece in pieces:
            received += len(piece)
            if received > _MAX_ANSWER_BYTES:
                raise GuavadykeError(
                    ErrorCode.backend_failed,
                    f'the answer has more than {_MAX_ANSWER_BYTES} bytes',
                    run=RunStatus.ran,
                )
            yield piece


def as_streaming_request(request: BackendRequest) -> BackendRequest:
    """Return the same model request with a streamed answer."""
    document = {
        **request.document,
        'stream': True,
        'stream_options': {'include_usage': True},
    }
    return dataclasses.replace(
        request,
        document=document,
        body=json.dumps(document).encode(),
    )


def has_text_answer_only(document: Mapping[str, Any]) -> bool:
    """Return whether the answer is a single choice of plain text."""
    return document.get('n') in {None, 1} and not any(
        document.get(key) for key in _NON_TEXT_KEYS
    )


def affinity_key(request: BackendRequest) -> bytes:
    """Return the key for requests that should reach the same server.

    It is the entry and the beginning of the prompt, so that the engine's
    prefix cache can be used.
    """
    messages = request.document.get('messages')
    prompt = request.document.get('prompt', '')
    text = messages[0].get('content') if messages else prompt
    return f'{request.entry_name}\0{text}'.encode()[:_MAX_AFFINITY_KEY_BYTES]


def _service_path(exchange: Exchange) -> str:
    path = quote(f'/{exchange.path_parts["path"]}')
    query = exchange.query_string
    return f'{path}?{query}' if query else path


def _is_valid_json(body: bytes) -> bool:
    try:
        json.loads(body)
    except ValueError:
        return False
    return True
