"""Lease and fencing token of the host that sends orders to an engine.

The fencing token of an order is the version of the engine's order object.
A host gets it by a conditional update of that object before it sends the
order. An engine that ignores fencing tokens is protected by a lease: the
holder stops sending before its lease ends, and another host takes over only
after it has itself seen the object unchanged for the whole lease.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class OrderLeasePolicy:
    """Length of a lease, and how long before its end sending stops."""

    lease_s: float = 15
    margin_s: float = 5


@dataclasses.dataclass(frozen=True)
class OrderObject:
    """Version and holder of an engine's order object as read.

    ``holder`` is empty if the object does not exist yet.
    """

    version: int
    holder: str


class OrderLease:
    """Tracks whether this host may send orders to one engine.

    Args:
        holder: id of this process, unique for each start of the host.
        policy: length and margin of the lease.
        fenced: whether the engine rejects outdated fencing tokens.
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
        self._unchanged_since: float = 0
        self._may_send_until: float = 0

    @property
    def seen(self) -> OrderObject | None:
        """The order object as this host last read or wrote it."""
        return self._seen

    def observe(self, seen: OrderObject, now: float) -> None:
        """Record an order object; ``now`` is taken after the read."""
        if seen != self._seen:
            self._seen = seen
            self._unchanged_since = now

    def may_acquire(self, now: float) -> bool:
        """Return whether this host may try to acquire the order object."""
        seen = self._seen
        if seen is None:
            return False
        if self._fenced or seen.holder in {'', self._holder}:
            return True
        return now - self._unchanged_since >= self._policy.lease_s

    def acquired(self, version: int, asked_at: float) -> None:
        """Record a successful update that was sent at ``asked_at``."""
        self._seen = OrderObject(version, self._holder)
        self._unchanged_since = asked_at
        sending_s = self._policy.lease_s - self._policy.margin_s
        self._may_send_until = asked_at + sending_s

    def may_send(self, version: int, now: float) -> bool:
        """Return whether an order with this fencing token may be sent."""
        held = self._seen == OrderObject(version, self._holder)
        return held and (self._fenced or now < self._may_send_until)
