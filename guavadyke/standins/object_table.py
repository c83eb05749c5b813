"""Objects of the platform stand-in: versions, old states and watches."""

from __future__ import annotations

import bisect
import collections
import dataclasses
import itertools
import threading
import time

_KEPT_EVENTS = 20_000
_KEPT_STATES = 16
_PAGE_BYTES = 8 * 1024 * 1024


class ConditionFailedError(Exception):
    """The object has another version; 0 stands for an absent one."""

    def __init__(self, version: int) -> None:
        super().__init__(f'the object has version {version}')
        self.version = version


class RevisionTooOldError(Exception):
    """Events after the revision are no longer held."""


@dataclasses.dataclass(frozen=True)
class ObjectState:
    """An object from one moment on; ``body`` is None where it is absent."""

    name: str
    version: int
    body: bytes | None
    at: float


@dataclasses.dataclass(frozen=True)
class Page:
    """Objects by name, as of a revision."""

    revision: int
    objects: tuple[ObjectState, ...]
    more: bool


@dataclasses.dataclass(frozen=True)
class Changes:
    """Events after a revision, up to another."""

    revision: int
    events: tuple[ObjectState, ...]


@dataclasses.dataclass(frozen=True)
class TableSnapshot:
    """The whole table at one moment."""

    revision: int
    present: dict[tuple[str, str], ObjectState]


class _Feed:
    """Changes of one kind, for its watches.

    Args:
        lock: lock of the table; it is held in every call.
    """

    def __init__(self, lock: threading.RLock) -> None:
        self.changed = threading.Condition(lock)
        self._floor = 0
        self._events: collections.deque[ObjectState] = collections.deque()

    def add(self, state: ObjectState) -> None:
        """Add a change and wake the watches."""
        self._events.append(state)
        if len(self._events) > _KEPT_EVENTS:
            self._floor = self._events.popleft().version
        self.changed.notify_all()

    def after(self, revision: int) -> tuple[ObjectState, ...]:
        """Return the changes after a revision.

        Raises:
            RevisionTooOldError: such events are no longer held.
        """
        if revision < self._floor:
            raise RevisionTooOldError
        newer = itertools.takewhile(
            lambda state: state.version > revision,
            reversed(self._events),
        )
        return tuple(reversed(tuple(newer)))

    def restart(self, revision: int) -> None:
        """Forget all changes; those up to the revision count as old."""
        self._floor = revision
        self._events.clear()
        self.changed.notify_all()


class ObjectTable:
    """Objects by kind and name, with one rising revision over all."""

    def __init__(self) -> None:
        self._lock = threading.RLock()
        self._revision = 0
        self._states: dict[tuple[str, str], list[ObjectState]] = {}
        self._names: dict[str, list[str]] = collections.defaultdict(list)
        self._feeds: dict[str, _Feed] = {}

    @property
    def revision(self) -> int:
        """The revision of the last change."""
        return self._revision

    def read(
        self,
        kind: str,
        name: str,
        stale_s: float = 0,
    ) -> ObjectState | None:
        """Return the object as it was ``stale_s`` seconds ago."""
        with self._lock:
            return self._as_of((kind, name), time.monotonic() - stale_s)

    def page(
        self,
        kind: str,
        prefix: str,
        after: str,
        limit: int,
        stale_s: float = 0,
    ) -> Page:
        """Return objects whose names start with the prefix."""
        with self._lock:
            at = time.monotonic() - stale_s
            found: list[ObjectState] = []
            size = 0
            for name in self._names_after(kind, prefix, after):
                state = self._as_of((kind, name), at)
                if state is None:
                    continue
                if len(found) == limit or size > _PAGE_BYTES:
                    return Page(self._revision, tuple(found), more=True)
                found.append(state)
                size += len(state.body or b'')
            return Page(self._revision, tuple(found), more=False)

    def write(
        self,
        kind: str,
        name: str,
        body: bytes | None,
        expected: int | None,
    ) -> ObjectState:
        """Replace, create or (with None for the body) delete an object.

        Args:
            kind: the object's kind.
            name: the object's name.
            body: the new body, None to delete.
            expected: version that it must have, 0 for an absent one, None
                for any.

        Raises:
            ConditionFailedError: it has another version.
        """
        key = (kind, name)
        with self._lock:
            present = self._as_of(key, time.monotonic())
            version = 0 if present is None else present.version
            if expected not in {None, version}:
                raise ConditionFailedError(version)
            if body is None and present is None:
                raise ConditionFailedError(0)
            self._revision += 1
            state = ObjectState(name, self._revision, body, time.monotonic())
            self._apply(key, state)
        return state

    def changes(self, kind: str, after: int, wait_s: float) -> Changes:
        """Wait for changes of a kind after a revision.

        Raises:
            RevisionTooOldError: such events are no longer held.
        """
        until = time.monotonic() + wait_s
        with self._lock:
            feed = self._feed(kind)
            while True:
                if after > self._revision:
                    raise RevisionTooOldError
                events = feed.after(after)
                left_s = until - time.monotonic()
                if events or left_s <= 0:
                    return Changes(self._revision, events)
                feed.changed.wait(left_s)

    def snapshot(self) -> TableSnapshot:
        """Return the whole table."""
        with self._lock:
            at = time.monotonic()
            states = {key: self._as_of(key, at) for key in self._states}
            return TableSnapshot(
                self._revision,
                {key: one for key, one in states.items() if one is not None},
            )

    def restore(self, snapshot: TableSnapshot) -> None:
        """Put an old state back, its old revision included."""
        with self._lock:
            self._revision = snapshot.revision
            self._states = {}
            self._names.clear()
            for (kind, name), state in snapshot.present.items():
                self._states[kind, name] = [state]
                bisect.insort(self._names[kind], name)
            for feed in self._feeds.values():
                feed.restart(snapshot.revision)

    def _apply(self, key: tuple[str, str], state: ObjectState) -> None:
        kind, name = key
        states = self._states.get(key, [])
        if not states:
            bisect.insort(self._names[kind], name)
        self._states[key] = [*states[1 - _KEPT_STATES :], state]
        self._feed(kind).add(state)

    def _feed(self, kind: str) -> _Feed:
        return self._feeds.setdefault(kind, _Feed(self._lock))

    def _as_of(self, key: tuple[str, str], at: float) -> ObjectState | None:
        states = self._states.get(key, [])
        state = next((one for one in reversed(states) if one.at <= at), None)
        if state is None or state.body is None:
            return None
        return state

    def _names_after(self, kind: str, prefix: str, after: str) -> list[str]:
        names = self._names[kind]
        first = bisect.bisect_left(names, prefix)
        if after:
            first = max(first, bisect.bisect_right(names, after))
        last = bisect.bisect_left(names, f'{prefix}\U0010ffff')
        return names[first:last]
