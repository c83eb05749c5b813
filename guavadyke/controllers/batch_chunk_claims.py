"""Claims single chunks by conditional writes and starts work on them."""

from __future__ import annotations

import dataclasses

from guavadyke.adapters.ports import StoredObject
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.controllers.batch_chunks import (
    ChunkTable,
    KnownChunk,
    read_chunk,
)
from guavadyke.controllers.batch_held_chunks import HeldChunk, HeldChunkRegistry
from guavadyke.controllers.batch_records import (
    CHUNK_KIND,
    INPUT_KIND,
    BatchItem,
    JobRecord,
    decode_items,
    encode_chunk,
    input_name,
)
from guavadyke.decisions import chunk_state
from guavadyke.decisions.chunk_run import ChunkRun
from guavadyke.errors import ObjectConflictError
from guavadyke.log import EventLogger
from guavadyke.settings import BatchSettings
from guavadyke.snapshots import CatalogueSnapshot, SnapshotCell


@dataclasses.dataclass(frozen=True)
class ChunkClaimer:
    """Claims chunks for this host, or closes those that need no work.

    Args:
        settings: maximum number of attempts for each item.
        store: the platform's object store.
        catalogue: which entries are idempotent.
        held_chunks: receives the claimed chunks.
        logger: logs the claimed chunks.
    """

    settings: BatchSettings
    store: WriteConfirmingStore
    catalogue: SnapshotCell[CatalogueSnapshot]
    held_chunks: HeldChunkRegistry
    logger: EventLogger

    def acquire_chunk(
        self,
        table: ChunkTable,
        chunk: KnownChunk,
        state: chunk_state.ChunkState,
    ) -> None:
        """Claim a chunk by writing ``state``, and start work on it.

        Nothing is started where another host claimed the chunk first.

        Args:
            table: chunks of the job, updated with the result.
            chunk: the chunk as last read.
            state: its new state, with this host's lease as the holder.

        Raises:
            GuavadykeError: the platform does not answer. If the write took
                effect nevertheless, ``adopt_chunks`` finds the chunk later.
        """
        try:
            stored = self._write(chunk, state)
        except ObjectConflictError:
            table.update_chunk(_held_by_another(chunk))
            return
        taken = dataclasses.replace(chunk, stored=stored, state=state)
        table.update_chunk(taken)
        self._begin(table.job, taken, stored)

    def adopt_chunks(self, table: ChunkTable, own: str) -> None:
        """Start work on chunks that this host holds but does not work on yet.

        These are chunks whose claim had an unknown outcome, or whose input
        could not be read after the claim.

        Args:
            table: chunks of the job.
            own: name of this host's lease.

        Raises:
            GuavadykeError: the platform does not answer.
        """
        present = {held.name for held in self.held_chunks.chunks}
        for known in table.chunks_held_by(own):
            if known.name in present:
                continue
            chunk = read_chunk(self.store, known)
            table.update_chunk(chunk)
            if chunk.is_held_by(own) and chunk.stored is not None:
                self._begin(table.job, chunk, chunk.stored)

    def close(
        self,
        table: ChunkTable,
        chunk: KnownChunk,
        outcome: chunk_state.Outcome,
    ) -> None:
        """Mark a chunk that was never claimed as done.

        Args:
            table: chunks of the job, updated with the result.
            chunk: the chunk as last read.
            outcome: outcome of all its items.

        Raises:
            GuavadykeError: the platform does not answer.
        """
        state = chunk_state.close_unclaimed(
            outcome, table.job.sizes[chunk.index]
        )
        try:
            stored = self._write(chunk, state)
        except ObjectConflictError:
            table.update_chunk(_held_by_another(chunk))
            return
        table.update_chunk(
            dataclasses.replace(chunk, stored=stored, state=state)
        )

    def _write(
        self,
        chunk: KnownChunk,
        state: chunk_state.ChunkState,
    ) -> StoredObject:
        body = encode_chunk(state)
        if chunk.stored is None:
            return self.store.create(CHUNK_KIND, chunk.name, body)
        return self.store.update(chunk.stored, body)

    def _begin(
        self,
        job: JobRecord,
        chunk: KnownChunk,
        stored: StoredObject,
    ) -> None:
        batch_items = self._items(job, chunk.index)
        self.held_chunks.add(
            HeldChunk(
                job=job,
                index=chunk.index,
                holder=chunk.state.holder,
                items=batch_items,
                stored=stored,
                run=ChunkRun(
                    chunk.state,
                    tuple(item.idempotent for item in batch_items),
                    self.settings.max_attempts,
                ),
            ),
        )
        self.logger.info(
            'chunk_taken',
            chunk=chunk.name,
            crashes=chunk.state.crashes,
            items=len(batch_items),
        )

    def _items(self, job: JobRecord, index: int) -> tuple[BatchItem, ...]:
        entry = self.catalogue.current.entries.get(job.entry_name)
        stored = self.store.read(INPUT_KIND, input_name(job, index))
        if stored is None:
            raise LookupError(
                f'input of {job.job_id} chunk {index} does not exist'
            )
        return decode_items(
            stored.body,
            idempotent=entry is not None and entry.idempotent,
        )


def _held_by_another(chunk: KnownChunk) -> KnownChunk:
    """Return the chunk as held by an unknown host until the next list."""
    state = dataclasses.replace(
        chunk.state,
        status=chunk_state.ChunkStatus.held,
        holder='',
    )
    return dataclasses.replace(chunk, state=state)
