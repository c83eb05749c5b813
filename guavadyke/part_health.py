"""What a host knows of its own parts that fail by unexpected errors."""

from __future__ import annotations

import time
from collections.abc import Callable

from guavadyke.decisions.growing_delays import Failures, GrowingDelays
from guavadyke.log import EventLogger

_FIRST_DELAY_S = 0.1
_LONGEST_DELAY_S = 5.0
# A part does not do its duty any more after this many failures in a row over
# this time.
_STUCK_FAILURES = 5
_STUCK_S = 10.0


class PartHealth:
    """Logs and counts the unexpected errors of one part of a host.

    A part is a thread or an actor. Its tasks are counted apart, so that one
    that always fails is not hidden by others. Of many failures in a row the
    1st, 2nd, 4th, 8th and so on is logged. Each task has to be called from
    one thread.

    Args:
        part: name of the part, for logs.
        logger: logs failures.
        now: returns seconds of a monotonic clock.
    """

    def __init__(
        self,
        part: str,
        logger: EventLogger,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self.part = part
        self._logger = logger
        self._now = now
        self._delays = GrowingDelays(_FIRST_DELAY_S, _LONGEST_DELAY_S)

    @property
    def stuck(self) -> bool:
        """Whether a task has failed for long and not succeeded since."""
        now = self._now()
        return any(
            _is_stuck(failures, now)
            for failures in self._delays.in_a_row().values()
        )

    def failed(self, task: str, error: Exception) -> float:
        """Log a failure; return the seconds after which to try again."""
        now = self._now()
        known = self._delays.in_a_row().get(task)
        if known is not None and now - known.last_at > _STUCK_S:
            self.succeeded(task)
        failures = self._delays.failed(task, now)
        if not failures.count & (failures.count - 1):
            self._logger.error(
                'part_failed',
                part=self.part,
                task=task,
                failures=failures.count,
                reason=repr(error),
            )
        return failures.due_at - now

    def succeeded(self, task: str) -> None:
        """Record that a task has not failed."""
        self._delays.succeeded(task)


def _is_stuck(failures: Failures, now: float) -> bool:
    return (
        failures.count >= _STUCK_FAILURES
        and failures.last_at - failures.since >= _STUCK_S
        and now - failures.last_at <= _STUCK_S
    )
