"""What callers ask of forwarded jobs: submit, read, cancel."""

from __future__ import annotations

import dataclasses

from guavadyke.adapters.ports import Clock
from guavadyke.controllers.forward_job_registry import JobRegistry
from guavadyke.controllers.forward_job_store import JobStore
from guavadyke.decisions.forward_job_ownership import check_quota, first_owner
from guavadyke.decisions.forward_job_records import (
    AcceptedJob,
    ForwardItem,
    ForwardItemResult,
    JobProgress,
    listings,
    results_after,
)
from guavadyke.decisions.forward_routes import ForwardRoute
from guavadyke.errors import ErrorCode, GuavadykeError
from guavadyke.log import EventLogger
from guavadyke.snapshots import FleetSnapshot, SnapshotCell

_ALIVE = 'alive'
# Bytes of results in one answer; the users' protocol allows 1 MB.
_ANSWER_BYTES = 786_432
# Tokens that one host may be expected to work off in a second, for telling
# a refused caller when to come back: eight slots at 30 ms an event.
_TOKENS_PER_S = 4000.0
_LEAST_RETRY_AFTER_S = 0.5
_LONGEST_RETRY_AFTER_S = 5.0


@dataclasses.dataclass(frozen=True)
class ResultsAnswer:
    """Results of a job from a position on; ``total`` counts its items."""

    total: int
    listings: tuple[ForwardItemResult, ...]


@dataclasses.dataclass(frozen=True)
class JobApiParts:
    """What the desk works with."""

    host_id: str
    board: JobRegistry
    store: JobStore
    fleet: SnapshotCell[FleetSnapshot]
    clock: Clock
    logger: EventLogger


class JobApi:
    """Answers callers of forwarded jobs; safe for threads.

    Args:
        parts: what it works with.
    """

    def __init__(self, parts: JobApiParts) -> None:
        self._parts = parts

    def submit(
        self,
        job_id: str,
        route: ForwardRoute,
        host: str,
        items: tuple[ForwardItem, ...],
    ) -> None:
        """Accept a job; a job that was accepted before is accepted again.

        Raises:
            GuavadykeError: ``limit_exceeded`` or ``platform_unavailable``
                where it was not accepted, ``outcome_unknown`` where it may
                have been.
        """
        board = self._parts.board
        if board.view(job_id) is not None:
            return
        views = board.views()
        others = (
            peer.host_id
            for peer in self._parts.fleet.current.peers
            if peer.state == _ALIVE
        )
        job = AcceptedJob(
            job_id=job_id,
            route=route.name,
            host=host,
            accepted_at=self._parts.clock.wall(),
            owner=first_owner(
                job_id,
                self._parts.host_id,
                others,
                views.values(),
            ),
            items=items,
        )
        verdict = check_quota(
            route.name,
            job.tokens,
            route.waiting_tokens,
            views,
        )
        if not verdict.fits:
            self._refuse(job, verdict.excess)
        created = self._parts.store.create(job)
        self._parts.logger.info(
            'job_accepted',
            job_id=job_id,
            route=route.name,
            items=len(items),
            tokens=job.tokens,
            owner=job.owner,
            created=created,
        )
        if created:
            board.accepted(job)

    def results(self, job_id: str, after: int) -> ResultsAnswer:
        """Return the results from a position, counted from 0.

        Raises:
            GuavadykeError: ``not_found``, or ``platform_unavailable`` where
                this host cannot be sure.
        """
        job = self._job(job_id)
        total = len(job.items)
        known = tuple(listings(self._parts.store.known_pages(job_id)))
        if len(known) < total:
            known = self._newest(job_id, known, after)
        return ResultsAnswer(total, results_after(known, after, _ANSWER_BYTES))

    def body(self, job_id: str, item_id: str) -> bytes:
        """Return the body of an item.

        Raises:
            GuavadykeError: ``not_found``, or ``platform_unavailable`` where
                this host cannot be sure.
        """
        item = self._job(job_id).item(item_id)
        if item is None:
            raise GuavadykeError(
                ErrorCode.not_found,
                f'job {job_id} has no item {item_id}',
            )
        return item.body

    def cancel(self, job_id: str) -> None:
        """End a job; nothing more of it starts.

        Raises:
            GuavadykeError: ``not_found``, or the platform's failure.
        """
        self._job(job_id)
        view = self._parts.board.view(job_id)
        if view is not None and view.progress.cancelled:
            return
        progress = self._parts.store.note(job_id, JobProgress(cancelled=True))
        self._parts.board.noted(job_id, progress)
        self._parts.logger.info('job_cancelled', job_id=job_id)

    def _job(self, job_id: str) -> AcceptedJob:
        view = self._parts.board.view(job_id)
        if view is not None:
            return view.job
        job = self._parts.store.read(job_id)
        if job is None:
            raise GuavadykeError(
                ErrorCode.not_found,
                f'there is no job {job_id}',
            )
        self._parts.board.accepted(job)
        return job

    def _newest(
        self,
        job_id: str,
        known: tuple[ForwardItemResult, ...],
        after: int,
    ) -> tuple[ForwardItemResult, ...]:
        try:
            return tuple(listings(self._parts.store.pages(job_id)))
        except GuavadykeError as error:
            if len(known) <= after:
                raise
            self._parts.logger.warning(
                'results_from_memory',
                job_id=job_id,
                known=len(known),
                reason=error.message,
            )
            return known

    def _refuse(self, job: AcceptedJob, excess: int) -> None:
        retry_after_s = max(
            _LEAST_RETRY_AFTER_S,
            min(_LONGEST_RETRY_AFTER_S, excess / _TOKENS_PER_S),
        )
        self._parts.logger.info(
            'job_refused',
            job_id=job.job_id,
            route=job.route,
            tokens=job.tokens,
            excess=excess,
        )
        raise GuavadykeError(
            ErrorCode.limit_exceeded,
            f'{excess} tokens too many wait on {job.route}',
            retry_after_s=retry_after_s,
        )
