"""State machine of a host that runs the items of one batch chunk.

There is one ``ChunkRun`` for each chunk that the host holds. It does no
I/O: the host carries out the steps that ``next_step`` returns (run an item,
write the chunk's state, commit results) and reports how each ended.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

from guavadyke.adapters.ports import ItemResult
from guavadyke.decisions import chunk_state
from guavadyke.decisions.chunk_queues import ChunkQueues, ItemQueue
from guavadyke.decisions.item_retries import (
    ItemRetry,
    OpenItem,
    outcome_or_retry,
)
from guavadyke.decisions.item_tracker import ItemTracker

MAX_STARTS_PER_WRITE = 16
COMMIT_BYTES = 512 * 1024
MAX_RETRIES_IN_FLIGHT = 4
_RUN_ABORTED = 'the job was cancelled during its run'
_NEVER_STARTED = 'it had not begun'


@dataclasses.dataclass(frozen=True)
class RunItem:
    """Run one item now."""

    open_item: OpenItem


@dataclasses.dataclass(frozen=True)
class WriteState:
    """Write the chunk's state before items run that depend on it."""

    state: chunk_state.ChunkState


@dataclasses.dataclass(frozen=True)
class Commit:
    """Write results, then the chunk state that refers to them.

    ``final`` marks the chunk as done; ``released`` returns it to the
    waiting chunks so that another host can claim it.
    """

    outcomes: tuple[chunk_state.ItemOutcome, ...]
    final: bool
    released: bool = False


Step = RunItem | WriteState | Commit


@dataclasses.dataclass(frozen=True)
class RunConditions:
    """Conditions under which the next step is chosen.

    ``now`` is in monotonic seconds. ``may_start`` is False while the host's
    lease is not confirmed. ``free_slots`` is the number of items that may
    start. ``cancelled`` and ``expired`` tell that the job was cancelled or
    is past its expiry. ``stopping`` asks to release the chunk once nothing
    runs. ``may_run_alone`` is False while another chunk of this host runs
    an item that has to run alone.
    """

    now: float
    may_start: bool
    free_slots: int
    cancelled: bool = False
    expired: bool = False
    stopping: bool = False
    may_run_alone: bool = True


