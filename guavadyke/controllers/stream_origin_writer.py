"""Keeps on the platform what take-ups need after many hosts were lost."""

from __future__ import annotations

import math
import threading
from collections.abc import Mapping

from guavadyke import stream_origin_documents as documents
from guavadyke.adapters.ports import Clock, StoredObject
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.controllers.object_listing import list_all
from guavadyke.controllers.stream_origins import StreamOrigins
from guavadyke.decisions.rendezvous_hashing import place, rendezvous
from guavadyke.decisions.stream_origins import StreamOrigin
from guavadyke.errors import GuavadykeError, ObjectConflictError
from guavadyke.guarded_threads import GuardedThread
from guavadyke.log import EventLogger
from guavadyke.snapshots import FleetSnapshot, SnapshotCell

_STEP_S = 0.1
# All hosts together write this often while several versions serve.
_FLEET_WRITES_PER_S = 60.0
_MIN_INTERVAL_S = 0.5
# Streams that began earlier have ended, or their callers have left.
_WRITTEN_S = 20.0
# A host writes changed versions after its rank among the hosts times this,
# unless one before it has.
_RANK_SPACING_S = 0.3
_LONGEST_RANK_S = 6.0
_LIST_RETRY_S = 0.2
# After a loss of many hosts each take-up of a lost stream wants to read.
_READ_INTERVAL_S = 1.0
_CLEANUP_INTERVAL_S = 60.0
_ABANDONED_S = 120.0


