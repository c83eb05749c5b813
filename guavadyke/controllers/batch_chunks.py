"""What this host knows of the chunks of open jobs."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator

from guavadyke.adapters.ports import StoredObject
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.controllers.batch_jobs import list_all
from guavadyke.controllers.batch_records import (
    CHUNK_KIND,
    JobRecord,
    chunk_name,
    decode_chunk,
)
from guavadyke.decisions.chunk_state import ChunkState, ChunkStatus
from guavadyke.decisions.job_forecast import JobLoad


@dataclasses.dataclass(frozen=True)
class KnownChunk:
    """A chunk as last seen; ``stored`` is None where it has no object."""

    index: int
    name: str
    stored: StoredObject | None
    state: ChunkState

    @property
    def waiting(self) -> bool:
        """Whether nobody holds the chunk."""
        return self.state.status is ChunkStatus.waiting

    def is_held_by(self, holder: str) -> bool:
        """Return whether the named lease holds the chunk."""
        held = self.state.status is ChunkStatus.held
        return held and self.state.holder == holder


@dataclasses.dataclass
class ChunkTable:
    """The chunks of one job.

    ``looks`` counts the lists read; ``refreshed_at`` is the time of the
    last one on the monotonic clock.
    """

    job: JobRecord
    chunks: dict[int, KnownChunk]
    refreshed_at: float
    looks: int = 0

    @property
    def all_done(self) -> bool:
        """Whether every chunk has ended."""
        return all(
            chunk.state.status is ChunkStatus.done
            for chunk in self.chunks.values()
        )

    def holders(self) -> frozenset[str]:
        """Return the leases that hold chunks of the job."""
        return frozenset(
            chunk.state.holder
            for chunk in self.chunks.values()
            if chunk.state.status is ChunkStatus.held
        )

    def load(self) -> JobLoad:
        """Return what is left of the job."""
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
        """Return the chunks that nobody holds."""
        return tuple(one for one in self.chunks.values() if one.waiting)

    def held_by(self, holder: str) -> tuple[KnownChunk, ...]:
        """Return the chunks that the named lease holds."""
        return tuple(
            one for one in self.chunks.values() if one.is_held_by(holder)
        )

    def held_by_others(self, own: str) -> tuple[KnownChunk, ...]:
        """Return the chunks that other leases, known by name, hold."""
        return tuple(
            chunk
            for chunk in self.chunks.values()
            if chunk.state.holder
            and not chunk.is_held_by(own)
            and chunk.state.status is ChunkStatus.held
        )

    def note(self, chunk: KnownChunk) -> None:
        """Take in a newer sight of one chunk."""
        self.chunks[chunk.index] = chunk


def fresh_table(job: JobRecord, now: float) -> ChunkTable:
    """Return the table of a job of whose chunks nothing is known."""
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
    """Read the states of all chunks of a job.

    Raises:
        GuavadykeError: the platform does not answer.
    """
    table = fresh_table(job, now)
    objects, _revision = list_all(store, CHUNK_KIND, prefix=f'{job.job_id}.')
    for chunk in _known(objects):
        if chunk.index in table.chunks:
            table.note(chunk)
    return table


def read_chunk(store: WriteConfirmingStore, known: KnownChunk) -> KnownChunk:
    """Read the state of one chunk.

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
