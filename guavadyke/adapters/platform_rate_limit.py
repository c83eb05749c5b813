"""Limits one host's calls to the platform to its share of the fleet's rates."""

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
    """Platform store that limits this host's read and write rates.

    The host's share is the fleet's rate divided by the number of live entry
    hosts. A call that would have to wait for longer than the call timeout
    is not made and raises ``PlatformUnavailableError``. Claims of online
    requests, leases and everything else that is not bulk data have
    priority: they may overdraw the token bucket by one burst, and bulk data
    waits until the overdraft is refilled.

    Args:
        store: the store that makes the calls.
        settings: rates of the whole fleet, burst size and call timeout.
        clock: measures time and sleeps.
        hosts: returns the number of live entry hosts, this one included.
    """

    def __init__(
        self,
        store: PlatformStore,
        settings: PlatformSettings,
        clock: Clock,
        hosts: Callable[[], int],
    ) -> None:
        self._store = store
        self._reads = _TokenBucket(
            lambda: settings.fleet_reads_per_s / hosts(),
            settings,
            clock,
        )
        self._writes = _TokenBucket(
            lambda: settings.fleet_writes_per_s / hosts(),
            settings,
            clock,
        )

    def read(self, kind: str, name: str) -> StoredObject | None:
        """Return the object, or None if it does not exist."""
        self._reads.acquire(bulk=kind in BULK_KINDS)
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
        """Return a page of objects, ordered by name."""
        self._reads.acquire(bulk=kind in BULK_KINDS)
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
            ObjectConflictError: the object exists already.
        """
        self._writes.acquire(bulk=kind in BULK_KINDS)
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
        self._writes.acquire(bulk=kind in BULK_KINDS)
        return self._store.update(kind, name, body, version)

    def delete(self, kind: str, name: str, version: int) -> None:
        """Delete the object if it still has ``version``.

        Raises:
            ObjectConflictError: it has another version or is absent.
        """
        self._writes.acquire(bulk=kind in BULK_KINDS)
        self._store.delete(kind, name, version)

    def watch(self, kind: str, revision: int, wait_s: float) -> WatchAnswer:
        """Wait up to ``wait_s`` seconds for changes after ``revision``."""
        self._reads.acquire(bulk=False)
        return self._store.watch(kind, revision, wait_s)

    def hosts(self) -> tuple[ListedHost, ...]:
        """Return the live and leaving hosts; the list lags behind."""
        self._reads.acquire(bulk=False)
        return self._store.hosts()


class _TokenBucket:
    """Token bucket for one kind of call; its capacity is one burst."""

    def __init__(
        self,
        rate_per_s: Callable[[], float],
        settings: PlatformSettings,
        clock: Clock,
    ) -> None:
        self._rate_per_s = rate_per_s
        self._burst_tokens = float(settings.burst_calls)
        self._max_wait_s = settings.call_timeout_s
        self._clock = clock
        self._lock = threading.Lock()
        self._tokens = self._burst_tokens
        self._refilled_at = clock.monotonic()

    def acquire(self, *, bulk: bool) -> None:
        """Take one token, waiting for it if need be.

        Calls for other than bulk data may overdraw the bucket by one burst.

        Raises:
            PlatformUnavailableError: the wait would exceed the call timeout.
        """
        wait_s = self._reserve(bulk=bulk)
        if wait_s > 0:
            self._clock.sleep(wait_s)

    def _reserve(self, *, bulk: bool) -> float:
        with self._lock:
            now = self._clock.monotonic()
            rate_per_s = self._rate_per_s()
            refilled = self._tokens + (now - self._refilled_at) * rate_per_s
            self._refilled_at = now
            self._tokens = min(self._burst_tokens, refilled)
            credit = 0 if bulk else self._burst_tokens
            wait_s = (1 - credit - self._tokens) / rate_per_s
            if wait_s > self._max_wait_s:
                raise PlatformUnavailableError(
                    'this host has used up its rate of calls to the platform',
                )
            self._tokens -= 1
        return wait_s
