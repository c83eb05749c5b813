"""In-memory object table of the platform stand-in, with watches."""

from __future__ import annotations

import bisect
import collections
import dataclasses
import itertools
import threading
import time

_MAX_EVENTS_PER_KIND = 20_000
_MAX_STATES_PER_OBJECT = 16
_PAGE_BYTES = 8 * 1024 * 1024


class ConditionFailedError(Exception):
    """The object's version is not the expected one; 0 means absent."""

    def __init__(self, version: int) -> None:
        super().__init__(f'the object has version {version}')
        self.version = version


class RevisionTooOldError(Exception):
    """Events after the revision are no longer available."""


@dataclasses.dataclass(frozen=True)
class ObjectState:
    """An object as written at one time.

    ``body`` is None for a deleted object; ``at`` is the time of the write
    on the monotonic clock, in seconds.
    """

    name: str
    version: int
    body: bytes | None
    at: float


@dataclasses.dataclass(frozen=True)
class Page:
    """A page of objects, ordered by name, at a revision.

    ``more`` tells whether further objects follow.
    """

    revision: int
    objects: tuple[ObjectState, ...]
    more: bool


@dataclasses.dataclass(frozen=True)
class WatchEvents:
    """Events up to ``revision``, after the one that was asked for."""

    revision: int
    events: tuple[ObjectState, ...]


@dataclasses.dataclass(frozen=True)
class TableSnapshot:
    """Copy of the table's objects by kind and name."""

    revision: int
    present: dict[tuple[str, str], ObjectState]


class _ChangeLog:
    """Recent changes of the objects of one kind, for its watches.

    Args:
        lock: lock of the table; callers hold it in every call.
    """

    def __init__(self, lock: threading.RLock) -> None:
        self.changed = threading.Condition(lock)
        self._dropped_revision = 0
        self._events: collections.deque[ObjectState] = collections.deque()

    def add(self, state: ObjectState) -> None:
        """Append a change and wake the watches."""
        self._events.append(state)
        if len(self._events) > _MAX_EVENTS_PER_KIND:
            self._dropped_revision = self._events.popleft().version
        self.changed.notify_all()

    def after(self, revision: int) -> tuple[ObjectState, ...]:
        """Return the changes after a revision.

        Raises:
            RevisionTooOldError: these events are no longer available.
        """
        if revision < self._dropped_revision:
            raise RevisionTooOldError
        newer = itertools.takewhile(
            lambda state: state.version > revision,
            reversed(self._events),
        )
        return tuple(reversed(tuple(newer)))

    def restart(self, revision: int) -> None:
        """Drop all changes; watches from before the revision have expired."""
        self._dropped_revision = revision
        self._events.clear()
        self.changed.notify_all()


class ObjectTable:
    """Objects by kind and name.

    Each write raises the revision of the table, which becomes the
    object's version.
    """

    def __init__(self) -> None:
        self._lock = threading.RLock()
        self._revision = 0
        self._states: dict[tuple[str, str], list[ObjectState]] = {}
        self._names: dict[str, list[str]] = collections.defaultdict(list)
        self._change_logs: dict[str, _ChangeLog] = {}

    @property
    def revision(self) -> int:
        """The revision of the last write."""
        return self._revision

    def read(
        self,
        kind: str,
        name: str,
        stale_s: float = 0,
    ) -> ObjectState | None:
        """Return the object as of ``stale_s`` seconds ago, None if absent."""
        with self._lock:
            return self._state_at((kind, name), time.monotonic() - stale_s)

    def page(
        self,
        kind: str,
        prefix: str,
        after: str,
        limit: int,
        stale_s: float = 0,
    ) -> Page:
        """Return objects whose names start with the prefix.

        Args:
            kind: the objects' kind.
            prefix: prefix of their names.
            after: name after which the page begins, empty for the first.
            limit: maximum number of objects.
            stale_s: age of the state that is shown.
        """
        with self._lock:
            at = time.monotonic() - stale_s
            found: list[ObjectState] = []
            size = 0
            for name in self._names_after(kind, prefix, after):
                state = self._state_at((kind, name), at)
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
            expected: required present version, 0 if it must be absent, None
                for any.

        Raises:
            ConditionFailedError: the object has another version, or is
                absent and was to be deleted.
        """
        key = (kind, name)
        with self._lock:
            present = self._state_at(key, time.monotonic())
            version = 0 if present is None else present.version
            if expected not in {None, version}:
                raise ConditionFailedError(version)
            if body is None and present is None:
                raise ConditionFailedError(0)
            self._revision += 1
            state = ObjectState(name, self._revision, body, time.monotonic())
            self._record_change(key, state)
        return state

    def changes(self, kind: str, after: int, wait_s: float) -> WatchEvents:
        """Wait up to ``wait_s`` for changes of a kind after a revision.

        Raises:
            RevisionTooOldError: these events are no longer available.
        """
        until = time.monotonic() + wait_s
        with self._lock:
            change_log = self._change_log(kind)
            while True:
                if after > self._revision:
                    raise RevisionTooOldError
                events = change_log.after(after)
                left_s = until - time.monotonic()
                if events or left_s <= 0:
                    return WatchEvents(self._revision, events)
                change_log.changed.wait(left_s)

    def snapshot(self) -> TableSnapshot:
        """Return a copy of the present objects."""
        with self._lock:
            at = time.monotonic()
            states = {key: self._state_at(key, at) for key in self._states}
            return TableSnapshot(
                self._revision,
                {
                    key: state
                    for key, state in states.items()
                    if state is not None
                },
            )

    def restore(self, snapshot: TableSnapshot) -> None:
        """Replace the objects and the revision by those of a snapshot."""
        with self._lock:
            self._revision = snapshot.revision
            self._states = {}
            self._names.clear()
            for (kind, name), state in snapshot.present.items():
                self._states[kind, name] = [state]
                bisect.insort(self._names[kind], name)
            for change_log in self._change_logs.values():
                change_log.restart(snapshot.revision)

    def _record_change(self, key: tuple[str, str], state: ObjectState) -> None:
        kind, name = key
        states = self._states.get(key, [])
        if not states:
            bisect.insort(self._names[kind], name)
        self._states[key] = [*states[1 - _MAX_STATES_PER_OBJECT :], state]
        self._change_log(kind).add(state)

    def _change_log(self, kind: str) -> _ChangeLog:
        return self._change_logs.setdefault(kind, _ChangeLog(self._lock))

    def _state_at(self, key: tuple[str, str], at: float) -> ObjectState | None:
        states = self._states.get(key, [])
        state = next(
            (past for past in reversed(states) if past.at <= at),
            None,
        )
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
