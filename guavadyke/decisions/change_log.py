"""Recent changes of one kind of platform object, kept for other hosts."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable

from guavadyke.adapters.ports import ObjectEvent, WatchAnswer

# Bounds the memory of a log; a host that is further behind asks the platform.
_MAX_EVENTS = 512
_MAX_BYTES = 4_194_304
# Bounds one answer to another host, which has to fit into one message.
_MAX_ANSWER_BYTES = 1_000_000


@dataclasses.dataclass(frozen=True)
class _Batch:
    """The events of one watch answer, up to and including ``revision``."""

    revision: int
    events: tuple[ObjectEvent, ...]

    @property
    def size_bytes(self) -> int:
        return sum(
            len(event.current.body)
            for event in self.events
            if event.current is not None
        )


class ChangeLog:
    """Consecutive answers of one host's watch on one kind.

    The log is complete from its first revision to its last one while the
    host watches the platform directly; ``suspend`` ends that.
    """

    def __init__(self) -> None:
        self._first_revision: int | None = None
        self._last_revision = 0
        self._batches: collections.deque[_Batch] = collections.deque()
        self._event_count = 0
        self._size_bytes = 0

    @property
    def current(self) -> bool:
        """Whether this host watches the kind now."""
        return self._first_revision is not None

    def record(self, revision: int, answer: WatchAnswer) -> None:
        """Add the answer to a watch for changes after ``revision``.

        An answer that does not continue the log starts it anew.
        """
        if answer.expired:
            self.suspend()
            return
        if not self.current or revision != self._last_revision:
            self._restart(revision)
        self._last_revision = max(revision, answer.revision)
        if answer.events:
            self._append(_Batch(self._last_revision, answer.events))

    def suspend(self) -> None:
        """Drop all changes, because some may be missed from now on."""
        self._restart(0)
        self._first_revision = None

    def changes_after(self, revision: int) -> WatchAnswer | None:
        """Return the changes after a revision.

        Events that the asking host has already seen may be among them. If
        the log does not reach back to ``revision``, the answer is expired.

        Returns:
            None if the log is suspended or has nothing new.
        """
        if self._first_revision is None:
            return None
        if revision < self._first_revision:
            return WatchAnswer(revision, (), expired=True)
        later = [one for one in self._batches if one.revision > revision]
        if later:
            return _first_part(later, self._last_revision)
        if revision < self._last_revision:
            return WatchAnswer(self._last_revision, ())
        return None

    def _restart(self, revision: int) -> None:
        self._first_revision = revision
        self._last_revision = revision
        self._batches.clear()
        self._event_count = 0
        self._size_bytes = 0

    def _append(self, batch: _Batch) -> None:
        self._batches.append(batch)
        self._event_count += len(batch.events)
        self._size_bytes += batch.size_bytes
        while len(self._batches) > 1 and self._is_too_large():
            dropped = self._batches.popleft()
            self._event_count -= len(dropped.events)
            self._size_bytes -= dropped.size_bytes
            self._first_revision = dropped.revision

    def _is_too_large(self) -> bool:
        return self._event_count > _MAX_EVENTS or self._size_bytes > _MAX_BYTES


def _first_part(batches: Iterable[_Batch], last_revision: int) -> WatchAnswer:
    """Return the leading batches, at least one, that fit into an answer."""
    fitting: list[ObjectEvent] = []
    size_bytes = 0
    revision = 0
    for batch in batches:
        size_bytes += batch.size_bytes
        if fitting and size_bytes > _MAX_ANSWER_BYTES:
            return WatchAnswer(revision, tuple(fitting))
        fitting.extend(batch.events)
        revision = batch.revision
    return WatchAnswer(last_revision, tuple(fitting))