class ChunkRun:
    """Schedules the items of one chunk on the host that holds it.

    Items run in this order: first those that may have crashed an earlier
    holder, in groups that are recorded before they start; then ordinary
    items; then items that have failed, a few at a time; last, one by one,
    items that have a single attempt left.

    Args:
        state: the chunk's state when this host claimed it.
        idempotent: for each item, whether it may be run again.
        max_attempts: number of failed attempts after which an item fails.
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
        self._tracker = ItemTracker(state, idempotent, max_attempts)
        self._queues = ChunkQueues(
            state,
            self._tracker.open_items(),
            max_attempts,
        )

    @property
    def state(self) -> chunk_state.ChunkState:
        """The chunk's state as last written."""
        return self._state

    @property
    def tracker(self) -> ItemTracker:
        """Open items and their unwritten outcomes."""
        return self._tracker

    @property
    def in_flight(self) -> int:
        """Number of items that run now."""
        return len(self._in_flight)

    @property
    def alone(self) -> bool:
        """Whether the item that runs now has to run alone."""
        return self._alone and bool(self._in_flight)

    @property
    def backlog(self) -> int:
        """Number of items that wait for a run."""
        return len(self._queues)

    def next_step(self, conditions: RunConditions) -> Step | None:
        """Return the next step, or None if there is nothing to do now.

        After a ``WriteState`` or ``Commit`` this returns None until
        ``written`` or ``write_failed`` is called.
        """
        if self._writing:
            return None
        if conditions.cancelled or conditions.expired:
            for index in self._queues.clear():
                self._tracker.settle(_never_started(index, conditions))
        if not self.backlog and not self._in_flight:
            return self._begin_write(Commit(self._tracker.outcomes, final=True))
        if self._tracker.outcome_bytes >= COMMIT_BYTES:
            return self._begin_write(
                Commit(self._tracker.outcomes, final=False)
            )
        if conditions.stopping:
            return (
                None
                if self._in_flight
                else self._begin_write(
                    Commit(self._tracker.outcomes, final=False, released=True),
                )
            )
        if not conditions.may_start or conditions.free_slots <= 0:
            return None
        return self._start(conditions)

    def item_ended(self, index: int, ended: ItemResult, now: float) -> None:
        """Record the end of an item's run and schedule a retry if needed."""
        self._in_flight.discard(index)
        open_item = self._tracker.open_item(index)
        decision = outcome_or_retry(open_item, ended, self._max_attempts)
        if isinstance(decision, ItemRetry):
            self._tracker.update(decision.open_item)
            self._queues.requeue(decision, self._state.running, now)
        else:
            self._tracker.settle(decision)

    def item_aborted(self, index: int) -> None:
        """Record that a run was aborted because its job ended."""
        self._in_flight.discard(index)
        cancelled, unknown = (
            chunk_state.Outcome.cancelled,
            chunk_state.Outcome.unknown,
        )
        outcome = (
            cancelled if self._tracker.open_item(index).idempotent else unknown
        )
        self._tracker.settle(
            chunk_state.ItemOutcome(index, outcome, error=_RUN_ABORTED),
        )

    def written(self, state: chunk_state.ChunkState) -> None:
        """Record that ``state`` is stored and drop the outcomes in it."""
        self._writing = False
        self._tracker.drop_written(
            set(state.settled) - set(self._state.settled)
        )
        self._state = state

    def write_failed(self) -> None:
        """Record that a write failed; ``next_step`` returns it again."""
        self._writing = False

    def _start(self, conditions: RunConditions) -> Step | None:
        queues = self._queues
        self._alone = self.alone
        if queues.group:
            return self._start_from_queue(queues.group, conditions)
        if self._in_flight and self._state.running:
            return None
        if queues.suspects or self._state.running:
            return self._start_group(conditions)
        if queues.ordinary and not self.alone:
            return self._start_from_queue(queues.ordinary, conditions)
        if queues.failed_before and not self.alone:
            below_limit = len(self._in_flight) < MAX_RETRIES_IN_FLIGHT
            return (
                self._start_from_queue(queues.failed_before, conditions)
                if below_limit
                else None
            )
        return None if self._in_flight else self._start_alone(conditions)

    def _start_group(self, conditions: RunConditions) -> Step | None:
        """Record the next group of suspects, then start its items."""
        group = chunk_state.suspect_group(self._queues.suspects)
        if self._state.running != group:
            return self._begin_write(
                WriteState(chunk_state.record_running(self._state, group)),
            )
        self._queues.move_to_group(group)
        return self._start_from_queue(self._queues.group, conditions)

    def _start_alone(self, conditions: RunConditions) -> Step | None:
        attempts = self._tracker.attempts()
        if attempts != self._state.attempts:
            return self._begin_write(
                WriteState(chunk_state.record_attempts(self._state, attempts)),
            )
        if not conditions.may_run_alone:
            return None
        self._alone = True
        return self._start_from_queue(self._queues.last_attempt, conditions)

    def _start_from_queue(
        self, item_queue: ItemQueue, conditions: RunConditions
    ) -> Step | None:
        ready = item_queue.ready(conditions.now)
        if not ready:
            return None
        unrecorded = chunk_state.without(
            (
                one
                for one in ready
                if not self._tracker.open_item(one).idempotent
            ),
            self._state.started,
        )
        if ready[0] in unrecorded:
            first = unrecorded[
                : min(conditions.free_slots, MAX_STARTS_PER_WRITE)
            ]
            return self._begin_write(
                WriteState(chunk_state.record_started(self._state, first)),
            )
        item_queue.remove(ready[0])
        self._in_flight.add(ready[0])
        return RunItem(self._tracker.open_item(ready[0]))

    def _begin_write(self, step: WriteState | Commit) -> Step:
        self._writing = True
        return step


def _never_started(
    index: int, conditions: RunConditions
) -> chunk_state.ItemOutcome:
    """Return the outcome of an item that never ran as its job ended."""
    outcome = chunk_state.Outcome.expired
    if conditions.cancelled:
        outcome = chunk_state.Outcome.cancelled
    return chunk_state.ItemOutcome(index, outcome, error=_NEVER_STARTED)
