"""Ages of the online requests that this host has at backend servers."""

from __future__ import annotations

import collections
import dataclasses

from guavadyke.decisions.server_registry import ServerLease


@dataclasses.dataclass(frozen=True)
class InFlight:
    """Requests of one service that have not ended.

    ``count`` are this host's, ``age_s`` is the sum of their ages in seconds,
    and ``share`` is what part they are of the requests of all hosts.
    """

    count: int = 0
    age_s: float = 0
    share: float = 1


class RequestsInFlight:
    """Online requests of this host by service, queued ones included.

    Not thread-safe: the caller holds a lock.
    """

    def __init__(self) -> None:
        self._counts: collections.Counter[str] = collections.Counter()
        self._sums_of_starts: dict[str, float] = {}

    def add(self, lease: ServerLease) -> None:
        """Count the request of a new lease."""
        self._change(lease, 1)

    def remove(self, lease: ServerLease) -> None:
        """Stop counting the request of a lease."""
        self._change(lease, -1)

    def of_service(self, service: str, now: float) -> InFlight:
        """Return the requests of a service.

        Args:
            service: the service.
            now: seconds of the monotonic clock.
        """
        count = self._counts[service]
        if not count:
            return InFlight()
        age_s = count * now - self._sums_of_starts[service]
        return InFlight(count, max(0, age_s))

    def _change(self, lease: ServerLease, change: int) -> None:
        if lease.batch:
            return
        service = lease.server.service
        starts = self._sums_of_starts.get(service, 0)
        self._counts[service] += change
        self._sums_of_starts[service] = starts + change * lease.taken_at
        if not self._counts[service]:
            self._counts.pop(service)
            self._sums_of_starts.pop(service)
