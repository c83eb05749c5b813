"""Writes the limits that servers have named to the platform."""

from __future__ import annotations

import threading
import time

from guavadyke import server_limit_documents as documents
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.controllers.server_limit_sink import ServerLimitSink
from guavadyke.controllers.server_limits import ServerLimits
from guavadyke.decisions.rendezvous_hashing import rendezvous
from guavadyke.decisions.server_limits import ServerLimit
from guavadyke.errors import GuavadykeError, ObjectConflictError
from guavadyke.guarded_threads import GuardedThread
from guavadyke.log import EventLogger
from guavadyke.snapshots import FleetSnapshot, SnapshotCell

_IDLE_S = 1.0
# Bounds how often a limit that changes with each answer is written.
_PAUSE_S = 0.2
# A limit that holds for longer is written again after it was removed.
_RETENTION_S = 600.0
_CLEANUP_INTERVAL_S = 60.0


class ServerLimitWriter:
    """Tells other hosts of limits from a thread, and removes old objects.

    Args:
        host_id: the id of this host.
        limits: has the limits to tell.
        sink: has the objects that the platform holds.
        store: the platform.
        fleet: the other hosts, with which it divides the removal.
        logger: logs limits that could not be written.
    """

    def __init__(
        self,
        host_id: str,
        limits: ServerLimits,
        sink: ServerLimitSink,
        store: WriteConfirmingStore,
        fleet: SnapshotCell[FleetSnapshot],
        logger: EventLogger,
    ) -> None:
        self._host_id = host_id
        self._limits = limits
        self._sink = sink
        self._store = store
        self._fleet = fleet
        self._logger = logger
        self._stopped = threading.Event()
        self._thread = GuardedThread(
            self._run, 'server-limits', self._stopped, self._logger
        )

    def start(self) -> None:
        """Start writing in the background."""
        self._thread.start()

    def close(self) -> None:
        """Stop writing, without waiting for the thread."""
        self._stopped.set()

    def write_changes(self, timeout_s: float) -> None:
        """Write the limits that have changed, which may take a while.

        Args:
            timeout_s: how long to wait for one.
        """
        changes = self._limits.wait_for_changes(timeout_s)
        for server_id, limit in changes.items():
            try:
                self._write(server_id, limit)
            except ObjectConflictError:
                # Another host has told it; the mirror brings its word.
                continue
            except GuavadykeError as error:
                self._limits.tell_again(server_id)
                self._logger.warning(
                    'server_limit_not_written',
                    backend_server=server_id,
                    reason=error.message,
                )
            except Exception as error:
                self._limits.tell_again(server_id)
                self._logger.error(
                    'server_limit_not_written',
                    backend_server=server_id,
                    reason=repr(error),
                )

    def remove_old(self, wall: float) -> None:
        """Remove the old objects that this host has to.

        Args:
            wall: seconds since the epoch.
        """
        hosts = {peer.host_id for peer in self._fleet.current.alive}
        for stored in self._sink.written_before(wall - _RETENTION_S):
            if (
                rendezvous(stored.name, {self._host_id, *hosts})
                != self._host_id
            ):
                continue
            try:
                self._store.delete(stored)
            except GuavadykeError as error:
                self._logger.warning(
                    'server_limit_not_removed',
                    backend_server=stored.name,
                    reason=error.message,
                )

    def _run(self) -> None:
        cleanup_at = time.monotonic() + _CLEANUP_INTERVAL_S
        while not self._stopped.is_set():
            self.write_changes(_IDLE_S)
            self._stopped.wait(_PAUSE_S)
            if time.monotonic() >= cleanup_at:
                cleanup_at = time.monotonic() + _CLEANUP_INTERVAL_S
                self.remove_old(time.time())

    def _write(self, server_id: str, limit: ServerLimit | None) -> None:
        stored = self._sink.stored(server_id)
        if limit is None:
            if stored is not None:
                self._store.delete(stored)
            return
        body = documents.encode_limit(limit, time.time())
        if stored is None:
            self._store.create(documents.LIMIT_KIND, server_id, body)
            return
        told, _at = documents.decode_limit(server_id, stored.body)
        if not limit.is_like(told):
            self._store.update(stored, body)
