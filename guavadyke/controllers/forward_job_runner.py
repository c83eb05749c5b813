"""Actor that runs the items of the forwarded jobs of this host."""

from __future__ import annotations

import dataclasses
import functools
from collections.abc import Callable, Collection, Iterable, Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from guavadyke.adapters.ports import BackendFault, BackendServers, Clock
from guavadyke.controllers.actors import GuardedActor, tell_function
from guavadyke.controllers.failing_jobs import FailingJobs
from guavadyke.controllers.forward_job_maintenance import (
    JobLeftovers,
    JobMaintenance,
)
from guavadyke.controllers.forward_job_registry import JobRegistry
from guavadyke.controllers.forward_job_store import JobStore
from guavadyke.controllers.forward_job_writer import JobWriter
from guavadyke.controllers.host_abilities import HostAbilities
from guavadyke.controllers.item_run import (
    ItemKey,
    ItemRun,
    ItemRunTools,
    RunEnd,
    RunOutcome,
)
from guavadyke.controllers.item_starts import (
    ItemOrder,
    StartRefusal,
    start_items,
)
from guavadyke.controllers.item_texts import ItemTexts
from guavadyke.controllers.prompt_guard import PromptGuard
from guavadyke.controllers.server_limits import ServerLimits
from guavadyke.controllers.server_pool import ServerPool
from guavadyke.controllers.silent_items import SilentItems, may_go_on
from guavadyke.controllers.waiting_jobs import WaitingJobs
from guavadyke.decisions.forward_job_items import (
    JobItemTracker,
    count_items,
)
from guavadyke.decisions.forward_job_order import ItemRunTimes, JobOrder
from guavadyke.decisions.forward_job_records import (
    AcceptedJob,
    ForwardItem,
    JobView,
    ResultPage,
)
from guavadyke.decisions.forward_routes import RouteTable
from guavadyke.decisions.server_registry import ServerLease
from guavadyke.log import EventLogger
from guavadyke.metrics import HostMetrics
from guavadyke.part_health import PartHealth
from guavadyke.settings import ForwardHostSettings
from guavadyke.snapshots import FleetSnapshot, SnapshotCell

# The runner in logs of its failures.
RUNNER_PART = 'job-runner'


@dataclasses.dataclass(frozen=True)
class RunnerParts:
    """Dependencies of ``JobRunner``.

    ``connected`` returns whether this host reaches the platform,
    ``ends_known`` whether it has read which jobs have ended, and all else
    that takes away the right to start an item, and has heard of it lately;
    ``texts`` are those of its items so far; the runner publishes to ``busy``
    whether this host has jobs, and records its failures in ``health``.
    """

    settings: ForwardHostSettings
    registry: JobRegistry
    store: JobStore
    pool: ServerPool
    prompts: PromptGuard
    limits: ServerLimits
    servers: BackendServers
    table: SnapshotCell[RouteTable]
    fleet: SnapshotCell[FleetSnapshot]
    abilities: HostAbilities
    connected: Callable[[], bool]
    ends_known: Callable[[], bool]
    busy: SnapshotCell[bool]
    clock: Clock
    logger: EventLogger
    metrics: HostMetrics
    texts: ItemTexts
    health: PartHealth | None = None


@dataclasses.dataclass(frozen=True)
class Tick:
    """The tick interval has passed or the known jobs have changed."""


@dataclasses.dataclass(frozen=True)
class RunEnded:
    """A run of an item has ended."""

    run: ItemRun
    outcome: RunOutcome


@dataclasses.dataclass(frozen=True)
class StepEnded:
    """A storage step of a job has ended.

    ``pages`` are the stored results; None if the step failed or does not
    handle results.
    """

    job_id: str
    pages: tuple[ResultPage, ...] | None


@dataclasses.dataclass(frozen=True)
class HandOver:
    """Start no more items and reassign the jobs of which none runs.

    With ``leave``, reassign all jobs.
    """

    leave: bool


@dataclasses.dataclass(frozen=True)
class UnfinishedWork:
    """Runs in progress and jobs that a host has not passed on yet.

    Jobs that no other host could get do not count.
    """

    runs: int = 0
    jobs: int = 0


