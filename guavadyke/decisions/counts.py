"""Counts that hosts tell each other."""

from __future__ import annotations

import dataclasses

_NOTICE_KEPT_S = 2.0


@dataclasses.dataclass(frozen=True)
class _Noticed:
    count: int
    at: float


class CountsByHost:
    """Requests that other hosts have at each engine, by their notices.

    Notices may be lost, so a host's count is forgotten after a while.
    """

    def __init__(self) -> None:
        self._noticed: dict[str, dict[str, _Noticed]] = {}

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

    def total(self, backend_id: str, now: float) -> int:
        """Return the sum of what hosts have lately told."""
        return sum(
            noticed.count
            for noticed in self._noticed.get(backend_id, {}).values()
            if now - noticed.at <= _NOTICE_KEPT_S
        )

    def hosts(self, backend_id: str, now: float) -> tuple[str, ...]:
        """Return the hosts that have lately told of requests there."""
        return tuple(
            host_id
            for host_id, noticed in self._noticed.get(backend_id, {}).items()
            if noticed.count and now - noticed.at <= _NOTICE_KEPT_S
        )
