"""A job's progress, worked out from the states of its chunks."""

from __future__ import annotations

import dataclasses
import enum
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

from guavadyke.decisions.chunk_state import ChunkState, ChunkStatus


class JobState(enum.StrEnum):
    """State of a job; ``completed`` and ``cancelled`` never change."""

    waiting = 'waiting'
    running = 'running'
    cancelling = 'cancelling'
    completed = 'completed'
    cancelled = 'cancelled'


@dataclasses.dataclass(frozen=True)
class JobFlags:
    """The marks on a job's own object."""

    cancelled: bool
    finished: bool


def job_state(marks: JobFlags, chunks: Iterable[ChunkState]) -> JobState:
    """Return the state of a job.

    The marks stand on one object, so that a cancel and the end of a job
    exclude each other.
    """
    if marks.finished:
        return JobState.cancelled if marks.cancelled else JobState.completed
    if marks.cancelled:
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
    """Return how many items wait, run and have ended, by outcome.

    Items of a held chunk that have no outcome count as running.
    """
    counts: Counter[str] = Counter()
    for chunk, size in zip(chunks, sizes, strict=True):
        counts.update({str(key): count for key, count in chunk.counts.items()})
        open_items = size - chunk.settled_items
        held = chunk.status is ChunkStatus.held
        counts['running' if held else 'waiting'] += open_items
    return counts
