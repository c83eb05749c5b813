"""Chunks that this host holds, and the tasks that its workers take."""

from __future__ import annotations

import dataclasses
import random
import threading
from collections.abc import Iterable

from guavadyke.adapters.ports import (
    Clock,
    ItemEnd,
    ItemResult,
    ItemRunner,
    StoredObject,
)
from guavadyke.controllers.batch_jobs import JobIndex
from guavadyke.controllers.batch_lease import LeaseManager
from guavadyke.controllers.batch_records import (
    BatchItem,
    JobRecord,
    chunk_name,
)
from guavadyke.decisions.chunk_run import (
    ChunkRun,
    RunConditions,
    RunItem,
    Step,
)
from guavadyke.decisions.chunk_state import ChunkState, ChunkStatus
from guavadyke.decisions.job_forecast import RunKey, RunTracker

_SLOT_DELAY_S = 0.003
_ROOM_INTERVAL_S = 0.01
_FIRST_RETRY_S = 0.5
_LONGEST_RETRY_S = 10.0


@dataclasses.dataclass
class HeldChunk:
    """A chunk in this host's hands.

    ``stored`` is the state object as last written or read. ``part`` names
    results that are written and not yet referred to, for ``part_items``.
    """

    job: JobRecord
    index: int
    holder: str
    items: tuple[BatchItem, ...]
    stored: StoredObject
    run: ChunkRun
    lost: bool = False
    failures: int = 0
    retry_at: float = 0
    part: str = ''
    part_items: tuple[int, ...] = ()

    @property
    def name(self) -> str:
        """Name of the chunk's state object."""
        return chunk_name(self.job.job_id, self.index)


@dataclasses.dataclass(frozen=True)
class Task:
    """A step of a held chunk that a worker carries out."""

    held: HeldChunk
    step: Step


@dataclasses.dataclass(frozen=True)
class _Room:
    """How many more items could start at ``read_at``, monotonic seconds."""

    items: int
    read_at: float


@dataclasses.dataclass(frozen=True)
class RunCancellation:
    """Tells a run that its job was cancelled or its chunk is gone.

    A run that may not be repeated is never broken off, since its outcome
    could not be told any more.
    """

    held: HeldChunk
    held_chunks: HeldChunkRegistry
    repeatable: bool

    def is_set(self) -> bool:
        """Return whether the run has to end."""
        return self.repeatable and self.held_chunks.must_end(self.held)