class JobRunner(GuardedActor):
    """Runs items on servers with free slots and stores their results.

    Args:
        parts: its dependencies.
    """

    def __init__(self, parts: RunnerParts) -> None:
        super().__init__(parts.health or PartHealth(RUNNER_PART, parts.logger))
        self._parts = parts
        self._me = parts.settings.host_id
        self._works: dict[str, JobItemTracker] = {}
        self._runs: dict[ItemKey, ItemRun] = {}
        self._texts = parts.texts
        self._tell = tell_function(self.actor_ref)
        self._started_at = parts.clock.wall()
        self._writer = JobWriter(
            parts.settings,
            parts.store,
            parts.registry,
            parts.clock,
            parts.logger,
            lambda job_id, pages: self._tell(StepEnded(job_id, pages)),
            parts.texts.handover.send,
        )
        self._maintenance = JobMaintenance(
            parts.settings, parts.fleet, parts.abilities, self._writer
        )
        self._leftovers = JobLeftovers(
            parts.settings, parts.fleet, parts.registry, self._writer
        )
        self._run_tools = ItemRunTools(
            parts.pool,
            parts.prompts,
            parts.limits,
            parts.clock,
            parts.table,
        )
        self._silent_items = SilentItems(
            parts.pool, parts.settings.forward.item_silence_s
        )
        self._waiting_jobs = WaitingJobs(parts.logger, parts.metrics)
        self._failing_jobs = FailingJobs(parts.clock, parts.logger)
        self._run_times = ItemRunTimes()
        self._stopping = False
        self._passed_on: set[str] = set()
        self._workers = ThreadPoolExecutor(
            parts.settings.forward.item_workers,
            thread_name_prefix='item',
        )

    def handle(self, message: Any) -> Any:
        """Handle a message."""
        return _handle(message, self)

    def on_stop(self) -> None:
        """Cancel all runs and stop the writer."""
        _cancel(self._runs.values())
        self._workers.shutdown(wait=False, cancel_futures=True)
        self._writer.close()

    def tick(self) -> None:
        """Sync the jobs with the registry and do all work that is due."""
        now = self._parts.clock.monotonic()
        views = self._parts.registry.views()
        self._parts.busy.publish(self._sync_works(views))
        self._texts.receive(self._works)
        self._preempt_surplus()
        works = self._failing_jobs.sound(self._works)
        self._failing_jobs.each(
            [(run.job_id, run) for run in self._runs.values()],
            lambda run: run.stop_if_stalled(now),
        )
        self._failing_jobs.each(
            works.items(), functools.partial(self._give_up_overdue, now)
        )
        if not self._stopping:
            self._failing_jobs.each(
                works.items(),
                functools.partial(_hold_items, self._parts.prompts),
            )
            self._failing_jobs.together(
                works,
                functools.partial(self._start_items, now, views.values()),
            )
            if self._parts.connected():
                self._maintenance.run_if_due(
                    views, now, self._parts.clock.wall()
                )
                self._leftovers.run_if_due(now)
        self._failing_jobs.each(works.items(), self._writer.advance)
        self._failing_jobs.raise_if_all_fail(self._works)

    def ended(self, run: ItemRun, outcome: RunOutcome) -> None:
        """Handle the end of a run."""
        item_id = run.item.item_id
        self._runs.pop(run.key, None)
        held_s = self._parts.clock.monotonic() - run.lease.taken_at
        self._parts.logger.info(
            'item_run_ended',
            job_id=run.job_id,
            item_id=item_id,
            backend_server=run.lease.server.server_id,
            prompt_parts=','.join(run.suspect_parts),
            end=outcome.end.value,
            events=outcome.partial.last_id,
            resumed_at=outcome.resumed_at,
            held_s=round(held_s, 3),
            reason=outcome.reason,
        )
        work = self._works.get(run.job_id)
        reserved = self._silent_items.take(run)
        if work is not None:
            self._texts.record(run.key, outcome.partial)
            self._run_times.record_run(
                work.job.route,
                held_s,
                outcome.partial.last_id,
                outcome.resumed_at,
                whole=outcome.end is RunEnd.completed,
            )
            recorded = self._failing_jobs.each(
                ((run.job_id, work),),
                functools.partial(self._apply_outcome, item_id, outcome),
            )
            if not recorded:
                work.broken(item_id, self._parts.clock.monotonic())
            goes_on = (
                not self._stopping
                and self._parts.ends_known()
                and may_go_on(work, run, outcome, self._parts.prompts)
            )
            if reserved is not None and goes_on:
                self._start_run(work, run.item, reserved)
                reserved = None
        if reserved is not None:
            self._silent_items.give_back(reserved)
        if work is not None:
            self.tick()

    def step_ended(
        self,
        job_id: str,
        pages: tuple[ResultPage, ...] | None,
    ) -> None:
        """Handle the end of a storage step."""
        self._writer.ended(job_id)
        work = self._works.get(job_id)
        if work is not None and pages is not None:
            self._failing_jobs.each(
                ((job_id, work),),
                lambda loaded: loaded.drop_stored(pages),
            )
            self.tick()

    def hand_over(self, *, leave: bool) -> UnfinishedWork:
        """Start no more items, so that this host can leave the fleet.

        Cancels all runs and reassigns the unfinished jobs, each once and with
        the texts of its items. While no other host is alive, the runs go on.

        Args:
            leave: also reassign jobs whose runs have not ended yet, and cancel
                runs though no other host is alive.

        Returns:
            What this host still has.
        """
        self._stopping = True
        others_alive = self._maintenance.can_reassign
        if leave or others_alive:
            _cancel(self._runs.values())
        unfinished = _unfinished(self._works)
        running = () if leave else (job_id for job_id, _item in self._runs)
        left = unfinished.keys() - self._passed_on.union(running)
        if others_alive:
            self._passed_on.update(left)
            self._maintenance.reassign(
                [
                    (unfinished[job_id], self._texts.of_job(unfinished[job_id]))
                    for job_id in left
                ],
                self._parts.registry.views(),
                self._started_at,
            )
        return UnfinishedWork(
            len(self._runs), len(unfinished) if others_alive else 0
        )

    def _sync_works(self, views: dict[str, JobView]) -> bool:
        """Take and drop jobs; return whether this host seems to own any.

        None is taken while it may have ended or moved to another host, as
        this one would write results of it or pass it on.
        """
        own_views = {
            job_id: view
            for job_id, view in views.items()
            if view.open and view.owner == self._me
        }
        for job_id in self._works.keys() - own_views.keys():
            self._drop_job(job_id)
        untaken = own_views.keys() - self._works.keys()
        for job_id in untaken if self._parts.ends_known() else ():
            if self._writer.is_finish_written(job_id):
                continue
            job = own_views[job_id].job
            self._works[job_id] = JobItemTracker(job)
            self._parts.store.terms.begin(own_views[job_id], self._started_at)
            self._writer.claims.take(
                own_views[job_id], self._parts.clock.monotonic()
            )
            self._parts.logger.info(
                'job_taken',
                job_id=job_id,
                items=len(job.items),
                first_owner=job.owner,
            )
        return bool(own_views)

    def _drop_job(self, job_id: str) -> None:
        """Stop working on a job that has ended or has another owner."""
        work = self._works.pop(job_id)
        self._passed_on.discard(job_id)
        self._parts.store.terms.end(job_id)
        if self._parts.registry.view(job_id) is None:
            self._leftovers.dropped_late(job_id)
        for item in work.job.items:
            key = (job_id, item.item_id)
            self._texts.forget(key)
            run = self._runs.get(key)
            if run is not None:
                run.cancellation.cancel()
        self._parts.logger.info(
            'job_dropped', job_id=job_id, **count_items(work)
        )

    def _apply_outcome(
        self,
        item_id: str,
        outcome: RunOutcome,
        work: JobItemTracker,
    ) -> None:
        now = self._parts.clock.monotonic()
        route = self._parts.table.current.route_by_name(work.job.route)
        attempts = route.max_attempts if route else 1
        if outcome.end is RunEnd.completed:
            work.completed(item_id, outcome.partial.text)
        elif outcome.end is RunEnd.rejected:
            work.rejected(item_id)
        elif outcome.end is RunEnd.failed:
            work.failed(item_id, attempts, now)
        elif outcome.end is RunEnd.preempted:
            work.preempted(item_id)
        else:
            work.broken(item_id, now)

    def _preempt_surplus(self) -> None:
        """Preempt the newest runs where online requests need their slots."""
        for server_id, count in self._parts.pool.items_to_preempt().items():
            runs = [
                run
                for run in self._runs.values()
                if run.lease.server.server_id == server_id
            ]
            for run in newest_to_cancel(runs, count):
                run.cancellation.cancel()

    def _give_up_overdue(self, now: float, work: JobItemTracker) -> None:
        table = self._parts.table.current
        if table.configured and work.loaded:
            route = table.route_by_name(work.job.route)
            work.give_up_overdue(route, now, self._parts.clock.wall())

    def _start_items(
        self,
        now: float,
        views: Collection[JobView],
        works: Mapping[str, JobItemTracker],
    ) -> None:
        """Start items, in the order of jobs, while servers have free slots."""
        jobs = JobOrder(self._parts.table.current, self._parts.clock.wall())
        order = ItemOrder(jobs, self._run_times, self._texts.events_of)
        publish_backlog = functools.partial(
            self._parts.pool.set_batch_backlog,
            due_order=jobs.owners(views),
            pressing=_any_pressing(
                works.values(),
                jobs,
                self._parts.settings.forward.item_workers,
            ),
        )
        silent = self._silent_items.due(self._runs.values(), now)
        publish_backlog(
            _waiting_for_slot(self._parts, works, self._runs) + len(silent),
            order.items_in_time(works.values()) + len(silent),
        )
        self._silent_items.leave(
            silent,
            functools.partial(_lease_elsewhere, self._parts, self._works),
        )
        refusals = start_items(works.values(), order, now, self._start_item)
        publish_backlog(
            _waiting_for_slot(self._parts, works, self._runs),
            order.items_in_time(works.values()),
        )
        self._waiting_jobs.report_due(works, refusals, now)

    def _start_item(
        self, work: JobItemTracker, item: ForwardItem, service: str
    ) -> StartRefusal | None:
        """Start an item, or return why it does not start."""
        key = (work.job.job_id, item.item_id)
        found = self._parts.prompts.check(work.job.suspect_parts(item))
        refusal = _own_refusal(
            self._parts,
            self._runs,
            key,
            allowed=self._parts.prompts.trials.allows(found),
        )
        if refusal is not None:
            return refusal
        lease = _lease_slot(self._parts, service, work, item)
        if lease is None:
            return StartRefusal.no_server
        if not self._parts.prompts.trials.begins(found, lease):
            self._parts.pool.release(lease, BackendFault.refused)
            return StartRefusal.quarantined
        self._start_run(work, item, lease)
        return None

    def _start_run(
        self, work: JobItemTracker, item: ForwardItem, lease: ServerLease
    ) -> None:
        key = (work.job.job_id, item.item_id)
        partial = self._texts.of_item(key)
        run = ItemRun(work.job, item, lease, partial, self._run_tools)
        self._runs[run.key] = run
        work.started(item.item_id)
        self._workers.submit(self._run_item, run)

    def _run_item(self, run: ItemRun) -> None:
        try:
            outcome = run.perform(
                self._parts.servers,
                self._parts.settings.forward,
            )
        except Exception as error:
            self._parts.logger.error(
                'item_run_crashed',
                job_id=run.job_id,
                item_id=run.item.item_id,
                reason=repr(error),
            )
            outcome = RunOutcome(RunEnd.broken, reason=repr(error))
        self._tell(RunEnded(run, outcome))


