"""What the holder of a chunk does next: run an item, write, or commit.

One run object serves one held chunk. It does no I/O: the holder carries
out the steps that ``next_step`` returns and reports their ends.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

from guavadyke.adapters.ports import ItemResult
from guavadyke.decisions import chunk_state
from guavadyke.decisions.chunk_queues import ChunkQueues, ItemQueue
from guavadyke.decisions.item_retries import ItemRetry, OpenItem, judge
from guavadyke.decisions.itemboard import ItemBoard

STARTS_IN_ONE_WRITE = 16
PART_BYTES = 512 * 1024
FEW_ITEMS = 4
_WITHDRAWN = 'the job was cancelled during its run'
_NOT_BEGUN = 'it had not begun'


@dataclasses.dataclass(frozen=True)
class RunItem:
    """Run one item now."""

    open_item: OpenItem


@dataclasses.dataclass(frozen=True)
class WriteState:
    """Replace the chunk's state, before items run that depend on it."""

    state: chunk_state.ChunkState


@dataclasses.dataclass(frozen=True)
class Commit:
    """Write results, then the state that refers to them.

    ``final`` ends the chunk; ``released`` gives it back.
    """

    outcomes: tuple[chunk_state.ItemOutcome, ...]
    final: bool
    released: bool = False


Step = RunItem | WriteState | Commit


@dataclasses.dataclass(frozen=True)
class RunConditions:
    """What the holder may do now.

    ``start`` is False while the lease is not confirmed. ``free`` is how
    many items may start. ``stopping`` asks to give the chunk back.
    ``lone`` is False while another chunk runs an item alone.
    """

    now: float
    start: bool
    free: int
    cancelled: bool = False
    expired: bool = False
    stopping: bool = False
    lone: bool = True


class ChunkRun:
    """Progress of a chunk in the hands of one holder.

    Items run in lanes: suspects of a holder's loss in groups that are
    recorded first, then the crowd, then a few at a time those that have
    failed, and alone those that have one attempt left.

    Args:
        state: the chunk's state as this holder took it.
        idempotent: for each item whether it may be repeated.
        max_attempts: attempts after which an item fails.
    """

    def __init__(
        self,
        state: chunk_state.ChunkState,
        idempotent: Sequence[bool],
        max_attempts: int,
    ) -> None:
        self._state = state
        self._max_attempts = max_attempts
        self._in_flight: set[int] = set()
        self._alone = False
        self._writing = False
        self._board = ItemBoard(state, idempotent, max_attempts)
        self._lanes = ChunkQueues(
            state,
            self._board.open_trials(),
            max_attempts,
        )

    @property
    def state(self) -> chunk_state.ChunkState:
        """The chunk's state as last written."""
        return self._state

    @property
    def board(self) -> ItemBoard:
        """What is known of the items."""
        return self._board

    @property
    def in_flight(self) -> int:
        """Items that run now."""
        return len(self._in_flight)

    @property
    def alone(self) -> bool:
        """Whether the item that runs now has to run alone."""
        return self._alone and bool(self._in_flight)

    @property
    def backlog(self) -> int:
        """Items that have neither begun nor ended."""
        return len(self._lanes)

    def next_step(self, allowed: RunConditions) -> Step | None:
        """Return what to do now, or None while there is nothing."""
        if self._writing:
            return None
        if allowed.cancelled or allowed.expired:
            for index in self._lanes.clear():
                self._board.settle(_not_begun(index, allowed))
        if not self.backlog and not self._in_flight:
            return self._writes(Commit(self._board.outcomes, final=True))
        if self._board.outcome_bytes >= PART_BYTES:
            return self._writes(Commit(self._board.outcomes, final=False))
        if allowed.stopping:
            return (
                None
                if self._in_flight
                else self._writes(
                    Commit(self._board.outcomes, final=False, released=True),
                )
            )
        if not allowed.start or allowed.free <= 0:
            return None
        return self._start(allowed)

    def item_ended(self, index: int, ended: ItemResult, now: float) -> None:
        """Take in how the run of an item ended."""
        self._in_flight.discard(index)
        open_item = self._board.open_item(index)
        following = judge(open_item, ended, self._max_attempts)
        if isinstance(following, ItemRetry):
            self._board.put(following.open_item)
            self._lanes.requeue(following, self._state.running, now)
        else:
            self._board.settle(following)

    def item_aborted(self, index: int) -> None:
        """Take in that a run was broken off because its job ended."""
        self._in_flight.discard(index)
        cancelled, unknown = (
            chunk_state.Outcome.cancelled,
            chunk_state.Outcome.unknown,
        )
        outcome = (
            cancelled if self._board.open_item(index).idempotent else unknown
        )
        self._board.settle(
            chunk_state.ItemOutcome(index, outcome, error=_WITHDRAWN),
        )

    def written(self, state: chunk_state.ChunkState) -> None:
        """Take in that the platform holds ``state``."""
        self._writing = False
        self._board.forget(set(state.settled) - set(self._state.settled))
        self._state = state

    def write_failed(self) -> None:
        """Take in that the platform did not take a write; it is repeated."""
        self._writing = False

    def _start(self, allowed: RunConditions) -> Step | None:
        lanes = self._lanes
        self._alone = self.alone
        if lanes.group:
            return self._start_from(lanes.group, allowed)
        if self._in_flight and self._state.running:
            return None
        if lanes.suspects or self._state.running:
            return self._start_group(allowed)
        if lanes.crowd and not self.alone:
            return self._start_from(lanes.crowd, allowed)
        if lanes.few and not self.alone:
            few = len(self._in_flight) < FEW_ITEMS
            return self._start_from(lanes.few, allowed) if few else None
        return None if self._in_flight else self._start_lone(allowed)

    def _start_group(self, allowed: RunConditions) -> Step | None:
        """Run the next group of suspects; it is recorded first."""
        group = chunk_state.suspect_group(self._lanes.suspects)
        if self._state.running != group:
            return self._writes(
                WriteState(chunk_state.record_running(self._state, group)),
            )
        self._lanes.move_to_group(group)
        return self._start_from(self._lanes.group, allowed)

    def _start_lone(self, allowed: RunConditions) -> Step | None:
        attempts = self._board.attempts()
        if attempts != self._state.attempts:
            return self._writes(
                WriteState(chunk_state.record_attempts(self._state, attempts)),
            )
        if not allowed.lone:
            return None
        self._alone = True
        return self._start_from(self._lanes.lone, allowed)

    def _start_from(
        self, lane: ItemQueue, allowed: RunConditions
    ) -> Step | None:
        ready = lane.ready(allowed.now)
        if not ready:
            return None
        unrecorded = chunk_state.without(
            (one for one in ready if not self._board.open_item(one).idempotent),
            self._state.started,
        )
        if ready[0] in unrecorded:
            first = unrecorded[: min(allowed.free, STARTS_IN_ONE_WRITE)]
            return self._writes(
                WriteState(chunk_state.record_started(self._state, first)),
            )
        lane.remove(ready[0])
        self._in_flight.add(ready[0])
        return RunItem(self._board.open_item(ready[0]))

    def _writes(self, step: WriteState | Commit) -> Step:
        self._writing = True
        return step


def _not_begun(index: int, allowed: RunConditions) -> chunk_state.ItemOutcome:
    """Return the outcome of an item whose job ended before it began."""
    outcome = chunk_state.Outcome.expired
    if allowed.cancelled:
        outcome = chunk_state.Outcome.cancelled
    return chunk_state.ItemOutcome(index, outcome, error=_NOT_BEGUN)
