"""Mirrors all platform objects of one kind by listing and watching them."""

from __future__ import annotations

import dataclasses
import functools
import math
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
from guavadyke.decisions.unread_kinds import KindState
from guavadyke.decisions.watch_sharing import watch_times
from guavadyke.errors import GuavadykeError
from guavadyke.guarded_threads import GuardedThread
from guavadyke.log import EventLogger
from guavadyke.settings import PlatformSettings

# Backoff while the platform cannot be watched. It is short because entries
# that expired or changed meanwhile have to be known soon after the outage,
# and because a host whose calls go through peers learns of changes only by
# these lists.
FIRST_RETRY_S = 0.1
LONGEST_RETRY_S = 0.8
_BACKOFF_FACTOR = 2
_MAX_DOUBLINGS = 8
# Collects changes of several jobs in one watch; jobs are due much later.
_JOB_WATCH_DELAY_S = 0.3
# Time that a step may take beyond the wait of its watch before it is logged.
_SLOW_STEP_S = 0.5
# A server writes its entry three times in the time in which it expires, and
# may have written it just after the platform was lost.
_EXPIRY_SHARE = 2 / 3
# A dozen lists at the longest backoff. A platform that rejects one kind for
# longer should not stop all jobs.
_LONGEST_UNREAD_S = 10.0


class WatchableStore(Protocol):
    """Object store that can be listed and watched."""

    def list_objects(
        self,
        kind: str,
        *,
        prefix: str = '',
        after: str = '',
        limit: int = 500,
        bodies: bool = True,
    ) -> ObjectListing:
        """Return a page of objects in the order of their names."""
        ...

    def read(self, kind: str, name: str) -> StoredObject | None:
        """Return one object, or None if it does not exist."""
        ...

    def watch(self, kind: str, revision: int, wait_s: float) -> WatchAnswer:
        """Wait up to ``wait_s`` seconds for changes after a revision."""
        ...


class MirrorSink(Protocol):
    """Receives the objects of a mirror; called from the mirror's thread."""

    def replace(
        self,
        objects: tuple[StoredObject, ...],
        *,
        after_outage: bool,
    ) -> None:
        """Replace all objects by those of a full list.

        Args:
            objects: every object of the kind.
            after_outage: whether the platform could not be watched since
                the last list, so that missing entries may have expired.
        """
        ...

    def put(self, stored: StoredObject) -> None:
        """Add or replace an object."""
        ...

    def remove(self, name: str) -> None:
        """Remove an object."""
        ...


@dataclasses.dataclass(frozen=True)
class MirrorSettings:
    """How a kind of objects is mirrored; times are in seconds.

    ``delay_after_changes_s`` delays the watch that follows changes, so that
    it returns several at once; it suits kinds that may be mirrored late.
    With ``by_names``, lists after the first one fetch names and versions
    only, and changed objects are read one by one: less traffic for large
    objects that seldom change. Entries cannot have expired in a shorter loss
    of the platform than ``outage_s``. Users of the kind rely on knowing what
    was there ``bound_s`` ago. Items wait for a list of the kind that fails for
    ``longest_unread_s`` at most.
    """

    kind: str
    watch_wait_s: float
    delay_after_changes_s: float = 0
    by_names: bool = False
    outage_s: float = 0
    bound_s: float = math.inf
    longest_unread_s: float = _LONGEST_UNREAD_S


def urgent_mirror(kind: str, settings: PlatformSettings) -> MirrorSettings:
    """Return how to mirror a kind whose changes must be learned in time."""
    return MirrorSettings(
        kind,
        watch_times(settings.freshness_s).wait_s,
        outage_s=_EXPIRY_SHARE * settings.entry_expiry_s,
    )


def job_mirror(kind: str, settings: PlatformSettings) -> MirrorSettings:
    """Return how to mirror a kind whose changes may be learned late."""
    return MirrorSettings(
        kind, settings.watch_wait_s, _JOB_WATCH_DELAY_S, by_names=True
    )


