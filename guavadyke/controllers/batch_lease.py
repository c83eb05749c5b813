"""This host's lease, one object for all the chunks that it holds."""

from __future__ import annotations

import itertools
import threading
import uuid

from guavadyke.adapters.ports import Clock, StoredObject
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.controllers.batch_records import (
    LEASE_KIND,
    LeaseRecord,
    encode_lease,
)
from guavadyke.decisions.lease_validity import (
    LeaseRenewals,
    LeaseView,
    valid_until,
)
from guavadyke.errors import ObjectConflictError
from guavadyke.settings import EntrySettings
from guavadyke.snapshots import SnapshotCell


class LeaseManager:
    """Creates, renews and releases this host's lease.

    A lease that another host has broken is never used again; the next one
    gets a new name.

    Args:
        settings: settings of the host.
        clock: the host's clock.
        store: the platform's object store.
    """

    def __init__(
        self,
        settings: EntrySettings,
        clock: Clock,
        store: WriteConfirmingStore,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._store = store
        self._process_nonce = uuid.uuid4().hex[:12]
        self._lease_numbers = itertools.count(1)
        self._lock = threading.Lock()
        self._stored: StoredObject | None = None
        self._renewals = LeaseRenewals(settings.batch)
        self._body = encode_lease(
            LeaseRecord(settings.host_id, settings.zone),
        )
        self.view: SnapshotCell[LeaseView] = SnapshotCell(LeaseView())

    def is_valid(self, name: str) -> bool:
        """Return whether items may still start under the named lease."""
        view = self.view.current
        return view.name == name and self._clock.monotonic() < view.valid_until

    def covers_revision(self, revision: int) -> bool:
        """Return whether the jobs known as of a revision are recent enough.

        They are while a renewal no newer than the revision is still valid.
        A cancellation after a renewal has a higher version than it, so the
        jobs known as of the renewal's version may not show it.
        """
        now = self._clock.monotonic()
        return now < self._renewals.data_valid_until(revision)

    def ensure_valid(self) -> str:
        """Return the name of a valid lease, renewing it where needed.

        Raises:
            GuavadykeError: the platform did not confirm the renewal.
        """
        view = self.view.current
        if view.name and self.is_valid(view.name):
            return view.name
        return self.renew()

    def renew(self) -> str:
        """Renew the lease, or create a new one where there is none.

        Returns:
            The name of the lease.

        Raises:
            GuavadykeError: the platform did not confirm the renewal.
        """
        with self._lock:
            started = self._clock.monotonic()
            try:
                stored = self._write_renewal()
            except ObjectConflictError:
                stored = self._renew_after_conflict()
            self._stored = stored
            self._renewals.add(stored.version, started)
            self.view.publish(
                LeaseView(
                    stored.name,
                    valid_until(started, self._settings.batch),
                ),
            )
            return stored.name

    def release(self, *, only_if_expired: bool = False) -> None:
        """Delete the lease; no item starts under it any more.

        Args:
            only_if_expired: keep a lease that is still valid.

        Raises:
            GuavadykeError: the platform did not confirm the deletion.
        """
        with self._lock:
            stored = self._stored
            if stored is None or (
                only_if_expired and self.is_valid(stored.name)
            ):
                return
            self._stored = None
            self.view.publish(LeaseView())
            self._store.delete(stored)

    def _write_renewal(self) -> StoredObject:
        if self._stored is None:
            name = f'{self._settings.host_id}.{self._process_nonce}'
            return self._store.create(
                LEASE_KIND,
                f'{name}.{next(self._lease_numbers)}',
                self._body,
            )
        return self._store.update(self._stored, self._body)

    def _renew_after_conflict(self) -> StoredObject:
        """Renew from the stored version, or replace a broken lease.

        The version differs from the known one where an earlier renewal took
        effect although its answer was lost.
        """
        stored = self._stored
        if stored is not None:
            stored = self._store.read(LEASE_KIND, stored.name)
        self._stored = stored
        if stored is None:
            self.view.publish(LeaseView())
        return self._write_renewal()