class HeldChunkRegistry:
    """All chunks that this host holds; safe for many threads.

    Args:
        lease: this host's lease.
        index: the jobs, to see those that were cancelled.
        runner: knows how many items may be in flight.
        clock: the host's clock.
        rng: spreads repeated writes.
    """

    def __init__(
        self,
        lease: LeaseManager,
        index: JobIndex,
        runner: ItemRunner,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._lease = lease
        self._index = index
        self._runner = runner
        self._clock = clock
        self._rng = rng
        self._changed = threading.Condition(threading.RLock())
        self._chunks: dict[str, HeldChunk] = {}
        self.runs = RunTracker()
        self._rooms: dict[str, _Room] = {}
        self._stopping = False
        self._preempting = False

    @property
    def chunks(self) -> tuple[HeldChunk, ...]:
        """The chunks held now."""
        with self._changed:
            return tuple(self._chunks.values())

    def add(self, held: HeldChunk) -> None:
        """Begin work on a chunk."""
        with self._changed:
            self._chunks[held.name] = held
            self._changed.notify_all()

    def backlog(self, entry_name: str) -> int:
        """Return how many held items of an entry have not begun."""
        return sum(
            held.run.backlog
            for held in self.chunks
            if held.job.entry_name == entry_name
        )

    def next_task(self) -> Task | None:
        """Return what a worker should do now, or None."""
        with self._changed:
            for held in _in_order(self._chunks.values()):
                now = self._clock.monotonic()
                if now < held.retry_at:
                    continue
                step = held.run.next_step(self._permissions(held, now))
                if isinstance(step, RunItem):
                    self.runs.begin(_run_key(held, step.open_item.index), now)
                if step is not None:
                    return Task(held, step)
        return None

    def wait(self, seconds: float) -> None:
        """Wait for a change."""
        with self._changed:
            self._changed.wait(seconds)

    def item_ended(
        self,
        held: HeldChunk,
        index: int,
        ended: ItemResult,
    ) -> None:
        """Take in how the run of an item ended."""
        with self._changed:
            now = self._clock.monotonic()
            self.runs.end(_run_key(held, index), now)
            self._rooms.pop(held.job.entry_name, None)
            if ended.end is ItemEnd.cancelled and self.is_cancelled(held):
                held.run.item_aborted(index)
            else:
                held.run.item_ended(index, ended, now)
            self._changed.notify_all()

    def written(
        self, held: HeldChunk, stored: StoredObject, state: ChunkState
    ) -> None:
        """Take in that the platform holds ``state`` for the chunk."""
        with self._changed:
            held.stored = stored
            held.failures = 0
            held.run.written(state)
            if state.status is not ChunkStatus.held:
                self._chunks.pop(held.name, None)
            self._changed.notify_all()

    def postpone(self, held: HeldChunk) -> None:
        """Repeat a write later, since the platform did not take it."""
        with self._changed:
            longest_s = min(
                _LONGEST_RETRY_S,
                _FIRST_RETRY_S * 2 ** min(held.failures, 8),
            )
            held.failures += 1
            held.retry_at = self._clock.monotonic() + self._rng.uniform(
                longest_s / 2,
                longest_s,
            )
            held.run.write_failed()

    def drop(self, held: HeldChunk) -> None:
        """Forget a chunk that another host has taken."""
        with self._changed:
            held.lost = True
            if self._chunks.get(held.name) is held:
                self._chunks.pop(held.name)
            self._changed.notify_all()

    def stop(self, *, preempt: bool) -> None:
        """Start no more items; with ``preempt`` break off those running."""
        with self._changed:
            self._stopping = True
            self._preempting = preempt
            self._changed.notify_all()

    def must_end(self, held: HeldChunk) -> bool:
        """Return whether running items of the chunk have to end."""
        return held.lost or self._preempting or self.is_cancelled(held)

    def is_cancelled(self, held: HeldChunk) -> bool:
        """Return whether the chunk's job was cancelled."""
        job = self._index.snapshot.current.jobs.get(held.job.job_id)
        return job is not None and job.record.cancelled_at is not None

    def _permissions(self, held: HeldChunk, now: float) -> RunConditions:
        current = self._lease.view.current.name == held.holder
        start = self._lease.is_valid(held.holder) and self._lease.covers(
            self._index.snapshot.current.revision,
        )
        return RunConditions(
            now=now,
            start=start,
            free=self._free(held.job.entry_name, now) if start else 0,
            cancelled=self.is_cancelled(held),
            expired=held.job.is_expired(self._clock.wall()),
            stopping=self._stopping or not current,
            lone=not any(one.run.alone for one in self._chunks.values()),
        )

    def _free(self, entry_name: str, now: float) -> int:
        """Return how many items may start now.

        The runner is asked now and then; items that began since, or just
        before, may not have their slots yet.
        """
        known = self._rooms.get(entry_name)
        if known is None or now - known.read_at >= _ROOM_INTERVAL_S:
            known = _Room(self._runner.capacity(entry_name), now)
            self._rooms[entry_name] = known
        begun = self.runs.runs_begun_since(
            entry_name, known.read_at - _SLOT_DELAY_S
        )
        return known.items - begun


def _in_order(chunks: Iterable[HeldChunk]) -> list[HeldChunk]:
    return sorted(
        chunks,
        key=lambda held: (held.job.due, held.job.created, held.name),
    )


def _run_key(held: HeldChunk, index: int) -> RunKey:
    return RunKey(held.job.entry_name, held.name, index)
