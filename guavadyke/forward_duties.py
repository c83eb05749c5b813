"""Duties of a forwarding host that others take over when it ends."""

from __future__ import annotations

import dataclasses
import random
import threading
from collections.abc import Callable

from guavadyke.controllers.actors import ask_function, is_sound, tell_function
from guavadyke.controllers.forward_job_runner import (
    RUNNER_PART,
    HandOver,
    JobRunner,
    RunnerParts,
    UnfinishedWork,
)
from guavadyke.controllers.runner_ticker import RunnerTicker
from guavadyke.guarded_threads import GuardedThread
from guavadyke.log import EventLogger
from guavadyke.part_health import PartHealth
from guavadyke.snapshots import FleetSnapshot, SnapshotCell

# The writes of new owners may take as long.
_REASSIGNMENT_S = 1.0
_HAND_OVER_CHECK_S = 0.05
# Hosts that fail by one cause at once end one after the other.
_SHORTEST_CHECK_S = 1.0
_LONGEST_CHECK_S = 5.0
_TICKER_PART = 'job-ticker'
_LEFT = 'left'


class JobDuty:
    """Runs the jobs of a host: the runner and what ticks it.

    Args:
        parts: dependencies of the runner.
    """

    def __init__(self, parts: RunnerParts) -> None:
        self._clock = parts.clock
        self._health = PartHealth(RUNNER_PART, parts.logger)
        self._runner = JobRunner.start(
            dataclasses.replace(parts, health=self._health)
        )
        self._ask = ask_function(self._runner)
        self._ticker = RunnerTicker(tell_function(self._runner), parts.busy)

    def failed_parts(self) -> tuple[str, ...]:
        """Return the names of the parts that have failed for good."""
        sound = {
            RUNNER_PART: is_sound(self._runner, self._health),
            _TICKER_PART: self._ticker.sound,
        }
        return tuple(part for part in sound if not sound[part])

    def start(self) -> None:
        """Start to work on the jobs of this host."""
        self._ticker.start()

    def wake(self) -> None:
        """Look at the jobs at once, after they or the servers have changed."""
        self._ticker.wake()

    def hand_over(self, longest_s: float, stay_s: float = 0) -> None:
        """Hand the jobs over to other hosts at once.

        Args:
            longest_s: seconds after which a job is handed over though a
                cancelled run of it has not ended.
            stay_s: seconds in which jobs that arrive are handed over too;
                unless this host has no job now.
        """
        began_at = self._clock.monotonic()
        left = self._hand_over(leave=False)
        if left == UnfinishedWork():
            return
        while left.runs and self._clock.monotonic() - began_at < longest_s:
            self._clock.sleep(_HAND_OVER_CHECK_S)
            left = self._hand_over(leave=False)
        until = self._clock.monotonic() + _REASSIGNMENT_S
        left = self._hand_over(leave=True)
        while left.jobs and self._clock.monotonic() < until:
            self._clock.sleep(_HAND_OVER_CHECK_S)
            left = self._hand_over(leave=True)
        while self._clock.monotonic() - began_at < stay_s:
            self._clock.sleep(_HAND_OVER_CHECK_S)
            self._hand_over(leave=True)

    def close(self) -> None:
        """Stop working on the jobs."""
        self._ticker.close()
        self._runner.stop()

    def _hand_over(self, *, leave: bool) -> UnfinishedWork:
        """Hand over what can be now; return what this host still has."""
        left = self._ask(HandOver(leave=leave))
        return left if isinstance(left, UnfinishedWork) else UnfinishedWork()


class DutyWatch:
    """Ends a host that does not do its duties, so that others take them over.

    It ends only while more other hosts are alive than have left the fleet
    lately, so that a fault that meets all hosts does not end them all.

    Args:
        failed_parts: returns the names of parts that have failed for good.
        fleet: the other hosts.
        logger: logs the parts, and whether the host ends.
    """

    def __init__(
        self,
        failed_parts: Callable[[], tuple[str, ...]],
        fleet: SnapshotCell[FleetSnapshot],
        logger: EventLogger,
    ) -> None:
        self.ending = False
        self._failed_parts = failed_parts
        self._fleet = fleet
        self._logger = logger
        self._logged: tuple[tuple[str, ...], bool] = ((), False)
        self._end: Callable[[], object] | None = None
        self._stopped = threading.Event()
        self._thread = GuardedThread(
            self._run, 'duty-watch', self._stopped, logger
        )

    def on_unsound(self, end: Callable[[], object]) -> None:
        """Set what ends the host; without it the host goes on."""
        self._end = end

    def start(self) -> None:
        """Start to check the duties in the background."""
        self._thread.start()

    def close(self) -> None:
        """Stop checking, without waiting for the thread."""
        self._stopped.set()

    def check(self) -> None:
        """End the host if a part has failed and others can take over."""
        failed = self._failed_parts()
        if self.ending:
            return
        ends = bool(failed) and self._end is not None and self._may_end()
        if failed and self._logged != (failed, ends):
            self._logger.error(
                'host_unsound', parts=','.join(failed), ends=ends
            )
        self._logged = (failed, ends)
        self.ending = ends
        if ends and self._end is not None:
            self._end()

    def _run(self) -> None:
        rng = random.Random()
        while not self._stopped.wait(
            rng.uniform(_SHORTEST_CHECK_S, _LONGEST_CHECK_S)
        ):
            self.check()

    def _may_end(self) -> bool:
        fleet = self._fleet.current
        left = sum(peer.state == _LEFT for peer in fleet.peers)
        return len(fleet.alive) > left
