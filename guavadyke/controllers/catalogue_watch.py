"""Follows the catalogue on the platform by full lists and watches."""

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
from guavadyke.guarded_threads import GuardedThread
from guavadyke.log import EventLogger
from guavadyke.settings import PlatformSettings

_NAMES_PER_PAGE = 500
_BODIES_PER_PAGE = 100
_FIRST_RETRY_S = 0.2
_MAX_RETRY_S = 5.0
_SILENCE_TIMEOUT_S = 2.0


@dataclasses.dataclass(frozen=True)
class ExpectedVersion:
    """A version that the watch should deliver, and since when (monotonic s)."""

    version: int
    since: float


class CatalogueWatch:
    """A thread that passes the platform's objects to the controller.

    It lists all objects at start and at randomized intervals, and watches
    for changes in between. ``silence_count`` counts how often a watch failed to
    deliver a version that was known from elsewhere.

    Args:
        settings: watch wait and list interval.
        store: the platform.
        notify_controller: passes objects and faults to the catalogue's
            controller.
        clock: schedules the full lists.
        rng: adds jitter to lists and retries, so that hosts spread out.
        logger: logs when the platform becomes unreachable and reachable.
    """

    def __init__(
        self,
        settings: PlatformSettings,
        store: WriteConfirmingStore,
        notify_controller: Callable[[OfferedObjects | ObjectFault], object],
        clock: Clock,
        rng: random.Random,
        logger: EventLogger,
    ) -> None:
        self._settings = settings
        self._store = store
        self._notify_controller = notify_controller
        self._clock = clock
        self._rng = rng
        self._logger = logger
        self._stop = threading.Event()
        self.silence_count = 0
        self._platform_versions: dict[str, int] = {}
        self._delivered_versions: dict[str, int] = {}
        self._expected_versions: dict[str, ExpectedVersion] = {}
        self._relist_due: float = 0
        self._revision = 0
        self._failures = 0
        self._thread = GuardedThread(
            self._run, 'catalogue-watch', self._stop, self._logger
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def expect_versions(self, objects: Iterable[CatalogueObject]) -> None:
        """Expect the watch to deliver versions that came from elsewhere.

        If it does not deliver them in time, the watch is assumed to have
        gone silent, and the next step makes a full list.
        """
        now = self._clock.monotonic()
        self._expected_versions.update({
            expected.name: ExpectedVersion(expected.version, now)
            for expected in objects
        })
        for expected in objects:
            self._clear_expected(
                expected.name,
                self._delivered_versions.get(expected.name, 0),
            )

    def close(self) -> None:
        """Stop the thread after its current call, without waiting for it."""
        self._stop.set()

    def step(self) -> None:
        """Make one full list if it is due, else one bounded watch.

        Raises:
            GuavadykeError: the platform can't be reached.
        """
        self._detect_silence()
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
        self._process_events(answer.events)
        self._revision = answer.revision

    def _run(self) -> None:
        while not self._stop.is_set():
            try:
                self.step()
            except GuavadykeError as error:
                self._record_failure(error)
            else:
                self._record_success()

    def _detect_silence(self) -> None:
        overdue_before = self._clock.monotonic() - _SILENCE_TIMEOUT_S
        overdue = [
            name
            for name, expected in tuple(self._expected_versions.items())
            if expected.since < overdue_before
        ]
        if not overdue:
            return
        self.silence_count += 1
        self._relist_due = 0
        for name in overdue:
            self._expected_versions.pop(name, None)
        self._logger.warning('catalogue_watch_silent', names=overdue)

    def _relist(self) -> None:
        first_revision: int | None = None
        names: set[str] = set()
        after = ''
        more = True
        bodies = not self._platform_versions
        while more:
            page = self._store.list_objects(
                CATALOGUE_KIND,
                after=after,
                limit=_BODIES_PER_PAGE if bodies else _NAMES_PER_PAGE,
                bodies=bodies,
            )
            if first_revision is None:
                first_revision = page.revision
            names.update(stored.name for stored in page.objects)
            self._process_listed(page.objects)
            after = page.objects[-1].name if page.objects else ''
            more = page.more and bool(page.objects)
        self._report_missing(names)
        self._revision = first_revision or 0
        self._relist_due = self._clock.monotonic() + self._rng.uniform(
            self._settings.relist_interval_s / 2,
            self._settings.relist_interval_s,
        )

    def _process_listed(self, listed: tuple[StoredObject, ...]) -> None:
        changed = [
            stored
            for stored in listed
            if self._platform_versions.get(stored.name) != stored.version
        ]
        for item in changed:
            stored = item if item.body else self._read_object(item.name)
            if stored is not None:
                self._process_object(stored)

    def _read_object(self, name: str) -> StoredObject | None:
        return self._store.read(CATALOGUE_KIND, name)

    def _report_missing(self, names: set[str]) -> None:
        missing = self._platform_versions.keys() - names
        for name in missing:
            self._platform_versions.pop(name)
            self._notify_controller(
                ObjectFault(name, 'missing on the platform')
            )

    def _process_events(self, events: tuple[ObjectEvent, ...]) -> None:
        for event in events:
            if event.current is None:
                self._report_missing(
                    set(self._platform_versions) - {event.name}
                )
            else:
                self._process_object(event.current)

    def _process_object(self, stored: StoredObject) -> None:
        self._platform_versions[stored.name] = stored.version
        try:
            decoded = decode_object(stored.name, stored.body)
        except GuavadykeError as error:
            reason = '; '.join(
                f'{finding.place}: {finding.message}'
                for finding in error.findings
            )
            self._notify_controller(ObjectFault(stored.name, reason))
            return
        self._delivered_versions[decoded.name] = decoded.version
        self._clear_expected(decoded.name, decoded.version)
        self._notify_controller(OfferedObjects(PLATFORM, (decoded,)))

    def _clear_expected(self, name: str, version: int) -> None:
        """Stop expecting a version that the platform has delivered."""
        expected = self._expected_versions.get(name)
        if expected is not None and expected.version <= version:
            self._expected_versions.pop(name, None)

    def _record_success(self) -> None:
        if self._failures:
            self._logger.info('platform_found', failures=self._failures)
        self._failures = 0

    def _record_failure(self, error: GuavadykeError) -> None:
        if not self._failures:
            self._logger.warning('platform_lost', reason=error.message)
        # A watch that fails while the platform is away has not gone silent.
        self._expected_versions.clear()
        max_delay_s = min(_MAX_RETRY_S, _FIRST_RETRY_S * 2**self._failures)
        self._failures = min(self._failures + 1, 16)
        self._stop.wait(self._rng.uniform(max_delay_s / 2, max_delay_s))
