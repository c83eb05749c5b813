"""Controller that works on the forwarded jobs of this host."""

from __future__ import annotations

import dataclasses
import functools
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pykka

from guavadyke.adapters.ports import BackendServers, Clock
from guavadyke.controllers.actors import telling
from guavadyke.controllers.forward_board import JobBoard
from guavadyke.controllers.forward_store import JobStore
from guavadyke.controllers.item_run import (
    ItemRun,
    PartialText,
    RunEnd,
    RunOutcome,
)
from guavadyke.controllers.server_pool import ServerPool
from guavadyke.decisions.forwarding import RouteTable
from guavadyke.decisions.jobrecords import (
    ItemListing,
    JobProgress,
    JobView,
    ResultPage,
)
from guavadyke.decisions.jobshare import Absences, first_owner, taken_over
from guavadyke.decisions.jobwork import JobWork
from guavadyke.decisions.ranking import rendezvous
from guavadyke.errors import GuavadykeError
from guavadyke.log import EventLogger
from guavadyke.settings import ForwardHostSettings
from guavadyke.snapshots import FleetSnapshot, SnapshotCell

# Seconds between looks at servers that have room and at items to go on.
_TICK_S = 0.05
# Seconds between looks at jobs of lost hosts and at old jobs.
_CARE_S = 0.5
# Threads that write results; a write takes one exchange with the platform.
_WRITERS = 4
# Seconds beyond the retention after which a job is removed.
_REMOVAL_MARGIN_S = 60.0
_ALIVE = 'alive'
_REACHABLE = frozenset(('alive', 'suspect'))


@dataclasses.dataclass(frozen=True)
class RunnerParts:
    """What the controller works with.

    ``connected`` tells whether this host reaches the platform.
    """

    settings: ForwardHostSettings
    board: JobBoard
    store: JobStore
    pool: ServerPool
    servers: BackendServers
    table: SnapshotCell[RouteTable]
    fleet: SnapshotCell[FleetSnapshot]
    connected: Callable[[], bool]
    clock: Clock
    logger: EventLogger


@dataclasses.dataclass(frozen=True)
class Tick:
    """Time has passed or the board has changed."""


@dataclasses.dataclass(frozen=True)
class Ended:
    """A run has ended."""

    run: ItemRun
    outcome: RunOutcome


@dataclasses.dataclass(frozen=True)
class Listed:
    """A read or write of results has ended; None where it failed."""

    job_id: str
    pages: tuple[ResultPage, ...] | None


@dataclasses.dataclass(frozen=True)
class HandOver:
    """Start nothing more; with ``leave`` also give every job away."""

    leave: bool


