"""Coordinator of limits: grants shares by demand, never above the limit."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Mapping

from guavadyke.decisions.limits import LimitSpec, Measure

GRANT_S = 1.0
_SPREAD_SHARE = 0.5
_IN_USE_KEPT_S = 60.0


@dataclasses.dataclass(frozen=True)
class HostDemand:
    """What a host wants of a limit, and what it cannot give back at once."""

    host_id: str
    wanted: float
    in_use: float = 0


@dataclasses.dataclass(frozen=True)
class _Granted:
    share: float
    until: float


class _Account:
    """What one host wants and may still be using."""

    def __init__(self) -> None:
        self.demand = HostDemand('', 0)
        self._asked_at = -math.inf
        self._granted: list[_Granted] = []

    @property
    def last(self) -> float:
        """When everything that is known of the host is forgotten."""
        return self._asked_at + _IN_USE_KEPT_S

    def ask(self, demand: HostDemand, now: float) -> None:
        """Take the host's newest demand."""
        self.demand = demand
        self._asked_at = now

    def grant(self, share: float, now: float) -> None:
        """Count a grant until it has lapsed, also beside a smaller one."""
        self._granted = [one for one in self._granted if one.until > now]
        self._granted.append(_Granted(share, now + GRANT_S))

    def held(self, now: float) -> float:
        """Return what the host may be using."""
        granted = (one.share for one in self._granted if one.until > now)
        return max(self.demand.in_use, *granted, 0)


class GrantTracker:
    """Shares of one limit that a coordinator has granted.

    What was granted counts until it has lapsed for its host, and what a
    host has in use until it says otherwise, so the sum stays under the
    limit whatever hosts come, go or fall silent.
    """

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}

    def ask(
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
            demand: what the host wants.
            now: seconds of the monotonic clock.
            granting: False while grants of an earlier coordinator may be
                in force; then demands are only noted.
        """
        self._forget(now)
        account = self._accounts.setdefault(demand.host_id, _Account())
        account.ask(demand, now)
        if not granting:
            return 0
        demands = {
            host_id: one.demand.wanted
            for host_id, one in self._accounts.items()
        }
        fair = max(
            allocate_shares(spec, demands)[demand.host_id], demand.in_use
        )
        free = spec.shared - self._held_by_others(demand.host_id, now)
        share = max(0, min(fair, free))
        account.grant(share, now)
        return share

    def _forget(self, now: float) -> None:
        self._accounts = {
            host_id: account
            for host_id, account in self._accounts.items()
            if account.last > now
        }

    def _held_by_others(self, host_id: str, now: float) -> float:
        return sum(
            account.held(now)
            for name, account in self._accounts.items()
            if name != host_id
        )


def allocate_shares(
    spec: LimitSpec, demands: Mapping[str, float]
) -> dict[str, float]:
    """Divide the shared part of a limit by demand.

    No host gets more than its demand while another wants more. Half of
    what nobody wants is spread over all, so that each has room to grow;
    the rest is kept for a host that begins to ask.
    """
    left = spec.shared
    shares: dict[str, float] = {}
    waiting = sorted(demands, key=lambda host_id: (demands[host_id], host_id))
    for place, host_id in enumerate(waiting):
        equal = left / (len(waiting) - place)
        shares[host_id] = min(demands[host_id], equal)
        left -= shares[host_id]
    spread = left * _SPREAD_SHARE / max(1, len(shares))
    shares = {name: share + spread for name, share in shares.items()}
    if spec.measure is Measure.concurrency:
        return _whole(shares)
    return shares


def _whole(shares: Mapping[str, float]) -> dict[str, float]:
    """Round shares to whole numbers that add up to no more."""
    total = int(sum(shares.values()))
    whole: dict[str, float] = {
        host_id: math.floor(share) for host_id, share in shares.items()
    }
    left = total - int(sum(whole.values()))
    by_rest = sorted(
        shares,
        key=lambda host_id: (whole[host_id] - shares[host_id], host_id),
    )
    for host_id in by_rest[:left]:
        whole[host_id] += 1
    return whole
