"""Starts the waiting items of a host's jobs, in the order of the jobs."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Callable, Iterable, Iterator
from typing import TypeAlias

from guavadyke.decisions.forward_job_items import JobItemTracker
from guavadyke.decisions.forward_job_order import ItemRunTimes, JobOrder
from guavadyke.decisions.forward_job_records import ForwardItem


class StartRefusal(enum.Enum):
    """Why an item that was ready has not been started.

    ``earlier_run``: a run of the item from before its job was dropped and
    taken again has not ended yet. ``quarantined``: the claim to try a part of
    its prompt was spent on another item. ``ends_unknown``: this host may not
    have heard that the job has ended.
    """

    run_limit = 'run_limit'
    no_server = 'no_server'
    earlier_run = 'earlier_run'
    quarantined = 'quarantined'
    ends_unknown = 'ends_unknown'


# Refusals that say nothing of the other items of the service.
_OF_ONE_ITEM = frozenset((StartRefusal.earlier_run, StartRefusal.quarantined))

# Starts an item at a server of a service.
StartItem: TypeAlias = Callable[
    [JobItemTracker, ForwardItem, str], StartRefusal | None
]


@dataclasses.dataclass(frozen=True)
class ItemOrder:
    """Tells which items go first at one moment.

    Those that cannot be in time any more go after all others.

    Args:
        jobs: the order of the jobs.
        run_times: how long items run.
        events_of: returns how many events an item of a job has by now.
    """

    jobs: JobOrder
    run_times: ItemRunTimes
    events_of: Callable[[JobItemTracker, ForwardItem], int]

    def is_late(self, work: JobItemTracker, item: ForwardItem) -> bool:
        """Return whether an item ends too late if it starts now."""
        route = self.jobs.route(work.job)
        if route is None:
            return False
        left_s = self.run_times.left_s(route, self.events_of(work, item))
        return self.jobs.is_late(work.job, left_s)

    def items_in_time(self, works: Iterable[JobItemTracker]) -> int:
        """Return how many of the waiting items are not late."""
        return sum(
            not self.is_late(work, state.item)
            for work in works
            if work.loaded
            for state in work.open_items
            if not (state.running or state.held)
        )


def start_items(
    works: Iterable[JobItemTracker],
    order: ItemOrder,
    now: float,
    start: StartItem,
) -> dict[str, StartRefusal]:
    """Start the items that are ready, until each service takes no more.

    Args:
        works: the jobs.
        order: which items go first.
        now: seconds of the monotonic clock.
        start: starts an item, or returns why it does not.

    Returns:
        The last refusal of each job that had one, by job id.
    """
    by_service: dict[str, StartRefusal] = {}
    by_job: dict[str, StartRefusal] = {}
    for work, item, service in _ready_items(works, order, now):
        refusal = by_service.get(service) or start(work, item, service)
        if refusal is not None:
            by_job[work.job.job_id] = refusal
            if refusal not in _OF_ONE_ITEM:
                by_service[service] = refusal
    return by_job


def _ready_items(
    works: Iterable[JobItemTracker], order: ItemOrder, now: float
) -> Iterator[tuple[JobItemTracker, ForwardItem, str]]:
    """Yield the items that may start now, each with its service."""
    ranked = sorted(works, key=lambda work: order.jobs.rank(work.job))
    late = []
    for work in ranked:
        route = order.jobs.route(work.job)
        if route is None:
            continue
        for item in work.startable_items(now):
            ready = (work, item, route.service_of(item.item_id))
            if order.is_late(work, item):
                late.append(ready)
            else:
                yield ready
    yield from late
