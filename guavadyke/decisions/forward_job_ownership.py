"""Ownership of forwarded batch jobs, and route quotas."""

from __future__ import annotations

import collections
import dataclasses
import math
from collections.abc import Collection, Iterable, Mapping

from guavadyke.decisions.forward_job_records import (
    MAX_CLOCK_SKEW_S,
    JobView,
)
from guavadyke.decisions.host_abilities import able_hosts
from guavadyke.decisions.rendezvous_hashing import place, rank_names

# Time for which a job's owner has to be gone before another host takes the job
# over. Longer than a restart, after which the owner goes on.
_TAKE_OVER_AFTER_S = 1.5
# The same for an owner of which a host has never heard. Hosts that saw it go
# take the job over long before; only a host that is alone, or one of a fleet
# that has started anew, has to wait for so long.
_UNKNOWN_LOST_AFTER_S = 4.0
# A host that still learns of others does not know who is missing.
_SETTLED_AFTER_S = 3.0
# Bounds the wait where hosts come and go all the time.
_LONGEST_UNKNOWN_S = 12.0
# A longer time between two looks at the fleet means that this host was
# suspended. What it knows is as old; owners may have come back since.
_PAUSE_S = 2.0
# What such a time counts for, so that an overloaded host is only slower.
_PAUSE_COUNTS_S = 0.5
# The hosts that may take a job over do so one after the other at this distance,
# as those before may be unable to. Longer than hosts need to learn of a claim.
_TAKE_OVER_SPACING_S = 1.0

# Hosts that run batch items. All hosts have to know what each of them has in
# flight, so a large fleet has few, each of which runs many items.
_MIN_BATCH_HOSTS = 16
_BATCH_HOST_SHARE = 0.125


def batch_hosts(hosts: Collection[str]) -> list[str]:
    """Return the live hosts that run batch items.

    All hosts of a small fleet do. Hosts that agree on who is alive agree on
    the choice.
    """
    wanted = max(_MIN_BATCH_HOSTS, int(_BATCH_HOST_SHARE * len(hosts)))
    return rank_names('batch', hosts)[:wanted]


def choose_owner(
    job_id: str,
    me: str,
    others: Iterable[str],
    jobs: Iterable[JobView],
    unable: Collection[str] = (),
) -> str:
    """Return the able batch host with the fewest open jobs.

    Args:
        job_id: decides between hosts with equally many jobs.
        me: id of this host.
        others: ids of the other live hosts.
        jobs: all known jobs.
        unable: ids of hosts that cannot run items.
    """
    able = able_hosts({me, *others}, unable)
    return _least_loaded(job_id, batch_hosts(able), jobs)


def choose_next_owner(
    job_id: str,
    started_at: float,
    others: Mapping[str, float],
    jobs: Iterable[JobView],
    unable: Collection[str] = (),
) -> str:
    """Return the able batch host that gets a job from a host that stops.

    Hosts that have started after it go first: where hosts are restarted one
    after the other, the rest are still to be stopped.

    Args:
        job_id: decides between hosts with equally many jobs.
        started_at: when the host that stops started, in seconds since the
            epoch by its own clock.
        others: when each of the other live hosts started, by its clock.
        jobs: all known jobs.
        unable: ids of hosts that cannot run items.
    """
    hosts = batch_hosts(able_hosts(others.keys(), unable))
    later = [
        host for host in hosts if others[host] - started_at > MAX_CLOCK_SKEW_S
    ]
    return _least_loaded(job_id, later or hosts, jobs)


def _least_loaded(
    job_id: str, hosts: Collection[str], jobs: Iterable[JobView]
) -> str:
    held = collections.Counter(view.owner for view in jobs if view.open)
    return min(rank_names(job_id, hosts), key=lambda host: held[host])


@dataclasses.dataclass(frozen=True)
class HostView:
    """What a host knows of the others, by their ids.

    It may know nothing of hosts that live, above all after its start.
    ``grown_at`` is when it last learned of a live host, in seconds of the
    monotonic clock.
    """

    alive: frozenset[str]
    gone: frozenset[str]
    grown_at: float = -math.inf

    def is_settled(self, now: float) -> bool:
        """Return whether it has learned of no live host for a while."""
        return now - self.grown_at >= _SETTLED_AFTER_S


