"""Who may send orders to an engine, and until when.

The fencing number of an order is the version of the engine's order object,
taken by a conditional update before the order is sent. An engine that
ignores fencing numbers is protected by a lease: the orderer stops before
its lease ends, and another host waits until it has itself seen the object
unchanged for the whole lease.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class OrderLeasePolicy:
    """Seconds of a lease, and before its end at which no order is sent."""

    lease_s: float = 15
    margin_s: float = 5


@dataclasses.dataclass(frozen=True)
class OrderObject:
    """An engine's order object as this host read it.

    ``holder`` is empty where there is no object yet.
    """

    version: int
    holder: str


class OrderLease:
    """One host's standing with one engine.

    Args:
        holder: this host and its start.
        policy: length and margin of the lease.
        fenced: whether the engine refuses old fencing numbers.
    """

    def __init__(
        self,
        holder: str,
        policy: OrderLeasePolicy,
        *,
        fenced: bool,
    ) -> None:
        self._holder = holder
        self._policy = policy
        self._fenced = fenced
        self._seen: OrderObject | None = None
        self._seen_at: float = 0
        self._until: float = 0

    @property
    def seen(self) -> OrderObject | None:
        """The order object as this host last read or took it."""
        return self._seen

    def see(self, seen: OrderObject, now: float) -> None:
        """Note the order object that was read; ``now`` is after the read."""
        if seen != self._seen:
            self._seen = seen
            self._seen_at = now

    def may_acquire(self, now: float) -> bool:
        """Return whether to take the order object by conditional update."""
        seen = self._seen
        if seen is None:
            return False
        if self._fenced or seen.holder in {'', self._holder}:
            return True
        return now - self._seen_at >= self._policy.lease_s

    def taken(self, version: int, asked_at: float) -> None:
        """Note that the object was taken by an update asked for then."""
        self._seen = OrderObject(version, self._holder)
        self._seen_at = asked_at
        lasting_s = self._policy.lease_s - self._policy.margin_s
        self._until = asked_at + lasting_s

    def may_send(self, version: int, now: float) -> bool:
        """Return whether the order of this fencing number may still go."""
        held = self._seen == OrderObject(version, self._holder)
        return held and (self._fenced or now < self._until)
