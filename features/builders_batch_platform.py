"""An in-memory platform for tests, and a host's faulty link to it."""

from __future__ import annotations

import contextlib
import dataclasses
import threading
import time
from collections import Counter
from collections.abc import Callable

from guavadyke.adapters.ports import (
    ListedHost,
    ObjectEvent,
    ObjectListing,
    StoredObject,
    WatchAnswer,
)
from guavadyke.errors import (
    ObjectConflictError,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
)

_WRITES = frozenset(('create', 'update', 'delete'))


class MemoryPlatform:
    """The platform's objects in memory, with versions and watches."""

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.objects: dict[tuple[str, str], StoredObject] = {}
        self.events: list[tuple[str, ObjectEvent]] = []
        self.revision = 0
        # Writes whose callers gave up; they may still take effect.
        self.late: list[Callable[[], object]] = []
        self.calls: Counter[str] = Counter()

    def put(self, kind: str, name: str, body: bytes) -> StoredObject:
        self.revision += 1
        stored = StoredObject(kind, name, self.revision, body)
        self.objects[kind, name] = stored
        self._publish(kind, ObjectEvent(name, self.revision, stored))
        return stored

    def apply_late_writes(self) -> None:
        """Apply the late writes whose condition still holds."""
        with self.changed:
            while self.late:
                with contextlib.suppress(ObjectConflictError):
                    self.late.pop(0)()

    def remove(self, kind: str, name: str) -> None:
        self.revision += 1
        self.objects.pop((kind, name))
        self._publish(kind, ObjectEvent(name, self.revision, None))

    def take(self, kind: str, name: str) -> None:
        """Remove an object as another client would."""
        with self.changed:
            self.remove(kind, name)

    def of_kind(self, kind: str) -> list[StoredObject]:
        with self.changed:
            return [
                stored
                for (other, _name), stored in sorted(self.objects.items())
                if other == kind
            ]

    def _publish(self, kind: str, event: ObjectEvent) -> None:
        self.events.append((kind, event))
        self.changed.notify_all()


@dataclasses.dataclass
class LinkFaults:
    """Faults of one host's link to the platform.

    ``cut``, ``cut_writes`` and ``cut_watches`` make the calls fail without
    an effect; ``stale_watches`` makes watches return no events.
    ``cut_after_calls`` cuts the link after that many more calls,
    ``cut_after_write_of`` after the next write of that kind of object.
    ``lose_answer_every`` loses the answer of every n-th write of a kind
    after its effect, and ``delay_write_every`` delays the effect of every
    n-th write until the platform applies it; 0 is never. Watches wait
    only if ``waits``.
    """

    cut: bool = False
    cut_writes: bool = False
    cut_watches: bool = False
    stale_watches: bool = False
    cut_after_calls: int | None = None
    cut_after_write_of: str = ''
    lose_answer_every: int = 0
    delay_write_every: int = 0
    waits: bool = True

    def clear_faults(self) -> None:
        """Clear all faults."""
        self.cut = False
        self.cut_writes = False
        self.cut_watches = False
        self.stale_watches = False
        self.cut_after_calls = None
        self.cut_after_write_of = ''
        self.lose_answer_every = 0
        self.delay_write_every = 0

    def refuses(self, call: str) -> bool:
        """Return whether the call fails before it reaches the platform."""
        if self.cut_after_calls is not None:
            self.cut_after_calls -= 1
            self.cut = self.cut or self.cut_after_calls < 0
        if call == 'watch':
            return self.cut or self.cut_watches
        return self.cut or (call in _WRITES and self.cut_writes)