class AbsenceTracker:
    """Tracks how long owners of open jobs have been absent from the fleet.

    A host that is not known is no lost host: a host that has just started
    knows few of those that live. Nor does time count for which this host
    was suspended.
    """

    def __init__(self) -> None:
        self._updated_at = -math.inf
        self._active_s: float = 0
        self._gone_since: dict[str, float] = {}
        self._unknown_since: dict[str, float] = {}

    def update(
        self, owners: Collection[str], view: HostView, now: float
    ) -> dict[str, float]:
        """Update the absences and return the owners that are lost.

        Args:
            owners: ids of the hosts that own something.
            view: what this host knows of the others.
            now: seconds of the monotonic clock.

        Returns:
            Owners that have been gone, or unknown, for long enough, each with
            the seconds since then.
        """
        idle_s = now - self._updated_at
        self._updated_at = now
        self._active_s += _PAUSE_COUNTS_S if idle_s > _PAUSE_S else idle_s
        active_s = self._active_s
        absent = frozenset(owners) - view.alive
        self._gone_since = _still_since(
            self._gone_since, absent & view.gone, active_s
        )
        self._unknown_since = _still_since(
            self._unknown_since, absent - view.gone, active_s
        )
        unknown_after_s = (
            _UNKNOWN_LOST_AFTER_S
            if view.is_settled(now)
            else _LONGEST_UNKNOWN_S
        )
        return {
            **_past(self._unknown_since, unknown_after_s, active_s),
            **_past(self._gone_since, _TAKE_OVER_AFTER_S, active_s),
        }


def _still_since(
    since: Mapping[str, float], names: Iterable[str], now: float
) -> dict[str, float]:
    return {name: since.get(name, now) for name in names}


def _past(
    since: Mapping[str, float], after_s: float, now: float
) -> dict[str, float]:
    """Return the seconds by which hosts have been absent for longer."""
    return {
        name: now - began_at - after_s
        for name, began_at in since.items()
        if now - began_at >= after_s
    }


def jobs_to_take_over(
    jobs: Iterable[JobView],
    lost: Mapping[str, float],
    me: str,
    alive: Collection[str],
    unable: Collection[str] = (),
) -> list[JobView]:
    """Return the open jobs of lost hosts that this host takes over now.

    Rendezvous hashing ranks the able batch hosts for each job. The first takes
    it over at once, each of the others a while after the one before it.

    Args:
        jobs: all known jobs.
        lost: seconds since when the owners of jobs are lost.
        me: id of this host.
        alive: ids of the other live hosts.
        unable: ids of hosts that cannot run items.
    """
    hosts = batch_hosts(able_hosts({me, *alive}, unable))
    if me not in hosts:
        return []
    return [
        view
        for view in jobs
        if view.open
        and view.owner in lost
        and place(view.job.job_id, me, hosts) * _TAKE_OVER_SPACING_S
        <= lost[view.owner]
    ]


@dataclasses.dataclass(frozen=True)
class QuotaCheck:
    """Whether a job fits its quota; ``excess`` is tokens above it."""

    fits: bool
    excess: int = 0


def check_quota(
    route: str,
    tokens: int,
    limit: int,
    jobs: Mapping[str, JobView],
    team: str | None = None,
) -> QuotaCheck:
    """Check a new job against the limit of waiting tokens of its route.

    Args:
        route: name of the route.
        tokens: total tokens of the new job.
        limit: tokens of a team that may wait on the route; 0 for no limit.
        jobs: all known jobs by id.
        team: name of the team that submits the job, empty for none; None
            where there are no teams, so that the jobs of all count.
    """
    waiting = sum(
        view.waiting_tokens
        for view in jobs.values()
        if view.job.route == route and team in {None, view.job.team}
    )
    excess = waiting + tokens - limit
    if limit <= 0 or excess <= 0:
        return QuotaCheck(fits=True)
    return QuotaCheck(fits=False, excess=excess)