class StreamOriginWriter:
    """Reads the origins of streams once and writes them while versions mix.

    Args:
        host_id: the id of this host.
        origins: what this host knows.
        store: the platform.
        fleet: the other hosts.
        clock: dates what is written.
        logger: logs what cannot be read or written.
    """

    def __init__(
        self,
        host_id: str,
        origins: StreamOrigins,
        store: WriteConfirmingStore,
        fleet: SnapshotCell[FleetSnapshot],
        clock: Clock,
        logger: EventLogger,
    ) -> None:
        self._host_id = host_id
        self._origins = origins
        self._store = store
        self._fleet = fleet
        self._clock = clock
        self._logger = logger
        self._recalled = threading.Event()
        self._reading = threading.Lock()
        self._read_at = -math.inf
        self._own: StoredObject | None = None
        self._written: tuple[StreamOrigin, ...] = ()
        self._history: Mapping[str, frozenset[str]] = {}
        self._history_due: float | None = None
        self._origins_due: float = 0
        self._cleanup_at = clock.monotonic() + _CLEANUP_INTERVAL_S
        self._stopped = threading.Event()
        self._thread = GuardedThread(
            self._run, 'stream-origins', self._stopped, self._logger
        )

    @property
    def recalled(self) -> bool:
        """Whether this host knows what the platform holds."""
        return self._recalled.is_set()

    def start(self) -> None:
        """Start reading and writing in the background."""
        self._thread.start()

    def close(self) -> None:
        """Stop, without waiting for the thread."""
        self._stopped.set()

    def recall(self) -> None:
        """Learn what earlier starts of all hosts have written.

        Raises:
            GuavadykeError: the platform cannot be read.
        """
        self._read('')
        self._recalled.set()

    def read_again(self) -> None:
        """Learn of the streams of hosts that may have been lost.

        Callers wait for a read that is under way. There is no other one for a
        while after it. Versions are left out: this host has seen itself which
        of them have left.
        """
        with self._reading:
            now = self._clock.monotonic()
            if now < self._read_at + _READ_INTERVAL_S:
                return
            self._read_at = now
            try:
                self._read(documents.HOST_PREFIX)
            except GuavadykeError as error:
                self._logger.warning(
                    'stream_origins_not_exchanged', reason=error.message
                )

    def write_due(self) -> None:
        """Write the versions and streams that are due.

        Raises:
            GuavadykeError: the platform did not take them.
        """
        now = self._clock.monotonic()
        self._plan_history(now)
        if self._history_due is not None and now >= self._history_due:
            self._write_history()
            self._history_due = None
        if now >= self._origins_due:
            live_hosts = 1 + len(self._fleet.current.alive)
            self._origins_due = now + max(
                _MIN_INTERVAL_S, live_hosts / _FLEET_WRITES_PER_S
            )
            self._write_origins()

    def remove_abandoned(self) -> None:
        """Remove the objects of lost hosts that this host has to.

        Raises:
            GuavadykeError: the platform cannot be read or written.
        """
        hosts = {peer.host_id for peer in self._fleet.current.alive}
        hosts.add(self._host_id)
        if rendezvous(documents.ORIGIN_KIND, hosts) != self._host_id:
            return
        objects, _revision = list_all(
            self._store, documents.ORIGIN_KIND, prefix=documents.HOST_PREFIX
        )
        for stored in objects:
            _origins, at = documents.decode_origins(stored.name, stored.body)
            if at < self._clock.wall() - _ABANDONED_S:
                self._store.delete(stored)

    def _run(self) -> None:
        while not self._stopped.is_set():
            try:
                self._step()
            except ObjectConflictError:
                self._own = None
            except GuavadykeError as error:
                self._logger.warning(
                    'stream_origins_not_exchanged', reason=error.message
                )
                self._stopped.wait(_LIST_RETRY_S)
            self._stopped.wait(_STEP_S)

    def _step(self) -> None:
        if not self.recalled:
            self.recall()
        self._origins.tell_new_versions()
        self.write_due()
        now = self._clock.monotonic()
        if now >= self._cleanup_at:
            self._cleanup_at = now + _CLEANUP_INTERVAL_S
            self.remove_abandoned()

    def _read(self, prefix: str) -> None:
        """Apply the objects whose names start with a prefix."""
        offset = self._clock.wall() - self._clock.monotonic()
        objects, _revision = list_all(
            self._store, documents.ORIGIN_KIND, prefix=prefix
        )
        for stored in objects:
            try:
                self._apply(stored, offset)
            except GuavadykeError as error:
                self._logger.warning(
                    'stream_origins_unusable',
                    name=stored.name,
                    reason=error.message,
                )

    def _apply(self, stored: StoredObject, offset: float) -> None:
        if stored.name == documents.HISTORY_NAME:
            complete_since, history = documents.decode_history(stored.body)
            self._origins.recall(
                _shifted(history, -offset), complete_since - offset
            )
        elif stored.name.startswith(documents.HOST_PREFIX):
            known, _at = documents.decode_origins(stored.name, stored.body)
            self._origins.learn(known)

    def _plan_history(self, now: float) -> None:
        """Plan to write the versions of the servers if they have changed."""
        _complete_since, history = self._origins.record()
        versions = {
            service: frozenset(found) for service, found in history.items()
        }
        if versions == self._history:
            return
        self._history = versions
        peers = (peer.host_id for peer in self._fleet.current.alive)
        rank = place(documents.HISTORY_NAME, self._host_id, peers)
        delay_s = min(_LONGEST_RANK_S, rank * _RANK_SPACING_S)
        self._history_due = now + delay_s

    def _write_history(self) -> None:
        stored = self._store.read(documents.ORIGIN_KIND, documents.HISTORY_NAME)
        offset = self._clock.wall() - self._clock.monotonic()
        complete_since, history = self._origins.record()
        body = documents.encode_history(
            complete_since + offset, _shifted(history, offset)
        )
        if stored is None:
            self._store.create(
                documents.ORIGIN_KIND, documents.HISTORY_NAME, body
            )
        elif self._says_other(stored):
            self._store.update(stored, body)

    def _says_other(self, stored: StoredObject) -> bool:
        try:
            _complete_since, told = documents.decode_history(stored.body)
        except GuavadykeError as error:
            self._logger.warning(
                'stream_origins_unusable',
                name=stored.name,
                reason=error.message,
            )
            return True
        versions = {name: frozenset(found) for name, found in told.items()}
        return versions != self._history

    def _write_origins(self) -> None:
        """Write the streams that began here while several versions serve."""
        lately = tuple(
            origin
            for origin in self._origins.own_since(_WRITTEN_S)
            if self._origins.is_mixed(origin.service)
        )
        if lately == self._written:
            return
        name = f'{documents.HOST_PREFIX}{self._host_id}'
        body = documents.encode_origins(lately, self._clock.wall())
        if self._own is None:
            self._own = self._store.read(documents.ORIGIN_KIND, name)
        if self._own is None:
            self._own = self._store.create(documents.ORIGIN_KIND, name, body)
        else:
            self._own = self._store.update(self._own, body)
        self._written = lately


def _shifted(
    history: documents.History, seconds: float
) -> dict[str, dict[str, float]]:
    """Return a history whose times are of another clock."""
    return {
        service: {
            version: gone_at + seconds for version, gone_at in versions.items()
        }
        for service, versions in history.items()
    }
