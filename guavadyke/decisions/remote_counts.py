"""Request counts that other entry hosts announce."""

from __future__ import annotations

import collections

_COUNT_VALID_S = 1.2
_HOST_VALID_S = 10.0
_HISTORY_LENGTH = 64


class RemoteCounts:
    """Requests that other hosts have at each engine, as they announced.

    Announcements may be lost, so a count expires unless it is repeated.
    All times are in seconds of the monotonic clock and do not decrease from
    call to call, except that of ``total_at``.
    """

    def __init__(self) -> None:
        self._engines: dict[str, _EngineCounts] = {}

    def record_count(
        self,
        host_id: str,
        backend_id: str,
        count: int,
        now: float,
    ) -> None:
        """Record the count that a host announced for one engine."""
        engine = self._engines.get(backend_id)
        if engine is None:
            engine = _EngineCounts()
            self._engines[backend_id] = engine
        engine.record(host_id, count, now)

    def total(self, backend_id: str, now: float) -> int:
        """Return the sum of the counts that are still valid."""
        engine = self._engines.get(backend_id)
        return 0 if engine is None else engine.total(now)

    def by_host(self, backend_id: str, now: float) -> dict[str, int]:
        """Return the valid counts by host id, without hosts that have 0."""
        engine = self._engines.get(backend_id)
        return {} if engine is None else engine.by_host(now)

    def total_at(self, backend_id: str, at: float) -> int:
        """Return the sum as it was at an earlier time; 0 where unknown."""
        engine = self._engines.get(backend_id)
        return 0 if engine is None else engine.total_at(at)

    def backends(self, now: float) -> tuple[str, ...]:
        """Return the engines for which any host announced a count lately."""
        return tuple(
            backend_id
            for backend_id in self._engines
            if self.hosts(backend_id, now)
        )

    def hosts(self, backend_id: str, now: float) -> tuple[str, ...]:
        """Return the hosts that announced a count for the engine lately."""
        engine = self._engines.get(backend_id)
        return () if engine is None else engine.hosts(now)


class _EngineCounts:
    """Counts that hosts announced for one engine.

    The sum is kept up to date, so that an announcement costs the same in a
    fleet of any size.
    """

    def __init__(self) -> None:
        self._valid: dict[str, int] = {}
        self._announced_at: dict[str, float] = {}
        self._announcements: collections.deque[tuple[float, str]] = (
            collections.deque()
        )
        self._total = 0
        self._totals: collections.deque[tuple[float, int]] = collections.deque(
            maxlen=_HISTORY_LENGTH
        )

    def record(self, host_id: str, count: int, now: float) -> None:
        self._expire(now)
        self._total += count - self._valid.get(host_id, 0)
        self._valid[host_id] = count
        self._announced_at[host_id] = now
        self._announcements.append((now, host_id))
        self._totals.append((now, self._total))

    def total(self, now: float) -> int:
        self._expire(now)
        return self._total

    def by_host(self, now: float) -> dict[str, int]:
        self._expire(now)
        return {name: count for name, count in self._valid.items() if count}

    def total_at(self, at: float) -> int:
        known = (total for total in reversed(self._totals) if total[0] <= at)
        since, total = next(known, (at, 0))
        return total if at - since <= _COUNT_VALID_S else 0

    def hosts(self, now: float) -> tuple[str, ...]:
        return tuple(
            host_id
            for host_id, at in self._announced_at.items()
            if now - at <= _HOST_VALID_S
        )

    def _expire(self, now: float) -> None:
        """Drop the counts that have not been repeated in time."""
        announcements = self._announcements
        while announcements and now - announcements[0][0] > _COUNT_VALID_S:
            at, host_id = announcements.popleft()
            if self._announced_at[host_id] == at:
                self._total -= self._valid.pop(host_id, 0)
