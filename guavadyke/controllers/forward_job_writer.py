"""Background writes of forwarded jobs and their results to the platform."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import TypeAlias

from guavadyke.adapters.ports import Clock
from guavadyke.controllers.forward_job_registry import JobRegistry
from guavadyke.controllers.forward_job_removal import JobRemover
from guavadyke.controllers.forward_job_store import JobStore
from guavadyke.decisions.forward_job_items import JobItemTracker
from guavadyke.decisions.forward_job_records import (
    ForwardItemResult,
    JobProgress,
    ResultPage,
)
from guavadyke.decisions.growing_delays import GrowingDelays
from guavadyke.decisions.page_certainty import RecentClaims
from guavadyke.decisions.partial_texts import JobTexts
from guavadyke.decisions.watch_sharing import watch_times
from guavadyke.errors import GuavadykeError, ObjectConflictError
from guavadyke.log import EventLogger
from guavadyke.settings import ForwardHostSettings

# A write takes one or two round trips to the platform.
_WRITER_THREADS = 4
# Delay after a failed write before the next one of the same job.
_RETRY_DELAY_S = 0.1
# After unexpected errors, which may come at each try.
_LONGEST_RETRY_DELAY_S = 5.0

Pages: TypeAlias = 'tuple[ResultPage, ...] | None'


class JobWriter:
    """Runs the storage steps of jobs in a thread pool, one per job at a time.

    A step reads or writes one job on the platform. Its methods have to be
    called from one thread, that of the job runner. The names of the step
    methods are logged as the field ``step`` of ``job_write_failed``.

    Args:
        settings: the id of this host and its bounds for what it mirrors.
        store: the jobs on the platform.
        registry: updated after each write.
        clock: delays the next step after a failure.
        logger: logs each failed step.
        report: called from the pool at the end of each step with the job id
            and the pages of results, None if the step failed or does not
            handle results.
        send_texts: sends texts of items to the next owner of their job;
            called from the pool.

    Attributes:
        claims: jobs whose earlier owners may not know of this host yet.
    """

    def __init__(
        self,
        settings: ForwardHostSettings,
        store: JobStore,
        registry: JobRegistry,
        clock: Clock,
        logger: EventLogger,
        report: Callable[[str, Pages], object],
        send_texts: Callable[[str, JobTexts], object],
    ) -> None:
        self._me = settings.host_id
        self.claims = RecentClaims(_claim_known_s(settings))
        self._store = store
        self._registry = registry
        self._clock = clock
        self._logger = logger
        self._report = report
        self._send_texts = send_texts
        self._remover = JobRemover(store, registry, logger)
        self._busy: set[str] = set()
        self._delays = GrowingDelays(_RETRY_DELAY_S, _LONGEST_RETRY_DELAY_S)
        self._finish_written: set[str] = set()
        self._writers = ThreadPoolExecutor(
            _WRITER_THREADS,
            thread_name_prefix='results',
        )

    def close(self) -> None:
        """Start no more steps; those that run are not waited for."""
        self._writers.shutdown(wait=False, cancel_futures=True)

    def is_finish_written(self, job_id: str) -> bool:
        """Return whether this host has written that a job is finished."""
        return job_id in self._finish_written

    def ended(self, job_id: str) -> None:
        """Allow the next step of a job, after ``report`` was called."""
        self._busy.discard(job_id)

    def advance(self, work: JobItemTracker) -> None:
        """Start the next step of a job, if one is due and none runs."""
        job_id = work.job.job_id
        now = self._clock.monotonic()
        if not work.loaded:
            self._start(job_id, self._load)
        elif work.unstored_results and self.claims.may_append(job_id, now):
            self._start(job_id, self._append, work.unstored_results)
        elif work.finished and job_id not in self._finish_written:
            self._start(job_id, self._finish, work.job.tokens)

    def claim(self, job_id: str, owner_before: str) -> None:
        """Write that this host takes a job over, unless another one has."""
        self._start(job_id, self._claim, owner_before)

    def remove(self, job_id: str) -> None:
        """Delete a job that has ended from the platform.

        Its progress and results are left to ``remove_leftovers``.
        """
        self._finish_written.discard(job_id)
        self._start(job_id, self._remover.remove)

    def remove_leftovers(self, job_id: str) -> None:
        """Delete what is left of a job, unless the platform holds the job."""
        self._start(job_id, self._remover.remove_leftovers)

    def reassign(
        self,
        owner: str,
        unlisted: tuple[ForwardItemResult, ...],
        texts: JobTexts,
    ) -> None:
        """Assign a job to another host, even while another step runs.

        Args:
            owner: the other host.
            unlisted: results that are not stored yet.
            texts: what is known of the texts of its other items.
        """
        self._writers.submit(
            self._run_step,
            texts.job_id,
            self._pass_on,
            owner,
            unlisted,
            texts,
        )

    def _start(
        self,
        job_id: str,
        step: Callable[..., Pages],
        *args: object,
    ) -> None:
        if job_id in self._busy:
            return
        if self._delays.is_due(job_id, self._clock.monotonic()):
            self._busy.add(job_id)
            self._writers.submit(self._run_step, job_id, step, *args)

    def _run_step(
        self,
        job_id: str,
        step: Callable[..., Pages],
        *args: object,
    ) -> None:
        """Run a step and report its end.

        A failure is logged. The step is due again at a later tick, except
        a reassignment, which is tried once. After unexpected errors the delay
        of the job grows, without a thread that waits for it.
        """
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
            self._clock.sleep(_RETRY_DELAY_S)
        except Exception as error:
            failures = self._delays.failed(job_id, self._clock.monotonic())
            self._logger.error(
                'job_step_crashed',
                job_id=job_id,
                step=step.__name__.removeprefix('_'),
                failures=failures.count,
                reason=repr(error),
            )
        else:
            self._delays.succeeded(job_id)
        self._report(job_id, pages)

    def _load(self, job_id: str) -> Pages:
        """Read the results of a job, unless it has been removed.

        A host that has just started may have read the jobs before this one
        was deleted and their progress after that.
        """
        if self._remover.is_gone(job_id):
            self._registry.removed(job_id)
            self._logger.info('job_removed_before', job_id=job_id)
            return None
        return self._store.load(job_id)

    def _append(
        self,
        job_id: str,
        unlisted: tuple[ForwardItemResult, ...],
    ) -> Pages:
        """Store results, unless another host has taken the job over."""
        try:
            return self._store.append(job_id, unlisted, self._me)
        except ObjectConflictError:
            progress = self._store.progress(job_id)
        self._logger.info(
            'job_lost_unnoticed', job_id=job_id, owner=progress.owner
        )
        self._registry.progress_written(job_id, progress)
        return None

    def _finish(self, job_id: str, tokens: int) -> None:
        progress = self._store.merge_progress(
            job_id,
            JobProgress(finished=True, listed_tokens=tokens),
        )
        self._finish_written.add(job_id)
        self._registry.progress_written(job_id, progress)

    def _claim(self, job_id: str, owner_before: str) -> None:
        known = self._registry.view(job_id)
        if known is None or known.owner != owner_before:
            return
        progress = self._store.claim(job_id, self._me, owner_before)
        taken = progress.owner == self._me
        self._logger.info(
            'job_taken_over' if taken else 'job_claimed_before',
            job_id=job_id,
            owner=progress.owner,
            owner_before=owner_before,
        )
        self._registry.progress_written(job_id, progress)

    def _pass_on(
        self,
        job_id: str,
        owner: str,
        unlisted: tuple[ForwardItemResult, ...],
        texts: JobTexts,
    ) -> None:
        is_claim_known = self.claims.may_append(job_id, self._clock.monotonic())
        if is_claim_known:
            self._store.append(job_id, unlisted, self._me)
        # The next owner starts the items as soon as it hears of the job.
        self._send_texts(owner, texts)
        self._store.terms.end(job_id)
        progress = self._store.pass_on(
            job_id,
            self._me,
            JobProgress(owner=owner, claimed=not is_claim_known),
        )
        self._registry.progress_written(job_id, progress)
        self._logger.info(
            'job_passed_on'
            if progress.owner == owner
            else 'job_lost_unnoticed',
            job_id=job_id,
            owner=progress.owner,
        )


def _claim_known_s(settings: ForwardHostSettings) -> float:
    """Return the seconds after which all hosts act on the claim of a job.

    Until then an earlier owner may answer other hosts from memory.
    """
    platform = settings.platform
    return (
        platform.job_end_s
        + watch_times(platform.job_end_s).wait_s
        + watch_times(platform.freshness_s).source_margin_s
    )
