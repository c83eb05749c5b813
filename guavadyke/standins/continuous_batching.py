"""Continuous batching: one loop generates tokens for all requests."""

from __future__ import annotations

import collections
import dataclasses
import threading
import time
from typing import Protocol

from guavadyke.standins.prefix_cache import PrefixCache

# A loop that runs late makes up for at most this much time.
_MAX_CATCH_UP_S = 0.1
# How often paused or queued requests are checked for disconnected callers.
_RECHECK_INTERVAL_S = 0.02


@dataclasses.dataclass(frozen=True)
class ContinuousBatchSpec:
    """Number of slots and speed of an engine.

    A step generates one token for each running request. It takes
    ``step_s`` seconds, plus ``step_growth_s`` for each request beyond
    the first, plus the time to read prompts: at most ``prefill_chunk``
    tokens at ``prefill_tokens_per_s``.
    """

    slots: int = 8
    step_s: float = 0.01
    step_growth_s: float = 0.0005
    prefill_tokens_per_s: float = 20_000
    prefill_chunk: int = 512


class EngineRequest(Protocol):
    """A request in the batch.

    ``prefill_left`` is the number of prompt tokens still to be read.
    """

    prefill_left: int

    @property
    def prompt(self) -> str:
        """The prompt, which is looked up in the prefix cache."""
        ...

    @property
    def is_disconnected(self) -> bool:
        """Whether the caller has closed the connection."""
        ...

    def admit(self, cached_tokens: int) -> None:
        """Start the request; ``cached_tokens`` of its prompt are cached."""
        ...

    def step(self) -> bool:
        """Generate one token; return whether the request stays in its slot."""
        ...

    def abandon(self) -> None:
        """End early: the caller has disconnected or the engine stops."""
        ...


class ContinuousBatch:
    """Runs requests in a number of slots; the others queue up (FIFO).

    Args:
        spec: number of slots and speed.
        cache: prefixes of prompts that need not be read again.
    """

    def __init__(self, spec: ContinuousBatchSpec, cache: PrefixCache) -> None:
        self._spec = spec
        self._cache = cache
        self._changed = threading.Condition()
        self._waiting: collections.deque[EngineRequest] = collections.deque()
        self._running: list[EngineRequest] = []
        self._closed = False
        self._held = False
        self._slow = 1.0
        self._thread = threading.Thread(target=self._run, daemon=True)

    @property
    def running(self) -> int:
        """Number of requests in slots."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._waiting)

    def start(self) -> None:
        """Start the loop in a background thread."""
        self._thread.start()

    def submit(self, request: EngineRequest) -> None:
        """Queue a request."""
        with self._changed:
            self._waiting.append(request)
            self._changed.notify_all()

    def adjust(self, *, held: bool, slow: float) -> None:
        """Change the speed.

        Args:
            held: whether all requests are paused.
            slow: factor on the duration of a step.
        """
        with self._changed:
            self._held = held
            self._slow = slow
            self._changed.notify_all()

    def close(self) -> None:
        """Stop the loop and abandon every request."""
        with self._changed:
            self._closed = True
            self._changed.notify_all()

    def _run(self) -> None:
        due = time.monotonic()
        while self._wait_for_work():
            due = max(due, time.monotonic() - _MAX_CATCH_UP_S) + self._step_s()
            time.sleep(max(0, due - time.monotonic()))
            self._step()
            if not self._running:
                due = time.monotonic()
        for request in (*self._running, *self._waiting):
            request.abandon()

    def _wait_for_work(self) -> bool:
        """Wait until a request can be stepped; return False when closed."""
        with self._changed:
            while not self._closed:
                self._drop_disconnected()
                if not self._held:
                    self._admit()
                if self._running and not self._held:
                    return True
                idle = not self._waiting and not self._running
                self._changed.wait(None if idle else _RECHECK_INTERVAL_S)
        return False

    def _drop_disconnected(self) -> None:
        disconnected = [
            request
            for request in (*self._running, *self._waiting)
            if request.is_disconnected
        ]
        if not disconnected:
            return
        for request in disconnected:
            request.abandon()
        self._running = [
            other for other in self._running if other not in disconnected
        ]
        self._waiting = collections.deque(
            other for other in self._waiting if other not in disconnected
        )

    def _admit(self) -> None:
        free = self._spec.slots - len(self._running)
        admitted = [
            self._waiting.popleft()
            for _slot in range(min(free, len(self._waiting)))
        ]
        for request in admitted:
            request.admit(self._cache.read_prompt(request.prompt))
        self._running.extend(admitted)

    def _step_s(self) -> float:
        budget = self._spec.prefill_chunk
        for request in self._running:
            read_tokens = min(request.prefill_left, budget)
            request.prefill_left -= read_tokens
            budget -= read_tokens
        prefill_s = (
            self._spec.prefill_chunk - budget
        ) / self._spec.prefill_tokens_per_s
        growth_s = self._spec.step_growth_s * (len(self._running) - 1)
        return (self._spec.step_s + growth_s + prefill_s) * self._slow

    def _step(self) -> None:
        ended = [
            request
            for request in self._running
            if request.prefill_left == 0 and not request.step()
        ]
        if ended:
            self._running = [
                request for request in self._running if request not in ended
            ]
