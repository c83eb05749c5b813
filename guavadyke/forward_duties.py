"""Duties of a forwarding host that others take over when it ends."""

from __future__ import annotations

import dataclasses

from guavadyke.controllers.actors import ask_function, tell_function
from guavadyke.controllers.forward_job_runner import (
    RUNNER_PART,
    HandOver,
    JobRunner,
    RunnerParts,
)
from guavadyke.controllers.runner_ticker import RunnerTicker
from guavadyke.part_health import PartHealth

# The writes of new owners may take as long.
_REASSIGNMENT_S = 1.0


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

    def start(self) -> None:
        """Start to work on the jobs of this host."""
        self._ticker.start()

    def wake(self) -> None:
        """Look at the jobs at once, after they or the servers have changed."""
        self._ticker.wake()

    def hand_over(self, longest_s: float) -> None:
        """Hand the jobs over to other hosts.

        Args:
            longest_s: seconds for which items in flight may go on.
        """
        until = self._clock.monotonic() + longest_s
        while self._ask(HandOver(leave=False)):
            if self._clock.monotonic() >= until:
                break
            self._clock.sleep(_REASSIGNMENT_S / 10)
        if self._ask(HandOver(leave=True)):
            self._clock.sleep(_REASSIGNMENT_S)

    def close(self) -> None:
        """Stop working on the jobs."""
        self._ticker.close()
        self._runner.stop()
