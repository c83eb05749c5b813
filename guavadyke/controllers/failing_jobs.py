"""Sets jobs aside whose work raises unexpected errors."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import TypeVar

from guavadyke.adapters.ports import Clock
from guavadyke.decisions.forward_job_items import JobItemTracker
from guavadyke.decisions.growing_delays import GrowingDelays
from guavadyke.log import EventLogger

_FIRST_DELAY_S = 0.5
_LONGEST_DELAY_S = 5.0
# Failures are forgotten once there has been none for this time.
_QUIET_S = 3 * _LONGEST_DELAY_S
# With fewer jobs, all may fail by a fault of their own.
_MIN_JOBS = 3
# A job that is due again is tried at the next tick.
_TICK_MARGIN_S = 0.2

_PartT = TypeVar('_PartT')


class FailingJobs:
    """Keeps a job that always fails from holding up the others.

    A job whose work raises is set aside for a time that doubles with each
    failure, until it has not failed for a while. Not safe for threads.

    Args:
        clock: times the delays.
        logger: logs each failure.
    """

    def __init__(self, clock: Clock, logger: EventLogger) -> None:
        self._clock = clock
        self._logger = logger
        self._delays = GrowingDelays(_FIRST_DELAY_S, _LONGEST_DELAY_S)

    def sound(
        self, works: Mapping[str, JobItemTracker]
    ) -> dict[str, JobItemTracker]:
        """Return the jobs that are not set aside now."""
        now = self._clock.monotonic()
        for failed_id, failures in self._delays.in_a_row().items():
            if now - failures.last_at > _QUIET_S:
                self._delays.succeeded(failed_id)
        return {
            job_id: work
            for job_id, work in works.items()
            if self._delays.is_due(job_id, now)
        }

    def each(
        self,
        parts: Iterable[tuple[str, _PartT]],
        work_on: Callable[[_PartT], object],
    ) -> bool:
        """Do a piece of work for parts of jobs, each with its job id.

        Returns:
            Whether no part failed.
        """
        failed = [part for part in parts if not self._succeeds(*part, work_on)]
        return not failed

    def together(
        self,
        works: Mapping[str, JobItemTracker],
        work_on: Callable[[Mapping[str, JobItemTracker]], object],
    ) -> None:
        """Do a piece of work for jobs at once, for each alone if it fails."""
        try:
            work_on(works)
        except Exception as error:
            self._logger.error('jobs_failed_together', reason=repr(error))
            self.each(
                ((job_id, {job_id: work}) for job_id, work in works.items()),
                work_on,
            )

    def raise_if_all_fail(self, works: Mapping[str, JobItemTracker]) -> None:
        """Tell a fault of the host from faults of single jobs.

        Raises:
            RuntimeError: all jobs fail, and there are at least three.
        """
        until = self._clock.monotonic() - _TICK_MARGIN_S
        failing = {
            job_id
            for job_id, failures in self._delays.in_a_row().items()
            if failures.due_at >= until
        }
        if len(works) >= _MIN_JOBS and failing.issuperset(works):
            raise RuntimeError(f'all {len(works)} jobs of this host fail')

    def _succeeds(
        self,
        job_id: str,
        part: _PartT,
        work_on: Callable[[_PartT], object],
    ) -> bool:
        try:
            work_on(part)
        except Exception as error:
            failures = self._delays.failed(job_id, self._clock.monotonic())
            self._logger.error(
                'job_failed',
                job_id=job_id,
                failures=failures.count,
                reason=repr(error),
            )
            return False
        return True
