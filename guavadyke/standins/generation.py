"""Token generation and streaming of one request in the engine stand-in."""

from __future__ import annotations

import dataclasses
import threading
from collections.abc import Callable

from waitress.channel import ClientDisconnected

from guavadyke.standins.completion_format import (
    AnswerRenderer,
    Completion,
    prompt_seed,
    seeded_token,
)
from guavadyke.standins.faults import BackendFaults
from guavadyke.standins.http import Connection, Write

_STREAM_TYPE = 'text/event-stream; charset=utf-8'
REQUEST_ID_HEADER = 'X-Request-Id'


def stream_headers(request_id: str) -> dict[str, str]:
    """Return the HTTP headers of a streamed answer."""
    return {
        'Content-Type': _STREAM_TYPE,
        'Cache-Control': 'no-cache',
        REQUEST_ID_HEADER: request_id,
    }


@dataclasses.dataclass(frozen=True)
class AnswerContext:
    """A request with its connection and faults.

    ``faults`` are those that affect this request; ``crossed_completion``
    is the request whose answer is sent instead if answers are crossed.
    ``broken`` returns whether the connection is to be reset, ``held``
    whether nothing may be sent now.
    """

    completion: Completion
    connection: Connection
    faults: BackendFaults
    crossed_completion: Completion
    broken: Callable[[], bool]
    held: Callable[[], bool]


class Generation:
    """A request of the batch; it streams each token as it is generated.

    Args:
        context: the request, its connection and its faults.
    """

    def __init__(self, context: AnswerContext) -> None:
        self.prefill_left = context.completion.prompt_tokens
        self.outcome = 'waiting'
        self._context = context
        self._next_index = context.completion.first_index
        self._renderer = AnswerRenderer(context.completion)
        self._seed = prompt_seed(context.completion.prompt)
        self._write: Write | None = None
        self._ended = threading.Event()
        self.answered_id = context.completion.request_id
        if context.faults.crossed:
            self.answered_id = context.crossed_completion.request_id
            self._switch_to_crossed_answer()

    @property
    def prompt(self) -> str:
        """The prompt, which is looked up in the prefix cache."""
        return self._context.completion.prompt

    @property
    def is_disconnected(self) -> bool:
        """Whether the caller has disconnected or a fault resets it."""
        return (
            self._context.connection.is_disconnected or self._context.broken()
        )

    @property
    def tokens(self) -> int:
        """Number of tokens generated so far."""
        return self._next_index - self._context.completion.first_index

    @property
    def whole(self) -> bytes:
        """The answer to a request that is not streamed."""
        first_index = self._context.completion.first_index
        text = ''.join(
            seeded_token(self._seed, index)
            for index in range(first_index, self._next_index)
        )
        return self._renderer.whole(text, self.tokens)

    def admit(self, cached_tokens: int) -> None:
        """Start the request; ``cached_tokens`` of its prompt are cached."""
        self.prefill_left = max(1, self.prefill_left - cached_tokens)
        self.outcome = 'running'

    def step(self) -> bool:
        """Generate one token; return whether the request stays in its slot."""
        if self.outcome != 'running' or self._context.held():
            return True
        try:
            return self._advance()
        except (ClientDisconnected, OSError):
            self.abandon()
            return False

    def abandon(self) -> None:
        """End the request as cancelled, without the rest of its answer."""
        self._end('cancelled')

    def wait(self) -> str:
        """Block until the request has ended and return its outcome."""
        self._ended.wait()
        return self.outcome

    def _advance(self) -> bool:
        completion = self._context.completion
        if self._next_index < completion.end_index:
            self._emit_token()
        if self._apply_answer_fault():
            return self.outcome == 'silent'
        if self._next_index < completion.end_index:
            return True
        if completion.streamed:
            self._send(self._renderer.end_events(self.tokens))
        self._repeat_if_doubled()
        self._end('completed')
        return False

    def _emit_token(self) -> None:
        if self.tokens == self._context.faults.crossed_after:
            self._switch_to_crossed_answer()
        text = seeded_token(self._seed, self._next_index)
        self._next_index += 1
        if self._context.completion.streamed:
            self._send(self._renderer.token(text))

    def _apply_answer_fault(self) -> bool:
        """Interrupt or end the answer if a fault is due; return whether."""
        faults = self._context.faults
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

    def _repeat_if_doubled(self) -> None:
        """Send the tokens of a stream again if the fault ``doubled`` is set."""
        completion = self._context.completion
        if self._context.faults.doubled and completion.streamed:
            texts = (
                seeded_token(self._seed, index)
                for index in range(completion.first_index, self._next_index)
            )
            self._send(b''.join(self._renderer.token(text) for text in texts))

    def _switch_to_crossed_answer(self) -> None:
        crossed_completion = self._context.crossed_completion
        self._renderer = AnswerRenderer(crossed_completion)
        self._seed = prompt_seed(crossed_completion.prompt)

    def _send(self, piece: bytes) -> None:
        if self._write is None:
            self._write = self._context.connection.start_answer(
                200,
                stream_headers(self.answered_id),
            )
        self._write(piece)

    def _end(self, outcome: str) -> None:
        self.outcome = outcome
        self._ended.set()
