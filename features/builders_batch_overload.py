"""Hosts with more batch items than servers can run, in virtual time."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping, Sequence

from features import builders_forward as build
from guavadyke.controllers.item_starts import (
    ItemOrder,
    StartRefusal,
    start_items,
)
from guavadyke.decisions.forward_job_items import JobItemTracker, count_items
from guavadyke.decisions.forward_job_order import ItemRunTimes, JobOrder
from guavadyke.decisions.forward_job_records import ForwardItem, JobView
from guavadyke.decisions.forward_routes import RouteKind

TARGET_S = 18.0
ITEM_S = 5.0
_EVENTS = 282
_STEP_S = 0.1
# Slots of each server that items may take.
_SLOTS = 7
_SERVERS = tuple(build.server(f's{number}') for number in range(3))
_ROUTE = dataclasses.replace(
    build.route(RouteKind.batch), target_complete_s=TARGET_S
)
_TABLE = build.table(_ROUTE)


@dataclasses.dataclass(frozen=True)
class JobStream:
    """Jobs of ``items`` items each that arrive every ``gap_s`` seconds."""

    jobs: int
    items: int
    gap_s: float

    @property
    def items_that_fit(self) -> float:
        """The most items that the slots can run until the last job is due."""
        length_s = (self.jobs - 1) * self.gap_s + TARGET_S
        return len(_SERVERS) * _SLOTS * length_s / ITEM_S


class OverloadedHost:
    """A host that starts items of its jobs as soon as it may.

    Args:
        host_id: its id.
    """

    def __init__(self, host_id: str) -> None:
        self.host_id = host_id
        self.balancer = build.load_balancer(host_id, seed=1)
        self.works: list[JobItemTracker] = []
        self.in_time = 0
        self._run_times = ItemRunTimes()
        self._running: list[tuple[float, str, JobItemTracker, ForwardItem]] = []

    @property
    def waiting(self) -> int:
        """Items that wait for a slot."""
        return sum(count_items(work)['waiting'] for work in self.works)

    def end_items(self, now: float) -> None:
        """End the items that have run for long enough."""
        ended = [run for run in self._running if run[0] <= now]
        for run in ended:
            _ends_at, server_id, work, item = run
            self._running.remove(run)
            self.balancer.own_batch[server_id] -= 1
            work.completed(item.item_id, 'text')
            self._run_times.record_run(
                work.job.route, ITEM_S, _EVENTS, whole=True
            )
            self.in_time += now <= work.job.accepted_at + TARGET_S

    def start_items(self, views: Sequence[JobView], now: float) -> None:
        """Start the items that may start."""
        jobs = JobOrder(_TABLE, now)
        order = ItemOrder(jobs, self._run_times, _no_events)
        self.balancer.due_order = jobs.owners(views)
        self.balancer.own_waiting = self.waiting
        self.balancer.own_late = self.waiting - order.items_in_time(self.works)

        def start(
            work: JobItemTracker, item: ForwardItem, _service: str
        ) -> StartRefusal | None:
            chosen = self.balancer.choose_batch(_SERVERS, frozenset(), now)
            if chosen is None:
                return StartRefusal.no_server
            self.balancer.own_batch[chosen.server_id] += 1
            self.balancer.own_waiting -= 1
            work.started(item.item_id)
            self._running.append((now + ITEM_S, chosen.server_id, work, item))
            return None

        start_items(self.works, order, now, start)


class StartedItems:
    """Items in the order in which a host starts them.

    Args:
        run_s: how long an item runs, 0 if none has been completed.
        abandon_after_s: seconds after which items may be given up.
    """

    def __init__(self, run_s: float, abandon_after_s: float) -> None:
        self.job_ids: list[str] = []
        self._run_s = run_s
        self._route = dataclasses.replace(
            _ROUTE, abandon_after_s=abandon_after_s
        )

    def start(
        self, ages_s: Mapping[str, float], done_s: Mapping[str, float]
    ) -> None:
        """Start the items of jobs with one item each.

        Args:
            ages_s: the ages of the jobs.
            done_s: for how long their items have run before, 0 if left out.
        """
        run_times = ItemRunTimes()
        if self._run_s:
            run_times.record_run(
                self._route.name, self._run_s, _EVENTS, whole=True
            )

        def events_of(work: JobItemTracker, _item: ForwardItem) -> int:
            done = done_s.get(work.job.job_id, 0)
            return round(_EVENTS * done / self._run_s) if done else 0

        def start(
            work: JobItemTracker, _item: ForwardItem, _service: str
        ) -> None:
            self.job_ids.append(work.job.job_id)

        works = [
            JobItemTracker(
                build.job(job_id, items=1, accepted_at=build.NOW - age_s)
            )
            for job_id, age_s in ages_s.items()
        ]
        for work in works:
            work.drop_stored(())
        jobs = JobOrder(build.table(self._route), build.NOW)
        order = ItemOrder(jobs, run_times, events_of)
        start_items(works, order, build.NOW, start)


def _no_events(_work: JobItemTracker, _item: ForwardItem) -> int:
    return 0


def run_overload(stream: JobStream, hosts: int) -> int:
    """Return how many items are done in time on some hosts."""
    fleet = [OverloadedHost(f'h{number}') for number in range(hosts)]
    owners = {host.host_id: host for host in fleet}
    length_s = stream.jobs * stream.gap_s + 2 * TARGET_S
    arrived = 0
    for step in range(round(length_s / _STEP_S)):
        now = build.NOW + step * _STEP_S
        while (
            arrived < stream.jobs and arrived * stream.gap_s <= step * _STEP_S
        ):
            _accept(fleet[arrived % hosts], arrived, stream, now)
            arrived += 1
        for host in fleet:
            host.end_items(now)
            _tell(owners, host, now)
        views = _open_views(fleet)
        for host in fleet:
            host.start_items(views, now)
    return sum(one.in_time for one in fleet)


def _accept(
    host: OverloadedHost, number: int, stream: JobStream, now: float
) -> None:
    job = build.job(
        f'job-{number:02}',
        items=stream.items,
        owner=host.host_id,
        accepted_at=now,
    )
    work = JobItemTracker(job)
    work.drop_stored(())
    host.works.append(work)


def _tell(
    owners: Mapping[str, OverloadedHost], host: OverloadedHost, now: float
) -> None:
    """Let all other hosts know of the items of a host."""
    host.balancer.own_waiting = host.waiting
    for other in owners.values():
        if other is host:
            continue
        for name, count in host.balancer.batch_counts().items():
            other.balancer.batch_elsewhere.record_count(
                host.host_id, name, count, now
            )


def _open_views(fleet: Sequence[OverloadedHost]) -> list[JobView]:
    return [
        JobView(work.job)
        for host in fleet
        for work in host.works
        if work.open_items
    ]
