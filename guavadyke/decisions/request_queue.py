"""Queue of online requests: bounded, the earliest deadline first."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
from collections.abc import Iterator

_SMOOTHING = 0.1
_FIRST_GUESS_S = 0


@dataclasses.dataclass(eq=False)
class PendingRequest:
    """A request that waits for a backend server.

    ``deadline`` is seconds of the monotonic clock; ``excluded`` names
    servers that have failed this request; ``queue`` is how many of the
    entry may wait.
    """

    entry_name: str
    key: bytes
    deadline: float
    excluded: frozenset[str] = frozenset()
    queue: int | None = None
    withdrawn: bool = False


class WaitingLine:
    """Tickets by entry, each entry's in the order of their deadlines.

    Not safe for threads: its owner holds a lock.

    Args:
        longest: tickets that wait at the most.
    """

    def __init__(self, longest: int) -> None:
        self._longest = longest
        self._order = itertools.count()
        self._heaps: dict[str, list[tuple[float, int, PendingRequest]]] = {}
        self._length = 0

    @property
    def full(self) -> bool:
        """Whether no other ticket may wait."""
        return self._length >= self._longest

    @property
    def length(self) -> int:
        """Tickets that wait."""
        return self._length

    @property
    def entry_names(self) -> tuple[str, ...]:
        """Entries for which tickets may wait."""
        return tuple(self._heaps)

    def length_of(self, entry_name: str) -> int:
        """Return the tickets that wait for an entry."""
        return sum(
            not pending_request.withdrawn
            for _deadline, _order, pending_request in self._heaps.get(
                entry_name, ()
            )
        )

    def add(self, pending_request: PendingRequest) -> None:
        """Let a ticket wait."""
        heap = self._heaps.setdefault(pending_request.entry_name, [])
        heapq.heappush(
            heap, (pending_request.deadline, next(self._order), pending_request)
        )
        self._length += 1

    def withdraw(self, pending_request: PendingRequest) -> None:
        """Take a ticket out that waits no longer."""
        if not pending_request.withdrawn:
            pending_request.withdrawn = True
            self._length -= 1

    def heads(self) -> Iterator[PendingRequest]:
        """Yield the first ticket of each entry, earliest deadline first."""
        for entry_name in tuple(self._heaps):
            self._prune(entry_name)
        firsts = sorted(heap[0] for heap in self._filled())
        return iter([
            pending_request for _deadline, _order, pending_request in firsts
        ])

    def _filled(self) -> list[list[tuple[float, int, PendingRequest]]]:
        return [heap for heap in self._heaps.values() if heap]

    def _prune(self, entry_name: str) -> None:
        heap = self._heaps[entry_name]
        while heap and heap[0][-1].withdrawn:
            heapq.heappop(heap)
        if not heap:
            self._heaps.pop(entry_name)


class ServiceTimeEstimator:
    """Estimates how long requests of an entry take, from those that ended."""

    def __init__(self) -> None:
        self._mean_s: dict[str, float] = {}

    def note(self, entry_name: str, took_s: float) -> None:
        """Take the seconds that a slot was held."""
        before_s = self._mean_s.get(entry_name, took_s)
        grown_s = (took_s - before_s) * _SMOOTHING
        self._mean_s[entry_name] = before_s + grown_s

    def mean_s(self, entry_name: str) -> float:
        """Return the mean seconds that a slot is held."""
        return self._mean_s.get(entry_name, _FIRST_GUESS_S)

    def wait_s(self, entry_name: str, ahead: int, slots: int) -> float:
        """Return the seconds until a ticket behind others gets a slot."""
        return self.mean_s(entry_name) * (ahead + 1) / max(1, slots)