def _cancel(runs: Iterable[ItemRun]) -> None:
    for run in tuple(runs):
        run.cancellation.cancel()


def _unfinished(
    works: Mapping[str, JobItemTracker],
) -> dict[str, JobItemTracker]:
    return {job_id: work for job_id, work in works.items() if not work.finished}


def _own_refusal(
    parts: RunnerParts,
    runs: Collection[ItemKey],
    key: ItemKey,
    *,
    allowed: bool,
) -> StartRefusal | None:
    """Return why an item may not start, whatever the servers have free.

    Args:
        parts: the dependencies of the runner.
        runs: the items that run.
        key: the item.
        allowed: whether its prompt may be sent.
    """
    if not parts.ends_known():
        return StartRefusal.ends_unknown
    if len(runs) >= parts.settings.forward.item_workers:
        return StartRefusal.run_limit
    if key in runs:
        return StartRefusal.earlier_run
    # A slot that is given back pauses its server for all other items.
    return None if allowed else StartRefusal.quarantined


def _lease_slot(
    parts: RunnerParts,
    service: str,
    work: JobItemTracker,
    item: ForwardItem,
) -> ServerLease | None:
    """Lease a slot, if possible where an item need not begin anew."""
    partial = parts.texts.of_item((work.job.job_id, item.item_id))
    acquire = functools.partial(
        parts.pool.acquire_batch,
        service,
        frozenset(parts.limits.exhausted(batch=True)),
    )
    resuming = acquire(partial.software, item.size) if partial.last_id else None
    return resuming or acquire(size=item.size)


