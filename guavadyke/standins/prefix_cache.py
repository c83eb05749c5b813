"""Prefix cache of the engine stand-in, with delayed and lost events."""

from __future__ import annotations

import collections
import dataclasses
import hashlib
import random
import threading
import time
from collections.abc import Iterable, Iterator

_BLOCK_CHARS = 64
_CHARS_PER_TOKEN = 4
_MAX_EVENTS = 10_000
_HASH_BYTES = 8


@dataclasses.dataclass(frozen=True)
class CacheEvent:
    """A block was stored or removed.

    ``sequence`` numbers all events, lost ones included, so that a reader
    can detect gaps. ``at`` is on the monotonic clock, in seconds.
    """

    sequence: int
    action: str
    block: str
    at: float


@dataclasses.dataclass(frozen=True)
class CacheSpec:
    """Size of the cache in tokens, and faults of its events.

    Events become visible after ``lag_s`` seconds and are lost with
    probability ``loss``.
    """

    tokens: int = 100_000
    lag_s: float = 0.5
    loss: float = 0.05
    seed: int = 0


def blocks(prompt: str) -> Iterator[str]:
    """Yield the name of each complete block: the hash of the prompt so far."""
    digest = hashlib.blake2b(digest_size=_HASH_BYTES)
    for end in range(_BLOCK_CHARS, len(prompt) + 1, _BLOCK_CHARS):
        digest.update(prompt[end - _BLOCK_CHARS : end].encode())
        yield digest.hexdigest()


class PrefixCache:
    """LRU cache of prompt blocks.

    Args:
        spec: size, and faults of the events.
    """

    def __init__(self, spec: CacheSpec) -> None:
        self._spec = spec
        self._lock = threading.Lock()
        self._rng = random.Random(spec.seed)
        self._lru_blocks: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._sequence = 0
        self._events: collections.deque[CacheEvent] = collections.deque(
            maxlen=_MAX_EVENTS,
        )

    @property
    def held(self) -> tuple[str, ...]:
        """Names of the cached blocks, the least recently used first."""
        with self._lock:
            return tuple(self._lru_blocks)

    def read_prompt(self, prompt: str) -> int:
        """Store the blocks of a prompt.

        Returns:
            Number of its leading tokens that were already cached.
        """
        names = tuple(blocks(prompt))
        with self._lock:
            cached_blocks = 0
            for name in names:
                if name not in self._lru_blocks:
                    break
                cached_blocks += 1
            self._store(names)
        return cached_blocks * _BLOCK_CHARS // _CHARS_PER_TOKEN

    def import_blocks(self, names: Iterable[str]) -> None:
        """Store blocks that another engine has exported."""
        with self._lock:
            self._store(tuple(names))

    def events(self, after: int) -> tuple[CacheEvent, ...]:
        """Return the visible events after a sequence number."""
        seen_at = time.monotonic() - self._spec.lag_s
        with self._lock:
            return tuple(
                event
                for event in self._events
                if event.sequence > after and event.at <= seen_at
            )

    def _store(self, names: tuple[str, ...]) -> None:
        for name in names:
            if name not in self._lru_blocks:
                self._publish('stored', name)
            self._lru_blocks[name] = None
            self._lru_blocks.move_to_end(name)
        capacity = self._spec.tokens * _CHARS_PER_TOKEN // _BLOCK_CHARS
        while len(self._lru_blocks) > capacity:
            oldest, _nothing = self._lru_blocks.popitem(last=False)
            self._publish('removed', oldest)

    def _publish(self, action: str, block: str) -> None:
        self._sequence += 1
        if self._rng.random() < self._spec.loss:
            return
        self._events.append(
            CacheEvent(self._sequence, action, block, time.monotonic()),
        )
