"""Carrying out the steps of held chunks: items, states, results."""

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

_LARGEST_RESPONSE_BYTES = 384 * 1024


class StepExecutor:
    """Carries out steps; safe for many threads.

    Args:
        settings: settings of batch work.
        held_chunks: chunks of this host.
        runner: runs single items.
        store: the platform.
        spool: keeps results while the platform is away.
        logger: told of faults.
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
        self._written: Callable[[HeldChunk], None] | None = None
        self._perform = functools.singledispatch(_unknown_step)
        self._perform.register(RunItem, self._run_item)
        self._perform.register(WriteState, self._write_state)
        self._perform.register(Commit, self._commit)

    def subscribe(self, written: Callable[[HeldChunk], None]) -> None:
        """Call ``written`` with each chunk whose state was written."""
        self._written = written

    def perform(self, task: Task) -> None:
        """Carry out a step and report its end to the chunk."""
        self._perform(task.step, task.held)

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
        return _bounded(ended)

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
        self._write(held, lambda: self._committed(step, held))

    def _committed(
        self, step: Commit, held: HeldChunk
    ) -> chunk_state.ChunkState:
        """Write the results; return the state that refers to them."""
        state = held.run.state
        if step.outcomes:
            part = self._write_part(step, held)
            state = chunk_state.add_part(state, part, step.outcomes)
        if step.final:
            return chunk_state.finish(state)
        if step.released:
            return chunk_state.release(
                state,
                held.run.board.attempts(),
                held.run.board.partials(),
            )
        return state

    def _write_part(self, step: Commit, held: HeldChunk) -> str:
        indexes = tuple(outcome.index for outcome in step.outcomes)
        if held.part and held.part_items == indexes:
            return held.part
        name = part_name(held.job.job_id, held.index, uuid.uuid4().hex[:12])
        self._store.create(RESULT_KIND, name, encode_part(step.outcomes))
        held.part = name
        held.part_items = indexes
        return name

    def _write(
        self,
        held: HeldChunk,
        next_state: Callable[[], chunk_state.ChunkState],
    ) -> None:
        try:
            self._write_once(held, next_state)
        except ObjectConflictError:
            self._reconcile(held)
        except GuavadykeError as error:
            self._logger.warning(
                'batch_write_postponed',
                chunk=held.name,
                reason=error.message,
            )
            self._spool.keep(_spooled(held), held.run.board.outcomes)
            self._held_chunks.postpone(held)

    def _write_once(
        self,
        held: HeldChunk,
        next_state: Callable[[], chunk_state.ChunkState],
    ) -> None:
        state = next_state()
        stored = self._store.update(held.stored, encode_chunk(state))
        self._held_chunks.written(held, stored, state)
        self._spool.forget(_spooled(held))
        if self._written is not None:
            self._written(held)

    def _reconcile(self, held: HeldChunk) -> None:
        """Adopt an own earlier write that was in doubt, or drop the chunk."""
        try:
            stored = self._store.read(CHUNK_KIND, held.name)
        except GuavadykeError:
            self._held_chunks.postpone(held)
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
        self._held_chunks.drop(held)
        self._spool.forget(_spooled(held))


def _spooled(held: HeldChunk) -> SpooledResults:
    return SpooledResults(
        held.job.job_id,
        held.index,
        held.holder,
        len(held.items),
    )


def _unknown_step(step: Step, held: HeldChunk) -> None:
    raise TypeError(f'{held.name}: {step!r}')


def _bounded(ended: ItemResult) -> ItemResult:
    size = len(json.dumps(ended.response))
    if size <= _LARGEST_RESPONSE_BYTES:
        return ended
    return dataclasses.replace(
        ended,
        end=ItemEnd.rejected,
        response=None,
        reason=f'the response has {size} bytes, which is too large to keep',
    )
