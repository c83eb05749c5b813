"""Which host works on a job, and whether a job fits its route's quota."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Collection, Iterable, Mapping

from guavadyke.decisions.forward_job_records import AcceptedJob, JobView
from guavadyke.decisions.forward_routes import RouteTable
from guavadyke.decisions.rendezvous_hashing import rank_names, rendezvous

# Seconds for which the owner of a job has to be unknown or dead before
# another host takes the job; longer than a restart takes.
_TAKE_OVER_S = 1.5


def first_owner(
    job_id: str,
    me: str,
    others: Iterable[str],
    jobs: Iterable[JobView],
) -> str:
    """Return the live host with the fewest open jobs."""
    held = collections.Counter(view.owner for view in jobs if view.open)
    hosts = rank_names(job_id, {me, *others})
    return min(hosts, key=lambda host: held[host])


def due_at(job: AcceptedJob, table: RouteTable) -> float:
    """Return when a job's results are due, in seconds since the epoch."""
    route = table.named(job.route)
    if route is None:
        return job.accepted_at
    return job.accepted_at + route.target_complete_s


def due_order(
    jobs: Iterable[JobView],
    table: RouteTable,
) -> tuple[str, ...]:
    """Return the hosts that have open jobs, the first due first."""
    opened = sorted(
        (view for view in jobs if view.open),
        key=lambda view: (due_at(view.job, table), view.job.job_id),
    )
    return tuple(dict.fromkeys(view.owner for view in opened))


class AbsenceTracker:
    """Since when the owners of open jobs are absent from the fleet."""

    def __init__(self) -> None:
        self._since: dict[str, float] = {}

    def note(
        self,
        owners: Collection[str],
        alive: Collection[str],
        now: float,
    ) -> frozenset[str]:
        """Return the owners that are absent for too long."""
        absent = set(owners) - set(alive)
        self._since = {owner: self._since.get(owner, now) for owner in absent}
        return frozenset(
            owner
            for owner, since in self._since.items()
            if now - since >= _TAKE_OVER_S
        )


def jobs_to_take_over(
    jobs: Iterable[JobView],
    lost: Collection[str],
    me: str,
    alive: Collection[str],
) -> list[JobView]:
    """Return the jobs of lost hosts that fall to this host."""
    return [
        view
        for view in jobs
        if view.open
        and view.owner in lost
        and rendezvous(view.job.job_id, {me, *alive}) == me
    ]


@dataclasses.dataclass(frozen=True)
class QuotaVerdict:
    """Whether a job fits; ``excess`` is by how many tokens it does not."""

    fits: bool
    excess: int = 0


def check_quota(
    route: str,
    tokens: int,
    limit: int,
    jobs: Mapping[str, JobView],
) -> QuotaVerdict:
    """Judge a job by the tokens that wait on its route; 0 is no limit."""
    waiting = sum(
        view.waiting_tokens for view in jobs.values() if view.job.route == route
    )
    excess = waiting + tokens - limit
    if limit <= 0 or excess <= 0:
        return QuotaVerdict(fits=True)
    return QuotaVerdict(fits=False, excess=excess)
