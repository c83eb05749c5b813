"""Streamed answers of language models: relayed, resumed or collected."""

from __future__ import annotations

import collections
import itertools
import json
import threading
from collections.abc import Iterator

from guavadyke.adapters.ports import (
    BackendAnswer,
    BackendFault,
    BackendServerError,
)
from guavadyke.decisions.answer_stream import (
    EMPTY_ANSWER,
    CrossedStreamError,
    PartialAnswer,
    StreamFaultError,
    StreamRelay,
    encode_event,
    resumed_request,
    whole_answer,
)
from guavadyke.decisions.slot import Slot
from guavadyke.errors import ErrorCode, GuavadykeError, RunStatus
from guavadyke.filters.attempts import Attempts, check_status
from guavadyke.filters.backend_request import (
    AttemptTools,
    BackendRequest,
    SlotSource,
)
from guavadyke.filters.base import Answer
from guavadyke.http_application import error_document

_STREAM_TYPE = 'text/event-stream'
_TOKEN_LIMIT_KEYS = ('max_completion_tokens', 'max_tokens')


class StreamRun:
    """One streamed answer, resumed in further attempts if it breaks off.

    Args:
        request: the request; its document must ask for a stream.
        source: provides a backend server slot for each attempt.
        tools: settings, clock and services that all attempts share.
        partial: output of an earlier, preempted run of the request.
    """

    def __init__(
        self,
        request: BackendRequest,
        source: SlotSource,
        tools: AttemptTools,
        partial: PartialAnswer = EMPTY_ANSWER,
    ) -> None:
        self._request = request
        self._tools = tools
        self._attempts = Attempts(request, source, tools, self)
        self._relay = StreamRelay(
            chat=request.chat,
            partial=partial,
            answer_token_limit=_token_limit(request),
        )
        self._has_output = bool(partial.text)
        self._lock = threading.Lock()

    @property
    def partial(self) -> PartialAnswer:
        """The part of the answer received so far."""
        return self._relay.partial

    @property
    def may_continue(self) -> bool:
        """Whether another server can go on with the answer."""
        with self._lock:
            return not self._has_output or self._relay.partial.resumable

    @property
    def lacks_only_end(self) -> bool:
        """Whether the answer can be completed without a server."""
        with self._lock:
            return self._relay.lacks_only_end

    @property
    def maybe_ran(self) -> bool:
        """Whether a backend server may have run the request."""
        return self._attempts.maybe_ran

    def pieces(self) -> Iterator[bytes]:
        """Yield complete events until the end of the answer.

        Raises:
            GuavadykeError: the answer cannot be completed.
            PreemptedError: the slot was needed by online requests.
        """
        return self._attempts.run(self._attempt)

    def answer(self) -> Answer:
        """Return a streamed response, after its first event has arrived.

        Raises:
            GuavadykeError: the request failed before its first event.
        """
        pieces = self.pieces()
        first = next(pieces)
        return Answer(
            status=200,
            body=self._with_final_error(first, pieces),
            content_type=_STREAM_TYPE,
            headers={'Cache-Control': 'no-store'},
        )

    def whole(self) -> dict[str, object]:
        """Collect the complete answer and return it as one document.

        Raises:
            GuavadykeError: the answer cannot be completed.
            PreemptedError: the slot was needed by online requests.
        """
        collections.deque(self.pieces(), maxlen=0)
        return whole_answer(self._relay.text, chat=self._request.chat)

    def _with_final_error(
        self,
        first: bytes,
        pieces: Iterator[bytes],
    ) -> Iterator[bytes]:
        """Yield all events, and an error event if the answer breaks off."""
        try:
            yield from itertools.chain((first,), pieces)
        except GuavadykeError as error:
            error.run = RunStatus.ran
            self._tools.metrics.increment('broken_streams')
            yield encode_event(error_document(error, self._request.request_id))

    def _attempt(self, slot: Slot) -> Iterator[bytes]:
        if self._has_output:
            self._relay.resume()
        with self._attempts.watch_call(slot):
            try:
                yield from self._relay_attempt(slot)
            except (BackendServerError, StreamFaultError) as error:
                yield from self._finish_or_raise(error)

    def _relay_attempt(self, slot: Slot) -> Iterator[bytes]:
        answer = self._attempts.send(slot, self._request_body(), whole=False)
        check_status(answer)
        try:
            yield from self._relay_blocks(answer)
        except StreamFaultError:
            answer.cancel()
            raise

    def _relay_blocks(self, answer: BackendAnswer) -> Iterator[bytes]:
        for piece in answer.chunks():
            block = self._feed(piece)
            if block:
                with self._attempts.hold():
                    yield block
        if not self._relay.complete:
            raise StreamFaultError('the stream ended without its end mark')

    def _feed(self, piece: bytes) -> bytes:
        """Return the whole events that a piece completes."""
        with self._lock:
            # Read on after the end mark, to free the connection for reuse.
            if self._relay.complete:
                return b''
            block = self._relay.feed(piece)
            self._has_output = self._has_output or bool(block)
        return block

    def _finish_or_raise(self, error: Exception) -> Iterator[bytes]:
        """Finish an answer that lacks only its end, else raise the error.

        An answer with as many tokens as the request allows is complete even
        if its end mark was lost.
        """
        if self._relay.complete:
            return
        closing = self._relay.closing_events()
        if closing:
            yield closing
            return
        if self._has_output and not self._relay.partial.resumable:
            raise GuavadykeError(
                ErrorCode.backend_failed,
                'the stream broke and cannot be resumed',
                run=RunStatus.ran,
            ) from error
        raise _backend_error(error) from error

    def _request_body(self) -> bytes:
        if not self._has_output:
            return self._request.body
        resumed = resumed_request(
            self._request.document,
            self._relay.partial,
            chat=self._request.chat,
        )
        return json.dumps(resumed).encode()


def _backend_error(error: Exception) -> BackendServerError:
    if isinstance(error, BackendServerError):
        return error
    fault = BackendFault.broken
    if isinstance(error, CrossedStreamError):
        fault = BackendFault.crossed
    return BackendServerError(fault, str(error), not_run=False)


def _token_limit(request: BackendRequest) -> int | None:
    limits = (request.document.get(key) for key in _TOKEN_LIMIT_KEYS)
    return next((limit for limit in limits if isinstance(limit, int)), None)
