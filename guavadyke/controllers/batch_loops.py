"""Periodic loops of batch work: lease, job index, scans and cleaning."""

from __future__ import annotations

import dataclasses
import random
import threading
from collections.abc import Callable

import pykka

from guavadyke.controllers.actors import GuardedActor
from guavadyke.controllers.batch_cleaning import Cleaner
from guavadyke.controllers.batch_held_chunks import HeldChunkRegistry
from guavadyke.controllers.batch_job_scan import JobScanner
from guavadyke.controllers.batch_job_selection import JobSelection
from guavadyke.controllers.batch_jobs import JobIndex
from guavadyke.controllers.batch_lease import LeaseManager
from guavadyke.errors import GuavadykeError
from guavadyke.log import EventLogger
from guavadyke.part_health import PartHealth
from guavadyke.settings import EntrySettings

_SCAN_INTERVAL_S = 0.2
_CLEANING_INTERVAL_S = 5.0
_INITIAL_RETRY_DELAY_S = 0.5
_MAX_RETRY_DELAY_S = 8.0
_MAX_DOUBLINGS = 8


@dataclasses.dataclass(frozen=True)
class Tick:
    """Message that triggers the next run of a loop."""


@dataclasses.dataclass(frozen=True)
class LoopSettings:
    """Settings of one loop.

    ``run_once`` does the work and returns the seconds until the next run.
    After failures the delay grows up to ``max_retry_delay_s``. ``name`` is
    for logs.
    """

    name: str
    run_once: Callable[[], float]
    rng: random.Random
    logger: EventLogger
    max_retry_delay_s: float = _MAX_RETRY_DELAY_S


class LoopActor(GuardedActor):
    """Runs a loop until it is stopped, with backoff after failures.

    Args:
        loop: the loop's settings.
        closed: event that ends the loop.
    """

    def __init__(self, loop: LoopSettings, closed: threading.Event) -> None:
        super().__init__(PartHealth(f'batch-{loop.name}', loop.logger))
        self._loop = loop
        self._closed = closed
        self._failures = 0

    def on_start(self) -> None:
        """Trigger the first run."""
        self.actor_ref.tell(Tick())

    def handle(self, message: object) -> None:
        """Run once, wait, and trigger the next run."""
        if self._closed.is_set() or not isinstance(message, Tick):
            return
        self._closed.wait(self._run_once())
        if not self._closed.is_set():
            self.actor_ref.tell(Tick())

    def _run_once(self) -> float:
        try:
            delay_s = float(self._loop.run_once())
        except Exception as error:
            return self._retry_delay_s(error)
        self._failures = 0
        return delay_s

    def _retry_delay_s(self, error: Exception) -> float:
        self._failures += 1
        expected = isinstance(error, GuavadykeError)
        log = self._loop.logger.warning if expected else self._loop.logger.error
        log(
            'batch_loop_failed',
            loop=self._loop.name,
            failures=self._failures,
            reason=str(error) if expected else repr(error),
        )
        longest_s = min(
            self._loop.max_retry_delay_s,
            _INITIAL_RETRY_DELAY_S * 2 ** min(self._failures, _MAX_DOUBLINGS),
        )
        return self._loop.rng.uniform(longest_s / 2, longest_s)


@dataclasses.dataclass(frozen=True)
class LoopParts:
    """Dependencies of the loops."""

    settings: EntrySettings
    lease: LeaseManager
    index: JobIndex
    held_chunks: HeldChunkRegistry
    job_scanner: JobScanner
    job_selection: JobSelection
    cleaner: Cleaner


class BatchLoops:
    """Starts and stops the actors that run the loops of batch work.

    Args:
        parts: their dependencies.
        rng: adds jitter to the intervals.
        logger: logs failures.
    """

    def __init__(
        self,
        parts: LoopParts,
        rng: random.Random,
        logger: EventLogger,
    ) -> None:
        self._parts = parts
        self._rng = rng
        self._logger = logger
        self._closed = threading.Event()
        self._actors: list[pykka.ActorRef[LoopActor]] = []

    def start(self) -> None:
        """Start the actors."""
        batch = self._parts.settings.batch
        short_retry_delay_s = min(_MAX_RETRY_DELAY_S, batch.lease_renewal_s / 2)
        loops = (
            self._loop('lease', self._renew, short_retry_delay_s),
            self._loop('index', self._poll_jobs, short_retry_delay_s),
            self._loop('claims', self._scan),
            self._loop('cleaning', self._clean),
        )
        self._actors = [LoopActor.start(loop, self._closed) for loop in loops]

    def close(self) -> None:
        """Stop the actors without waiting for them.

        A watch in progress ends after its own timeout.
        """
        self._closed.set()
        for actor in self._actors:
            actor.stop(block=False)

    def _loop(
        self,
        name: str,
        run_once: Callable[[], float],
        max_retry_delay_s: float = _MAX_RETRY_DELAY_S,
    ) -> LoopSettings:
        return LoopSettings(
            name,
            run_once,
            self._rng,
            self._logger,
            max_retry_delay_s,
        )

    def _renew(self) -> float:
        interval_s = self._parts.settings.batch.lease_renewal_s
        if self._parts.held_chunks.chunks:
            self._parts.lease.renew()
        else:
            self._parts.lease.release(only_if_expired=True)
        return interval_s * self._rng.uniform(0.9, 1)

    def _poll_jobs(self) -> float:
        settings = self._parts.settings
        wait_s = settings.platform.watch_wait_s
        if self._parts.index.open_jobs():
            wait_s = min(wait_s, settings.batch.lease_renewal_s)
        self._parts.index.poll(wait_s)
        return self._parts.job_selection.poll_spacing_s()

    def _scan(self) -> float:
        self._parts.job_scanner.scan()
        return _SCAN_INTERVAL_S * self._rng.uniform(0.75, 1.25)

    def _clean(self) -> float:
        self._parts.cleaner.run_once()
        return _CLEANING_INTERVAL_S * self._rng.uniform(0.75, 1.25)
