"""Counts that hosts tell each other."""

from __future__ import annotations

import collections
import dataclasses

_NOTICE_KEPT_S = 1.2
_HOST_KEPT_S = 10.0
_HISTORY = 64


@dataclasses.dataclass(frozen=True)
class _Noticed:
    count: int
    at: float


class RemoteCounts:
    """Requests that other hosts have at each engine, by their notices.

    Notices may be lost, so a host's count is forgotten after a while.
    """

    def __init__(self) -> None:
        self._noticed: dict[str, dict[str, _Noticed]] = {}
        self._totals: dict[str, collections.deque[_Noticed]] = {}

    def note(
        self,
        host_id: str,
        backend_id: str,
        count: int,
        now: float,
    ) -> None:
        """Take a host's count for one engine."""
        by_host = self._noticed.setdefault(backend_id, {})
        by_host[host_id] = _Noticed(count, now)
        totals = self._totals.setdefault(
            backend_id,
            collections.deque(maxlen=_HISTORY),
        )
        totals.append(_Noticed(self.total(backend_id, now), now))

    def total(self, backend_id: str, now: float) -> int:
        """Return the sum of what hosts have lately told."""
        return sum(
            noticed.count
            for noticed in self._noticed.get(backend_id, {}).values()
            if now - noticed.at <= _NOTICE_KEPT_S
        )

    def by_host(self, backend_id: str, now: float) -> dict[str, int]:
        """Return what each host has lately told, hosts without any left out."""
        return {
            host_id: noticed.count
            for host_id, noticed in self._noticed.get(backend_id, {}).items()
            if noticed.count and now - noticed.at <= _NOTICE_KEPT_S
        }

    def total_at(self, backend_id: str, at: float) -> int:
        """Return what the sum was at an earlier time."""
        totals = self._totals.get(backend_id, ())
        known = (total for total in reversed(totals) if total.at <= at)
        earlier = next(known, None)
        if earlier is None or at - earlier.at > _NOTICE_KEPT_S:
            return 0
        return earlier.count

    def backends(self, now: float) -> tuple[str, ...]:
        """Return the engines where some host has had requests lately."""
        return tuple(
            backend_id
            for backend_id in self._noticed
            if self.hosts(backend_id, now)
        )

    def hosts(self, backend_id: str, now: float) -> tuple[str, ...]:
        """Return the hosts that have had requests there lately."""
        return tuple(
            host_id
            for host_id, noticed in self._noticed.get(backend_id, {}).items()
            if now - noticed.at <= _HOST_KEPT_S
        )
