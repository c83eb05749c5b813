"""Bounded queue of online requests, ordered by deadline."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
from collections.abc import Iterator

from guavadyke.decisions.requests_in_flight import InFlight

_SMOOTHING_FACTOR = 0.1
_INITIAL_MEAN_S = 0
_NONE_IN_FLIGHT = InFlight()


@dataclasses.dataclass(eq=False)
class PendingRequest:
    """An online request that waits for a slot of a backend server.

    ``deadline`` is in seconds of the monotonic clock; ``excluded`` holds
    the ids of servers that have failed this request; ``queue`` is the
    entry's own queue limit, None for no limit besides the host's;
    ``withdrawn`` marks a request that has left the queue.
    """

    entry_name: str
    key: bytes
    deadline: float
    excluded: frozenset[str] = frozenset()
    queue: int | None = None
    withdrawn: bool = False


class RequestQueue:
    """Waiting requests, one priority queue by deadline for each entry.

    Not thread-safe: the caller holds a lock.

    Args:
        max_length: maximum number of waiting requests, over all entries.
    """

    def __init__(self, max_length: int) -> None:
        self._max_length = max_length
        self._order = itertools.count()
        self._heaps: dict[str, list[tuple[float, int, PendingRequest]]] = {}
        self._length = 0

    @property
    def full(self) -> bool:
        """Whether the queue holds its maximum number of requests."""
        return self._length >= self._max_length

    @property
    def length(self) -> int:
        """Number of waiting requests, over all entries."""
        return self._length

    @property
    def entry_names(self) -> tuple[str, ...]:
        """Entries that may have waiting requests."""
        return tuple(self._heaps)

    def length_of(self, entry_name: str) -> int:
        """Return the number of requests that wait for an entry."""
        return sum(
            not pending_request.withdrawn
            for _deadline, _order, pending_request in self._heaps.get(
                entry_name, ()
            )
        )

    def add(self, pending_request: PendingRequest) -> None:
        """Add a request, even where the queue is full."""
        heap = self._heaps.setdefault(pending_request.entry_name, [])
        heapq.heappush(
            heap, (pending_request.deadline, next(self._order), pending_request)
        )
        self._length += 1

    def withdraw(self, pending_request: PendingRequest) -> None:
        """Remove a request; a second call has no effect.

        The request stays in its heap until it is the earliest there.
        """
        if not pending_request.withdrawn:
            pending_request.withdrawn = True
            self._length -= 1

    def earliest_of_each_entry(self) -> Iterator[PendingRequest]:
        """Return the earliest request of each entry, ordered by deadline."""
        for entry_name in tuple(self._heaps):
            self._drop_withdrawn(entry_name)
        earliest = sorted(heap[0] for heap in self._nonempty_heaps())
        return iter([
            pending_request for _deadline, _order, pending_request in earliest
        ])

    def _nonempty_heaps(self) -> list[list[tuple[float, int, PendingRequest]]]:
        return [heap for heap in self._heaps.values() if heap]

    def _drop_withdrawn(self, entry_name: str) -> None:
        heap = self._heaps[entry_name]
        while heap and heap[0][-1].withdrawn:
            heapq.heappop(heap)
        if not heap:
            self._heaps.pop(entry_name)


class ServiceTimeEstimator:
    """Estimates how long requests of an entry hold a slot.

    The estimate is an exponentially weighted moving average over the
    requests that have ended. As long as more are in flight than have ended,
    these count as well, since the shorter ones end first: the estimate is then
    the time that all of them have taken, per request that has ended. Before
    the first one has ended, all hosts together are taken to have had one end,
    as each of them may send a wave of requests to the same servers.
    """

    def __init__(self) -> None:
        self._mean_s: dict[str, float] = {}
        self._ended: collections.Counter[str] = collections.Counter()

    def record_duration(self, entry_name: str, duration_s: float) -> None:
        """Record for how many seconds an ended request held its slot."""
        previous_s = self._mean_s.get(entry_name, duration_s)
        change_s = (duration_s - previous_s) * _SMOOTHING_FACTOR
        self._mean_s[entry_name] = previous_s + change_s
        self._ended[entry_name] += 1

    def needs_ages(self, entry_name: str, in_flight: InFlight) -> bool:
        """Return whether more requests are in flight than have ended."""
        return in_flight.count > self._ended[entry_name]

    def mean_s(
        self, entry_name: str, in_flight: InFlight = _NONE_IN_FLIGHT
    ) -> float:
        """Return the mean number of seconds that a request holds a slot.

        It is 0 as long as no request of the entry has ended or is in flight.

        Args:
            entry_name: the entry.
            in_flight: the requests of the entry that have not ended.
        """
        mean_s = self._mean_s.get(entry_name, _INITIAL_MEAN_S)
        if not self.needs_ages(entry_name, in_flight):
            return mean_s
        ended = self._ended[entry_name]
        return (mean_s * ended + in_flight.age_s) / max(in_flight.share, ended)

    def wait_s(
        self,
        entry_name: str,
        ahead: int,
        slots: int,
        in_flight: InFlight = _NONE_IN_FLIGHT,
    ) -> float:
        """Estimate the seconds until a new request gets a slot.

        Args:
            entry_name: the entry that is requested.
            ahead: requests that wait before it.
            slots: slots that requests of the entry hold on this host.
            in_flight: the requests of the entry that have not ended.
        """
        return self.mean_s(entry_name, in_flight) * (ahead + 1) / max(1, slots)
