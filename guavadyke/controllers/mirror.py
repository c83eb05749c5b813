"""Follows all objects of one kind on the platform by lists and watches."""

from __future__ import annotations

import dataclasses
import random
import threading
from typing import Protocol

from guavadyke.adapters.ports import (
    Clock,
    ObjectEvent,
    ObjectListing,
    StoredObject,
    WatchAnswer,
)
from guavadyke.errors import GuavadykeError
from guavadyke.log import EventLogger

# Seconds between attempts while the platform is away; short, since what
# lapsed and changed meanwhile has to be known soon after its return, and
# since a host that is served by peers learns of changes in no other way.
FIRST_RETRY_S = 0.1
LONGEST_RETRY_S = 0.8
_FACTOR = 2
_MOST_DOUBLINGS = 8


class WatchableStore(Protocol):
    """What a mirror asks of the platform."""

    def list_objects(
        self,
        kind: str,
        *,
        prefix: str = '',
        after: str = '',
        limit: int = 500,
        bodies: bool = True,
    ) -> ObjectListing:
        """Return a page of objects by name."""
        ...

    def read(self, kind: str, name: str) -> StoredObject | None:
        """Return one object, None where it is absent."""
        ...

    def watch(self, kind: str, revision: int, wait_s: float) -> WatchAnswer:
        """Wait for changes after a revision."""
        ...


class MirrorSink(Protocol):
    """Takes what a mirror learns; called from the mirror's thread."""

    def replace(
        self,
        objects: tuple[StoredObject, ...],
        *,
        after_outage: bool,
    ) -> None:
        """Take a full list."""
        ...

    def put(self, stored: StoredObject) -> None:
        """Take an object that was written."""
        ...

    def remove(self, name: str) -> None:
        """Take the removal of an object."""
        ...


@dataclasses.dataclass(frozen=True)
class MirrorSettings:
    """How a kind is followed; times are in seconds.

    ``pause_s`` lets further changes come before the next watch, where they
    need not be known at once. ``by_names`` lists names after the first
    list and reads what has changed, which is less for large objects that
    seldom change.
    """

    kind: str
    watch_wait_s: float
    pause_s: float = 0
    by_names: bool = False


class Mirror:
    """A thread that keeps a sink equal to what the platform holds.

    Args:
        settings: what is followed.
        store: the platform.
        sink: takes lists and changes.
        clock: tells when the platform was last reached.
        rng: spreads the retries of many hosts.
        logger: gets a line when the platform is lost and found.
    """

    def __init__(
        self,
        settings: MirrorSettings,
        store: WatchableStore,
        sink: MirrorSink,
        clock: Clock,
        rng: random.Random,
        logger: EventLogger,
    ) -> None:
        self._settings = settings
        self._store = store
        self._sink = sink
        self._clock = clock
        self._rng = rng
        self._logger = logger
        self._versions: dict[str, int] = {}
        self._revision: int | None = None
        # Failures since a watch was last answered: lists may be answered
        # through peers while each watch fails.
        self._failures = 0
        self._lists_fail = False
        self._reached_at: float | None = None
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._run,
            name=f'mirror-{settings.kind}',
            daemon=True,
        )

    @property
    def listed(self) -> bool:
        """Whether the kind has been listed at least once."""
        return self._reached_at is not None

    @property
    def failing(self) -> bool:
        """Whether not even a list is answered."""
        return self._lists_fail

    def start(self) -> None:
        """Follow in the background."""
        self._thread.start()

    def close(self) -> None:
        """End after the present call; does not wait for it."""
        self._stop.set()

    def step(self) -> None:
        """Make one full list or one bounded watch.

        Raises:
            GuavadykeError: the platform is away.
        """
        if self._revision is None:
            self._list()
            self._lists_fail = False
            return
        answer = self._store.watch(
            self._settings.kind,
            self._revision,
            self._settings.watch_wait_s,
        )
        self._watched()
        if answer.expired:
            self._logger.info(
                'history_expired',
                kind=self._settings.kind,
                revision=self._revision,
            )
            self._revision = None
            return
        for event in answer.events:
            self.take(event)
        self._revision = max(self._revision, answer.revision)
        if answer.events and self._settings.pause_s:
            self._stop.wait(self._settings.pause_s)

    def take(self, event: ObjectEvent) -> None:
        """Take an event, unless a list has told of a newer state."""
        if event.version <= self._versions.get(event.name, -1):
            return
        self._versions[event.name] = event.version
        if event.current is None:
            self._sink.remove(event.name)
        else:
            self._sink.put(event.current)

    def reached(self) -> None:
        """Note that a step went well."""
        self._reached_at = self._clock.monotonic()

    def failed(self, error: GuavadykeError) -> float:
        """Note that a step failed; return the seconds before the next."""
        if not self._failures:
            self._logger.warning(
                'platform_lost',
                kind=self._settings.kind,
                reason=error.message,
            )
        doublings = min(self._failures, _MOST_DOUBLINGS)
        self._failures += 1
        self._lists_fail = self._revision is None
        # A watch that failed may have missed nothing, but entries may have
        # lapsed while it was away, so that a list follows.
        self._revision = None
        longest_s = min(LONGEST_RETRY_S, FIRST_RETRY_S * _FACTOR**doublings)
        return self._rng.uniform(longest_s / 2, longest_s)

    def _run(self) -> None:
        while not self._stop.is_set():
            try:
                self.step()
            except GuavadykeError as error:
                self._stop.wait(self.failed(error))
            else:
                self.reached()

    def _watched(self) -> None:
        """Note that the platform itself was reached."""
        if self._failures:
            self._logger.info(
                'platform_found',
                kind=self._settings.kind,
                failures=self._failures,
            )
        self._failures = 0

    def _list(self) -> None:
        """Take a full list, by names alone where that is enough."""
        by_names = self._settings.by_names and self.listed
        found, revision = self._pages(bodies=not by_names)
        if by_names:
            self._take_names(found)
        else:
            self._versions = {one.name: one.version for one in found}
            self._sink.replace(
                tuple(found),
                after_outage=self._failures > 0,
            )
        self._revision = revision

    def _take_names(self, found: list[StoredObject]) -> None:
        """Read what has changed and drop what is gone."""
        names = {one.name for one in found}
        for gone in self._versions.keys() - names:
            self._sink.remove(gone)
        self._versions = {
            name: version
            for name, version in self._versions.items()
            if name in names
        }
        for one in found:
            if self._versions.get(one.name) != one.version:
                self._take_changed(one.name)

    def _take_changed(self, name: str) -> None:
        stored = self._store.read(self._settings.kind, name)
        if stored is not None:
            self._versions[name] = stored.version
            self._sink.put(stored)

    def _pages(self, *, bodies: bool) -> tuple[list[StoredObject], int | None]:
        """Return all objects and the revision as of the first page."""
        found: dict[str, StoredObject] = {}
        first_revision: int | None = None
        after = ''
        more = True
        while more:
            page = self._store.list_objects(
                self._settings.kind,
                after=after,
                bodies=bodies,
            )
            if first_revision is None:
                first_revision = page.revision
            found.update({one.name: one for one in page.objects})
            more = page.more and bool(page.objects)
            after = page.objects[-1].name if page.objects else ''
        return list(found.values()), first_revision
