"""Follows the catalogue on the platform by lists and bounded watches."""

from __future__ import annotations

import dataclasses
import random
import threading
from collections.abc import Callable, Iterable

from guavadyke.adapters.ports import Clock, ObjectEvent, StoredObject
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.catalogue_objects import (
    CATALOGUE_KIND,
    CatalogueObject,
    decode_object,
)
from guavadyke.controllers.catalogue import (
    PLATFORM,
    ObjectFault,
    OfferedObjects,
)
from guavadyke.errors import GuavadykeError
from guavadyke.log import EventLogger
from guavadyke.settings import PlatformSettings

_PAGE_NAMES = 500
_PAGE_BODIES = 100
_FIRST_RETRY_S = 0.2
_LONGEST_RETRY_S = 5.0
_SILENT_S = 2.0


@dataclasses.dataclass(frozen=True)
class Expected:
    """A version that the watch has yet to bring, and since when."""

    version: int
    since: float


class CatalogueWatch:
    """A thread that offers what the platform holds to the controller.

    Args:
        settings: waits and intervals.
        store: the platform.
        tell: gives offers and faults to the controller.
        clock: tells when the next list is due.
        rng: spreads the retries of many hosts.
        logger: gets a line when the platform is lost and found.
    """

    def __init__(
        self,
        settings: PlatformSettings,
        store: WriteConfirmingStore,
        tell: Callable[[OfferedObjects | ObjectFault], object],
        clock: Clock,
        rng: random.Random,
        logger: EventLogger,
    ) -> None:
        self._settings = settings
        self._store = store
        self._tell = tell
        self._clock = clock
        self._rng = rng
        self._logger = logger
        self._stop = threading.Event()
        self.silent = 0
        self._known: dict[str, int] = {}
        self._brought: dict[str, int] = {}
        self._expected: dict[str, Expected] = {}
        self._relist_due: float = 0
        self._revision = 0
        self._failures = 0
        self._thread = threading.Thread(
            target=self._run,
            name='catalogue-watch',
            daemon=True,
        )

    def start(self) -> None:
        """Follow in the background."""
        self._thread.start()

    def expect(self, objects: Iterable[CatalogueObject]) -> None:
        """Expect versions that came in force here by another way.

        A watch that does not bring them has gone silent.
        """
        now = self._clock.monotonic()
        self._expected.update({
            one.name: Expected(one.version, now) for one in objects
        })
        for one in objects:
            self._met(one.name, self._brought.get(one.name, 0))

    def close(self) -> None:
        """End after the present call; does not wait for it."""
        self._stop.set()

    def step(self) -> None:
        """Make one full list or one bounded watch.

        Raises:
            GuavadykeError: the platform is away.
        """
        self._notice_silence()
        if self._clock.monotonic() >= self._relist_due:
            self._relist()
            return
        answer = self._store.watch(
            CATALOGUE_KIND,
            self._revision,
            self._settings.watch_wait_s,
        )
        if answer.expired or answer.revision < self._revision:
            self._relist_due = 0
            return
        self._take_events(answer.events)
        self._revision = answer.revision

    def _run(self) -> None:
        while not self._stop.is_set():
            try:
                self.step()
            except GuavadykeError as error:
                self._failed(error)
            else:
                self._reached()

    def _notice_silence(self) -> None:
        before = self._clock.monotonic() - _SILENT_S
        overdue = [
            name
            for name, expected in tuple(self._expected.items())
            if expected.since < before
        ]
        if not overdue:
            return
        self.silent += 1
        self._relist_due = 0
        for name in overdue:
            self._expected.pop(name, None)
        self._logger.warning('catalogue_watch_silent', names=overdue)

    def _relist(self) -> None:
        first_revision: int | None = None
        names: set[str] = set()
        after = ''
        more = True
        bodies = not self._known
        while more:
            page = self._store.list_objects(
                CATALOGUE_KIND,
                after=after,
                limit=_PAGE_BODIES if bodies else _PAGE_NAMES,
                bodies=bodies,
            )
            if first_revision is None:
                first_revision = page.revision
            names.update(one.name for one in page.objects)
            self._take_page(page.objects)
            after = page.objects[-1].name if page.objects else ''
            more = page.more and bool(page.objects)
        self._note_missing(names)
        self._revision = first_revision or 0
        self._relist_due = self._clock.monotonic() + self._rng.uniform(
            self._settings.relist_interval_s / 2,
            self._settings.relist_interval_s,
        )

    def _take_page(self, listed: tuple[StoredObject, ...]) -> None:
        changed = [
            one for one in listed if self._known.get(one.name) != one.version
        ]
        for one in changed:
            stored = one if one.body else self._read(one.name)
            if stored is not None:
                self._take(stored)

    def _read(self, name: str) -> StoredObject | None:
        return self._store.read(CATALOGUE_KIND, name)

    def _note_missing(self, names: set[str]) -> None:
        missing = self._known.keys() - names
        for name in missing:
            self._known.pop(name)
            self._tell(ObjectFault(name, 'missing on the platform'))

    def _take_events(self, events: tuple[ObjectEvent, ...]) -> None:
        for event in events:
            if event.current is None:
                self._note_missing(set(self._known) - {event.name})
            else:
                self._take(event.current)

    def _take(self, stored: StoredObject) -> None:
        self._known[stored.name] = stored.version
        try:
            one = decode_object(stored.name, stored.body)
        except GuavadykeError as error:
            reason = '; '.join(
                f'{finding.place}: {finding.message}'
                for finding in error.findings
            )
            self._tell(ObjectFault(stored.name, reason))
            return
        self._brought[one.name] = one.version
        self._met(one.name, one.version)
        self._tell(OfferedObjects(PLATFORM, (one,)))

    def _met(self, name: str, version: int) -> None:
        """Expect no more what the platform has brought."""
        expected = self._expected.get(name)
        if expected is not None and expected.version <= version:
            self._expected.pop(name, None)

    def _reached(self) -> None:
        if self._failures:
            self._logger.info('platform_found', failures=self._failures)
        self._failures = 0

    def _failed(self, error: GuavadykeError) -> None:
        if not self._failures:
            self._logger.warning('platform_lost', reason=error.message)
        # A watch that cannot be made is not one that has gone silent.
        self._expected.clear()
        longest_s = min(_LONGEST_RETRY_S, _FIRST_RETRY_S * 2**self._failures)
        self._failures = min(self._failures + 1, 16)
        self._stop.wait(self._rng.uniform(longest_s / 2, longest_s))
