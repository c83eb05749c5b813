"""Order in which batch jobs and their items get slots.

Answers more items than the slots can run until they are due. The job that is
due first goes first, but not with items that would be late anyway: otherwise,
behind a backlog, each job would wait for one that gains nothing any more, and
all of them would end a little late.
"""

from __future__ import annotations

import collections
import dataclasses
import functools
from collections.abc import Iterable, Mapping

from guavadyke.decisions.forward_job_records import AcceptedJob, JobView
from guavadyke.decisions.forward_routes import ForwardRoute, RouteTable

# Share of the time until a job is due after which its items no longer leave
# room for the next peak of online requests.
_PRESSING_SHARE = 0.4
# Part of the time between the moment at which a job is due and the one at which
# its items may be given up, after which late items go first again.
_LATE_SHARE = 0.5
# The same in multiples of the time until it is due, where items are never
# given up.
_LATE_TARGETS = 3.0
# Share of the time until a job is due that an item is expected to run for, as
# long as none has been completed.
_UNKNOWN_RUN_SHARE = 0.25
# An item that is longer than expected is expected to go on for this share of
# what it has run.
_OVERRUN_SHARE = 0.25
# Runs with fewer events say little, as they may have waited for the first one.
_MIN_EVENTS = 20
# Weight that earlier observations keep at each new one, so that about the last
# 20 count.
_KEPT_PER_OBSERVATION = 0.95


@dataclasses.dataclass(frozen=True)
class JobOrder:
    """Tells which jobs go first at one moment.

    Args:
        table: the routes.
        wall: the moment, in seconds since the epoch.
    """

    table: RouteTable
    wall: float

    def route(self, job: AcceptedJob) -> ForwardRoute | None:
        """Return the route of a job, None if it is not configured."""
        return self._routes.get(job.route)

    def due_at(self, job: AcceptedJob) -> float:
        """Return when a job's results are due, in seconds since the epoch.

        A job whose route is not configured is due at once.
        """
        route = self.route(job)
        if route is None:
            return job.accepted_at
        return job.accepted_at + route.target_complete_s

    def is_pressing(self, job: AcceptedJob) -> bool:
        """Return whether a job has used a large part of its time."""
        target_s = self.due_at(job) - job.accepted_at
        return self.wall - job.accepted_at >= _PRESSING_SHARE * target_s

    def is_late(self, job: AcceptedJob, left_s: float = 0) -> bool:
        """Return whether an item that still runs for some time ends too late.

        Items of a job that has been late for long do not count as late: they
        must not step back any further.
        """
        route = self.route(job)
        if route is None or not route.target_complete_s:
            return False
        age_s = self.wall - job.accepted_at
        return (
            age_s + left_s > route.target_complete_s
            and age_s < _longest_late_s(route)
        )

    def rank(self, job: AcceptedJob) -> tuple[bool, float, str]:
        """Return a key to sort jobs by, the one that goes first first."""
        return (self.is_late(job), self.due_at(job), job.job_id)

    def owners(self, jobs: Iterable[JobView]) -> tuple[str, ...]:
        """Return the owners of open jobs, that of the first job first."""
        ranked = sorted(
            (view for view in jobs if view.open),
            key=lambda view: self.rank(view.job),
        )
        return tuple(dict.fromkeys(view.owner for view in ranked))

    @functools.cached_property
    def _routes(self) -> Mapping[str, ForwardRoute]:
        return {route.name: route for route in self.table.routes}


class ItemRunTimes:
    """Learns how long the items of each route run on the servers.

    Not safe for threads.
    """

    def __init__(self) -> None:
        self._event_s: dict[str, _Ratio] = collections.defaultdict(_Ratio)
        self._events: dict[str, _Ratio] = collections.defaultdict(_Ratio)

    def record_run(
        self,
        route: str,
        held_s: float,
        events: int,
        resumed_at: int = 0,
        *,
        whole: bool,
    ) -> None:
        """Learn from a run that has ended.

        Args:
            route: name of the item's route.
            held_s: how long the run has held its slot, in seconds.
            events: how many events the item has by now.
            resumed_at: how many of them it had from earlier runs.
            whole: whether these are all of its events.
        """
        if events - resumed_at >= _MIN_EVENTS:
            self._event_s[route].add(held_s, events - resumed_at)
        if whole:
            self._events[route].add(events, 1)

    def left_s(self, route: ForwardRoute, events: int) -> float:
        """Return how long an item still runs after some events, in seconds."""
        event_s = self._event_s[route.name].mean
        whole_s = self._events[route.name].mean * event_s
        if not whole_s:
            whole_s = _UNKNOWN_RUN_SHARE * route.target_complete_s
        done_s = events * event_s
        return max(whole_s - done_s, _OVERRUN_SHARE * done_s)


class _Ratio:
    """Ratio of two sums in which old observations count less."""

    def __init__(self) -> None:
        self._above: float = 0
        self._below: float = 0

    def add(self, above: float, below: float) -> None:
        self._above = self._above * _KEPT_PER_OBSERVATION + above
        self._below = self._below * _KEPT_PER_OBSERVATION + below

    @property
    def mean(self) -> float:
        return self._above / self._below if self._below else 0


def _longest_late_s(route: ForwardRoute) -> float:
    """Return the age at which the items of a late job go first again."""
    target_s = route.target_complete_s
    if not route.abandon_after_s:
        return _LATE_TARGETS * target_s
    return target_s + _LATE_SHARE * (route.abandon_after_s - target_s)
