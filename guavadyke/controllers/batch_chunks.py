"""Tables of the chunks of open jobs, as this host last read them."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator

from guavadyke.adapters.ports import StoredObject
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.controllers.batch_records import (
    CHUNK_KIND,
    JobRecord,
    chunk_name,
    decode_chunk,
)
from guavadyke.controllers.object_listing import list_all
from guavadyke.decisions.chunk_state import ChunkState, ChunkStatus
from guavadyke.decisions.job_forecast import JobLoad


@dataclasses.dataclass(frozen=True)
class KnownChunk:
    """A chunk as last read.

    ``stored`` is None while the platform has no object for the chunk, that
    is, until some host claims or closes it.
    """

    index: int
    name: str
    stored: StoredObject | None
    state: ChunkState

    @property
    def waiting(self) -> bool:
        """Whether the chunk can be claimed."""
        return self.state.status is ChunkStatus.waiting

    def is_held_by(self, holder: str) -> bool:
        """Return whether the chunk is held under the named lease."""
        held = self.state.status is ChunkStatus.held
        return held and self.state.holder == holder


@dataclasses.dataclass
class ChunkTable:
    """The chunks of one job by their index.

    ``lists_read`` counts how often the list of chunks was read;
    ``refreshed_at`` is the time of the last read in monotonic seconds.
    """

    job: JobRecord
    chunks: dict[int, KnownChunk]
    refreshed_at: float
    lists_read: int = 0

    @property
    def all_done(self) -> bool:
        """Whether every chunk is done."""
        return all(
            chunk.state.status is ChunkStatus.done
            for chunk in self.chunks.values()
        )

    def holders(self) -> frozenset[str]:
        """Return the names of the leases under which chunks are held."""
        return frozenset(
            chunk.state.holder
            for chunk in self.chunks.values()
            if chunk.state.status is ChunkStatus.held
        )

    def load(self) -> JobLoad:
        """Return the remaining items of the job."""
        settled = sum(
            chunk.state.settled_items for chunk in self.chunks.values()
        )
        return JobLoad(
            self.job.job_id,
            self.job.entry_name,
            self.job.items - settled,
            self.job.due,
        )

    def waiting(self) -> tuple[KnownChunk, ...]:
        """Return the chunks that can be claimed."""
        return tuple(chunk for chunk in self.chunks.values() if chunk.waiting)

    def chunks_held_by(self, holder: str) -> tuple[KnownChunk, ...]:
        """Return the chunks that are held under the named lease."""
        return tuple(
            chunk for chunk in self.chunks.values() if chunk.is_held_by(holder)
        )

    def chunks_held_by_others(self, own: str) -> tuple[KnownChunk, ...]:
        """Return the chunks held under leases other than ``own``.

        Chunks whose holder is not known by name are left out.
        """
        return tuple(
            chunk
            for chunk in self.chunks.values()
            if chunk.state.holder
            and not chunk.is_held_by(own)
            and chunk.state.status is ChunkStatus.held
        )

    def update_chunk(self, chunk: KnownChunk) -> None:
        """Replace a chunk by its newer state."""
        self.chunks[chunk.index] = chunk


def unread_table(job: JobRecord, now: float) -> ChunkTable:
    """Return the table of a job whose chunks have not been read yet.

    All its chunks count as waiting.
    """
    chunks = {
        index: KnownChunk(
            index,
            chunk_name(job.job_id, index),
            None,
            ChunkState(),
        )
        for index in range(len(job.sizes))
    }
    return ChunkTable(job, chunks, now)


def read_table(
    store: WriteConfirmingStore, job: JobRecord, now: float
) -> ChunkTable:
    """Read the states of all chunks of a job from the platform.

    Raises:
        GuavadykeError: the platform does not answer.
    """
    table = unread_table(job, now)
    objects, _revision = list_all(store, CHUNK_KIND, prefix=f'{job.job_id}.')
    for chunk in _known(objects):
        if chunk.index in table.chunks:
            table.update_chunk(chunk)
    return table


def read_chunk(store: WriteConfirmingStore, known: KnownChunk) -> KnownChunk:
    """Read the state of one chunk from the platform.

    Raises:
        GuavadykeError: the platform does not answer.
    """
    stored = store.read(CHUNK_KIND, known.name)
    state = ChunkState() if stored is None else decode_chunk(stored.body)
    return dataclasses.replace(known, stored=stored, state=state)


def _known(objects: tuple[StoredObject, ...]) -> Iterator[KnownChunk]:
    for stored in objects:
        index = int(stored.name.rpartition('.')[2])
        yield KnownChunk(
            index,
            stored.name,
            stored,
            decode_chunk(stored.body),
        )
