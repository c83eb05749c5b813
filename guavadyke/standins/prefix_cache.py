"""Prefix cache of the engine stand-in and the events it publishes late."""

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
_KEPT_EVENTS = 10_000
_HASH_BYTES = 8


@dataclasses.dataclass(frozen=True)
class CacheEvent:
    """A block that was stored or removed.

    ``sequence`` counts all events, so that a gap shows.
    """

    sequence: int
    action: str
    block: str
    at: float


@dataclasses.dataclass(frozen=True)
class CacheSpec:
    """Size of the cache in tokens, and how its events reach the outside.

    Events are seen ``lag_s`` seconds late and lost with probability
    ``loss``.
    """

    tokens: int = 100_000
    lag_s: float = 0.5
    loss: float = 0.05
    seed: int = 0


def blocks(prompt: str) -> Iterator[str]:
    """Yield the name of each whole block; it stands for all before it."""
    digest = hashlib.blake2b(digest_size=_HASH_BYTES)
    for end in range(_BLOCK_CHARS, len(prompt) + 1, _BLOCK_CHARS):
        digest.update(prompt[end - _BLOCK_CHARS : end].encode())
        yield digest.hexdigest()


class PrefixCache:
    """Holds blocks of prompts, the least recently used go first.

    Args:
        spec: size and events.
    """

    def __init__(self, spec: CacheSpec) -> None:
        self._spec = spec
        self._lock = threading.Lock()
        self._rng = random.Random(spec.seed)
        self._held: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._sequence = 0
        self._events: collections.deque[CacheEvent] = collections.deque(
            maxlen=_KEPT_EVENTS,
        )

    @property
    def held(self) -> tuple[str, ...]:
        """Blocks held, the least recently used first."""
        with self._lock:
            return tuple(self._held)

    def use(self, prompt: str) -> int:
        """Read a prompt into the cache.

        Returns:
            How many of its tokens were held already.
        """
        names = tuple(blocks(prompt))
        with self._lock:
            found = 0
            for name in names:
                if name not in self._held:
                    break
                found += 1
            self._store(names)
        return found * _BLOCK_CHARS // _CHARS_PER_TOKEN

    def add(self, names: Iterable[str]) -> None:
        """Hold blocks that another engine has exported."""
        with self._lock:
            self._store(tuple(names))

    def events(self, after: int) -> tuple[CacheEvent, ...]:
        """Return the events after a sequence number that can be seen."""
        seen_at = time.monotonic() - self._spec.lag_s
        with self._lock:
            return tuple(
                event
                for event in self._events
                if event.sequence > after and event.at <= seen_at
            )

    def _store(self, names: tuple[str, ...]) -> None:
        for name in names:
            if name not in self._held:
                self._publish('stored', name)
            self._held[name] = None
            self._held.move_to_end(name)
        capacity = self._spec.tokens * _CHARS_PER_TOKEN // _BLOCK_CHARS
        while len(self._held) > capacity:
            oldest, _nothing = self._held.popitem(last=False)
            self._publish('removed', oldest)

    def _publish(self, action: str, block: str) -> None:
        self._sequence += 1
        if self._rng.random() < self._spec.loss:
            return
        self._events.append(
            CacheEvent(self._sequence, action, block, time.monotonic()),
        )
