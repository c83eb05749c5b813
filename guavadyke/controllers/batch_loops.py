"""Actors that drive batch work: lease, index of jobs, claims, cleaning."""

from __future__ import annotations

import dataclasses
import random
import threading
from collections.abc import Callable

import pykka

from guavadyke.controllers.batch_cleaning import Cleaner
from guavadyke.controllers.batch_held_chunks import HeldChunkRegistry
from guavadyke.controllers.batch_job_scan import JobScanner
from guavadyke.controllers.batch_job_selection import JobSelection
from guavadyke.controllers.batch_jobs import JobIndex
from guavadyke.controllers.batch_lease import LeaseManager
from guavadyke.errors import GuavadykeError
from guavadyke.log import EventLogger
from guavadyke.settings import EntrySettings

_LOOK_INTERVAL_S = 0.2
_CLEANING_INTERVAL_S = 5.0
_FIRST_RETRY_S = 0.5
_LONGEST_RETRY_S = 8.0
_MOST_DOUBLINGS = 8


@dataclasses.dataclass(frozen=True)
class Tick:
    """Asks an actor for its next turn."""


@dataclasses.dataclass(frozen=True)
class LoopSettings:
    """A loop: ``turn`` acts and returns the seconds to wait before the next.

    ``name`` is told in logs; after failures the wait grows up to
    ``longest_retry_s``.
    """

    name: str
    turn: Callable[[], float]
    rng: random.Random
    logger: EventLogger
    longest_retry_s: float = _LONGEST_RETRY_S


class LoopActor(pykka.ThreadingActor):
    """Takes turns until it is stopped; waits longer after each failure.

    Args:
        loop: what it does.
        closed: set when it is to end.
    """

    use_daemon_thread = True

    def __init__(self, loop: LoopSettings, closed: threading.Event) -> None:
        super().__init__()
        self._loop = loop
        self._closed = closed
        self._failures = 0

    def on_start(self) -> None:
        """Ask for the first turn."""
        self.actor_ref.tell(Tick())

    def on_receive(self, message: object) -> None:
        """Take a turn and wait for the next."""
        if self._closed.is_set() or not isinstance(message, Tick):
            return
        self._closed.wait(self._turn())
        if not self._closed.is_set():
            self.actor_ref.tell(Tick())

    def _turn(self) -> float:
        try:
            delay_s = self._loop.turn()
        except Exception as error:
            return self._failed(error)
        self._failures = 0
        return delay_s

    def _failed(self, error: Exception) -> float:
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
            self._loop.longest_retry_s,
            _FIRST_RETRY_S * 2 ** min(self._failures, _MOST_DOUBLINGS),
        )
        return self._loop.rng.uniform(longest_s / 2, longest_s)


@dataclasses.dataclass(frozen=True)
class LoopParts:
    """What the loops drive."""

    settings: EntrySettings
    lease: LeaseManager
    index: JobIndex
    held_chunks: HeldChunkRegistry
    claimer: JobScanner
    job_selection: JobSelection
    cleaner: Cleaner


class BatchLoops:
    """The actors of batch work.

    Args:
        parts: what they drive.
        rng: spreads their turns.
        logger: told of failures.
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
        often_s = min(_LONGEST_RETRY_S, batch.lease_renewal_s / 2)
        loops = (
            self._loop('lease', self._renew, often_s),
            self._loop('index', self._follow, often_s),
            self._loop('claims', self._look),
            self._loop('cleaning', self._clean),
        )
        self._actors = [LoopActor.start(loop, self._closed) for loop in loops]

    def close(self) -> None:
        """Let the actors end; a waiting watch ends by itself."""
        self._closed.set()
        for actor in self._actors:
            actor.stop(block=False)

    def _loop(
        self,
        name: str,
        turn: Callable[[], float],
        longest_retry_s: float = _LONGEST_RETRY_S,
    ) -> LoopSettings:
        return LoopSettings(
            name,
            turn,
            self._rng,
            self._logger,
            longest_retry_s,
        )

    def _renew(self) -> float:
        interval_s = self._parts.settings.batch.lease_renewal_s
        if self._parts.held_chunks.chunks:
            self._parts.lease.renew()
        else:
            self._parts.lease.give_up(lapsed=True)
        return interval_s * self._rng.uniform(0.9, 1)

    def _follow(self) -> float:
        settings = self._parts.settings
        wait_s = settings.platform.watch_wait_s
        if self._parts.index.open_jobs():
            wait_s = min(wait_s, settings.batch.lease_renewal_s)
        self._parts.index.follow(wait_s)
        return self._parts.job_selection.follow_spacing_s()

    def _look(self) -> float:
        self._parts.claimer.look()
        return _LOOK_INTERVAL_S * self._rng.uniform(0.75, 1.25)

    def _clean(self) -> float:
        self._parts.cleaner.turn()
        return _CLEANING_INTERVAL_S * self._rng.uniform(0.75, 1.25)
