"""State and item counts of a batch job, derived from its chunks."""

from __future__ import annotations

import dataclasses
import enum
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

from guavadyke.decisions.chunk_state import ChunkState, ChunkStatus


class JobState(enum.StrEnum):
    """State of a job; ``completed`` and ``cancelled`` are final."""

    waiting = 'waiting'
    running = 'running'
    cancelling = 'cancelling'
    completed = 'completed'
    cancelled = 'cancelled'


@dataclasses.dataclass(frozen=True)
class JobFlags:
    """Flags in the job's own stored object."""

    cancelled: bool
    finished: bool


def job_state(flags: JobFlags, chunks: Iterable[ChunkState]) -> JobState:
    """Return the state of a job.

    Both flags are in one stored object that is updated conditionally, so a
    job can't be cancelled after it has finished.
    """
    if flags.finished:
        return JobState.cancelled if flags.cancelled else JobState.completed
    if flags.cancelled:
        return JobState.cancelling
    begun = any(
        chunk.status is not ChunkStatus.waiting or chunk.counts
        for chunk in chunks
    )
    return JobState.running if begun else JobState.waiting


def item_counts(
    chunks: Sequence[ChunkState],
    sizes: Sequence[int],
) -> Mapping[str, int]:
    """Return the number of waiting and running items and of each outcome.

    Items of a held chunk that have no outcome count as running.

    Args:
        chunks: states of all chunks of the job.
        sizes: number of items in each chunk.
    """
    counts: Counter[str] = Counter()
    for chunk, size in zip(chunks, sizes, strict=True):
        counts.update({str(key): count for key, count in chunk.counts.items()})
        open_items = size - chunk.settled_items
        held = chunk.status is ChunkStatus.held
        counts['running' if held else 'waiting'] += open_items
    return counts
