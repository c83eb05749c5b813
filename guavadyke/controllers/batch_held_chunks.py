"""The chunks that this host holds, and the next tasks for its workers."""

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

_SLOT_ACQUIRE_DELAY_S = 0.003
_CAPACITY_TTL_S = 0.01
_INITIAL_RETRY_DELAY_S = 0.5
_MAX_RETRY_DELAY_S = 10.0


@dataclasses.dataclass
class HeldChunk:
    """A chunk that this host holds.

    ``stored`` is the state object as last written or read. ``part`` names
    an object of results that the chunk's state does not refer to yet;
    ``part_indexes`` are the items in it. A chunk is ``lost`` once another
    host has taken it over. ``failures`` counts failed writes in a row;
    nothing is done before ``retry_at`` in monotonic seconds.
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
    part_indexes: tuple[int, ...] = ()

    @property
    def name(self) -> str:
        """Name of the chunk's state object."""
        return chunk_name(self.job.job_id, self.index)


@dataclasses.dataclass(frozen=True)
class Task:
    """A step of a held chunk for a worker to execute."""

    held: HeldChunk
    step: Step


@dataclasses.dataclass(frozen=True)
class _CapacityReading:
    """Capacity in items, as read at ``read_at`` in monotonic seconds."""

    items: int
    read_at: float


@dataclasses.dataclass(frozen=True)
class RunCancellation:
    """Cancellation signal of an item's run.

    It is set when the job is cancelled, the chunk is lost or the host
    preempts its items. A run that may not be repeated is never broken off,
    since its outcome would stay unknown.
    """

    held: HeldChunk
    held_chunks: HeldChunkRegistry
    repeatable: bool

    def is_set(self) -> bool:
        """Return whether the run has to stop."""
        return self.repeatable and self.held_chunks.must_stop_items(self.held)


class HeldChunkRegistry:
    """All chunks that this host holds; safe for many threads.

    Args:
        lease: this host's lease.
        index: known jobs, to detect cancelled ones.
        runner: tells how many more items of an entry can start.
        clock: the host's clock.
        rng: adds jitter to the delay of repeated writes.
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
        self.run_tracker = RunTracker()
        self._capacity_readings: dict[str, _CapacityReading] = {}
        self._stopping = False
        self._preempting = False

    @property
    def chunks(self) -> tuple[HeldChunk, ...]:
        """The chunks that this host holds now."""
        with self._changed:
            return tuple(self._chunks.values())

    def add(self, held: HeldChunk) -> None:
        """Add a claimed chunk and wake the dispatcher."""
        with self._changed:
            self._chunks[held.name] = held
            self._changed.notify_all()

    def backlog(self, entry_name: str) -> int:
        """Return how many items of an entry wait in held chunks."""
        return sum(
            held.run.backlog
            for held in self.chunks
            if held.job.entry_name == entry_name
        )

    def next_task(self) -> Task | None:
        """Return the next task for a worker, or None if there is none now.

        Chunks are tried in the order of their jobs' due times.
        """
        with self._changed:
            for held in _by_due_time(self._chunks.values()):
                now = self._clock.monotonic()
                if now < held.retry_at:
                    continue
                step = held.run.next_step(self._permissions(held, now))
                if isinstance(step, RunItem):
                    self.run_tracker.begin(
                        _run_key(held, step.open_item.index), now
                    )
                if step is not None:
                    return Task(held, step)
        return None

    def wait(self, seconds: float) -> None:
        """Wait for a change of the held chunks, at most ``seconds``."""
        with self._changed:
            self._changed.wait(seconds)

    def item_ended(
        self,
        held: HeldChunk,
        index: int,
        ended: ItemResult,
    ) -> None:
        """Record how the run of an item ended."""
        with self._changed:
            now = self._clock.monotonic()
            self.run_tracker.end(_run_key(held, index), now)
            self._capacity_readings.pop(held.job.entry_name, None)
            if ended.end is ItemEnd.cancelled and self.is_cancelled(held):
                held.run.item_aborted(index)
            else:
                held.run.item_ended(index, ended, now)
            self._changed.notify_all()

    def written(
        self, held: HeldChunk, stored: StoredObject, state: ChunkState
    ) -> None:
        """Record that the platform now stores ``state`` for the chunk.

        The chunk is removed where the state is done or released.
        """
        with self._changed:
            held.stored = stored
            held.failures = 0
            held.run.written(state)
            if state.status is not ChunkStatus.held:
                self._chunks.pop(held.name, None)
            self._changed.notify_all()

    def postpone_write(self, held: HeldChunk) -> None:
        """Schedule a failed write again, with exponential delay and jitter."""
        with self._changed:
            longest_s = min(
                _MAX_RETRY_DELAY_S,
                _INITIAL_RETRY_DELAY_S * 2 ** min(held.failures, 8),
            )
            held.failures += 1
            held.retry_at = self._clock.monotonic() + self._rng.uniform(
                longest_s / 2,
                longest_s,
            )
            held.run.write_failed()

    def drop_lost(self, held: HeldChunk) -> None:
        """Remove a chunk that another host has taken over."""
        with self._changed:
            held.lost = True
            if self._chunks.get(held.name) is held:
                self._chunks.pop(held.name)
            self._changed.notify_all()

    def stop(self, *, preempt: bool) -> None:
        """Start no more items; with ``preempt`` also stop the running ones."""
        with self._changed:
            self._stopping = True
            self._preempting = preempt
            self._changed.notify_all()

    def must_stop_items(self, held: HeldChunk) -> bool:
        """Return whether running items of the chunk have to stop."""
        return held.lost or self._preempting or self.is_cancelled(held)

    def is_cancelled(self, held: HeldChunk) -> bool:
        """Return whether the chunk's job was cancelled."""
        job = self._index.snapshot.current.jobs.get(held.job.job_id)
        return job is not None and job.record.cancelled_at is not None

    def _permissions(self, held: HeldChunk, now: float) -> RunConditions:
        current = self._lease.view.current.name == held.holder
        start = self._lease.is_valid(
            held.holder
        ) and self._lease.covers_revision(
            self._index.snapshot.current.revision,
        )
        return RunConditions(
            now=now,
            may_start=start,
            free_slots=self._startable_items(held.job.entry_name, now)
            if start
            else 0,
            cancelled=self.is_cancelled(held),
            expired=held.job.is_expired(self._clock.wall()),
            stopping=self._stopping or not current,
            may_run_alone=not any(
                chunk.run.alone for chunk in self._chunks.values()
            ),
        )

    def _startable_items(self, entry_name: str, now: float) -> int:
        """Return how many items may start now.

        The runner's capacity is read once in ``_CAPACITY_TTL_S``. Items
        that started after the last reading are subtracted, and also those
        that started up to ``_SLOT_ACQUIRE_DELAY_S`` before it, since they
        may not have acquired their slots by then.
        """
        reading = self._capacity_readings.get(entry_name)
        if reading is None or now - reading.read_at >= _CAPACITY_TTL_S:
            reading = _CapacityReading(self._runner.capacity(entry_name), now)
            self._capacity_readings[entry_name] = reading
        just_started = self.run_tracker.runs_begun_since(
            entry_name, reading.read_at - _SLOT_ACQUIRE_DELAY_S
        )
        return reading.items - just_started


def _by_due_time(chunks: Iterable[HeldChunk]) -> list[HeldChunk]:
    return sorted(
        chunks,
        key=lambda held: (held.job.due, held.job.created, held.name),
    )


def _run_key(held: HeldChunk, index: int) -> RunKey:
    return RunKey(held.job.entry_name, held.name, index)
