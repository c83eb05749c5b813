"""Threads that write what becomes of forwarded jobs."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import TypeAlias

from guavadyke.adapters.ports import Clock
from guavadyke.controllers.forward_job_registry import JobRegistry
from guavadyke.controllers.forward_job_store import JobStore
from guavadyke.decisions.forward_job_items import JobItemTracker
from guavadyke.decisions.forward_job_records import (
    ForwardItemResult,
    JobProgress,
    ResultPage,
)
from guavadyke.errors import GuavadykeError
from guavadyke.log import EventLogger

# Threads that write; a write takes one or two exchanges with the platform.
_WRITERS = 4
# Seconds after a failed write before the next one for the same job.
_PAUSE_S = 0.1

Pages: TypeAlias = 'tuple[ResultPage, ...] | None'


class JobWrites:
    """Writes for each job one thing at a time, in threads of its own.

    Its methods are called by one controller; ``report`` is called from the
    threads, with None for the pages where results were not read or written.

    Args:
        store: jobs on the platform.
        board: learns what was written.
        clock: spaces attempts.
        logger: told of each failure, which is tried again.
        report: called at the end of each step with the job and its pages.
    """

    def __init__(
        self,
        store: JobStore,
        board: JobRegistry,
        clock: Clock,
        logger: EventLogger,
        report: Callable[[str, Pages], object],
    ) -> None:
        self._store = store
        self._board = board
        self._clock = clock
        self._logger = logger
        self._report = report
        self._busy: set[str] = set()
        self._noted: set[str] = set()
        self._writers = ThreadPoolExecutor(
            _WRITERS,
            thread_name_prefix='results',
        )

    def close(self) -> None:
        """Begin no more writes."""
        self._writers.shutdown(wait=False, cancel_futures=True)

    def is_noted(self, job_id: str) -> bool:
        """Return whether the end of a job has been written here."""
        return job_id in self._noted

    def ended(self, job_id: str) -> None:
        """Take the end of a step, so that the next one may begin."""
        self._busy.discard(job_id)

    def advance(self, job_id: str, work: JobItemTracker) -> None:
        """Begin the next step of a job, if one is due."""
        if not work.loaded:
            self._begin(job_id, self._load)
        elif work.unlisted:
            self._begin(job_id, self._append, work.unlisted)
        elif work.finished and job_id not in self._noted:
            self._begin(job_id, self._finish, work.job.tokens)

    def claim(self, job_id: str, me: str, owner_before: str) -> None:
        """Take a job over."""
        self._begin(job_id, self._claim, me, owner_before)

    def remove(self, job_id: str) -> None:
        """Remove a job with its results."""
        self._begin(job_id, self._remove)

    def pass_on(
        self,
        job_id: str,
        owner: str,
        unlisted: tuple[ForwardItemResult, ...],
    ) -> None:
        """Give a job to another host, whatever else is being written."""
        self._writers.submit(
            self._guarded,
            job_id,
            self._pass_on,
            owner,
            unlisted,
        )

    def _begin(
        self,
        job_id: str,
        step: Callable[..., Pages],
        *args: object,
    ) -> None:
        if job_id not in self._busy:
            self._busy.add(job_id)
            self._writers.submit(self._guarded, job_id, step, *args)

    def _guarded(
        self,
        job_id: str,
        step: Callable[..., Pages],
        *args: object,
    ) -> None:
        """Make a step; a failure is logged and the step tried again."""
        pages: Pages = None
        try:
            pages = step(job_id, *args)
        except GuavadykeError as error:
            self._logger.warning(
                'job_write_failed',
                job_id=job_id,
                step=step.__name__.removeprefix('_'),
                code=error.code,
                reason=error.message,
            )
            self._clock.sleep(_PAUSE_S)
        self._report(job_id, pages)

    def _load(self, job_id: str) -> Pages:
        return self._store.pages(job_id)

    def _append(
        self,
        job_id: str,
        unlisted: tuple[ForwardItemResult, ...],
    ) -> Pages:
        return self._store.append(job_id, unlisted)

    def _finish(self, job_id: str, tokens: int) -> None:
        progress = self._store.note(
            job_id,
            JobProgress(finished=True, listed_tokens=tokens),
        )
        self._noted.add(job_id)
        self._board.noted(job_id, progress)

    def _claim(self, job_id: str, me: str, owner_before: str) -> None:
        progress = self._store.note(job_id, JobProgress(owner=me))
        self._logger.info(
            'job_taken_over',
            job_id=job_id,
            owner_before=owner_before,
        )
        self._board.noted(job_id, progress)

    def _remove(self, job_id: str) -> None:
        self._store.remove(job_id)
        self._board.forget(job_id)
        self._noted.discard(job_id)
        self._logger.info('job_removed', job_id=job_id)

    def _pass_on(
        self,
        job_id: str,
        owner: str,
        unlisted: tuple[ForwardItemResult, ...],
    ) -> None:
        self._store.append(job_id, unlisted)
        progress = self._store.note(job_id, JobProgress(owner=owner))
        self._board.noted(job_id, progress)
        self._logger.info('job_passed_on', job_id=job_id, owner=owner)
