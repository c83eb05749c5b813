"""Batch jobs on one entry host: HTTP routes and processing of chunks."""

from __future__ import annotations

import dataclasses
import random

from guavadyke.adapters.ports import Clock, ItemRunner
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.controllers.batch_cleaning import Cleaner, CleaningParts
from guavadyke.controllers.batch_forecast import JobForecaster
from guavadyke.controllers.batch_held_chunks import HeldChunkRegistry
from guavadyke.controllers.batch_job_scan import JobScanner, JobScannerParts
from guavadyke.controllers.batch_job_selection import JobSelection
from guavadyke.controllers.batch_jobs import JobIndex
from guavadyke.controllers.batch_lease import LeaseManager
from guavadyke.controllers.batch_loops import BatchLoops, LoopParts
from guavadyke.controllers.batch_routes import BatchRoutes, RouteParts
from guavadyke.controllers.batch_spool import Spool
from guavadyke.controllers.batch_step_executor import StepExecutor
from guavadyke.controllers.batch_workers import WorkerPool
from guavadyke.errors import GuavadykeError
from guavadyke.filters.base import Filter
from guavadyke.http_application import Route
from guavadyke.log import EventLogger
from guavadyke.settings import EntrySettings
from guavadyke.snapshots import CatalogueSnapshot, FleetSnapshot, SnapshotCell

_PREEMPT_AFTER_S = 2.0
_RELEASE_TIMEOUT_S = 20.0
_POLL_INTERVAL_S = 0.02


@dataclasses.dataclass(eq=False)
class BatchService:
    """Accepts batch jobs, processes their chunks and serves their results.

    Args:
        settings: settings of the host.
        clock: the host's clock.
        rng: source of jitter, so that hosts don't call the platform at once.
        catalogue: the catalogue in force.
        fleet: state of the other hosts.
        store: the platform's objects.
        runner: runs single items.
        authenticate: filter that identifies the owner of a request.
        logger: logs events.
    """

    settings: EntrySettings
    clock: Clock
    rng: random.Random
    catalogue: SnapshotCell[CatalogueSnapshot]
    fleet: SnapshotCell[FleetSnapshot]
    store: WriteConfirmingStore
    runner: ItemRunner
    authenticate: Filter
    logger: EventLogger

    def __post_init__(self) -> None:
        """Create the controllers of batch work."""
        self._lease = LeaseManager(self.settings, self.clock, self.store)
        self._index = JobIndex(
            self.settings,
            self.clock,
            self.store,
            self.logger,
        )
        self._held_chunks = HeldChunkRegistry(
            self._lease,
            self._index,
            self.runner,
            self.clock,
            self.rng,
        )
        self._forecaster = JobForecaster(
            self.clock,
            self.catalogue,
            self._held_chunks,
        )
        self._job_selection = JobSelection(
            self.settings,
            self.clock,
            self.catalogue,
            self.fleet,
            self._held_chunks,
        )
        self._job_scanner = self._build_job_scanner()
        spool = Spool(self.settings.data_folder, self.store, self.logger)
        self._cleaner = Cleaner(
            CleaningParts(
                self.settings,
                self.clock,
                self.store,
                self.fleet,
                self._index,
                spool,
                self.logger,
            ),
        )
        self._step_executor = StepExecutor(
            self.settings.batch,
            self._held_chunks,
            self.runner,
            self.store,
            spool,
            self.logger,
        )
        self._step_executor.subscribe(self._job_scanner.record_own_write)
        self._workers = WorkerPool(
            self.settings.batch,
            self._held_chunks,
            self._step_executor,
            self.logger,
        )
        self._loops = BatchLoops(
            LoopParts(
                self.settings,
                self._lease,
                self._index,
                self._held_chunks,
                self._job_scanner,
                self._job_selection,
                self._cleaner,
            ),
            self.rng,
            self.logger,
        )

    def routes(self) -> list[Route]:
        """Return the routes of the caller port."""
        parts = RouteParts(
            self.settings,
            self.clock,
            self.store,
            self.catalogue,
            self.fleet,
            self._index,
            self._forecaster,
            self.authenticate,
        )
        return BatchRoutes(parts).routes()

    def start(self) -> None:
        """Start the background loops and the workers."""
        self._loops.start()
        self._workers.start()

    def hand_over(self) -> None:
        """Release all chunks, so that other hosts can claim them at once.

        Starts no more items. Items in flight get a short time to finish and
        are then preempted; completed items are committed.
        """
        self._job_scanner.stop()
        self._held_chunks.stop(preempt=False)
        if not self._wait_until_released(_PREEMPT_AFTER_S):
            self._held_chunks.stop(preempt=True)
            self._wait_until_released(_RELEASE_TIMEOUT_S)
        try:
            self._lease.release()
        except GuavadykeError as error:
            self.logger.warning('lease_left', reason=error.message)

    def close(self) -> None:
        """Stop all work; others claim the chunks when the lease expires."""
        self._job_scanner.stop()
        self._held_chunks.stop(preempt=True)
        self._loops.close()
        self._workers.close()

    def status(self) -> dict[str, object]:
        """Return the state of batch work on this host, for operators."""
        view = self._lease.view.current
        return {
            'lease': view.name,
            'lease_valid_s': round(
                view.valid_until - self.clock.monotonic(),
                3,
            ),
            'open_jobs': len(self._index.open_jobs()),
            'index_confirmed': self._lease.covers_revision(
                self._index.snapshot.current.revision,
            ),
            'chunks': [held.name for held in self._held_chunks.chunks],
            'items_in_flight': sum(
                held.run.in_flight for held in self._held_chunks.chunks
            ),
            'items_waiting': sum(
                held.run.backlog for held in self._held_chunks.chunks
            ),
        }

    def _build_job_scanner(self) -> JobScanner:
        return JobScanner(
            JobScannerParts(
                settings=self.settings,
                clock=self.clock,
                rng=self.rng,
                store=self.store,
                catalogue=self.catalogue,
                fleet=self.fleet,
                lease=self._lease,
                index=self._index,
                held_chunks=self._held_chunks,
                runner=self.runner,
                forecaster=self._forecaster,
                job_selection=self._job_selection,
                logger=self.logger,
            ),
        )

    def _wait_until_released(self, timeout_s: float) -> bool:
        """Wait until no chunk is held; return False after the timeout."""
        until = self.clock.monotonic() + timeout_s
        while self._held_chunks.chunks and self.clock.monotonic() < until:
            self.clock.sleep(_POLL_INTERVAL_S)
        return not self._held_chunks.chunks
