"""Starts the waiting items of a host's jobs, earliest job first."""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable, Iterator
from typing import TypeAlias

from guavadyke.decisions.forward_job_items import JobItemTracker
from guavadyke.decisions.forward_job_ownership import due_at
from guavadyke.decisions.forward_job_records import ForwardItem
from guavadyke.decisions.forward_routes import RouteTable


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


def start_items(
    works: Iterable[JobItemTracker],
    table: RouteTable,
    now: float,
    start: StartItem,
) -> dict[str, StartRefusal]:
    """Start the items that are ready, until each service takes no more.

    Args:
        works: the jobs.
        table: the routes.
        now: seconds of the monotonic clock.
        start: starts an item, or returns why it does not.

    Returns:
        The last refusal of each job that had one, by job id.
    """
    by_service: dict[str, StartRefusal] = {}
    by_job: dict[str, StartRefusal] = {}
    for work, item, service in _ready_items(works, table, now):
        refusal = by_service.get(service) or start(work, item, service)
        if refusal is not None:
            by_job[work.job.job_id] = refusal
            if refusal not in _OF_ONE_ITEM:
                by_service[service] = refusal
    return by_job


def _ready_items(
    works: Iterable[JobItemTracker], table: RouteTable, now: float
) -> Iterator[tuple[JobItemTracker, ForwardItem, str]]:
    """Yield the items that may start now, each with its service."""
    by_due = sorted(works, key=lambda work: due_at(work.job, table))
    for work in by_due:
        route = table.route_by_name(work.job.route)
        if route is None:
            continue
        for item in work.startable_items(now):
            yield work, item, route.service_of(item.item_id)
