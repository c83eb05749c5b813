"""Handler of completion requests to the engine stand-in."""

from __future__ import annotations

import collections
import dataclasses
import re

from guavadyke.standins.backend_base import BackendStandin, not_run, send_twice
from guavadyke.standins.completion_format import Completion, parse_completion
from guavadyke.standins.continuous_batching import ContinuousBatch
from guavadyke.standins.faults import BackendFaults
from guavadyke.standins.generation import (
    REQUEST_ID_HEADER,
    AnswerContext,
    Generation,
)
from guavadyke.standins.history import Record
from guavadyke.standins.http import (
    DroppedConnectionError,
    StandinAnswer,
    StandinRequest,
)
from guavadyke.standins.order_executor import OrderExecutor
from guavadyke.standins.standin_base import refusal

_MAX_RECORDED_PROMPT_CHARS = 160
_MAX_RECENT_COMPLETIONS = 16
_REJECT = 'reject'
_CRASH = 'crash'


class CompletionHandler:
    """Answers completion requests by running them in the engine's batch.

    A request whose ``metadata.standin`` is ``reject`` is always answered
    with 400; one with ``crash`` always gets its connection reset.

    Args:
        standin: the engine, with its faults and history.
        batch: runs the requests.
        order_executor: knows the loaded models and whether it drains.
    """

    def __init__(
        self,
        standin: BackendStandin,
        batch: ContinuousBatch,
        order_executor: OrderExecutor,
    ) -> None:
        self._standin = standin
        self._batch = batch
        self._order_executor = order_executor
        self._recent_completions: collections.deque[Completion] = (
            collections.deque(
                maxlen=_MAX_RECENT_COMPLETIONS,
            )
        )

    def complete(
        self,
        request: StandinRequest,
        _match: re.Match[str],
    ) -> StandinAnswer | None:
        """Run a completion.

        Returns:
            The answer, or None if it was already written to the
            connection.

        Raises:
            DroppedConnectionError: a fault or the caller ended the
                connection.
        """
        completion = parse_completion(request)
        refused = self._refusal_answer(completion)
        if refused is not None:
            return refused
        record = self._begin_record(request, completion)
        faults = self._standin.draw_faults()
        self._standin.delay_answer()
        failure = self._failure_answer(request, completion, faults, record)
        if failure is not None:
            return failure
        generation = self._create_generation(request, completion, faults)
        self._batch.submit(generation)
        outcome = generation.wait()
        self._standin.history.end(record, outcome, tokens=generation.tokens)
        if outcome in {'broken', 'cancelled'}:
            self._drop_connection(request)
        if completion.streamed:
            return None
        return _whole_answer(request, completion, generation, faults)

    def _refusal_answer(self, completion: Completion) -> StandinAnswer | None:
        if self._standin.faults.refuse or self._order_executor.state.leaving:
            return not_run('the engine takes no new requests')
        serves = self._order_executor.serves
        if serves and completion.model not in serves:
            return not_run(f'model {completion.model} is not loaded')
        return None

    def _begin_record(
        self, request: StandinRequest, completion: Completion
    ) -> Record:
        return self._standin.history.begin(
            operation='completion',
            request_id=completion.request_id,
            host_id=request.headers.get('guavadyke-host', ''),
            model=completion.model,
            resumed_from=completion.first_index,
            prompt=completion.prompt[-_MAX_RECORDED_PROMPT_CHARS:],
            tokens=0,
        )

    def _failure_answer(
        self,
        request: StandinRequest,
        completion: Completion,
        faults: BackendFaults,
        record: Record,
    ) -> StandinAnswer | None:
        """Return the answer of a request that is set to fail, else None."""
        if completion.marker == _CRASH:
            self._standin.history.end(record, 'crashed')
            request.connection.reset()
        if completion.marker == _REJECT:
            self._standin.history.end(record, 'rejected')
            return refusal(400, 'the request can never be done')
        if faults.error:
            self._standin.history.end(record, 'error')
            return refusal(faults.error, 'the engine failed')
        return None

    def _create_generation(
        self,
        request: StandinRequest,
        completion: Completion,
        faults: BackendFaults,
    ) -> Generation:
        crossed_completion = dataclasses.replace(
            completion,
            request_id=f'{completion.request_id}-other',
            prompt=f'{completion.prompt} other',
        )
        if self._recent_completions:
            crossed_completion = self._recent_completions[0]
        self._recent_completions.appendleft(completion)
        return Generation(
            AnswerContext(
                completion,
                request.connection,
                faults,
                crossed_completion,
                lambda: self._standin.should_reset(request),
                lambda: self._standin.holds(request),
            ),
        )

    def _drop_connection(self, request: StandinRequest) -> None:
        if self._standin.should_reset(request):
            request.connection.reset()
        raise DroppedConnectionError


def _whole_answer(
    request: StandinRequest,
    completion: Completion,
    generation: Generation,
    faults: BackendFaults,
) -> StandinAnswer | None:
    answer = StandinAnswer(
        200,
        generation.whole,
        {
            'Content-Type': 'application/json',
            REQUEST_ID_HEADER: generation.answered_id,
        },
    )
    if not faults.doubled:
        return answer
    send_twice(request.connection, answer)
    return None
