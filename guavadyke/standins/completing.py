"""Completions of the engine stand-in, from request to answer."""

from __future__ import annotations

import collections
import dataclasses
import re

from guavadyke.standins.backend import BackendStandin, not_run, send_twice
from guavadyke.standins.completion_format import Completion, parse_completion
from guavadyke.standins.continuous_batching import Batch
from guavadyke.standins.control import refusal
from guavadyke.standins.faults import BackendFaults
from guavadyke.standins.generation import (
    REQUEST_ID_HEADER,
    Answering,
    Generation,
)
from guavadyke.standins.history import Record
from guavadyke.standins.http import (
    DroppedConnectionError,
    StandinAnswer,
    StandinRequest,
)
from guavadyke.standins.order_executor import OrderDesk

_RECORDED_CHARS = 160
_KEPT_OTHERS = 16
_REJECT = 'reject'
_CRASH = 'crash'


class Completions:
    """Runs completions in an engine's batch.

    A body whose ``metadata.standin`` is ``reject`` is always answered
    400; one that says ``crash`` always loses its connection.

    Args:
        standin: the engine, for its faults and history.
        batch: where requests run.
        desk: which models are loaded.
    """

    def __init__(
        self,
        standin: BackendStandin,
        batch: Batch,
        desk: OrderDesk,
    ) -> None:
        self._standin = standin
        self._batch = batch
        self._desk = desk
        self._others: collections.deque[Completion] = collections.deque(
            maxlen=_KEPT_OTHERS,
        )

    def complete(
        self,
        request: StandinRequest,
        _match: re.Match[str],
    ) -> StandinAnswer | None:
        """Run a request and answer it."""
        completion = parse_completion(request)
        refused = self._refusal(completion)
        if refused is not None:
            return refused
        record = self._begin(request, completion)
        faults = self._standin.faults_of_one()
        self._standin.delay()
        failed = self._failure(request, completion, faults, record)
        if failed is not None:
            return failed
        generation = self._generation(request, completion, faults)
        self._batch.submit(generation)
        outcome = generation.wait()
        self._standin.history.end(record, outcome, tokens=generation.tokens)
        if outcome in {'broken', 'cancelled'}:
            self._drop(request)
        if completion.streamed:
            return None
        return _whole(request, completion, generation, faults)

    def _refusal(self, completion: Completion) -> StandinAnswer | None:
        if self._standin.faults.refuse or self._desk.state.leaving:
            return not_run('the engine takes no new requests')
        serves = self._desk.serves
        if serves and completion.model not in serves:
            return not_run(f'model {completion.model} is not loaded')
        return None

    def _begin(self, request: StandinRequest, completion: Completion) -> Record:
        return self._standin.history.begin(
            operation='completion',
            request_id=completion.request_id,
            host_id=request.headers.get('guavadyke-host', ''),
            model=completion.model,
            resumed_from=completion.first,
            prompt=completion.prompt[-_RECORDED_CHARS:],
            tokens=0,
        )

    def _failure(
        self,
        request: StandinRequest,
        completion: Completion,
        faults: BackendFaults,
        record: Record,
    ) -> StandinAnswer | None:
        """Answer a request that is not to succeed."""
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

    def _generation(
        self,
        request: StandinRequest,
        completion: Completion,
        faults: BackendFaults,
    ) -> Generation:
        other = dataclasses.replace(
            completion,
            request_id=f'{completion.request_id}-other',
            prompt=f'{completion.prompt} other',
        )
        if self._others:
            other = self._others[0]
        self._others.appendleft(completion)
        return Generation(
            Answering(
                completion,
                request.connection,
                faults,
                other,
                lambda: self._standin.resets(request),
                lambda: self._standin.holds(request),
            ),
        )

    def _drop(self, request: StandinRequest) -> None:
        if self._standin.resets(request):
            request.connection.reset()
        raise DroppedConnectionError


def _whole(
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
