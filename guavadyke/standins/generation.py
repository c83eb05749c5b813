"""One request in the engine stand-in, from its slot to its last token."""

from __future__ import annotations

import dataclasses
import threading
from collections.abc import Callable

from waitress.channel import ClientDisconnected

from guavadyke.standins.completion_format import (
    AnswerShape,
    Completion,
    prompt_seed,
    seeded_token,
)
from guavadyke.standins.faults import BackendFaults
from guavadyke.standins.http import Connection, Write

_STREAM_TYPE = 'text/event-stream; charset=utf-8'
REQUEST_ID_HEADER = 'X-Request-Id'


def stream_headers(request_id: str) -> dict[str, str]:
    """Return the head of a streamed answer."""
    return {
        'Content-Type': _STREAM_TYPE,
        'Cache-Control': 'no-cache',
        REQUEST_ID_HEADER: request_id,
    }


@dataclasses.dataclass(frozen=True)
class Answering:
    """What a request is answered with.

    ``faults`` are those that hit this request; ``other`` is the request
    whose answer is given where answers cross. ``broken`` tells whether
    the connection is to be reset, ``held`` whether nothing is sent now.
    """

    completion: Completion
    connection: Connection
    faults: BackendFaults
    other: Completion
    broken: Callable[[], bool]
    held: Callable[[], bool]


class Generation:
    """A job of the batch that writes its tokens as they come.

    Args:
        answering: the request and where its answer goes.
    """

    def __init__(self, answering: Answering) -> None:
        self.prefill_left = answering.completion.prompt_tokens
        self.outcome = 'waiting'
        self._answering = answering
        self._index = answering.completion.first
        self._shape = AnswerShape(answering.completion)
        self._seed = prompt_seed(answering.completion.prompt)
        self._write: Write | None = None
        self._ended = threading.Event()
        self.answered_id = answering.completion.request_id
        if answering.faults.crossed:
            self.answered_id = answering.other.request_id
            self._cross()

    @property
    def prompt(self) -> str:
        """The prompt, for the prefix cache."""
        return self._answering.completion.prompt

    @property
    def lost(self) -> bool:
        """Whether the caller has left or the engine drops everything."""
        return self._answering.connection.lost or self._answering.broken()

    @property
    def tokens(self) -> int:
        """Tokens generated so far."""
        return self._index - self._answering.completion.first

    @property
    def whole(self) -> bytes:
        """The answer to a request that is not streamed."""
        first = self._answering.completion.first
        text = ''.join(
            seeded_token(self._seed, index)
            for index in range(first, self._index)
        )
        return self._shape.whole(text, self.tokens)

    def admit(self, cached_tokens: int) -> None:
        """Take a slot; so many tokens of the prompt are cached."""
        self.prefill_left = max(1, self.prefill_left - cached_tokens)
        self.outcome = 'running'

    def step(self) -> bool:
        """Generate one token; return whether the request goes on."""
        if self.outcome != 'running' or self._answering.held():
            return True
        try:
            return self._advance()
        except (ClientDisconnected, OSError):
            self.abandon()
            return False

    def abandon(self) -> None:
        """End without the rest of the answer."""
        self._end('cancelled')

    def wait(self) -> str:
        """Block until the request has ended and return how."""
        self._ended.wait()
        return self.outcome

    def _advance(self) -> bool:
        completion = self._answering.completion
        if self._index < completion.end:
            self._emit()
        if self._interrupted():
            return self.outcome == 'silent'
        if self._index < completion.end:
            return True
        if completion.streamed:
            self._send(self._shape.last(self.tokens))
        self._repeat()
        self._end('completed')
        return False

    def _emit(self) -> None:
        if self.tokens == self._answering.faults.crossed_after:
            self._cross()
        text = seeded_token(self._seed, self._index)
        self._index += 1
        if self._answering.completion.streamed:
            self._send(self._shape.token(text))

    def _interrupted(self) -> bool:
        """Break off where a fault says so."""
        faults = self._answering.faults
        if self.tokens == faults.silent_after:
            self.outcome = 'silent'
            return True
        if self.tokens == faults.broken_after:
            self._end('broken')
            return True
        if self.tokens == faults.ended_after:
            self._end('ended')
            return True
        return False

    def _repeat(self) -> None:
        """Send the answer's tokens again after its end."""
        completion = self._answering.completion
        if self._answering.faults.doubled and completion.streamed:
            texts = (
                seeded_token(self._seed, index)
                for index in range(completion.first, self._index)
            )
            self._send(b''.join(self._shape.token(text) for text in texts))

    def _cross(self) -> None:
        other = self._answering.other
        self._shape = AnswerShape(other)
        self._seed = prompt_seed(other.prompt)

    def _send(self, piece: bytes) -> None:
        if self._write is None:
            self._write = self._answering.connection.start(
                200,
                stream_headers(self.answered_id),
            )
        self._write(piece)

    def _end(self, outcome: str) -> None:
        self.outcome = outcome
        self._ended.set()