def job_end_mirror(kind: str, settings: PlatformSettings) -> MirrorSettings:
    """Return how to mirror the kind that tells of cancelled jobs.

    Items wait for it without a limit: no item of a job may start once its
    cancellation has been confirmed for ``job_end_s``.
    """
    wait_s = watch_times(settings.job_end_s).wait_s
    return dataclasses.replace(
        job_mirror(kind, settings),
        watch_wait_s=min(wait_s, settings.watch_wait_s),
        bound_s=settings.job_end_s,
        longest_unread_s=math.inf,
    )


class Mirror:
    """Keeps a sink in sync with the platform, in a thread of its own.

    Lists the kind once, then watches it for changes. A failed or expired watch
    is followed by a new list, as is an answer that is older than the bound.

    Args:
        settings: what is mirrored and how.
        store: the platform.
        sink: receives lists and changes.
        clock: dates the last successful call.
        rng: adds jitter to the retries of many hosts.
        logger: logs when the platform becomes unreachable and reachable.
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
        # Consecutive failures since the last successful watch. Lists do not
        # reset it: peers may answer them while every watch fails.
        self._failures = 0
        self._list_failed = False
        self._reached_at: float | None = None
        # Time of which the sink holds the state, or a later one.
        self._known_at: float = math.inf
        # Since when a full list is due, None while a watch follows the kind.
        self._unread_since: float | None = clock.monotonic()
        self._stop = threading.Event()
        self._thread = GuardedThread(
            self._run, f'mirror-{settings.kind}', self._stop, self._logger
        )

    @property
    def listed(self) -> bool:
        """Whether the kind has been listed at least once."""
        return self._reached_at is not None

    @property
    def failing(self) -> bool:
        """Whether the last list failed, directly and through peers."""
        return self._list_failed

    @property
    def age_s(self) -> float:
        """Of how many seconds ago the sink holds the state at least."""
        if not self.listed:
            return math.inf
        return self._clock.monotonic() - self._known_at

    @property
    def stale(self) -> bool:
        """Whether the sink may be older than the bound.

        That is not so while the platform cannot be asked, directly or
        through peers: what is mirrored then counts as it is.
        """
        age_s = self._clock.monotonic() - self._known_at
        return not self._list_failed and age_s > self._settings.bound_s

    @property
    def state(self) -> KindState:
        """What is known of the kind now."""
        now = self._clock.monotonic()
        reached_at = self._reached_at
        unread_since = self._unread_since
        return KindState(
            self._settings.kind,
            self.age_s,
            None if unread_since is None else now - unread_since,
            math.inf if reached_at is None else now - reached_at,
            self._settings.bound_s,
            self._settings.longest_unread_s,
        )

    def start(self) -> None:
        """Start mirroring in the background."""
        self._thread.start()

    def close(self) -> None:
        """Stop after the current call, without waiting for it."""
        self._stop.set()

    def step(self) -> None:
        """Make one full list or one bounded watch.

        Raises:
            GuavadykeError: the platform cannot be reached.
        """
        began_at = self._clock.monotonic()
        if self.stale:
            self._logger.info(
                'mirror_stale',
                kind=self._settings.kind,
                age_s=round(began_at - self._known_at, 3),
            )
            self._revision = None
        if self._revision is None:
            self._list_all()
            self._list_failed = False
            self._known_at = began_at
            self._unread_since = None
            return
        answer = self._store.watch(
            self._settings.kind,
            self._revision,
            self._settings.watch_wait_s,
        )
        if self._failures:
            self._logger.info(
                'platform_found',
                kind=self._settings.kind,
                failures=self._failures,
            )
        # Reset by watches only, which peers cannot answer.
        self._failures = 0
        if answer.expired:
            self._logger.info(
                'history_expired',
                kind=self._settings.kind,
                revision=self._revision,
            )
            self._require_list()
            return
        for event in answer.events:
            self.apply_event(event)
        self._revision = max(self._revision, answer.revision)
        # A process that was suspended reads an answer long after it was sent.
        self._known_at = min(
            self._clock.monotonic(), began_at + self._settings.watch_wait_s
        )
        if answer.events and self._settings.delay_after_changes_s:
            self._stop.wait(self._settings.delay_after_changes_s)

    def apply_event(self, event: ObjectEvent) -> None:
        """Apply a change, unless a list already returned a newer version."""
        if event.version <= self._versions.get(event.name, -1):
            return
        self._versions[event.name] = event.version
        if event.current is None:
            self._sink.remove(event.name)
        else:
            self._sink.put(event.current)

    def record_success(self) -> None:
        """Record that a step succeeded."""
        self._reached_at = self._clock.monotonic()

    def record_failure(self, error: GuavadykeError) -> float:
        """Record that a step failed; return the backoff in seconds."""
        if not self._failures:
            self._logger.warning(
                'platform_lost',
                kind=self._settings.kind,
                reason=error.message,
            )
        doublings = min(self._failures, _MAX_DOUBLINGS)
        self._failures += 1
        self._list_failed = self._revision is None
        # The watch may have missed no event, but entries may have expired
        # during the outage: list again.
        self._require_list()
        longest_s = min(
            LONGEST_RETRY_S, FIRST_RETRY_S * _BACKOFF_FACTOR**doublings
        )
        return self._rng.uniform(longest_s / 2, longest_s)

    def _run(self) -> None:
        while not self._stop.is_set():
            lists = self._revision is None
            log_if_slow = functools.partial(
                _log_if_slow,
                self._settings,
                self._logger,
                self._clock.monotonic(),
                lists=lists,
            )
            try:
                self.step()
            except GuavadykeError as error:
                log_if_slow(self._clock.monotonic(), failed=True)
                self._stop.wait(self.record_failure(error))
            except Exception:
                # What was applied is not known, so it is listed again.
                self._require_list()
                self._list_failed = True
                raise
            else:
                log_if_slow(self._clock.monotonic(), failed=False)
                self.record_success()

    def _require_list(self) -> None:
        self._revision = None
        if self._unread_since is None:
            self._unread_since = self._clock.monotonic()

    def _list_all(self) -> None:
        """List all objects; with ``by_names``, read only the changed ones."""
        by_names = self._settings.by_names and self.listed
        found, revision = _list_pages(
            self._store, self._settings.kind, bodies=not by_names
        )
        if by_names:
            self._apply_names(found)
        else:
            self._versions = {stored.name: stored.version for stored in found}
            lost_s = self._clock.monotonic() - (self._reached_at or 0)
            self._sink.replace(
                tuple(found),
                after_outage=self._failures > 0
                and lost_s >= self._settings.outage_s,
            )
        self._revision = revision

    def _apply_names(self, found: list[StoredObject]) -> None:
        """Read the changed objects and remove the missing ones."""
        names = {stored.name for stored in found}
        for gone in self._versions.keys() - names:
            self._sink.remove(gone)
        self._versions = {
            name: version
            for name, version in self._versions.items()
            if name in names
        }
        for stored in found:
            if self._versions.get(stored.name) == stored.version:
                continue
            changed = self._store.read(self._settings.kind, stored.name)
            if changed is not None:
                self._versions[changed.name] = changed.version
                self._sink.put(changed)


def _log_if_slow(
    settings: MirrorSettings,
    logger: EventLogger,
    began_at: float,
    now: float,
    *,
    lists: bool,
    failed: bool,
) -> None:
    """Log a step that took longer than its list or watch should."""
    expected_s = _SLOW_STEP_S
    if not lists and not failed:
        expected_s += settings.watch_wait_s
    if now - began_at > expected_s:
        logger.info(
            'mirror_step_slow',
            kind=settings.kind,
            step='list' if lists else 'watch',
            took_s=round(now - began_at, 3),
            failed=failed,
        )


def _list_pages(
    store: WatchableStore, kind: str, *, bodies: bool
) -> tuple[list[StoredObject], int | None]:
    """Return all objects and the revision of the first page.

    Changes after that revision are delivered by the next watch.
    """
    found: dict[str, StoredObject] = {}
    first_revision: int | None = None
    after = ''
    more = True
    while more:
        page = store.list_objects(kind, after=after, bodies=bodies)
        if first_revision is None:
            first_revision = page.revision
        found.update({stored.name: stored for stored in page.objects})
        more = page.more and bool(page.objects)
        after = page.objects[-1].name if page.objects else ''
    return list(found.values()), first_revision
