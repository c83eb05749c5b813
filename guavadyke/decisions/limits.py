"""Concurrency and rate limits of owners and entries, on one host."""

from __future__ import annotations

import dataclasses
import enum
import math
from collections.abc import Collection, Iterator

from guavadyke.catalogue import Limits
from guavadyke.decisions.rendezvous_hashing import rank_names

FLOOR_SHARE = 0.2
_BURST_S = 1.0
_DEMAND_WINDOW_S = 1.0


class Measure(enum.StrEnum):
    """Quantity that a limit bounds."""

    concurrency = 'concurrency'
    requests_per_s = 'requests_per_s'
    tokens_per_s = 'tokens_per_s'


@dataclasses.dataclass(frozen=True)
class LimitSpec:
    """A fleet-wide limit; ``scope`` names an owner or an entry."""

    scope: str
    measure: Measure
    total: float

    @property
    def name(self) -> str:
        """Name of the limit, the same on all hosts."""
        return f'{self.scope}:{self.measure}'

    @property
    def shared(self) -> float:
        """The part of the total that is granted to hosts by demand."""
        shared = self.total * (1 - FLOOR_SHARE)
        if self.measure is Measure.concurrency:
            return math.ceil(shared)
        return shared

    def zone_floor(self, zones: int) -> float:
        """Return the part that the hosts of a zone may use without a grant.

        Args:
            zones: number of availability zones.
        """
        floor = (self.total - self.shared) / max(1, zones)
        if self.measure is Measure.concurrency:
            return math.floor(floor)
        return floor


def specs(scope: str, limits: Limits) -> Iterator[LimitSpec]:
    """Yield the limits that are configured for an owner or an entry."""
    for measure in Measure:
        total = getattr(limits, measure)
        if total is not None:
            yield LimitSpec(scope, measure, float(total))


def host_floor(
    spec: LimitSpec,
    zones: int,
    host_id: str,
    zone_hosts: Collection[str],
) -> float:
    """Return the part of a limit that a host may use without a grant.

    A concurrency limit is split into whole numbers; hosts that rank first
    for the limit's name get the remainder.

    Args:
        spec: the limit.
        zones: number of availability zones in the fleet.
        host_id: id of this host.
        zone_hosts: ids of the hosts in its zone, this one included.
    """
    floor = spec.zone_floor(zones)
    if spec.measure is not Measure.concurrency:
        return floor / max(1, len(zone_hosts))
    each, left = divmod(int(floor), max(1, len(zone_hosts)))
    first = rank_names(spec.name, zone_hosts)[:left]
    return each + int(host_id in first)


class LimitShare:
    """This host's share of a limit: its floor and a grant that expires."""

    def __init__(self) -> None:
        self.floor: float = 0
        self._granted: float = 0
        self._until = -math.inf

    def grant(self, share: float, until: float) -> None:
        """Replace the grant; it expires at ``until``, monotonic seconds."""
        self._granted = share
        self._until = until

    def has_grant(self, now: float) -> bool:
        """Return whether there is a grant that has not expired."""
        return now < self._until

    def allowed(self, now: float) -> float:
        """Return how much this host may use now, in the limit's unit."""
        granted = self._granted if self.has_grant(now) else 0
        return self.floor + granted


class LocalLimit:
    """Enforces this host's share of one limit.

    A concurrency limit counts the requests in progress. A rate limit is a
    token bucket that holds the amount of one second. A cost above the
    size of the bucket is admitted when the bucket is full, and leaves a
    negative balance. All times are in monotonic seconds.

    Args:
        spec: the limit.
    """

    def __init__(self, spec: LimitSpec) -> None:
        self.spec = spec
        self.share = LimitShare()
        self.used_at = -math.inf
        self._in_use: float = 0
        self._balance: float | None = None
        self._at = -math.inf
        self._demanded: float = 0
        self._demand_since = -math.inf

    @property
    def is_token_rate(self) -> bool:
        """Whether the limit counts model tokens rather than requests."""
        return self.spec.measure is Measure.tokens_per_s

    @property
    def is_concurrency(self) -> bool:
        """Whether the limit bounds the requests in progress."""
        return self.spec.measure is Measure.concurrency

    @property
    def in_use(self) -> float:
        """Requests in progress; 0 for a rate limit."""
        return self._in_use

    def record_demand(self, cost: float, now: float) -> None:
        """Record the cost of a request; called once for each request."""
        if now - self._demand_since > 2 * _DEMAND_WINDOW_S:
            self._demand_since = now
            self._demanded = 0
        elif now - self._demand_since > _DEMAND_WINDOW_S:
            self._demand_since += _DEMAND_WINDOW_S / 2
            self._demanded /= 2
        self._demanded += cost

    def try_charge(self, cost: float, now: float) -> bool:
        """Charge a request to the limit; False where the share is used up."""
        self.used_at = now
        if self.is_concurrency:
            return self._acquire_concurrency(now)
        return self._acquire_rate(cost, now)

    def release(self, cost: float) -> None:
        """End a request in progress, or refund a part of its cost.

        Args:
            cost: amount to refund; not used for a concurrency limit.
        """
        if self.is_concurrency:
            self._in_use -= 1
        elif self._balance is not None:
            self._balance += cost

    def demand(self, now: float) -> float:
        """Return this host's recent demand, in the limit's unit."""
        if self.is_concurrency:
            return self._in_use + self._recent_demand(now)
        elapsed_s = max(_BURST_S, now - self._demand_since)
        return self._recent_demand(now) / elapsed_s

    def retry_after_s(self, now: float) -> float:
        """Return the seconds until a refused request may be admitted."""
        allowed = self.share.allowed(now)
        if self.is_concurrency or allowed <= 0:
            return _BURST_S
        return (1 - (self._balance or 0)) / allowed

    def _acquire_concurrency(self, now: float) -> bool:
        if self._in_use + 1 > self.share.allowed(now):
            return False
        self._in_use += 1
        return True

    def _acquire_rate(self, cost: float, now: float) -> bool:
        rate = self.share.allowed(now)
        bucket_size = max(1, rate * _BURST_S)
        if self._balance is None:
            balance = rate * _BURST_S
        else:
            balance = self._balance + rate * (now - self._at)
        self._at = now
        self._balance = min(bucket_size, balance)
        if rate <= 0 or self._balance < min(cost, bucket_size):
            return False
        self._balance -= cost
        return True

    def _recent_demand(self, now: float) -> float:
        recent = now - self._demand_since <= 2 * _DEMAND_WINDOW_S
        return self._demanded if recent else 0
