"""Requests of this host that hold slots of backend servers now."""

from __future__ import annotations

import collections
import dataclasses

from guavadyke.decisions.server_registry import ServerLease


@dataclasses.dataclass(frozen=True)
class SlotsInUse:
    """Slots that are in use, and the seconds for which they have been so.

    ``held_s`` is the sum over all of them; ``share`` is what part they are
    of the requests that all hosts have at the same servers.
    """

    count: int = 0
    held_s: float = 0
    share: float = 1


class RunningRequests:
    """Counts the online requests that run, by service, and their ages.

    Requests that queue at their server do not count. Not thread-safe: the
    caller holds a lock.
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

    def slots_in_use(self, service: str, now: float) -> SlotsInUse:
        """Return the slots that running requests of a service hold.

        Args:
            service: the service.
            now: seconds of the monotonic clock.
        """
        count = self._counts[service]
        if not count:
            return SlotsInUse()
        held_s = count * now - self._sums_of_starts[service]
        return SlotsInUse(count, max(0, held_s))

    def _change(self, lease: ServerLease, change: int) -> None:
        if lease.batch or lease.queued:
            return
        service = lease.server.service
        self._counts[service] += change
        starts = self._sums_of_starts.get(service, 0)
        self._sums_of_starts[service] = starts + change * lease.taken_at
        if not self._counts[service]:
            self._counts.pop(service)
            self._sums_of_starts.pop(service)