class JobRunner(pykka.ThreadingActor):
    """Starts items where servers have room, and lists their results.

    Args:
        parts: what it works with.
    """

    use_daemon_thread = True

    def __init__(self, parts: RunnerParts) -> None:
        super().__init__()
        self._parts = parts
        self._me = parts.settings.host_id
        forward = parts.settings.forward
        self._works: dict[str, JobWork] = {}
        self._runs: dict[str, ItemRun] = {}
        self._partials: dict[str, PartialText] = {}
        self._busy: set[str] = set()
        self._noted: set[str] = set()
        self._absences = Absences()
        self._care_due: float = 0
        self._stopping = False
        self._most_runs = forward.item_workers
        self._workers = ThreadPoolExecutor(
            forward.item_workers,
            thread_name_prefix='item',
        )
        self._writers = ThreadPoolExecutor(
            _WRITERS,
            thread_name_prefix='results',
        )
        self._tell = telling(self.actor_ref)

    def on_receive(self, message: Any) -> Any:
        """Handle a message."""
        return _handle(message, self)

    def on_stop(self) -> None:
        """Preempt all runs."""
        for run in tuple(self._runs.values()):
            run.cancellation.cancel()
        self._workers.shutdown(wait=False, cancel_futures=True)
        self._writers.shutdown(wait=False, cancel_futures=True)

    def tick(self) -> None:
        """Do all that is due."""
        now = self._parts.clock.monotonic()
        views = self._parts.board.views()
        self._take_views(views)
        self._give_way()
        self._judge_overdue(now)
        if not self._stopping:
            self._start_items(now)
            if now >= self._care_due:
                self._care_due = now + _CARE_S
                self._care(views, now)
        self._list_results()

    def ended(self, run: ItemRun, outcome: RunOutcome) -> None:
        """Take the end of a run."""
        item_id = run.item.item_id
        self._runs.pop(item_id, None)
        self._partials[item_id] = outcome.partial
        work = self._works.get(run.job_id)
        self._parts.logger.info(
            'item_run_ended',
            job_id=run.job_id,
            item_id=item_id,
            backend_server=run.lease.server.server_id,
            end=outcome.end.value,
            events=outcome.partial.last_id,
            reason=outcome.reason,
        )
        if work is None:
            self._partials.pop(item_id, None)
            return
        self._take_outcome(work, item_id, outcome)
        self.tick()

    def listed(
        self,
        job_id: str,
        pages: tuple[ResultPage, ...] | None,
    ) -> None:
        """Take the end of a read or write of results."""
        self._busy.discard(job_id)
        work = self._works.get(job_id)
        if work is None or pages is None:
            return
        work.take_pages(pages)
        self.tick()

    def hand_over(self, *, leave: bool) -> int:
        """Start nothing more, and return how many runs are in flight."""
        self._stopping = True
        if not leave:
            return len(self._runs)
        for run in tuple(self._runs.values()):
            run.cancellation.cancel()
        others = self._alive()
        views = self._parts.board.views()
        for job_id, work in tuple(self._works.items()):
            if work.finished or not others:
                continue
            owner = first_owner(job_id, others[0], others[1:], views.values())
            self._writers.submit(self._pass_on, job_id, owner, work.unlisted)
        return len(self._works)

    def _take_views(self, views: dict[str, JobView]) -> None:
        mine = {
            job_id: view
            for job_id, view in views.items()
            if view.open and view.owner == self._me
        }
        for job_id in self._works.keys() - mine.keys():
            self._drop(job_id)
        for job_id, view in mine.items():
            if job_id not in self._works and job_id not in self._noted:
                self._works[job_id] = JobWork(view.job)
                self._parts.logger.info(
                    'job_taken',
                    job_id=job_id,
                    items=len(view.job.items),
                    first_owner=view.job.owner,
                )

    def _drop(self, job_id: str) -> None:
        """Stop the work on a job that is over or not this host's any more."""
        work = self._works.pop(job_id)
        for item in work.job.items:
            self._partials.pop(item.item_id, None)
            run = self._runs.get(item.item_id)
            if run is not None:
                run.cancellation.cancel()
        self._parts.logger.info('job_dropped', job_id=job_id, **work.counts())

    def _take_outcome(
        self,
        work: JobWork,
        item_id: str,
        outcome: RunOutcome,
    ) -> None:
        now = self._parts.clock.monotonic()
        route = self._parts.table.current.named(work.job.route)
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

    def _give_way(self) -> None:
        """Preempt the newest runs where online requests need the place."""
        for server_id, count in self._parts.pool.surplus().items():
            here = [
                run
                for run in self._runs.values()
                if run.lease.server.server_id == server_id
                and not run.cancellation.cancelled
            ]
            here.sort(key=_taken_at)
            for run in here[-count:]:
                run.cancellation.cancel()

    def _judge_overdue(self, now: float) -> None:
        table = self._parts.table.current
        if not table.known:
            return
        wall = self._parts.clock.wall()
        for work in self._works.values():
            if work.loaded:
                route = table.named(work.job.route)
                work.give_up_overdue(route, now, wall)

    def _start_items(self, now: float) -> None:
        oldest_first = sorted(self._works.values(), key=_accepted_at)
        full: set[str] = set()
        for work in oldest_first:
            route = self._parts.table.current.named(work.job.route)
            if route is None:
                continue
            for item in work.startable(now):
                service = route.service_of(item.item_id)
                if service in full:
                    continue
                if not self._start(work, item.item_id, service):
                    full.add(service)

    def _start(self, work: JobWork, item_id: str, service: str) -> bool:
        if len(self._runs) >= self._most_runs or item_id in self._runs:
            return False
        lease = self._parts.pool.take_batch(service, frozenset())
        if lease is None:
            return False
        item = work.job.item(item_id)
        if item is None:
            raise LookupError(f'{item_id} is not an item of its job')
        run = ItemRun(
            work.job,
            item,
            lease,
            self._partials.get(item_id, PartialText()),
            self._parts.pool,
        )
        self._runs[item_id] = run
        work.started(item_id)
        self._workers.submit(self._perform, run)
        return True

    def _list_results(self) -> None:
        """Read or write results of the jobs that are not at it already."""
        for job_id, work in self._works.items():
            if job_id in self._busy:
                continue
            if not work.loaded:
                self._write(job_id, self._load, job_id)
            elif work.unlisted:
                self._write(job_id, self._append, job_id, work.unlisted)
            elif work.finished and job_id not in self._noted:
                self._noted.add(job_id)
                self._write(job_id, self._finish, job_id, work.job.tokens)

    def _write(
        self, job_id: str, call: Callable[..., None], *args: Any
    ) -> None:
        self._busy.add(job_id)
        self._writers.submit(self._guarded, job_id, call, *args)

    def _care(self, views: dict[str, JobView], now: float) -> None:
        """Take over jobs of lost hosts and remove old ones."""
        if not self._parts.connected():
            return
        alive = self._alive()
        owners = {view.owner for view in views.values() if view.open}
        reachable = {
            peer.host_id
            for peer in self._parts.fleet.current.peers
            if peer.state in _REACHABLE
        }
        lost = self._absences.note(owners, {self._me, *reachable}, now)
        for view in taken_over(views.values(), lost, self._me, alive):
            job_id = view.job.job_id
            if job_id not in self._busy:
                self._write(job_id, self._claim, job_id, view.owner)
        wall = self._parts.clock.wall()
        kept_s = self._parts.settings.forward.result_retention_s
        for job_id, view in views.items():
            old = wall - view.job.accepted_at > kept_s + _REMOVAL_MARGIN_S
            mine = rendezvous(job_id, {self._me, *alive}) == self._me
            if old and not view.open and mine and job_id not in self._busy:
                self._write(job_id, self._remove, job_id)

    def _alive(self) -> list[str]:
        return [
            peer.host_id
            for peer in self._parts.fleet.current.peers
            if peer.state == _ALIVE
        ]

    def _perform(self, run: ItemRun) -> None:
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
            outcome = RunOutcome(RunEnd.broken, PartialText(), repr(error))
        self._tell(Ended(run, outcome))

    def _guarded(
        self,
        job_id: str,
        call: Callable[..., None],
        *args: Any,
    ) -> None:
        """Call in a writer's thread; a failure is logged and tried again."""
        try:
            call(*args)
        except GuavadykeError as error:
            self._parts.logger.warning(
                'job_write_failed',
                job_id=job_id,
                step=call.__name__.removeprefix('_'),
                code=error.code,
                reason=error.message,
            )
            self._noted.discard(job_id)
            self._parts.clock.sleep(_TICK_S)
            self._tell(Listed(job_id, None))

    def _load(self, job_id: str) -> None:
        self._tell(Listed(job_id, self._parts.store.pages(job_id)))

    def _append(
        self,
        job_id: str,
        unlisted: tuple[ItemListing, ...],
    ) -> None:
        pages = self._parts.store.append(job_id, unlisted)
        self._tell(Listed(job_id, pages))

    def _finish(self, job_id: str, tokens: int) -> None:
        progress = self._parts.store.note(
            job_id,
            JobProgress(finished=True, listed_tokens=tokens),
        )
        self._parts.board.noted(job_id, progress)
        self._tell(Listed(job_id, None))

    def _claim(self, job_id: str, owner: str) -> None:
        progress = self._parts.store.note(job_id, JobProgress(owner=self._me))
        self._parts.logger.info(
            'job_taken_over',
            job_id=job_id,
            owner_before=owner,
        )
        self._parts.board.noted(job_id, progress)
        self._tell(Listed(job_id, None))

    def _remove(self, job_id: str) -> None:
        self._parts.store.remove(job_id)
        self._parts.board.forget(job_id)
        self._parts.logger.info('job_removed', job_id=job_id)
        self._tell(Listed(job_id, None))

    def _pass_on(
        self,
        job_id: str,
        owner: str,
        unlisted: tuple[ItemListing, ...],
    ) -> None:
        try:
            self._parts.store.append(job_id, unlisted)
            self._parts.store.note(job_id, JobProgress(owner=owner))
        except GuavadykeError as error:
            self._parts.logger.warning(
                'job_not_passed_on',
                job_id=job_id,
                reason=error.message,
            )
            return
        self._parts.logger.info('job_passed_on', job_id=job_id, owner=owner)


