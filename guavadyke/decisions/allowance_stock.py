"""Permits of teams that a host has got, and what it does without an issuer.

Answers a host that is cut off from the issuers of a team: the local buckets of
all hosts together issue no more than the team's limit.
"""

from __future__ import annotations

import collections
import dataclasses
import itertools
import random

from guavadyke.decisions.team_allowances import (
    MIN_RATE_PER_S,
    MOST_PERMITS,
    PERMIT_VALID_S,
    AllowancePermit,
    AllowanceRequest,
    TokenBucket,
)

# An issuer that did not answer is asked again after this time.
_LONGEST_RETRY_S = 2.0
# Time's worth of a host's part that permits of issuers may have used ahead.
_LONGEST_DEBT_S = 2.0
# Local buckets that are unused for this time are drawn anew.
_UNUSED_S = 60.0


@dataclasses.dataclass(frozen=True)
class Grant:
    """One request may run until ``valid_until``."""

    valid_until: float


@dataclasses.dataclass(frozen=True)
class Denial:
    """No request may run for ``wait_s``.

    ``over`` tells that the team is over its allowance, as far as is known to
    the issuer.
    """

    wait_s: float
    over: bool = True


class _Held:
    """What a host holds of one team."""

    def __init__(self) -> None:
        self.valid_until: collections.deque[float] = collections.deque()
        self.closed_until: float = 0
        self.asked_at: float = 0
        self._requested_at: collections.deque[float] = collections.deque()

    def count_request(self, now: float) -> None:
        self._requested_at.append(now)
        while self._requested_at[0] < now - PERMIT_VALID_S:
            self._requested_at.popleft()

    @property
    def wanted(self) -> int:
        """Requests in the time in which a permit is valid."""
        return max(1, min(MOST_PERMITS, len(self._requested_at)))


class AllowanceStock:
    """Permits of teams that a host has got. Not thread-safe.

    All times are in seconds of the monotonic clock.
    """

    def __init__(self) -> None:
        self._held: dict[str, _Held] = collections.defaultdict(_Held)

    def count_request(self, team: str, now: float) -> None:
        """Record that a request of a team wants to run."""
        self._held[team].count_request(now)

    def ask(self, limit: AllowanceRequest, now: float) -> AllowanceRequest:
        """Record that permits are asked for; return the request for them."""
        held = self._held[limit.team]
        held.asked_at = now
        return dataclasses.replace(limit, wanted=held.wanted)

    def add(self, permit: AllowancePermit, now: float) -> None:
        """Add an answer.

        Permits are valid from the time at which they were asked for, so that
        those that a suspended host finds when it resumes have expired.
        """
        held = self._held[permit.team]
        if permit.count:
            valid_s = min(PERMIT_VALID_S, permit.valid_s)
            count = min(MOST_PERMITS, permit.count)
            held.valid_until.extend(
                itertools.repeat(held.asked_at + valid_s, count)
            )
            held.closed_until = 0
        else:
            held.closed_until = now + permit.wait_s

    def give_back(self, team: str, grant: Grant) -> None:
        """Take back the permit of a request that did not run."""
        self._held[team].valid_until.append(grant.valid_until)

    def verdict(self, team: str, now: float) -> Grant | Denial | None:
        """Use a permit; return None if it has to be asked for first."""
        held = self._held[team]
        while held.valid_until:
            valid_until = held.valid_until.popleft()
            if valid_until > now:
                return Grant(valid_until)
        if held.closed_until > now:
            return Denial(held.closed_until - now)
        return None

    def remove_unused(self, now: float) -> None:
        """Remove what is held of teams without requests."""
        unused = [
            team
            for team, held in self._held.items()
            if max(held.asked_at, held.closed_until) < now - _UNUSED_S
        ]
        for team in unused:
            self._held.pop(team)


class LocalAllowances:
    """This host's equal part of each limit, for when no issuer answers.

    The permits of issuers are charged to it as well. So a host that loses
    some of the answers gets no more than its part besides them. Not
    thread-safe.

    Args:
        rng: draws the first levels, so that the hosts of a fleet without an
            issuer together begin with the rate and not with a burst.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._buckets: dict[str, TokenBucket] = {}

    def charge(self, limit: AllowanceRequest, hosts: int, now: float) -> None:
        """Charge a permit of an issuer.

        Args:
            limit: the limit.
            hosts: the most hosts that were alive at once.
            now: seconds of the monotonic clock.
        """
        bucket = self._refilled(limit, hosts, now)
        least = -1 - _LONGEST_DEBT_S * _part_per_s(limit, hosts)
        bucket.level = max(least, bucket.level - 1)

    def take(
        self, limit: AllowanceRequest, hosts: int, now: float
    ) -> Grant | Denial:
        """Decide on one request with this host's part of the limit.

        Args:
            limit: the limit.
            hosts: the most hosts that were alive at once.
            now: seconds of the monotonic clock.
        """
        bucket = self._refilled(limit, hosts, now)
        if bucket.level < 1:
            wait_s = (1 - bucket.level) / _part_per_s(limit, hosts)
            return Denial(min(_LONGEST_RETRY_S, wait_s), over=False)
        bucket.level -= 1
        return Grant(now + PERMIT_VALID_S)

    def remove_unused(self, now: float) -> None:
        """Remove the buckets of teams without requests."""
        self._buckets = {
            team: bucket
            for team, bucket in self._buckets.items()
            if now - bucket.updated_at < _UNUSED_S
        }

    def _refilled(
        self, limit: AllowanceRequest, hosts: int, now: float
    ) -> TokenBucket:
        bucket = self._buckets.get(limit.team)
        if bucket is None:
            bucket = TokenBucket(self._rng.random(), now)
            self._buckets[limit.team] = bucket
        capacity = max(1, limit.burst / hosts)
        bucket.refill(_part_per_s(limit, hosts), capacity, now)
        return bucket


def _part_per_s(limit: AllowanceRequest, hosts: int) -> float:
    return max(MIN_RATE_PER_S, limit.requests_per_s / hosts)
