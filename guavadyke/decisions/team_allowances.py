"""Allowances of teams: requests a second and a burst, over all hosts.

Answers a team that sends many times its usual load: one host issues the
permits of the team, so that its limit holds over the whole fleet, and what is
above it is refused before it reaches a server.
"""

from __future__ import annotations

import dataclasses
import math
from typing import Protocol

from guavadyke.decisions.teams import Team

# Time in which a permit may be used. It lengthens the window in which a limit
# holds, 5 s, by the tenth that the limit may be exceeded by.
PERMIT_VALID_S = 0.5
# Levels in permits that even a small team has, so that requests that come
# together by chance are not refused. Before and after a change of the issuer
# they add up to less than the 20 requests that a window may exceed a limit by.
_LEAST_CAPACITY = 10.0
_LEAST_START = 8.0
_START_SHARE = 0.25
# Idle time that counts for a host that was suspended or was not the issuer:
# another host may have issued permits then.
_LONGEST_IDLE_S = 2.0
# Part of a limit that an issuer gives out. The rest is for hosts that no
# issuer answers and that decide on their own until the fleet notices.
_ISSUED_SHARE = 0.97
# Most of a limit that the host that stands in for an issuer issues. Both may
# issue until a cut of the fleet is noticed, about 2 s: at 0.65 a hot team with
# 100 requests a second and no burst ran up to 579 in 5 s, allowed 570.
_SUBSTITUTE_SHARE = 0.5
# Time in which a host that asked the substitute counts as one without issuer.
_SUBSTITUTE_HOSTS_S = 5.0
# Hosts without issuer for each of those: not every host has a request by then.
_HOSTS_PER_ASKING_HOST = 3
# Hosts that wait for a permit return more often than there are permits, since
# some have no request by then.
_REQUESTS_PER_PERMIT = 2
_LONGEST_WAIT_S = 1.0
# Most requests for permits of one refused team that reach its issuer: about
# 12 KB/s of datagrams.
_WAITING_REQUESTS_PER_S = 80.0
_MIN_WAIT_S = 0.02
# Permits that a host may get at once.
MOST_PERMITS = 50
_USAGE_S = 5.0
_UNUSED_S = 600.0
MIN_RATE_PER_S = 1e-6


@dataclasses.dataclass(frozen=True)
class AllowanceRequest:
    """A host asks for permits of a team.

    ``requests_per_s`` and ``burst`` are the limit in the version
    ``configuration``, 0 requests a second for none; ``wanted`` is the number
    of requests that the host expects while permits are valid.
    """

    team: str
    requests_per_s: float
    burst: float
    configuration: int
    wanted: int = 1


@dataclasses.dataclass(frozen=True)
class AllowancePermit:
    """The answer: ``count`` requests within ``valid_s``, or none for a time.

    ``wait_s`` is the time after which to ask again. ``usage`` is the rate of
    issued permits divided by the allowed rate.
    """

    team: str
    count: int = 0
    valid_s: float = 0
    wait_s: float = 0
    usage: float = 0


@dataclasses.dataclass
class TokenBucket:
    """A bucket of permits; ``updated_at`` is in seconds of its owner's time."""

    level: float
    updated_at: float

    def refill(self, per_s: float, capacity: float, now: float) -> None:
        """Add the tokens since the last call, up to the capacity."""
        gained = per_s * max(0, now - self.updated_at)
        self.level = min(capacity, self.level + gained)
        self.updated_at = now


@dataclasses.dataclass(frozen=True)
class IssuerRole:
    """What a host issues of a team's limit.

    ``share`` is the share of the fleet that it sees, ``hosts`` the number of
    hosts in it; ``substitute`` tells that another host is the issuer.
    """

    share: float = 1
    hosts: int = 1
    substitute: bool = False


class IssuerTest(Protocol):
    """Tells whether this host is the issuer of a team."""

    def is_issuer(self, team: str) -> bool:
        """Return whether this host is the issuer of a team."""
        ...