class RunnerTicker:
    """Ticks a runner, at once when something has changed.

    Args:
        tell: sends the runner a message.
    """

    def __init__(self, tell: Callable[[object], None]) -> None:
        self._tell = tell
        self._stopped = threading.Event()
        self._changed = threading.Event()
        self._thread = threading.Thread(
            target=self._run,
            name='job-ticker',
            daemon=True,
        )

    def start(self) -> None:
        """Tick in the background."""
        self._thread.start()

    def close(self) -> None:
        """Stop."""
        self._stopped.set()
        self._changed.set()

    def wake(self) -> None:
        """Tick at once."""
        self._changed.set()

    def _run(self) -> None:
        while not self._stopped.is_set():
            self._changed.wait(_TICK_S)
            self._changed.clear()
            self._tell(Tick())


@functools.singledispatch
def _handle(message: object, runner: JobRunner) -> Any:
    raise TypeError(f'unknown message {message!r}')


@_handle.register
def _handle_tick(_message: Tick, runner: JobRunner) -> None:
    runner.tick()


@_handle.register
def _handle_ended(message: Ended, runner: JobRunner) -> None:
    runner.ended(message.run, message.outcome)


@_handle.register
def _handle_listed(message: Listed, runner: JobRunner) -> None:
    runner.listed(message.job_id, message.pages)


@_handle.register
def _handle_hand_over(message: HandOver, runner: JobRunner) -> int:
    return runner.hand_over(leave=message.leave)


def _taken_at(run: ItemRun) -> float:
    return run.lease.taken_at


def _accepted_at(work: JobWork) -> float:
    return work.job.accepted_at
