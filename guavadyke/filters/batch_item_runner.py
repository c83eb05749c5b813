"""Runs batch items on slots that online requests leave idle."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from typing import Any, Protocol

from guavadyke.adapters.ports import (
    Cancellation,
    ItemCall,
    ItemEnd,
    ItemResult,
)
from guavadyke.catalogue import ModelEntry
from guavadyke.decisions.answer_stream import PartialAnswer
from guavadyke.decisions.slot import Slot
from guavadyke.errors import ErrorCode, GuavadykeError, RunStatus
from guavadyke.filters.attempts import PreemptedError
from guavadyke.filters.backend_request import (
    CHAT_PATH,
    COMPLETIONS_PATH,
    AttemptTools,
    BackendRequest,
)
from guavadyke.filters.dispatch import (
    BufferedRun,
    as_streaming_request,
    has_text_answer_only,
)
from guavadyke.filters.streaming import StreamRun
from guavadyke.snapshots import CatalogueSnapshot, SnapshotCell

_MAX_WAIT_S = 1.0
_POLL_INTERVAL_S = 0.02
_HOST_HEADER = 'guavadyke-host'
_FIRST_SERVER_ERROR = 500
_FIRST_CLIENT_ERROR = 400
_SUCCESS_STATUSES = range(200, 300)


class BatchSlots:
    """Allocates slots for the attempts at one batch item.

    Args:
        request: the request of the item.
        tools: settings, clock and services that all attempts share.
    """

    def __init__(self, request: BackendRequest, tools: AttemptTools) -> None:
        self._build_request = request
        self._tools = tools

    def acquire(self, excluded: frozenset[str]) -> Slot:
        """Return an idle slot.

        A host that sends batch items of the entry waits up to a second
        for one.

        Raises:
            GuavadykeError: ``overloaded``; no slot is idle.
        """
        clock = self._tools.clock
        until = clock.monotonic()
        if self._tools.capacity.sends_batch(self._build_request.entry_name):
            until += _MAX_WAIT_S
        while not self._build_request.abandoned():
            slot = self._tools.capacity.acquire_batch(
                self._build_request.entry_name,
                non_preemptible=not self._build_request.idempotent,
            )
            if slot is not None:
                return slot
            if clock.monotonic() >= until:
                break
            clock.sleep(_POLL_INTERVAL_S)
        raise GuavadykeError(
            ErrorCode.overloaded,
            'online requests leave no capacity idle',
        )

    def reserve(self, excluded: frozenset[str]) -> Slot | None:
        """Return an idle slot at a server that is not excluded, or None."""
        return self._tools.capacity.acquire_batch(
            self._build_request.entry_name,
            non_preemptible=not self._build_request.idempotent,
            excluded=excluded,
        )


class _ItemRun(Protocol):
    """The run of one batch item."""

    @property
    def partial(self) -> PartialAnswer:
        """The part of the answer received so far."""
        ...

    @property
    def maybe_ran(self) -> bool:
        """Whether a backend server may have run the request."""
        ...

    def result(self) -> object:
        """Return the answer as parsed JSON."""
        ...


class _StreamedItem:
    """An item of a language model, run as a stream that can be resumed."""

    def __init__(
        self,
        request: BackendRequest,
        tools: AttemptTools,
        partial: PartialAnswer,
    ) -> None:
        source = BatchSlots(request, tools)
        self._run = StreamRun(request, source, tools, partial)

    @property
    def partial(self) -> PartialAnswer:
        """The part of the answer received so far."""
        return self._run.partial

    @property
    def maybe_ran(self) -> bool:
        """Whether a backend server may have run the request."""
        return self._run.maybe_ran

    def result(self) -> object:
        """Return the answer as parsed JSON."""
        return self._run.whole()


class _BufferedItem:
    """An item whose answer is received complete."""

    def __init__(self, request: BackendRequest, tools: AttemptTools) -> None:
        self._run = BufferedRun(request, BatchSlots(request, tools), tools)

    @property
    def partial(self) -> PartialAnswer:
        """Empty, since the answer cannot be resumed."""
        return PartialAnswer()

    @property
    def maybe_ran(self) -> bool:
        """Whether a backend server may have run the request."""
        return self._run.maybe_ran

    def result(self) -> object:
        """Return the answer as parsed JSON, or as text if it is not JSON."""
        answer = self._run.answer()
        body = answer.body if isinstance(answer.body, bytes) else b''
        if answer.status not in _SUCCESS_STATUSES:
            raise GuavadykeError(
                _error_code(answer.status),
                f'the service responded with HTTP {answer.status}',
                run=RunStatus.ran,
            )
        try:
            return json.loads(body)
        except ValueError:
            return body.decode(errors='replace')


class BatchItemRunner:
    """Runs batch items; implements ``ItemRunner``.

    Args:
        tools: settings, clock and services that all attempts share.
        catalogue: current configuration.
        host_id: id of this host, sent to backend servers in a header.
    """

    def __init__(
        self,
        tools: AttemptTools,
        catalogue: SnapshotCell[CatalogueSnapshot],
        host_id: str,
    ) -> None:
        self._tools = tools
        self._catalogue = catalogue
        self._host_id = host_id

    def capacity(self, entry_name: str) -> int:
        """Return how many more items of the entry may start now."""
        return self._tools.capacity.idle_batch_slots(entry_name)

    def run(self, call: ItemCall, cancellation: Cancellation) -> ItemResult:
        """Run one item; block until it ends or is preempted."""
        try:
            request = self._build_request(call, cancellation)
        except (ValueError, GuavadykeError) as error:
            return ItemResult(ItemEnd.rejected, reason=str(error))
        run = self._item_run(request, PartialAnswer.load(call.partial))
        self._tools.metrics.increment('batch_items')
        try:
            return ItemResult(ItemEnd.completed, response=run.result())
        except PreemptedError:
            self._tools.metrics.increment('batch_preempted')
            return _preempted_result(run, idempotent=call.idempotent)
        except GuavadykeError as error:
            return _failed_result(error, call, cancellation, run)

    def _item_run(
        self, request: BackendRequest, partial: PartialAnswer
    ) -> _ItemRun:
        if request.document and has_text_answer_only(request.document):
            return _StreamedItem(
                as_streaming_request(request), self._tools, partial
            )
        return _BufferedItem(request, self._tools)

    def _build_request(
        self,
        call: ItemCall,
        cancellation: Cancellation,
    ) -> BackendRequest:
        document = json.loads(call.body)
        if not isinstance(document, dict):
            raise GuavadykeError(
                ErrorCode.backend_rejected,
                'the body is not a JSON object',
            )
        entry = self._catalogue.current.entries.get(call.entry_name)
        model = isinstance(entry, ModelEntry)
        if model:
            document = {**document, 'model': call.entry_name}
        return BackendRequest(
            request_id=call.request_id,
            entry_name=call.entry_name,
            method='POST',
            path=_endpoint_path(document) if model else '/',
            headers={
                'content-type': 'application/json',
                _HOST_HEADER: self._host_id,
            },
            body=json.dumps(document).encode(),
            idempotent=call.idempotent,
            deadline=self._tools.clock.monotonic() + call.timeout_s,
            abandoned=self._abandonment_check(call, cancellation),
            document=document if model else {},
        )

    def _abandonment_check(
        self,
        call: ItemCall,
        cancellation: Cancellation,
    ) -> Callable[[], bool]:
        clock = self._tools.clock
        until = clock.monotonic() + call.timeout_s
        return lambda: cancellation.is_set() or clock.monotonic() > until


def _endpoint_path(document: Mapping[str, Any]) -> str:
    return COMPLETIONS_PATH if 'prompt' in document else CHAT_PATH


def _error_code(status: int) -> ErrorCode:
    if _FIRST_CLIENT_ERROR <= status < _FIRST_SERVER_ERROR:
        return ErrorCode.backend_rejected
    return ErrorCode.backend_failed


def _preempted_result(run: _ItemRun, *, idempotent: bool) -> ItemResult:
    if not idempotent:
        return ItemResult(ItemEnd.unknown, reason='the item was preempted')
    partial = run.partial
    text = partial.dump() if partial.text and partial.resumable else ''
    return ItemResult(ItemEnd.preempted, partial=text)


def _failed_result(
    error: GuavadykeError,
    call: ItemCall,
    cancellation: Cancellation,
    run: _ItemRun,
) -> ItemResult:
    return ItemResult(
        _item_end(error, call, cancellation, maybe_ran=run.maybe_ran),
        reason=f'{error.code}: {error.message}',
    )


def _item_end(
    error: GuavadykeError,
    call: ItemCall,
    cancellation: Cancellation,
    *,
    maybe_ran: bool,
) -> ItemEnd:
    if error.code is ErrorCode.backend_rejected:
        return ItemEnd.rejected
    if cancellation.is_set():
        return ItemEnd.cancelled
    if not maybe_ran:
        return ItemEnd.not_run
    if call.idempotent:
        return ItemEnd.retry
    return ItemEnd.rejected if error.run is RunStatus.ran else ItemEnd.unknown
