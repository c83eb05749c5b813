"""Executes steps of held chunks: runs items, writes states and results."""

from __future__ import annotations

import dataclasses
import functools
import json
import uuid
from collections.abc import Callable

from guavadyke.adapters.ports import (
    ItemCall,
    ItemEnd,
    ItemResult,
    ItemRunner,
)
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.controllers.batch_held_chunks import (
    HeldChunk,
    HeldChunkRegistry,
    RunCancellation,
    Task,
)
from guavadyke.controllers.batch_records import (
    CHUNK_KIND,
    RESULT_KIND,
    decode_chunk,
    encode_chunk,
    encode_part,
    part_name,
)
from guavadyke.controllers.batch_spool import Spool, SpooledResults
from guavadyke.decisions import chunk_state
from guavadyke.decisions.chunk_run import Commit, RunItem, Step, WriteState
from guavadyke.errors import GuavadykeError, ObjectConflictError
from guavadyke.log import EventLogger
from guavadyke.settings import BatchSettings

_MAX_RESPONSE_BYTES = 384 * 1024


class StepExecutor:
    """Executes the steps of held chunks; safe for many threads.

    Args:
        settings: settings of batch work.
        held_chunks: chunks that this host holds.
        runner: runs single items.
        store: the platform's object store.
        spool: saves results while the platform is not available.
        logger: logs failures.
    """

    def __init__(
        self,
        settings: BatchSettings,
        held_chunks: HeldChunkRegistry,
        runner: ItemRunner,
        store: WriteConfirmingStore,
        spool: Spool,
        logger: EventLogger,
    ) -> None:
        self._settings = settings
        self._held_chunks = held_chunks
        self._runner = runner
        self._store = store
        self._spool = spool
        self._logger = logger
        self._on_written: Callable[[HeldChunk], None] | None = None
        self._execute = functools.singledispatch(_unknown_step)
        self._execute.register(RunItem, self._run_item)
        self._execute.register(WriteState, self._write_state)
        self._execute.register(Commit, self._commit)

    def subscribe(self, written: Callable[[HeldChunk], None]) -> None:
        """Set the callback for each chunk whose state was written.

        Args:
            written: called with the chunk; replaces an earlier callback.
        """
        self._on_written = written

    def execute_task(self, task: Task) -> None:
        """Execute the task's step and record its result in the chunk."""
        self._execute(task.step, task.held)

    def _run_item(self, step: RunItem, held: HeldChunk) -> None:
        ended = self._run(step, held)
        self._held_chunks.item_ended(held, step.open_item.index, ended)

    def _run(self, step: RunItem, held: HeldChunk) -> ItemResult:
        try:
            ended = self._runner.run(
                self._call(step, held),
                RunCancellation(
                    held,
                    self._held_chunks,
                    step.open_item.idempotent,
                ),
            )
        except Exception as error:
            self._logger.error('batch_item_crashed', reason=repr(error))
            return ItemResult(ItemEnd.retry, reason=repr(error))
        return _reject_oversized(ended)

    def _call(self, step: RunItem, held: HeldChunk) -> ItemCall:
        index = step.open_item.index
        item = held.items[index]
        nonce = uuid.uuid4().hex[:8]
        return ItemCall(
            request_id=f'{held.name}.{index}.{nonce}',
            job_id=held.job.job_id,
            entry_name=held.job.entry_name,
            owner=held.job.owner,
            body=json.dumps(item.body).encode(),
            idempotent=item.idempotent,
            due=held.job.due,
            timeout_s=self._settings.item_timeout_s,
            partial=step.open_item.partial,
        )

    def _write_state(self, step: WriteState, held: HeldChunk) -> None:
        self._write(held, lambda: step.state)

    def _commit(self, step: Commit, held: HeldChunk) -> None:
        self._write(held, lambda: self._write_results(step, held))

    def _write_results(
        self, step: Commit, held: HeldChunk
    ) -> chunk_state.ChunkState:
        """Write the results and return the state that refers to them."""
        state = held.run.state
        if step.outcomes:
            part = self._write_part(step, held)
            state = chunk_state.add_part(state, part, step.outcomes)
        if step.final:
            return chunk_state.finish(state)
        if step.released:
            return chunk_state.release(
                state,
                held.run.tracker.attempts(),
                held.run.tracker.partials(),
            )
        return state

    def _write_part(self, step: Commit, held: HeldChunk) -> str:
        indexes = tuple(outcome.index for outcome in step.outcomes)
        if held.part and held.part_indexes == indexes:
            return held.part
        name = part_name(held.job.job_id, held.index, uuid.uuid4().hex[:12])
        self._store.create(RESULT_KIND, name, encode_part(step.outcomes))
        held.part = name
        held.part_indexes = indexes
        return name

    def _write(
        self,
        held: HeldChunk,
        next_state: Callable[[], chunk_state.ChunkState],
    ) -> None:
        try:
            self._write_once(held, next_state)
        except ObjectConflictError:
            self._resolve_conflict(held)
        except GuavadykeError as error:
            self._logger.warning(
                'batch_write_postponed',
                chunk=held.name,
                reason=error.message,
            )
            self._spool.save(_spool_key(held), held.run.tracker.outcomes)
            self._held_chunks.postpone_write(held)

    def _write_once(
        self,
        held: HeldChunk,
        next_state: Callable[[], chunk_state.ChunkState],
    ) -> None:
        state = next_state()
        stored = self._store.update(held.stored, encode_chunk(state))
        self._held_chunks.written(held, stored, state)
        self._spool.discard(_spool_key(held))
        if self._on_written is not None:
            self._on_written(held)

    def _resolve_conflict(self, held: HeldChunk) -> None:
        """Resolve a conflicting write by reading the chunk's stored state.

        The state is adopted where this host still holds the chunk: an own
        earlier write took effect although its answer was lost. Otherwise
        the chunk is dropped.
        """
        try:
            stored = self._store.read(CHUNK_KIND, held.name)
        except GuavadykeError:
            self._held_chunks.postpone_write(held)
            return
        if stored is None:
            self._drop(held)
            return
        state = decode_chunk(stored.body)
        if state.holder == held.holder:
            self._held_chunks.written(held, stored, state)
            return
        self._logger.warning(
            'chunk_lost',
            chunk=held.name,
            holder=state.holder,
        )
        self._drop(held)

    def _drop(self, held: HeldChunk) -> None:
        self._held_chunks.drop_lost(held)
        self._spool.discard(_spool_key(held))


def _spool_key(held: HeldChunk) -> SpooledResults:
    return SpooledResults(
        held.job.job_id,
        held.index,
        held.holder,
        len(held.items),
    )


def _unknown_step(step: Step, held: HeldChunk) -> None:
    raise TypeError(f'{held.name}: unsupported step {step!r}')


def _reject_oversized(ended: ItemResult) -> ItemResult:
    size = len(json.dumps(ended.response))
    if size <= _MAX_RESPONSE_BYTES:
        return ended
    return dataclasses.replace(
        ended,
        end=ItemEnd.rejected,
        response=None,
        reason=f'the response of {size} bytes is too large to store',
    )
