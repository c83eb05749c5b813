"""Controller that works on the forwarded jobs of this host."""

from __future__ import annotations

import dataclasses
import functools
import threading
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pykka

from guavadyke.adapters.ports import BackendServers, Clock
from guavadyke.controllers.actors import tell_function
from guavadyke.controllers.forward_job_maintenance import JobCare
from guavadyke.controllers.forward_job_registry import JobRegistry
from guavadyke.controllers.forward_job_store import JobStore
from guavadyke.controllers.forward_job_writer import JobWrites
from guavadyke.controllers.item_run import (
    ItemRun,
    PartialText,
    RunEnd,
    RunOutcome,
)
from guavadyke.controllers.server_pool import ServerPool
from guavadyke.decisions.forward_job_items import JobItemTracker
from guavadyke.decisions.forward_job_ownership import due_at, due_order
from guavadyke.decisions.forward_job_records import (
    ForwardItem,
    JobView,
    ResultPage,
)
from guavadyke.decisions.forward_routes import RouteTable
from guavadyke.log import EventLogger
from guavadyke.settings import ForwardHostSettings
from guavadyke.snapshots import FleetSnapshot, SnapshotCell

# Seconds between looks at servers that have room and at items to go on.
_TICK_S = 0.05
# Seconds between looks of a host without jobs, which is told of new ones.
_IDLE_TICK_S = 0.5


@dataclasses.dataclass(frozen=True)
class RunnerParts:
    """What the controller works with.

    ``connected`` tells whether this host reaches the platform; ``busy``
    gets whether this host has jobs.
    """

    settings: ForwardHostSettings
    board: JobRegistry
    store: JobStore
    pool: ServerPool
    servers: BackendServers
    table: SnapshotCell[RouteTable]
    fleet: SnapshotCell[FleetSnapshot]
    connected: Callable[[], bool]
    busy: SnapshotCell[bool]
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
        self._works: dict[str, JobItemTracker] = {}
        self._runs: dict[str, ItemRun] = {}
        self._partials: dict[str, PartialText] = {}
        self._tell = tell_function(self.actor_ref)
        self._writes = JobWrites(
            parts.store,
            parts.board,
            parts.clock,
            parts.logger,
            lambda job_id, pages: self._tell(Listed(job_id, pages)),
        )
        self._care = JobCare(parts.settings, parts.fleet, self._writes)
        self._stopping = False
        self._workers = ThreadPoolExecutor(
            parts.settings.forward.item_workers,
            thread_name_prefix='item',
        )

    def on_receive(self, message: Any) -> Any:
        """Handle a message."""
        return _handle(message, self)

    def on_stop(self) -> None:
        """Preempt all runs."""
        for run in tuple(self._runs.values()):
            run.cancellation.cancel()
        self._workers.shutdown(wait=False, cancel_futures=True)
        self._writes.close()

    def tick(self) -> None:
        """Do all that is due."""
        now = self._parts.clock.monotonic()
        views = self._parts.board.views()
        self._take_views(views)
        self._parts.busy.publish(bool(self._works))
        self._give_way()
        self._judge_overdue(now)
        if not self._stopping:
            self._start_items(now, views.values())
            if self._parts.connected():
                self._care.look(views, now, self._parts.clock.wall())
        for job_id, work in self._works.items():
            self._writes.advance(job_id, work)

    def ended(self, run: ItemRun, outcome: RunOutcome) -> None:
        """Take the end of a run."""
        item_id = run.item.item_id
        self._runs.pop(item_id, None)
        self._parts.logger.info(
            'item_run_ended',
            job_id=run.job_id,
            item_id=item_id,
            backend_server=run.lease.server.server_id,
            end=outcome.end.value,
            events=outcome.partial.last_id,
            reason=outcome.reason,
        )
        work = self._works.get(run.job_id)
        if work is not None:
            self._partials[item_id] = outcome.partial
            self._take_outcome(work, item_id, outcome)
            self.tick()

    def listed(
        self,
        job_id: str,
        pages: tuple[ResultPage, ...] | None,
    ) -> None:
        """Take the end of a read or write of results."""
        self._writes.ended(job_id)
        work = self._works.get(job_id)
        if work is not None and pages is not None:
            work.drop_stored(pages)
            self.tick()

    def hand_over(self, *, leave: bool) -> int:
        """Start nothing more, and return how many runs or jobs are left."""
        self._stopping = True
        if not leave:
            return len(self._runs)
        for run in tuple(self._runs.values()):
            run.cancellation.cancel()
        left = {
            job_id: work
            for job_id, work in self._works.items()
            if not work.finished
        }
        return self._care.pass_on(left, self._parts.board.views())

    def _take_views(self, views: dict[str, JobView]) -> None:
        mine = {
            job_id: view
            for job_id, view in views.items()
            if view.open and view.owner == self._me
        }
        for job_id in self._works.keys() - mine.keys():
            self._drop(job_id)
        for job_id in mine.keys() - self._works.keys():
            if self._writes.is_noted(job_id):
                continue
            job = mine[job_id].job
            self._works[job_id] = JobItemTracker(job)
            self._parts.logger.info(
                'job_taken',
                job_id=job_id,
                items=len(job.items),
                first_owner=job.owner,
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
        work: JobItemTracker,
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
            here.sort(key=_taken_at, reverse=True)
            for run in here[:count]:
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

    def _start_items(self, now: float, views: Iterable[JobView]) -> None:
        """Start what there is room for, items of jobs due first first."""
        table = self._parts.table.current
        order = due_order(views, table)
        self._parts.pool.want(self._waiting(), order)
        full: set[str] = set()
        for work in _by_due(self._works.values(), table):
            route = table.named(work.job.route)
            items = () if route is None else work.startable_items(now)
            for item in items:
                service = route.service_of(item.item_id) if route else ''
                if service not in full and not self._start(work, item, service):
                    full.add(service)
        self._parts.pool.want(self._waiting(), order)

    def _waiting(self) -> int:
        """Return the items that wait for a place."""
        return sum(held.counts()['waiting'] for held in self._works.values())

    def _start(
        self, work: JobItemTracker, item: ForwardItem, service: str
    ) -> bool:
        most = self._parts.settings.forward.item_workers
        if len(self._runs) >= most or item.item_id in self._runs:
            return False
        lease = self._parts.pool.take_batch(service, frozenset())
        if lease is None:
            return False
        run = ItemRun(
            work.job,
            item,
            lease,
            self._partials.get(item.item_id, PartialText()),
            self._parts.pool,
        )
        self._runs[item.item_id] = run
        work.started(item.item_id)
        self._workers.submit(self._perform, run)
        return True

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


class RunnerTicker:
    """Ticks a runner, at once when something has changed.

    Args:
        tell: sends the runner a message.
        busy: whether the runner has jobs.
    """

    def __init__(
        self,
        tell: Callable[[object], None],
        busy: SnapshotCell[bool],
    ) -> None:
        self._tell = tell
        self._busy = busy
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
            busy = self._busy.current
            self._changed.wait(_TICK_S if busy else _IDLE_TICK_S)
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


def _by_due(
    works: Iterable[JobItemTracker], table: RouteTable
) -> list[JobItemTracker]:
    return sorted(works, key=lambda work: due_at(work.job, table))


def _taken_at(run: ItemRun) -> float:
    return run.lease.taken_at