class _Account:
    """The permits of one team that a host may issue."""

    def __init__(self, limit: AllowanceRequest, bucket: TokenBucket) -> None:
        self._limit = limit
        self.bucket = bucket
        self._lapsed = False
        self._issued_per_s: float = 0
        # Until when hosts wait for a permit, and when each has asked.
        self._waiting: dict[str, float] = {}
        self._asked_at: dict[str, float] = {}

    def learn(self, limit: AllowanceRequest) -> None:
        """Use a limit unless a later one is known."""
        if limit.configuration >= self._limit.configuration:
            self._limit = limit

    def lapse(self) -> None:
        """Note that another host has become the issuer."""
        self._lapsed = True

    def issue(
        self,
        request: AllowanceRequest,
        host_id: str,
        role: IssuerRole,
        now: float,
    ) -> AllowancePermit:
        if self._limit.requests_per_s <= 0:
            return AllowancePermit(request.team, 1, PERMIT_VALID_S)
        self._asked_at[host_id] = now
        per_s = self._limit.requests_per_s * self._scale(role, now)
        capacity = _capacity(self._limit, role)
        self._refill(per_s, capacity, role, now)
        self._waiting = {
            host: until
            for host, until in self._waiting.items()
            if until > now and host != host_id
        }
        bucket = self.bucket
        if bucket.level < 1:
            wait_s = self._wait_s(per_s)
            self._waiting[host_id] = now + wait_s
            return AllowancePermit(
                request.team, wait_s=wait_s, usage=self._usage(per_s)
            )
        spare = min(bucket.level - capacity / 2, request.wanted, MOST_PERMITS)
        count = max(1, int(spare))
        bucket.level -= count
        self._issued_per_s += count / _USAGE_S
        return AllowancePermit(
            request.team, count, PERMIT_VALID_S, usage=self._usage(per_s)
        )

    def _refill(
        self, per_s: float, capacity: float, role: IssuerRole, now: float
    ) -> None:
        bucket = self.bucket
        if self._lapsed:
            self._lapsed = False
            start = _start(self._limit, role.share)
            bucket.level = min(bucket.level, start)
            bucket.updated_at = max(bucket.updated_at, now - _LONGEST_IDLE_S)
        idle_s = now - bucket.updated_at
        self._issued_per_s *= math.exp(-max(0, idle_s) / _USAGE_S)
        bucket.refill(per_s, capacity, now)

    def _scale(self, role: IssuerRole, now: float) -> float:
        """Return the share of the limit that may be issued.

        A host that lost one datagram asks the substitute too, while the
        issuer issues the whole limit. So the substitute issues the share of
        the hosts that ask it.
        """
        if not role.substitute:
            return _ISSUED_SHARE * role.share
        self._asked_at = {
            host: at
            for host, at in self._asked_at.items()
            if at > now - _SUBSTITUTE_HOSTS_S
        }
        asking = len(self._asked_at) / max(1, role.hosts)
        return role.share * min(
            _SUBSTITUTE_SHARE, _HOSTS_PER_ASKING_HOST * asking
        )

    def _wait_s(self, per_s: float) -> float:
        """Return when a host is to ask again, spread over those that wait."""
        waiting = len(self._waiting)
        ahead = waiting / _REQUESTS_PER_PERMIT
        missing = 1 - self.bucket.level
        longest_s = max(_LONGEST_WAIT_S, waiting / _WAITING_REQUESTS_PER_S)
        wait_s = (missing + ahead) / max(MIN_RATE_PER_S, per_s)
        return min(longest_s, max(_MIN_WAIT_S, wait_s))

    def _usage(self, per_s: float) -> float:
        return self._issued_per_s / max(MIN_RATE_PER_S, per_s)


class AllowanceIssuer:
    """Issues the permits of teams to all hosts. Not thread-safe.

    All times are in seconds of the monotonic clock. ``tick`` has to be called
    at least every 2 s: other hosts may have issued permits in a longer time.

    Args:
        now: the time at which the host starts.
    """

    def __init__(self, now: float) -> None:
        self._accounts: dict[tuple[str, bool], _Account] = {}
        self._ticked_at = now
        # Time in which this host was not suspended.
        self._active_s: float = 0
        self._hosts_changed_at: float = 0

    def tick(self, now: float) -> None:
        """Record that the host was not suspended before."""
        idle_s = max(0, now - self._ticked_at)
        self._active_s += min(_LONGEST_IDLE_S, idle_s)
        self._ticked_at = now

    def remove_unused(self) -> None:
        """Remove the accounts of teams that have had no request for long."""
        self._accounts = {
            key: account
            for key, account in self._accounts.items()
            if self._active_s - account.bucket.updated_at < _UNUSED_S
        }

    def hosts_changed(self, ranking: IssuerTest) -> None:
        """Note that this host may not be the issuer of a team any more.

        Args:
            ranking: tells whether it is.
        """
        self._hosts_changed_at = self._active_s
        for (team, _substitute), account in self._accounts.items():
            if not ranking.is_issuer(team):
                account.lapse()

    def issue(
        self,
        request: AllowanceRequest,
        host_id: str,
        role: IssuerRole,
        now: float,
    ) -> AllowancePermit:
        """Answer a request of a host.

        Args:
            request: the request, with the latest limit that is known here.
            host_id: the host that asks.
            role: what this host issues of the limit.
            now: seconds of the monotonic clock.
        """
        self.tick(now)
        key = (request.team, role.substitute)
        account = self._accounts.get(key)
        if account is None:
            account = _Account(request, self._first_bucket(request, role))
            self._accounts[key] = account
        account.learn(request)
        return account.issue(request, host_id, role, self._active_s)

    def _first_bucket(
        self, limit: AllowanceRequest, role: IssuerRole
    ) -> TokenBucket:
        """Return the bucket of a team that has not asked this host before.

        While the live hosts stayed the same no other host was its issuer.
        """
        start = _start(limit, role.share)
        if role.substitute:
            return TokenBucket(start, self._active_s)
        return TokenBucket(start, self._hosts_changed_at)


def latest_limit(
    request: AllowanceRequest, team: Team | None, version: int
) -> AllowanceRequest:
    """Return a request with the later one of two limits.

    Args:
        request: the request, with the limit that its sender knows.
        team: the team as this host knows it, None if it does not.
        version: the version of the configuration on this host.
    """
    if team is None or request.configuration > version:
        return request
    return dataclasses.replace(
        request,
        requests_per_s=team.requests_per_s,
        burst=team.burst,
        configuration=version,
    )


def _capacity(limit: AllowanceRequest, role: IssuerRole) -> float:
    """Return the most permits that pile up.

    A substitute keeps fewer, since the issuer may have issued its own.
    """
    if role.substitute:
        return max(1, _start(limit, role.share))
    return max(1, role.share * max(_LEAST_CAPACITY, limit.burst))


def _start(limit: AllowanceRequest, share: float) -> float:
    return share * max(_LEAST_START, _START_SHARE * limit.burst)
