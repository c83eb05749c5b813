"""Keeps the calls of one host to the platform within the fleet's rates."""

from __future__ import annotations

import threading
from collections.abc import Callable

from guavadyke.adapters.ports import (
    Clock,
    ListedHost,
    ObjectListing,
    PlatformStore,
    StoredObject,
    WatchAnswer,
)
from guavadyke.errors import PlatformUnavailableError
from guavadyke.settings import PlatformSettings

BULK_KINDS = frozenset((
    'chunk',
    'chunk-input',
    'chunk-result',
    'job-archive',
))


class RateLimitedStore:
    """A platform store whose calls keep within a host's share of rates.

    The share is the fleet's rate divided by the live entry hosts. A call
    that would have to wait longer than the timeout of a call is not made
    and raises ``PlatformUnavailableError``. Claims of online requests,
    leases and all else that is not bulk data go first: they may use as
    much again as a burst, which is taken off what bulk data gets next.

    Args:
        store: the store that makes the calls.
        settings: rates of the whole fleet, burst and timeout.
        clock: tells the time and waits.
        hosts: returns how many entry hosts are alive, this one included.
    """

    def __init__(
        self,
        store: PlatformStore,
        settings: PlatformSettings,
        clock: Clock,
        hosts: Callable[[], int],
    ) -> None:
        self._store = store
        self._reads = _Bucket(
            lambda: settings.fleet_reads_per_s / hosts(),
            settings,
            clock,
        )
        self._writes = _Bucket(
            lambda: settings.fleet_writes_per_s / hosts(),
            settings,
            clock,
        )

    def read(self, kind: str, name: str) -> StoredObject | None:
        """Return the object, or None when it is absent."""
        self._reads.take(bulk=kind in BULK_KINDS)
        return self._store.read(kind, name)

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
        self._reads.take(bulk=kind in BULK_KINDS)
        return self._store.list_objects(
            kind,
            prefix=prefix,
            after=after,
            limit=limit,
            bodies=bodies,
        )

    def create(self, kind: str, name: str, body: bytes) -> StoredObject:
        """Create the object.

        Raises:
            ObjectConflictError: it exists already.
        """
        self._writes.take(bulk=kind in BULK_KINDS)
        return self._store.create(kind, name, body)

    def update(
        self,
        kind: str,
        name: str,
        body: bytes,
        version: int,
    ) -> StoredObject:
        """Replace the object if it still has ``version``.

        Raises:
            ObjectConflictError: it has another version or is absent.
        """
        self._writes.take(bulk=kind in BULK_KINDS)
        return self._store.update(kind, name, body, version)

    def delete(self, kind: str, name: str, version: int) -> None:
        """Delete the object if it still has ``version``.

        Raises:
            ObjectConflictError: it has another version or is absent.
        """
        self._writes.take(bulk=kind in BULK_KINDS)
        self._store.delete(kind, name, version)

    def watch(self, kind: str, revision: int, wait_s: float) -> WatchAnswer:
        """Wait up to ``wait_s`` seconds for changes after ``revision``."""
        self._reads.take(bulk=False)
        return self._store.watch(kind, revision, wait_s)

    def hosts(self) -> tuple[ListedHost, ...]:
        """Return the list of live and leaving hosts; it lags."""
        self._reads.take(bulk=False)
        return self._store.hosts()


class _Bucket:
    """Tokens that fill at a rate, up to those of one burst."""

    def __init__(
        self,
        rate_per_s: Callable[[], float],
        settings: PlatformSettings,
        clock: Clock,
    ) -> None:
        self._rate_per_s = rate_per_s
        self._capacity = float(settings.burst_calls)
        self._longest_s = settings.call_timeout_s
        self._clock = clock
        self._lock = threading.Lock()
        self._tokens = self._capacity
        self._filled_at = clock.monotonic()

    def take(self, *, bulk: bool) -> None:
        """Take a token, on credit where it is not for bulk data.

        Raises:
            PlatformUnavailableError: it would take too long.
        """
        wait_s = self._reserve(bulk=bulk)
        if wait_s > 0:
            self._clock.sleep(wait_s)

    def _reserve(self, *, bulk: bool) -> float:
        with self._lock:
            now = self._clock.monotonic()
            rate_per_s = self._rate_per_s()
            filled = self._tokens + (now - self._filled_at) * rate_per_s
            self._filled_at = now
            self._tokens = min(self._capacity, filled)
            credit = 0 if bulk else self._capacity
            wait_s = (1 - credit - self._tokens) / rate_per_s
            if wait_s > self._longest_s:
                raise PlatformUnavailableError(
                    'this host has used up its calls to the platform',
                )
            self._tokens -= 1
        return wait_s
