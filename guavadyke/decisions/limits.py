"""Limits of owners and entries as one host enforces them."""

from __future__ import annotations

import dataclasses
import enum
import math
from collections.abc import Collection, Iterator

from guavadyke.catalogue import Limits
from guavadyke.decisions.rendezvous_hashing import rank_names

FLOOR_SHARE = 0.2
_BURST_S = 1.0
_DEMAND_KEPT_S = 1.0


class Measure(enum.StrEnum):
    """What a limit bounds."""

    concurrency = 'concurrency'
    requests_per_s = 'requests_per_s'
    tokens_per_s = 'tokens_per_s'


@dataclasses.dataclass(frozen=True)
class LimitSpec:
    """One limit over the whole fleet; ``scope`` is an owner or an entry."""

    scope: str
    measure: Measure
    total: float

    @property
    def name(self) -> str:
        """Name that all hosts use for it."""
        return f'{self.scope}:{self.measure}'

    @property
    def shared(self) -> float:
        """The part that is granted by demand."""
        shared = self.total * (1 - FLOOR_SHARE)
        if self.measure is Measure.concurrency:
            return math.ceil(shared)
        return shared

    def floor_of_zone(self, zones: int) -> float:
        """Return the part that a zone may always use."""
        floor = (self.total - self.shared) / max(1, zones)
        if self.measure is Measure.concurrency:
            return math.floor(floor)
        return floor


def specs(scope: str, limits: Limits) -> Iterator[LimitSpec]:
    """Yield the limits that are set for an owner or an entry."""
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
    """Return the part of a limit that a host may always use.

    Args:
        spec: the limit.
        zones: availability zones of the fleet.
        host_id: this host.
        zone_hosts: hosts of its zone, this one included.
    """
    floor = spec.floor_of_zone(zones)
    if spec.measure is not Measure.concurrency:
        return floor / max(1, len(zone_hosts))
    each, left = divmod(int(floor), max(1, len(zone_hosts)))
    first = rank_names(spec.name, zone_hosts)[:left]
    return each + int(host_id in first)


class Share:
    """What this host may use of a limit: its floor and a leased grant."""

    def __init__(self) -> None:
        self.floor: float = 0
        self._granted: float = 0
        self._until = -math.inf

    def grant(self, share: float, until: float) -> None:
        """Take a grant that ends by itself."""
        self._granted = share
        self._until = until

    def granted(self, now: float) -> bool:
        """Return whether a grant is in force."""
        return now < self._until

    def allowed(self, now: float) -> float:
        """Return what may be used now."""
        granted = self._granted if self.granted(now) else 0
        return self.floor + granted


class LocalLimit:
    """One limit on this host.

    A concurrency counts uses that have not ended. A rate is a bucket that
    holds what one second brings; a cost above that is let in when the
    bucket is full and leaves a debt.

    Args:
        spec: the limit.
    """

    def __init__(self, spec: LimitSpec) -> None:
        self.spec = spec
        self.share = Share()
        self.used_at = -math.inf
        self._in_use: float = 0
        self._balance: float | None = None
        self._at = -math.inf
        self._wanted: float = 0
        self._wanted_since = -math.inf

    @property
    def is_token_rate(self) -> bool:
        """Whether a use costs tokens."""
        return self.spec.measure is Measure.tokens_per_s

    @property
    def is_concurrency(self) -> bool:
        """Whether a use holds a place until it ends."""
        return self.spec.measure is Measure.concurrency

    @property
    def in_use(self) -> float:
        """Uses that have not ended."""
        return self._in_use

    def want(self, cost: float, now: float) -> None:
        """Count a cost that a request asks for, once a request."""
        if now - self._wanted_since > 2 * _DEMAND_KEPT_S:
            self._wanted_since = now
            self._wanted = 0
        elif now - self._wanted_since > _DEMAND_KEPT_S:
            self._wanted_since += _DEMAND_KEPT_S / 2
            self._wanted /= 2
        self._wanted += cost

    def take(self, cost: float, now: float) -> bool:
        """Use the limit if this host's share allows it."""
        self.used_at = now
        if self.is_concurrency:
            return self._take_place(now)
        return self._take_rate(cost, now)

    def give_back(self, cost: float) -> None:
        """End a use, or return the part of a cost that was not needed."""
        if self.is_concurrency:
            self._in_use -= 1
        elif self._balance is not None:
            self._balance += cost

    def demand(self, now: float) -> float:
        """Return what this host wants, in the limit's unit."""
        if self.is_concurrency:
            return self._in_use + self._wanted_lately(now)
        elapsed_s = max(_BURST_S, now - self._wanted_since)
        return self._wanted_lately(now) / elapsed_s

    def retry_after_s(self, now: float) -> float:
        """Return the seconds until a refused use may be allowed."""
        allowed = self.share.allowed(now)
        if self.is_concurrency or allowed <= 0:
            return _BURST_S
        return (1 - (self._balance or 0)) / allowed

    def _take_place(self, now: float) -> bool:
        if self._in_use + 1 > self.share.allowed(now):
            return False
        self._in_use += 1
        return True

    def _take_rate(self, cost: float, now: float) -> bool:
        rate = self.share.allowed(now)
        most = max(1, rate * _BURST_S)
        if self._balance is None:
            balance = rate * _BURST_S
        else:
            balance = self._balance + rate * (now - self._at)
        self._at = now
        self._balance = min(most, balance)
        if rate <= 0 or self._balance < min(cost, most):
            return False
        self._balance -= cost
        return True

    def _wanted_lately(self, now: float) -> float:
        recent = now - self._wanted_since <= 2 * _DEMAND_KEPT_S
        return self._wanted if recent else 0
