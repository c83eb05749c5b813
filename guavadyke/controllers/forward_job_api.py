"""API of forwarded batch jobs: submit, read results, cancel."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Mapping

from guavadyke.adapters.peer_reads import PeerReads
from guavadyke.adapters.ports import Clock, PeerMessenger
from guavadyke.controllers.forward_job_registry import JobRegistry
from guavadyke.controllers.forward_job_store import JobStore
from guavadyke.controllers.host_abilities import HostAbilities
from guavadyke.controllers.job_end_notices import JobEndNotices
from guavadyke.controllers.job_submissions import JobSubmissions
from guavadyke.controllers.result_pages import ResultPageParts, ResultPages
from guavadyke.decisions.forward_job_ownership import check_quota, choose_owner
from guavadyke.decisions.forward_job_records import (
    AcceptedJob,
    ForwardItem,
    ForwardItemResult,
    JobProgress,
    JobView,
    listings,
    results_after,
)
from guavadyke.decisions.forward_routes import ForwardRoute
from guavadyke.errors import ErrorCode, GuavadykeError
from guavadyke.log import EventLogger
from guavadyke.metrics import HostMetrics
from guavadyke.snapshots import FleetSnapshot, SnapshotCell

_ALIVE = 'alive'
# The users' protocol allows answers of up to 1 MB.
_MAX_ANSWER_BYTES = 786_432
# Assumed throughput of one host, from which the Retry-After of a refused
# submission is estimated: eight slots at 30 ms an event.
_HOST_TOKENS_PER_S = 4000.0
_MIN_RETRY_AFTER_S = 0.5
_MAX_RETRY_AFTER_S = 5.0


@dataclasses.dataclass(frozen=True)
class ResultsAnswer:
    """One page of a job's results.

    ``total`` is the number of items of the job, with or without a result.
    """

    total: int
    listings: tuple[ForwardItemResult, ...]


@dataclasses.dataclass(frozen=True)
class JobApiParts:
    """Dependencies of ``JobApi``.

    ``reads`` reads results from the owners of jobs; ``sure`` returns whether
    this host would know by now that it does not own a job any more.
    """

    host_id: str
    registry: JobRegistry
    store: JobStore
    fleet: SnapshotCell[FleetSnapshot]
    abilities: HostAbilities
    messenger: PeerMessenger
    clock: Clock
    logger: EventLogger
    metrics: HostMetrics
    reads: PeerReads
    sure: Callable[[], bool]


class JobApi:
    """Serves the callers of forwarded jobs. Thread-safe.

    ``pages`` are the results that this host reads for callers and for other
    hosts.

    Args:
        parts: its dependencies.
    """

    def __init__(self, parts: JobApiParts) -> None:
        self._parts = parts
        self._submissions = JobSubmissions()
        self.pages = ResultPages(
            ResultPageParts(
                parts.host_id,
                parts.registry,
                parts.store,
                parts.fleet,
                parts.reads,
                parts.sure,
                parts.clock,
                parts.metrics,
                parts.logger,
            ),
        )
        self._ends = JobEndNotices(
            parts.host_id, parts.registry, parts.messenger, parts.logger
        )

    def start(self) -> None:
        """Start to hear from other hosts of ended jobs."""
        self._ends.start()

    def submit(
        self,
        job_id: str,
        route: ForwardRoute,
        host: str,
        items: tuple[ForwardItem, ...],
        team: str | None = None,
    ) -> None:
        """Accept a job and store it on the platform.

        Idempotent: submitting a job id that was already accepted succeeds
        and changes nothing.

        Args:
            job_id: the job's id.
            route: the route that it was submitted to.
            host: host name of the caller's request.
            items: the items of the job.
            team: name of the team that submits it, empty for none; None
                where the configuration has no teams.

        Raises:
            GuavadykeError: ``limit_exceeded`` (the route's token quota) or
                ``platform_unavailable`` if the job was not accepted;
                ``key_conflict`` if another team has a job with this id;
                ``outcome_unknown`` if it may have been accepted.
        """
        registry = self._parts.registry
        known = registry.view(job_id)
        if known is not None:
            _check_same_team(known.job, team)
            return
        views = registry.views()
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
            owner=choose_owner(
                job_id,
                self._parts.host_id,
                others,
                views.values(),
                self._parts.abilities.unable(),
            ),
            items=items,
            team=team or '',
        )

        def check(submitted: Mapping[str, JobView]) -> None:
            verdict = check_quota(
                route.name,
                job.tokens,
                route.waiting_tokens,
                {**submitted, **registry.views()},
                team,
            )
            if not verdict.fits:
                raise _OverQuotaError(job, verdict.excess)

        try:
            with self._submissions.admitted(job, check):
                self._create(job, team)
        except _OverQuotaError as refusal:
            self._refuse_if_new(refusal, team)

    def results(
        self, job_id: str, after: int, team: str | None = None
    ) -> ResultsAnswer:
        """Return a page of results, starting at position ``after``.

        Positions count from 0, in the order in which the results were
        stored. Results that this host has already read are returned when
        the platform cannot be reached.

        Args:
            job_id: the job's id.
            after: the position.
            team: the team whose jobs are visible, None for those of all.

        Raises:
            GuavadykeError: ``not_found``; ``platform_unavailable`` if the
                platform cannot be read and this host does not know the job
                or has no result past the position.
        """
        job = self._find_job(job_id, team)
        total = len(job.items)
        known = tuple(listings(self._parts.store.cached_pages(job_id)))
        if len(known) < total:
            known = self._read_results(job_id, known, after)
        return ResultsAnswer(
            total, results_after(known, after, _MAX_ANSWER_BYTES)
        )

    def body(self, job_id: str, item_id: str, team: str | None = None) -> bytes:
        """Return the request body of an item.

        Args:
            job_id: the job's id.
            item_id: the item's id.
            team: the team whose jobs are visible, None for those of all.

        Raises:
            GuavadykeError: ``not_found``; ``platform_unavailable`` if the
                platform cannot be read and this host does not know the job.
        """
        item = self._find_job(job_id, team).item(item_id)
        if item is None:
            raise GuavadykeError(
                ErrorCode.not_found,
                f'job {job_id} has no item {item_id}',
            )
        return item.body

    def cancel(self, job_id: str, team: str | None = None) -> None:
        """Cancel a job: none of its items is started any more.

        Its owner is told at once, beside the platform.

        Args:
            job_id: the job's id.
            team: the team whose jobs are visible, None for those of all.

        Raises:
            GuavadykeError: ``not_found``, or the error of the platform
                store.
        """
        self._find_job(job_id, team)
        view = self._parts.registry.view(job_id)
        if view is not None and view.progress.cancelled:
            self._ends.tell(job_id)
            return
        progress = self._parts.store.merge_progress(
            job_id, JobProgress(cancelled=True)
        )
        self._parts.registry.progress_written(job_id, progress)
        self._ends.tell(job_id)
        self._parts.logger.info('job_cancelled', job_id=job_id)

    def route_without_team(self, job_id: str) -> str | None:
        """Return the route of a job that has no team.

        Args:
            job_id: the job's id.

        Returns:
            The route's name, None if the job has a team or does not exist.

        Raises:
            GuavadykeError: ``platform_unavailable`` if the platform cannot be
                read and this host does not know the job.
        """
        view = self._parts.registry.view(job_id)
        job = self._read_job(job_id) if view is None else view.job
        return None if job is None or job.team else job.route

    def _create(self, job: AcceptedJob, team: str | None) -> None:
        created = self._parts.store.create(job)
        self._parts.logger.info(
            'job_accepted',
            job_id=job.job_id,
            route=job.route,
            items=len(job.items),
            tokens=job.tokens,
            owner=job.owner,
            created=created,
        )
        if created:
            self._parts.registry.accepted(job)
        elif team is not None:
            _check_same_team(self._find_job(job.job_id), team)

    def _find_job(self, job_id: str, team: str | None = None) -> AcceptedJob:
        view = self._parts.registry.view(job_id)
        job = self._read_job(job_id) if view is None else view.job
        if job is None or not job.visible_to(team):
            raise GuavadykeError(
                ErrorCode.not_found,
                f'could not find job {job_id}',
            )
        return job

    def _read_job(self, job_id: str) -> AcceptedJob | None:
        job = self._parts.store.read(job_id)
        if job is not None:
            self._parts.registry.accepted(job)
        return job

    def _read_results(
        self,
        job_id: str,
        known: tuple[ForwardItemResult, ...],
        after: int,
    ) -> tuple[ForwardItemResult, ...]:
        """Read all results, or return the known ones if that fails.

        Raises:
            GuavadykeError: the read failed and no result is known past the
                position.
        """
        try:
            return tuple(
                listings(self._parts.store.pages(job_id, self.pages.read))
            )
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

    def _refuse_if_new(
        self, refusal: _OverQuotaError, team: str | None
    ) -> None:
        """Refuse a job, unless it was accepted and this host has yet to hear.

        Raises:
            GuavadykeError: the job is refused, another team has it, or the
                platform cannot be read.
        """
        job = refusal.job
        accepted = self._read_job(job.job_id)
        if accepted is not None:
            _check_same_team(accepted, team)
            return
        self._parts.logger.info(
            'job_refused',
            job_id=job.job_id,
            route=job.route,
            tokens=job.tokens,
            excess=refusal.excess,
        )
        raise refusal


class _OverQuotaError(GuavadykeError):
    """A job has more tokens than may still wait on its route."""

    def __init__(self, job: AcceptedJob, excess: int) -> None:
        super().__init__(
            ErrorCode.limit_exceeded,
            f'{excess} tokens over the quota would have to wait on {job.route}',
            retry_after_s=max(
                _MIN_RETRY_AFTER_S,
                min(_MAX_RETRY_AFTER_S, excess / _HOST_TOKENS_PER_S),
            ),
        )
        self.job = job
        self.excess = excess


def _check_same_team(job: AcceptedJob, team: str | None) -> None:
    """Check that a job that exists was submitted by the same team.

    Raises:
        GuavadykeError: ``key_conflict``, it belongs to another team.
    """
    if not job.visible_to(team):
        raise GuavadykeError(
            ErrorCode.key_conflict,
            f'the id {job.job_id} names a job of another team',
        )
