"""Continuous batching: one loop steps every running request."""

from __future__ import annotations

import collections
import dataclasses
import threading
import time
from typing import Protocol

from guavadyke.standins.prefix_cache import PrefixCache

_LATE_S = 0.1
_HELD_INTERVAL_S = 0.02


@dataclasses.dataclass(frozen=True)
class ContinuousBatchSpec:
    """How fast an engine is.

    A step takes ``step_s`` seconds, ``step_growth_s`` more for each
    request beyond the first, and the time that ``prefill_tokens_per_s``
    gives for at most ``prefill_chunk`` tokens of prompts.
    """

    slots: int = 8
    step_s: float = 0.01
    step_growth_s: float = 0.0005
    prefill_tokens_per_s: float = 20_000
    prefill_chunk: int = 512


class Job(Protocol):
    """A request in the batch; ``prefill_left`` counts tokens to read."""

    prefill_left: int

    @property
    def prompt(self) -> str:
        """The prompt, for the prefix cache."""
        ...

    @property
    def lost(self) -> bool:
        """Whether the caller has left."""
        ...

    def admit(self, cached_tokens: int) -> None:
        """Take a slot; so many tokens of the prompt are cached."""
        ...

    def step(self) -> bool:
        """Generate one token; return whether the request goes on."""
        ...

    def abandon(self) -> None:
        """End, since the caller has left or the engine stops."""
        ...


class Batch:
    """Runs jobs in slots; those beyond wait in the order of arrival.

    Args:
        spec: how fast it is.
        cache: prompts that need not be read again.
    """

    def __init__(self, spec: ContinuousBatchSpec, cache: PrefixCache) -> None:
        self._spec = spec
        self._cache = cache
        self._changed = threading.Condition()
        self._waiting: collections.deque[Job] = collections.deque()
        self._running: list[Job] = []
        self._closed = False
        self._held = False
        self._slow = 1.0
        self._thread = threading.Thread(target=self._run, daemon=True)

    @property
    def running(self) -> int:
        """Requests in slots."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Requests that wait for a slot."""
        return len(self._waiting)

    def start(self) -> None:
        """Begin to step."""
        self._thread.start()

    def submit(self, job: Job) -> None:
        """Queue a job."""
        with self._changed:
            self._waiting.append(job)
            self._changed.notify_all()

    def adjust(self, *, held: bool, slow: float) -> None:
        """Hold all jobs, or divide the speed."""
        with self._changed:
            self._held = held
            self._slow = slow
            self._changed.notify_all()

    def close(self) -> None:
        """Stop and abandon every job."""
        with self._changed:
            self._closed = True
            self._changed.notify_all()

    def _run(self) -> None:
        due = time.monotonic()
        while self._ready():
            due = max(due, time.monotonic() - _LATE_S) + self._step_s()
            time.sleep(max(0, due - time.monotonic()))
            self._step()
            if not self._running:
                due = time.monotonic()
        for job in (*self._running, *self._waiting):
            job.abandon()

    def _ready(self) -> bool:
        """Wait until there is a job to step; False when closed."""
        with self._changed:
            while not self._closed:
                self._drop_lost()
                if not self._held:
                    self._admit()
                if self._running and not self._held:
                    return True
                idle = not self._waiting and not self._running
                self._changed.wait(None if idle else _HELD_INTERVAL_S)
        return False

    def _drop_lost(self) -> None:
        lost = [one for one in (*self._running, *self._waiting) if one.lost]
        if not lost:
            return
        for job in lost:
            job.abandon()
        self._running = [one for one in self._running if one not in lost]
        self._waiting = collections.deque(
            one for one in self._waiting if one not in lost
        )

    def _admit(self) -> None:
        free = self._spec.slots - len(self._running)
        admitted = [
            self._waiting.popleft()
            for _slot in range(min(free, len(self._waiting)))
        ]
        for job in admitted:
            job.admit(self._cache.use(job.prompt))
        self._running.extend(admitted)

    def _step_s(self) -> float:
        budget = self._spec.prefill_chunk
        for job in self._running:
            taken = min(job.prefill_left, budget)
            job.prefill_left -= taken
            budget -= taken
        prefill_s = (
            self._spec.prefill_chunk - budget
        ) / self._spec.prefill_tokens_per_s
        growth_s = self._spec.step_growth_s * (len(self._running) - 1)
        return (self._spec.step_s + growth_s + prefill_s) * self._slow

    def _step(self) -> None:
        ended = [
            job
            for job in self._running
            if job.prefill_left == 0 and not job.step()
        ]
        if ended:
            self._running = [job for job in self._running if job not in ended]