def _lease_elsewhere(
    parts: RunnerParts, works: Mapping[str, JobItemTracker], run: ItemRun
) -> ServerLease | None:
    """Lease a slot at another server at which a silent item can go on."""
    work = works.get(run.job_id)
    table = parts.table.current
    route = table.route_by_name(work.job.route) if work else None
    if route is None:
        return None
    exhausted = parts.limits.exhausted(batch=True)
    return parts.pool.acquire_batch(
        route.service_of(run.item.item_id),
        frozenset((*exhausted, run.lease.server.server_id)),
        run.resumes_at,
        run.item.size,
    )


@functools.singledispatch
def _handle(message: object, runner: JobRunner) -> Any:
    raise TypeError(f'unknown message {message!r}')


@_handle.register
def _handle_tick(_message: Tick, runner: JobRunner) -> None:
    runner.tick()


@_handle.register
def _handle_run_ended(message: RunEnded, runner: JobRunner) -> None:
    runner.ended(message.run, message.outcome)


@_handle.register
def _handle_step_ended(message: StepEnded, runner: JobRunner) -> None:
    runner.step_ended(message.job_id, message.pages)


@_handle.register
def _handle_hand_over(message: HandOver, runner: JobRunner) -> UnfinishedWork:
    return runner.hand_over(leave=message.leave)


