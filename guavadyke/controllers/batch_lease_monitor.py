"""Detects holders that are lost, and deletes their expired leases."""

from __future__ import annotations

from guavadyke.adapters.ports import Clock, StoredObject
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.controllers.batch_records import LEASE_KIND
from guavadyke.controllers.object_listing import list_all
from guavadyke.decisions.lease_validity import LeaseExpiryDetector
from guavadyke.errors import ObjectConflictError
from guavadyke.log import EventLogger


class LeaseMonitor:
    """Watches the leases of all hosts and breaks those that have expired.

    A lease has expired when this host has seen the same version of it for
    the length of a lease, so that clocks of hosts need not agree.

    Args:
        lease_s: length of a lease, in seconds.
        clock: the host's clock.
        store: the platform's object store.
        logger: logs broken leases.
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
        self._expiry_detector = LeaseExpiryDetector(lease_s)
        self._listed_at: float | None = None

    def refresh(self, *, after: float, interval_s: float) -> bool:
        """List the leases, unless the last list is newer than ``interval_s``.

        Args:
            after: monotonic time at which the chunks' holders were read.
            interval_s: seconds between two lists.

        Returns:
            Whether the last list is newer than ``after``, so that a holder
            missing from it no longer exists.

        Raises:
            GuavadykeError: the platform does not answer.
        """
        now = self._clock.monotonic()
        last = self._listed_at
        if last is None or now - last >= interval_s:
            leases, _revision = list_all(
                self._store,
                LEASE_KIND,
                bodies=False,
            )
            self._listed_at = now
            self._expiry_detector.observe(leases, self._clock.monotonic())
        return self._listed_at is not None and self._listed_at > after

    def break_if_expired(self, lease_name: str, *, fresh: bool) -> bool:
        """Break the lease if it has expired; return whether it is gone.

        Args:
            lease_name: lease of a chunk's holder.
            fresh: whether the list of leases is newer than the chunk's
                state, so that a missing lease counts as gone.

        Raises:
            GuavadykeError: the platform does not answer.
        """
        if self._expiry_detector.is_absent(lease_name):
            return fresh
        version = self._expiry_detector.expired_version(
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
