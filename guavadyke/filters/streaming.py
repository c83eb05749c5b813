"""Streamed answers of engines: passed on, resumed, or gathered whole."""

from __future__ import annotations

import collections
import itertools
import json
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
    event,
    resumed_request,
    whole_answer,
)
from guavadyke.decisions.slot import Slot
from guavadyke.errors import ErrorCode, GuavadykeError, RunStatus
from guavadyke.filters.attempts import Attempts, check_status
from guavadyke.filters.backend_request import AttemptTools, SlotSource, Work
from guavadyke.filters.base import Answer
from guavadyke.http_application import error_document

_STREAM_TYPE = 'text/event-stream'
_LIMIT_KEYS = ('max_completion_tokens', 'max_tokens')


class StreamRun:
    """One streamed answer over as many attempts as it takes.

    Args:
        work: the request, whose document asks for a stream.
        source: gives a slot for each attempt.
        tools: what attempts share.
        partial: what an earlier, preempted run has produced.
    """

    def __init__(
        self,
        work: Work,
        source: SlotSource,
        tools: AttemptTools,
        partial: PartialAnswer = EMPTY_ANSWER,
    ) -> None:
        self._work = work
        self._tools = tools
        self._attempts = Attempts(work, source, tools)
        self._relay = StreamRelay(
            chat=work.chat,
            partial=partial,
            answer_token_limit=_longest_tokens(work),
        )
        self._passed = bool(partial.text)

    @property
    def partial(self) -> PartialAnswer:
        """What has been received so far."""
        return self._relay.partial

    @property
    def maybe_ran(self) -> bool:
        """Whether an attempt may have run, or has."""
        return self._attempts.maybe_ran

    def pieces(self) -> Iterator[bytes]:
        """Yield whole events until the answer is whole.

        Raises:
            GuavadykeError: it cannot be made whole.
            PreemptedError: the slot was needed by online requests.
        """
        return self._attempts.run(self._once)

    def answer(self) -> Answer:
        """Return the answer for a caller that reads a stream.

        Raises:
            GuavadykeError: there is no answer, not even its beginning.
        """
        pieces = self.pieces()
        first = next(pieces)
        return Answer(
            status=200,
            body=self._to_the_end(first, pieces),
            content_type=_STREAM_TYPE,
            headers={'Cache-Control': 'no-store'},
        )

    def whole(self) -> dict[str, object]:
        """Gather the whole answer.

        Raises:
            GuavadykeError: it cannot be made whole.
            PreemptedError: the slot was needed by online requests.
        """
        collections.deque(self.pieces(), maxlen=0)
        return whole_answer(self._relay.text, chat=self._work.chat)

    def _to_the_end(
        self,
        first: bytes,
        pieces: Iterator[bytes],
    ) -> Iterator[bytes]:
        """Pass all pieces on, and an error where the rest cannot come."""
        try:
            yield from itertools.chain((first,), pieces)
        except GuavadykeError as error:
            error.run = RunStatus.ran
            self._tools.metrics.count('broken_streams')
            yield event(error_document(error, self._work.request_id))

    def _once(self, slot: Slot) -> Iterator[bytes]:
        if self._passed:
            self._relay.resume()
        with self._attempts.watched(slot):
            try:
                yield from self._relayed(slot)
            except (BackendServerError, StreamFaultError) as error:
                yield from self._after(error)

    def _relayed(self, slot: Slot) -> Iterator[bytes]:
        answer = self._attempts.send(slot, self._body(), whole=False)
        check_status(answer)
        try:
            yield from self._blocks(answer)
        except StreamFaultError:
            answer.cancel()
            raise

    def _blocks(self, answer: BackendAnswer) -> Iterator[bytes]:
        for piece in answer.chunks():
            # What follows the end mark only frees the connection.
            block = b'' if self._relay.complete else self._relay.feed(piece)
            if block:
                self._passed = True
                yield block
        if not self._relay.complete:
            raise StreamFaultError('the stream ended without its end mark')

    def _after(self, error: Exception) -> Iterator[bytes]:
        """End an answer that has all its tokens; else pass the error on."""
        if self._relay.complete:
            return
        closing = self._relay.closing()
        if closing:
            yield closing
            return
        if self._passed and not self._relay.partial.resumable:
            raise GuavadykeError(
                ErrorCode.backend_failed,
                'the stream broke and cannot be resumed',
                run=RunStatus.ran,
            ) from error
        raise _backend_error(error) from error

    def _body(self) -> bytes:
        if not self._passed:
            return self._work.body
        request = resumed_request(
            self._work.document,
            self._relay.partial,
            chat=self._work.chat,
        )
        return json.dumps(request).encode()


def _backend_error(error: Exception) -> BackendServerError:
    if isinstance(error, BackendServerError):
        return error
    fault = BackendFault.broken
    if isinstance(error, CrossedStreamError):
        fault = BackendFault.crossed
    return BackendServerError(fault, str(error), not_run=False)


def _longest_tokens(work: Work) -> int | None:
    limits = (work.document.get(key) for key in _LIMIT_KEYS)
    return next((limit for limit in limits if isinstance(limit, int)), None)
