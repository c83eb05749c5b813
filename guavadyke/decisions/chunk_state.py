"""State of a chunk of a batch job, and its transitions.

A chunk's state is stored as one object of the platform. The caller writes
each transition by conditional update, so that of two racing writers only
the first succeeds.
"""

from __future__ import annotations

import dataclasses
import enum
from collections import Counter
from collections.abc import Iterable, Mapping

_SUSPECT_GROUPS = 8


class ChunkStatus(enum.StrEnum):
    """Status of a chunk; a chunk without a stored object is waiting."""

    waiting = 'waiting'
    held = 'held'
    done = 'done'


class Outcome(enum.StrEnum):
    """Final outcome of an item."""

    completed = 'completed'
    failed = 'failed'
    cancelled = 'cancelled'
    expired = 'expired'
    unknown = 'unknown'


@dataclasses.dataclass(frozen=True)
class ItemOutcome:
    """Final result of one item; ``index`` is its position in the chunk."""

    index: int
    outcome: Outcome
    response: object = None
    error: str = ''


@dataclasses.dataclass(frozen=True)
class ChunkState:
    """State of one chunk; items are given by their index in the chunk.

    Attributes:
        status: whether the chunk is waiting, held or done.
        holder: name of the lease of the current or last holder.
        crashes: number of holders that were lost.
        parts: names of the objects that store results.
        settled: items whose results are in ``parts``; empty once done.
        counts: number of items by outcome.
        attempts: failed attempts of items without an outcome.
        started: non-idempotent items that may have been sent to a server.
        suspects: items that may have crashed a holder.
        running: suspects that were recorded as running.
        partials: partial texts of preempted items.
        rest: outcome of a done chunk's items that are in no part.
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
        """Number of items that have a final outcome."""
        return sum(self.counts.values())


def claim(state: ChunkState, holder: str) -> ChunkState:
    """Return the state of a waiting chunk claimed by ``holder``."""
    return dataclasses.replace(
        state,
        status=ChunkStatus.held,
        holder=holder,
    )


def take_over(state: ChunkState, holder: str, items: int) -> ChunkState:
    """Return the state of a chunk that ``holder`` takes from a lost one.

    The items that were recorded as running become the suspects; if there
    are none, the suspects stay, or all unsettled items become suspects.

    Args:
        state: state written by the lost holder.
        holder: name of the new holder's lease.
        items: number of items in the chunk.
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
        attempts=_attempts_after_crash(state),
    )


def release(
    state: ChunkState,
    attempts: Mapping[int, int],
    partials: Mapping[int, str],
) -> ChunkState:
    """Return the state of a chunk that its holder releases.

    Nothing runs at that time. An item whose start is recorded but that has
    no outcome is therefore known not to have run.
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
    """Return the state that records the start of non-idempotent items."""
    return dataclasses.replace(
        state,
        started=tuple(sorted({*state.started, *indexes})),
    )


def record_running(state: ChunkState, indexes: Iterable[int]) -> ChunkState:
    """Return the state that records a group of suspects as running.

    The previous group did not crash the holder and is no longer suspect.
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
    """Return the state with these failed attempts by item."""
    return dataclasses.replace(state, attempts=dict(attempts))


def add_part(
    state: ChunkState,
    part: str,
    outcomes: Iterable[ItemOutcome],
) -> ChunkState:
    """Return the state that refers to a stored part with these results."""
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
    """Return the done state of a chunk whose results are all in parts."""
    return ChunkState(
        status=ChunkStatus.done,
        holder=state.holder,
        crashes=state.crashes,
        parts=state.parts,
        counts=state.counts,
    )


def close_unclaimed(outcome: Outcome, items: int) -> ChunkState:
    """Return the done state of a chunk that no host ever held.

    All its items get the same outcome.
    """
    return ChunkState(
        status=ChunkStatus.done,
        counts={outcome: items},
        rest=outcome,
    )


def suspect_group(suspects: tuple[int, ...]) -> tuple[int, ...]:
    """Return the suspects that run next.

    Each group is an eighth of the suspects, so that few crashes are needed
    to narrow them down to a single item.
    """
    return suspects[: -(-len(suspects) // _SUSPECT_GROUPS)]


def without(
    indexes: Iterable[int],
    excluded: Iterable[int],
) -> tuple[int, ...]:
    """Return ``indexes`` in order without those in ``excluded``."""
    removed = frozenset(excluded)
    return tuple(index for index in indexes if index not in removed)


def _attempts_after_crash(state: ChunkState) -> Mapping[int, int]:
    """Return the attempts, one more for each item recorded as running."""
    counted = {
        index: state.attempts.get(index, 0) + 1 for index in state.running
    }
    return {**state.attempts, **counted}
