"""States of a chunk of a batch job, and the changes between them.

A chunk's state is one object of the platform. Each change here is written
by conditional update, so the first of two racing changes counts.
"""

from __future__ import annotations

import dataclasses
import enum
from collections import Counter
from collections.abc import Iterable, Mapping

_NARROWING = 8


class ChunkStatus(enum.StrEnum):
    """Where a chunk stands; a chunk without an object is waiting."""

    waiting = 'waiting'
    held = 'held'
    done = 'done'


class Outcome(enum.StrEnum):
    """How an item ended, for good."""

    completed = 'completed'
    failed = 'failed'
    cancelled = 'cancelled'
    expired = 'expired'
    unknown = 'unknown'


@dataclasses.dataclass(frozen=True)
class ItemOutcome:
    """The final outcome of one item; ``index`` counts within the chunk."""

    index: int
    outcome: Outcome
    response: object = None
    error: str = ''


@dataclasses.dataclass(frozen=True)
class ChunkState:
    """State of one chunk.

    ``holder`` names the lease of the present or last holder. ``crashes``
    counts holders that were lost. ``parts`` name the objects that hold
    results, and ``settled`` the items whose results they hold, empty once
    the chunk is done. ``started`` are non-idempotent items whose dispatch
    was allowed. ``rest`` is the outcome of a done chunk's items that no
    part holds. ``suspects`` may have ended a holder; ``running`` are
    those of them that were let run. ``partials`` are texts of preempted
    items.
    """

    status: ChunkStatus = ChunkStatus.waiting
    holder: str = ''
    crashes: int = 0
    parts: tuple[str, ...] = ()
    settled: tuple[int, ...] = ()
    counts: Mapping[Outcome, int] = dataclasses.field(default_factory=dict)
    attempts: Mapping[int, int] = dataclasses.field(default_factory=dict)
    started: tuple[int, ...] = ()
    suspects: tuple[int, ...] = ()
    running: tuple[int, ...] = ()
    partials: Mapping[int, str] = dataclasses.field(default_factory=dict)
    rest: Outcome | None = None

    @property
    def settled_items(self) -> int:
        """How many items have a final outcome."""
        return sum(self.counts.values())


def claim(state: ChunkState, holder: str) -> ChunkState:
    """Return the state of a waiting chunk that ``holder`` takes."""
    return dataclasses.replace(
        state,
        status=ChunkStatus.held,
        holder=holder,
    )


def take_over(state: ChunkState, holder: str, items: int) -> ChunkState:
    """Return the state of a chunk whose holder was lost.

    The items that the lost holder had let run become the suspects.
    """
    unsettled = without(range(items), state.settled)
    suspects = state.running or state.suspects or unsettled
    return dataclasses.replace(
        state,
        status=ChunkStatus.held,
        holder=holder,
        crashes=state.crashes + 1,
        suspects=suspects,
        running=(),
        attempts=_blamed(state),
    )


def release(
    state: ChunkState,
    attempts: Mapping[int, int],
    partials: Mapping[int, str],
) -> ChunkState:
    """Return the state of a chunk that its holder gives back.

    No item runs any more, so that an item without an outcome whose start
    was recorded is known not to have run.
    """
    return dataclasses.replace(
        state,
        status=ChunkStatus.waiting,
        attempts=dict(attempts),
        partials=dict(partials),
        started=(),
        running=(),
    )


def record_started(state: ChunkState, indexes: Iterable[int]) -> ChunkState:
    """Return the state that allows non-idempotent items to be sent."""
    return dataclasses.replace(
        state,
        started=tuple(sorted({*state.started, *indexes})),
    )


def record_running(state: ChunkState, indexes: Iterable[int]) -> ChunkState:
    """Return the state that lets a group of the suspects run.

    The group before it has ended no holder and is cleared.
    """
    return dataclasses.replace(
        state,
        suspects=without(state.suspects, state.running),
        running=tuple(indexes),
    )


def record_attempts(
    state: ChunkState,
    attempts: Mapping[int, int],
) -> ChunkState:
    """Return the state with the attempts counted so far."""
    return dataclasses.replace(state, attempts=dict(attempts))


def add_part(
    state: ChunkState,
    part: str,
    outcomes: Iterable[ItemOutcome],
) -> ChunkState:
    """Return the state with the results that the part object holds."""
    added = tuple(outcomes)
    counts = Counter(state.counts)
    counts.update(outcome.outcome for outcome in added)
    indexes = {outcome.index for outcome in added}
    return dataclasses.replace(
        state,
        parts=(*state.parts, part) if added else state.parts,
        settled=tuple(sorted({*state.settled, *indexes})),
        counts=dict(counts),
    )


def finish(state: ChunkState) -> ChunkState:
    """Return the state of a chunk all of whose results are in parts."""
    return ChunkState(
        status=ChunkStatus.done,
        holder=state.holder,
        crashes=state.crashes,
        parts=state.parts,
        counts=state.counts,
    )


def close_unclaimed(outcome: Outcome, items: int) -> ChunkState:
    """Return the state of a chunk that nobody held and that has ended."""
    return ChunkState(
        status=ChunkStatus.done,
        counts={outcome: items},
        rest=outcome,
    )


def suspect_group(suspects: tuple[int, ...]) -> tuple[int, ...]:
    """Return the suspects that run next, a part of them or one alone."""
    return suspects[: -(-len(suspects) // _NARROWING)]


def without(
    indexes: Iterable[int],
    left_out: Iterable[int],
) -> tuple[int, ...]:
    """Return the indexes, in their order, that are not left out."""
    removed = frozenset(left_out)
    return tuple(index for index in indexes if index not in removed)


def _blamed(state: ChunkState) -> Mapping[int, int]:
    """Return the attempts, one more for each item that had been let run."""
    blamed = {
        index: state.attempts.get(index, 0) + 1 for index in state.running
    }
    return {**state.attempts, **blamed}