def _hold_items(prompts: PromptGuard, work: JobItemTracker) -> None:
    """Hold the items that might crash the servers that run them."""
    work.hold(functools.partial(_is_held, prompts, work.job))


def _is_held(prompts: PromptGuard, job: AcceptedJob, item: ForwardItem) -> bool:
    found = prompts.check(job.suspect_parts(item))
    return not prompts.trials.allows(found)


def newest_to_cancel(runs: list[ItemRun], count: int) -> list[ItemRun]:
    """Return the newest runs to cancel so that ``count`` slots become free.

    Runs that were cancelled before still hold their slots for a moment and
    count as well.
    """
    running = [run for run in runs if not run.cancellation.cancelled]
    missing = max(0, count - (len(runs) - len(running)))
    return sorted(running, key=_taken_at, reverse=True)[:missing]


def _any_pressing(
    works: Collection[JobItemTracker], order: JobOrder, max_runs: int
) -> bool:
    """Return whether items that wait would be late without all slots.

    That is so where more of them wait than this host runs at once.
    """
    return _waiting_items(works) > max_runs or any(
        count_items(work)['waiting'] and order.is_pressing(work.job)
        for work in works
    )


def _waiting_for_slot(
    parts: RunnerParts,
    works: Mapping[str, JobItemTracker],
    runs: Collection[ItemKey],
) -> int:
    """Return how many items wait for a slot that this host can use.

    Items beyond its own limit of runs do not count, because other hosts
    leave slots free for those that do.
    """
    max_runs = parts.settings.forward.item_workers
    return min(_waiting_items(works.values()), max_runs - len(runs))


def _waiting_items(works: Iterable[JobItemTracker]) -> int:
    """Return how many items wait, without jobs that are not read yet."""
    return sum(count_items(work)['waiting'] for work in works if work.loaded)


def _taken_at(run: ItemRun) -> float:
    return run.lease.taken_at
