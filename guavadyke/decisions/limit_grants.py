"""Grants of shares of a fleet-wide limit to hosts, by their demand."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Mapping

from guavadyke.decisions.limits import LimitSpec, Measure

GRANT_S = 1.0
_SPREAD_SPARE_SHARE = 0.5
_ACCOUNT_TTL_S = 60.0


@dataclasses.dataclass(frozen=True)
class HostDemand:
    """Demand of one host for a limit.

    ``wanted`` is the share it asks for; ``in_use`` is what its running
    requests use, which it can't return at once.
    """

    host_id: str
    wanted: float
    in_use: float = 0


@dataclasses.dataclass(frozen=True)
class _Grant:
    share: float
    until: float


class _Account:
    """Latest demand and unexpired grants of one host."""

    def __init__(self) -> None:
        self.demand = HostDemand('', 0)
        self._asked_at = -math.inf
        self._granted: list[_Grant] = []

    @property
    def expires_at(self) -> float:
        """Time at which this account is removed, in monotonic seconds."""
        return self._asked_at + _ACCOUNT_TTL_S

    def ask(self, demand: HostDemand, now: float) -> None:
        """Replace the demand of the host."""
        self.demand = demand
        self._asked_at = now

    def grant(self, share: float, now: float) -> None:
        """Add a grant; earlier ones still count until they expire."""
        self._granted = [one for one in self._granted if one.until > now]
        self._granted.append(_Grant(share, now + GRANT_S))

    def held(self, now: float) -> float:
        """Return the share that the host may be using at most."""
        granted = (one.share for one in self._granted if one.until > now)
        return max(self.demand.in_use, *granted, 0)


class GrantTracker:
    """Tracks the shares of one limit that a coordinator has granted.

    A grant counts until it expires, and a host's reported use until its
    next report, so that the sum never exceeds the limit when hosts join,
    leave or stop responding.
    """

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}

    def grant_share(
        self,
        spec: LimitSpec,
        demand: HostDemand,
        now: float,
        *,
        granting: bool,
    ) -> float:
        """Grant a host its share for ``GRANT_S`` seconds and return it.

        Args:
            spec: the limit.
            demand: demand of the host.
            now: seconds of the monotonic clock.
            granting: False while grants of an earlier coordinator may still
                be valid; the demand is then recorded and 0 returned.
        """
        self._remove_expired(now)
        account = self._accounts.setdefault(demand.host_id, _Account())
        account.ask(demand, now)
        if not granting:
            return 0
        demands = {
            host_id: one.demand.wanted
            for host_id, one in self._accounts.items()
        }
        fair_share = max(
            allocate_shares(spec, demands)[demand.host_id], demand.in_use
        )
        free = spec.shared - self._used_by_others(demand.host_id, now)
        share = max(0, min(fair_share, free))
        account.grant(share, now)
        return share

    def _remove_expired(self, now: float) -> None:
        self._accounts = {
            host_id: account
            for host_id, account in self._accounts.items()
            if account.expires_at > now
        }

    def _used_by_others(self, host_id: str, now: float) -> float:
        return sum(
            account.held(now)
            for name, account in self._accounts.items()
            if name != host_id
        )


def allocate_shares(
    spec: LimitSpec, demands: Mapping[str, float]
) -> dict[str, float]:
    """Divide the shared part of a limit over hosts by max-min fairness.

    No host gets more than its demand while the demand of another is not
    met. Half of the remainder is spread evenly over all hosts, so that each
    can grow; the other half stays free for hosts that start to ask.

    Args:
        spec: the limit.
        demands: wanted share by host id.

    Returns:
        Share by host id, whole numbers for a limit on concurrency.
    """
    left = spec.shared
    shares: dict[str, float] = {}
    waiting = sorted(demands, key=lambda host_id: (demands[host_id], host_id))
    for place, host_id in enumerate(waiting):
        equal_share = left / (len(waiting) - place)
        shares[host_id] = min(demands[host_id], equal_share)
        left -= shares[host_id]
    spread = left * _SPREAD_SPARE_SHARE / max(1, len(shares))
    shares = {name: share + spread for name, share in shares.items()}
    if spec.measure is Measure.concurrency:
        return _rounded(shares)
    return shares


def _rounded(shares: Mapping[str, float]) -> dict[str, float]:
    """Round shares to whole numbers without raising their sum."""
    total = int(sum(shares.values()))
    whole: dict[str, float] = {
        host_id: math.floor(share) for host_id, share in shares.items()
    }
    left = total - int(sum(whole.values()))
    by_remainder = sorted(
        shares,
        key=lambda host_id: (whole[host_id] - shares[host_id], host_id),
    )
    for host_id in by_remainder[:left]:
        whole[host_id] += 1
    return whole
