"""Batch items, run on capacity that online requests leave idle."""

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
    Work,
)
from guavadyke.filters.dispatch import WholeRun, is_simple, streamed_work
from guavadyke.filters.streaming import StreamRun
from guavadyke.snapshots import CatalogueSnapshot, SnapshotCell

_LONGEST_WAIT_S = 1.0
_LOOK_S = 0.02
_HOST_HEADER = 'guavadyke-host'
_FAILURE_STATUS = 500
_REJECTION_STATUS = 400


class BatchSlots:
    """Slots for the attempts at one batch item.

    Args:
        work: the item.
        tools: what attempts share.
    """

    def __init__(self, work: Work, tools: AttemptTools) -> None:
        self._work = work
        self._tools = tools

    def acquire(self, excluded: frozenset[str]) -> Slot:
        """Wait a moment for an idle slot.

        Raises:
            GuavadykeError: none is idle.
        """
        clock = self._tools.clock
        until = clock.monotonic()
        if self._tools.capacity.sends_batch(self._work.entry_name):
            until += _LONGEST_WAIT_S
        while not self._work.abandoned():
            slot = self._tools.capacity.take_batch(
                self._work.entry_name,
                kept=not self._work.idempotent,
            )
            if slot is not None:
                return slot
            if clock.monotonic() >= until:
                break
            clock.sleep(_LOOK_S)
        raise GuavadykeError(
            ErrorCode.overloaded,
            'online requests leave no capacity idle',
        )


class _ItemRun(Protocol):
    """A run of one item."""

    @property
    def partial(self) -> PartialAnswer:
        """What has been received so far."""
        ...

    @property
    def maybe_ran(self) -> bool:
        """Whether an attempt may have run, or has."""
        ...

    def result(self) -> object:
        """Return the answer's JSON."""
        ...


class _StreamedItem:
    """An item of a language model, gathered from a stream."""

    def __init__(
        self, work: Work, tools: AttemptTools, partial: PartialAnswer
    ) -> None:
        source = BatchSlots(work, tools)
        self._run = StreamRun(work, source, tools, partial)

    @property
    def partial(self) -> PartialAnswer:
        """What has been received so far."""
        return self._run.partial

    @property
    def maybe_ran(self) -> bool:
        """Whether an attempt may have run, or has."""
        return self._run.maybe_ran

    def result(self) -> object:
        """Return the answer's JSON."""
        return self._run.whole()


class _WholeItem:
    """An item whose answer is taken as a whole."""

    def __init__(self, work: Work, tools: AttemptTools) -> None:
        self._run = WholeRun(work, BatchSlots(work, tools), tools)

    @property
    def partial(self) -> PartialAnswer:
        """Nothing: the answer cannot be resumed."""
        return PartialAnswer()

    @property
    def maybe_ran(self) -> bool:
        """Whether an attempt may have run, or has."""
        return self._run.maybe_ran

    def result(self) -> object:
        """Return the answer's JSON, or its text where it is not JSON."""
        answer = self._run.answer()
        body = answer.body if isinstance(answer.body, bytes) else b''
        if answer.status >= _REJECTION_STATUS:
            raise GuavadykeError(
                _code_of(answer.status),
                f'the service answered {answer.status}',
                run=RunStatus.ran,
            )
        try:
            return json.loads(body)
        except ValueError:
            return body.decode(errors='replace')


class BatchItemRunner:
    """Implements ``ItemRunner``.

    Args:
        tools: what attempts share.
        catalogue: configuration in force.
        host_id: this host, told to backend servers.
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
        return self._tools.capacity.batch_room(entry_name)

    def run(self, call: ItemCall, cancellation: Cancellation) -> ItemResult:
        """Run one item; blocks until it ends or is preempted."""
        try:
            work = self._work(call, cancellation)
        except (ValueError, GuavadykeError) as error:
            return ItemResult(ItemEnd.rejected, reason=str(error))
        run = self._item_run(work, PartialAnswer.load(call.partial))
        self._tools.metrics.count('batch_items')
        try:
            return ItemResult(ItemEnd.completed, response=run.result())
        except PreemptedError:
            self._tools.metrics.count('batch_preempted')
            return _preempted(run, idempotent=call.idempotent)
        except GuavadykeError as error:
            return _failed(error, call, cancellation, run)

    def _item_run(self, work: Work, partial: PartialAnswer) -> _ItemRun:
        if work.document and is_simple(work.document):
            return _StreamedItem(streamed_work(work), self._tools, partial)
        return _WholeItem(work, self._tools)

    def _work(self, call: ItemCall, cancellation: Cancellation) -> Work:
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
        return Work(
            request_id=call.request_id,
            entry_name=call.entry_name,
            method='POST',
            path=_path(document) if model else '/',
            headers={
                'content-type': 'application/json',
                _HOST_HEADER: self._host_id,
            },
            body=json.dumps(document).encode(),
            idempotent=call.idempotent,
            deadline=self._tools.clock.monotonic() + call.timeout_s,
            abandoned=self._abandoned(call, cancellation),
            document=document if model else {},
        )

    def _abandoned(
        self,
        call: ItemCall,
        cancellation: Cancellation,
    ) -> Callable[[], bool]:
        clock = self._tools.clock
        until = clock.monotonic() + call.timeout_s
        return lambda: cancellation.is_set() or clock.monotonic() > until


def _path(document: Mapping[str, Any]) -> str:
    return COMPLETIONS_PATH if 'prompt' in document else CHAT_PATH


def _code_of(status: int) -> ErrorCode:
    if status >= _FAILURE_STATUS:
        return ErrorCode.backend_failed
    return ErrorCode.backend_rejected


def _preempted(run: _ItemRun, *, idempotent: bool) -> ItemResult:
    if not idempotent:
        return ItemResult(ItemEnd.unknown, reason='the item was preempted')
    partial = run.partial
    text = partial.dump() if partial.text and partial.resumable else ''
    return ItemResult(ItemEnd.preempted, partial=text)


def _failed(
    error: GuavadykeError,
    call: ItemCall,
    cancellation: Cancellation,
    run: _ItemRun,
) -> ItemResult:
    return ItemResult(
        _end_of(error, call, cancellation, maybe_ran=run.maybe_ran),
        reason=f'{error.code}: {error.message}',
    )


def _end_of(
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
