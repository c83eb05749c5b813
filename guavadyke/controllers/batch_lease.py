"""This host's lease: one object that covers all the chunks it holds."""

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
    """Creates, renews and gives up this host's lease.

    A lease that another host has broken is never used again; the next one
    has another name.

    Args:
        settings: settings of the host.
        clock: the host's clock.
        store: the platform.
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
        self._process = uuid.uuid4().hex[:12]
        self._counter = itertools.count(1)
        self._lock = threading.Lock()
        self._stored: StoredObject | None = None
        self._renewals = LeaseRenewals(settings.batch)
        self._body = encode_lease(
            LeaseRecord(settings.host_id, settings.zone),
        )
        self.view: SnapshotCell[LeaseView] = SnapshotCell(LeaseView())

    def is_valid(self, name: str) -> bool:
        """Return whether the named lease still lets work start."""
        view = self.view.current
        return view.name == name and self._clock.monotonic() < view.valid_until

    def covers(self, revision: int) -> bool:
        """Return whether what is known as of a revision still counts.

        A cancel that came later than a renewal has a higher version, so
        that what is known as of the renewal's version may miss it.
        """
        now = self._clock.monotonic()
        return now < self._renewals.data_valid_until(revision)

    def ensure(self) -> str:
        """Return the name of a valid lease, renewed where needed.

        Raises:
            GuavadykeError: the platform did not confirm it.
        """
        view = self.view.current
        if view.name and self.is_valid(view.name):
            return view.name
        return self.renew()

    def renew(self) -> str:
        """Renew the lease, or create the next one where it was broken.

        Raises:
            GuavadykeError: the platform did not confirm it.
        """
        with self._lock:
            started = self._clock.monotonic()
            try:
                stored = self._renewed()
            except ObjectConflictError:
                stored = self._reconciled()
            self._stored = stored
            self._renewals.add(stored.version, started)
            self.view.publish(
                LeaseView(
                    stored.name,
                    valid_until(started, self._settings.batch),
                ),
            )
            return stored.name

    def give_up(self, *, lapsed: bool = False) -> None:
        """Delete the lease; nothing starts under it from now on.

        Args:
            lapsed: only if it has lapsed unrenewed.

        Raises:
            GuavadykeError: the platform did not confirm it.
        """
        with self._lock:
            stored = self._stored
            if stored is None or (lapsed and self.is_valid(stored.name)):
                return
            self._stored = None
            self.view.publish(LeaseView())
            self._store.delete(stored)

    def _renewed(self) -> StoredObject:
        if self._stored is None:
            name = f'{self._settings.host_id}.{self._process}'
            return self._store.create(
                LEASE_KIND,
                f'{name}.{next(self._counter)}',
                self._body,
            )
        return self._store.update(self._stored, self._body)

    def _reconciled(self) -> StoredObject:
        """Renew past an own write in doubt, or replace a broken lease."""
        stored = self._stored
        if stored is not None:
            stored = self._store.read(LEASE_KIND, stored.name)
        self._stored = stored
        if stored is None:
            self.view.publish(LeaseView())
        return self._renewed()
