"""Reports jobs whose items wait although none of them runs."""

from __future__ import annotations

import collections
import itertools
from collections.abc import Mapping

from guavadyke.controllers.item_starts import StartRefusal
from guavadyke.decisions.forward_job_items import ItemRunState, JobItemTracker
from guavadyke.log import EventLogger
from guavadyke.metrics import HostMetrics

# Longer than the maximum retry delay of an item.
_REPORT_AFTER_S = 3.0
_REPORT_INTERVAL_S = 5.0


class WaitingJobs:
    """Logs and counts why jobs start no items. Not safe for threads.

    A job is reported once none of its items has run for some seconds while
    others wait, and from then on at an interval.

    Args:
        logger: logs the reports.
        metrics: counts the waiting items of all reports, by reason.
    """

    def __init__(self, logger: EventLogger, metrics: HostMetrics) -> None:
        self._logger = logger
        self._metrics = metrics
        self._report_at: dict[str, float] = {}

    def report_due(
        self,
        works: Mapping[str, JobItemTracker],
        refusals: Mapping[str, StartRefusal],
        now: float,
    ) -> None:
        """Report the jobs that have waited for long enough.

        Args:
            works: the jobs of this host by job id.
            refusals: why an item that was ready did not start, by job id.
            now: seconds of the monotonic clock.
        """
        waiting = {
            job_id: work for job_id, work in works.items() if _is_waiting(work)
        }
        self._report_at = {
            job_id: self._report_at.get(job_id, now + _REPORT_AFTER_S)
            for job_id in waiting
        }
        for job_id, work in waiting.items():
            if self._report_at[job_id] <= now:
                self._report_at[job_id] = now + _REPORT_INTERVAL_S
                self._report(work, refusals.get(job_id), now)

    def _report(
        self, work: JobItemTracker, refusal: StartRefusal | None, now: float
    ) -> None:
        reasons = collections.Counter(
            _waiting_reason(state, now) if work.loaded else 'not_loaded'
            for state in work.open_items
        )
        self._logger.info(
            'job_waits',
            job_id=work.job.job_id,
            **reasons,
            refusal=refusal.value if refusal else '',
            held_parts=','.join(_held_parts(work)),
        )
        for reason, items in reasons.items():
            self._metrics.increment(f'items_waiting_{reason}', items)


def _is_waiting(work: JobItemTracker) -> bool:
    """Return whether items wait and none of them runs."""
    states = work.open_items
    return bool(states) and not any(state.running for state in states)


def _waiting_reason(state: ItemRunState, now: float) -> str:
    if state.held:
        return 'held'
    return 'delayed' if state.not_before > now else 'ready'


def _held_parts(work: JobItemTracker) -> tuple[str, ...]:
    """Return the deepest prompt parts of held items, each once."""
    parts = itertools.chain.from_iterable(
        work.job.suspect_parts(state.item)[-2:]
        for state in work.open_items
        if state.held
    )
    return tuple(dict.fromkeys(parts))
