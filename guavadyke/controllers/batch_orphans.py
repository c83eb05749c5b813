"""Finds chunks whose holder is gone, and breaks leases that have run out."""

from __future__ import annotations

from guavadyke.adapters.ports import Clock, StoredObject
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.controllers.batch_jobs import list_all
from guavadyke.controllers.batch_records import LEASE_KIND
from guavadyke.decisions.lease_validity import LeaseExpiryDetector
from guavadyke.errors import ObjectConflictError
from guavadyke.log import EventLogger


class Orphans:
    """Judges by what this host has itself seen of the leases.

    Args:
        lease_s: length of a lease, in seconds.
        clock: the host's clock.
        store: the platform.
        logger: told of broken leases.
    """

    def __init__(
        self,
        lease_s: float,
        clock: Clock,
        store: WriteConfirmingStore,
        logger: EventLogger,
    ) -> None:
        self._clock = clock
        self._store = store
        self._logger = logger
        self._watch = LeaseExpiryDetector(lease_s)
        self._observed_at: float | None = None

    def observe(self, *, after: float, interval_s: float) -> bool:
        """List the leases, unless that was done a moment ago.

        Args:
            after: monotonic time at which the holders were read.
            interval_s: seconds for which a list is good enough.

        Returns:
            Whether the newest list is younger than ``after``, so that a
            holder that it does not show is gone.

        Raises:
            GuavadykeError: the platform does not answer.
        """
        now = self._clock.monotonic()
        last = self._observed_at
        if last is None or now - last >= interval_s:
            leases, _revision = list_all(
                self._store,
                LEASE_KIND,
                bodies=False,
            )
            self._observed_at = now
            self._watch.observe(leases, self._clock.monotonic())
        return self._observed_at is not None and self._observed_at > after

    def is_gone(self, lease_name: str, *, fresh: bool) -> bool:
        """Return whether the lease is gone, breaking it if it has run out.

        Args:
            lease_name: lease of a chunk's holder.
            fresh: the list of leases is younger than the chunk's state.

        Raises:
            GuavadykeError: the platform does not answer.
        """
        if self._watch.is_absent(lease_name):
            return fresh
        version = self._watch.expired_version(
            lease_name,
            self._clock.monotonic(),
        )
        if version is None:
            return False
        return self._break(lease_name, version)

    def _break(self, lease_name: str, version: int) -> bool:
        lease = StoredObject(LEASE_KIND, lease_name, version, b'')
        try:
            self._store.delete(lease)
        except ObjectConflictError:
            return False
        self._logger.warning('lease_broken', lease=lease_name)
        return True
