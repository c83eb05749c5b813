"""Writes this host's reports of prompts to the platform."""

from __future__ import annotations

import itertools
import threading
import time
import uuid
from collections.abc import Iterator

from guavadyke import prompt_report_documents as documents
from guavadyke.adapters.ports import StoredObject
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.controllers.prompt_guard import PromptGuard
from guavadyke.controllers.prompt_report_sink import PromptReportSink
from guavadyke.decisions.prompt_reports import PromptReport
from guavadyke.decisions.rendezvous_hashing import rendezvous
from guavadyke.errors import GuavadykeError, ObjectConflictError
from guavadyke.guarded_threads import GuardedThread
from guavadyke.log import EventLogger
from guavadyke.snapshots import FleetSnapshot, SnapshotCell

_IDLE_S = 1.0
# Interval at which reports are looked for that must wait for their time.
_PENDING_S = 0.05
# All requests at a server that ends break at almost the same time, and a guard
# waits to see whether others do.
_COLLECT_S = 0.03
_RETRY_DELAY_S = 0.2
# Reports are read when a host starts, and a part may be quarantined for long.
_RETENTION_S = 3600.0
_CLEANUP_INTERVAL_S = 60.0


class PromptReportSender:
    """Sends the reports of a guard from a thread, and removes old ones.

    Args:
        host_id: the id of this host.
        guard: has the reports to send.
        sink: has the reports that the platform holds.
        store: the platform.
        fleet: the other hosts, with which it divides the removal.
        logger: logs reports that could not be written.
    """

    def __init__(
        self,
        host_id: str,
        guard: PromptGuard,
        sink: PromptReportSink,
        store: WriteConfirmingStore,
        fleet: SnapshotCell[FleetSnapshot],
        logger: EventLogger,
    ) -> None:
        self._host_id = host_id
        self._guard = guard
        self._sink = sink
        self._store = store
        self._fleet = fleet
        self._logger = logger
        self._names = _report_names(host_id)
        self._stopped = threading.Event()
        self._thread = GuardedThread(
            self._run, 'prompt-reports', self._stopped, self._logger
        )

    def start(self) -> None:
        """Start sending in the background."""
        self._thread.start()

    def close(self) -> None:
        """Stop sending, without waiting for the thread."""
        self._stopped.set()

    def send_due(self) -> None:
        """Send the reports that may be sent now."""
        for report in iter(self._guard.next_report, None):
            try:
                written = self._is_written(report)
            except Exception:
                self._guard.send_again(report)
                raise
            if not written:
                self._guard.send_again(report)
                self._stopped.wait(_RETRY_DELAY_S)
                return

    def remove_old(self, wall: float) -> None:
        """Remove the old reports that this host has to.

        Args:
            wall: seconds since the epoch.
        """
        live = [peer.host_id for peer in self._fleet.current.alive]
        for stored in self._sink.written_before(wall - _RETENTION_S):
            if rendezvous(stored.name, {self._host_id, *live}) == self._host_id:
                self._remove(stored)

    def _run(self) -> None:
        cleanup_at = time.monotonic() + _CLEANUP_INTERVAL_S
        while not self._stopped.is_set():
            self._guard.wait(_PENDING_S if self._guard.pending else _IDLE_S)
            self._stopped.wait(_COLLECT_S)
            self.send_due()
            if time.monotonic() >= cleanup_at:
                cleanup_at = time.monotonic() + _CLEANUP_INTERVAL_S
                self.remove_old(time.time())

    def _is_written(self, report: PromptReport) -> bool:
        name = next(self._names)
        try:
            self._store.create(
                documents.REPORT_KIND, name, documents.encode_report(report)
            )
        except GuavadykeError as error:
            self._logger.warning(
                'prompt_report_not_written', name=name, reason=error.message
            )
            return False
        return True

    def _remove(self, stored: StoredObject) -> None:
        try:
            self._store.delete(stored)
        except ObjectConflictError:
            self._sink.remove(stored.name)
        except GuavadykeError as error:
            self._logger.warning(
                'prompt_report_not_removed',
                name=stored.name,
                reason=error.message,
            )


def _report_names(host_id: str) -> Iterator[str]:
    """Yield object names that no other start of any host uses."""
    start = uuid.uuid4().hex[:12]
    return (f'{host_id}.{start}.{number}' for number in itertools.count())