class MemoryStore:
    """One host's link to a ``MemoryPlatform``."""

    def __init__(
        self,
        platform: MemoryPlatform,
        faults: LinkFaults | None = None,
    ) -> None:
        self.platform = platform
        self.faults = faults or LinkFaults()
        self._writes: Counter[str] = Counter()
        self._late: Counter[str] = Counter()

    def read(self, kind: str, name: str) -> StoredObject | None:
        with self._called('read', kind):
            return self.platform.objects.get((kind, name))

    def list_objects(
        self,
        kind: str,
        *,
        prefix: str = '',
        after: str = '',
        limit: int = 500,
        bodies: bool = True,
    ) -> ObjectListing:
        with self._called('list', kind):
            found = [
                stored
                for stored in self.platform.of_kind(kind)
                if stored.name.startswith(prefix) and stored.name > after
            ]
            shown = found[:limit]
            if not bodies:
                shown = [dataclasses.replace(one, body=b'') for one in shown]
            return ObjectListing(
                self.platform.revision,
                tuple(shown),
                len(found) > limit,
            )

    def create(self, kind: str, name: str, body: bytes) -> StoredObject:
        with self._called('create', kind):
            self._delay_write_if_due(
                kind, lambda: self._created(kind, name, body)
            )
            stored = self._created(kind, name, body)
            self._lose_answer_if_due(kind)
            return stored

    def update(
        self,
        kind: str,
        name: str,
        body: bytes,
        version: int,
    ) -> StoredObject:
        with self._called('update', kind):
            self._delay_write_if_due(
                kind,
                lambda: self._updated(kind, name, body, version),
            )
            stored = self._updated(kind, name, body, version)
            self._lose_answer_if_due(kind)
            return stored

    def delete(self, kind: str, name: str, version: int) -> None:
        with self._called('delete', kind):
            self._check_version(kind, name, version)
            self.platform.remove(kind, name)
            self._lose_answer_if_due(kind)

    def watch(self, kind: str, revision: int, wait_s: float) -> WatchAnswer:
        with self._called('watch', kind):
            until = time.monotonic() + wait_s
            while True:
                events = tuple(
                    event
                    for other, event in self.platform.events
                    if other == kind and event.version > revision
                )
                left_s = until - time.monotonic()
                if events or left_s <= 0 or not self.faults.waits:
                    break
                self.platform.changed.wait(min(left_s, 0.2))
            if self.faults.cut:
                raise PlatformUnavailableError('cut off')
            if self.faults.stale_watches:
                return WatchAnswer(revision, ())
            return WatchAnswer(self.platform.revision, events)

    def hosts(self) -> tuple[ListedHost, ...]:
        return ()

    def _called(self, call: str, kind: str) -> threading.Condition:
        if self.faults.refuses(call):
            raise PlatformUnavailableError('cut off')
        self.platform.calls[f'{call} {kind}'] += 1
        return self.platform.changed

    def _created(self, kind: str, name: str, body: bytes) -> StoredObject:
        present = self.platform.objects.get((kind, name))
        if present is not None:
            raise ObjectConflictError('it exists', present.version)
        return self.platform.put(kind, name, body)

    def _updated(
        self,
        kind: str,
        name: str,
        body: bytes,
        version: int,
    ) -> StoredObject:
        self._check_version(kind, name, version)
        return self.platform.put(kind, name, body)

    def _delay_write_if_due(
        self, kind: str, write: Callable[[], object]
    ) -> None:
        """Delay every ``delay_write_every``-th write of a kind.

        Raises:
            PlatformOutcomeUnknownError: the write was delayed.
        """
        every = self.faults.delay_write_every
        if not every:
            return
        self._late[kind] += 1
        if not self._late[kind] % every:
            self.platform.late.append(write)
            raise PlatformOutcomeUnknownError('there was no answer')

    def _check_version(self, kind: str, name: str, version: int) -> None:
        present = self.platform.objects.get((kind, name))
        if present is None or present.version != version:
            raise ObjectConflictError(
                'it was replaced',
                0 if present is None else present.version,
            )

    def _lose_answer_if_due(self, kind: str) -> None:
        """Lose every ``lose_answer_every``-th answer to a write of a kind.

        It also cuts the link after a write of the kind ``cut_after_write_of``.

        Raises:
            PlatformOutcomeUnknownError: the answer was lost.
        """
        self.faults.cut = (
            self.faults.cut or self.faults.cut_after_write_of == kind
        )
        self._writes[kind] += 1
        every = self.faults.lose_answer_every
        if every and not self._writes[kind] % every:
            raise PlatformOutcomeUnknownError('the answer was lost')
