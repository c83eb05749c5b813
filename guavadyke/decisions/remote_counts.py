"""Request counts that other entry hosts announce."""

from __future__ import annotations

import collections
import dataclasses

_COUNT_VALID_S = 1.2
_HOST_VALID_S = 10.0
_HISTORY_LENGTH = 64


@dataclasses.dataclass(frozen=True)
class _AnnouncedCount:
    count: int
    at: float


class RemoteCounts:
    """Requests that other hosts have at each engine, as they announced.

    Announcements may be lost, so a count expires unless it is repeated.
    All times are in seconds of the monotonic clock.
    """

    def __init__(self) -> None:
        self._counts: dict[str, dict[str, _AnnouncedCount]] = {}
        self._totals: dict[str, collections.deque[_AnnouncedCount]] = {}

    def record_count(
        self,
        host_id: str,
        backend_id: str,
        count: int,
        now: float,
    ) -> None:
        """Record the count that a host announced for one engine."""
        by_host = self._counts.setdefault(backend_id, {})
        by_host[host_id] = _AnnouncedCount(count, now)
        totals = self._totals.setdefault(
            backend_id,
            collections.deque(maxlen=_HISTORY_LENGTH),
        )
        totals.append(_AnnouncedCount(self.total(backend_id, now), now))

    def total(self, backend_id: str, now: float) -> int:
        """Return the sum of the counts that are still valid."""
        return sum(
            announced.count
            for announced in self._counts.get(backend_id, {}).values()
            if now - announced.at <= _COUNT_VALID_S
        )

    def by_host(self, backend_id: str, now: float) -> dict[str, int]:
        """Return the valid counts by host id, without hosts that have 0."""
        return {
            host_id: announced.count
            for host_id, announced in self._counts.get(backend_id, {}).items()
            if announced.count and now - announced.at <= _COUNT_VALID_S
        }

    def total_at(self, backend_id: str, at: float) -> int:
        """Return the sum as it was at an earlier time; 0 where unknown."""
        totals = self._totals.get(backend_id, ())
        known = (total for total in reversed(totals) if total.at <= at)
        earlier = next(known, None)
        if earlier is None or at - earlier.at > _COUNT_VALID_S:
            return 0
        return earlier.count

    def backends(self, now: float) -> tuple[str, ...]:
        """Return the engines for which any host announced a count lately."""
        return tuple(
            backend_id
            for backend_id in self._counts
            if self.hosts(backend_id, now)
        )

    def hosts(self, backend_id: str, now: float) -> tuple[str, ...]:
        """Return the hosts that announced a count for the engine lately."""
        return tuple(
            host_id
            for host_id, announced in self._counts.get(backend_id, {}).items()
            if now - announced.at <= _HOST_VALID_S
        )
