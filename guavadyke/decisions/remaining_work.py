"""Work that servers still have to do, in slot-seconds at usual speed.

Load: requests of uneven cost, where equal counts of requests hide unequal
queues, and reports of other hosts that are old, lost or absent.
"""

from __future__ import annotations

import collections
import dataclasses

from guavadyke.decisions.request_cost import (
    ExpectedCost,
    Observation,
    RequestSize,
)

# A report that is not repeated for this time does not count, as with counts of
# requests. Hosts repeat their reports every 0.5 s.
_REPORT_VALID_S = 1.2


@dataclasses.dataclass(eq=False)
class PlacedRequest:
    """A request or an item of this host at a server.

    The thread that reads its answer records events; others read. Times are
    seconds of the monotonic clock. ``batch`` tells an item; ``queued`` tells
    that it may have to wait at the server, ``resumed`` that the server only
    continues its answer, and ``completed`` that the answer was whole.
    """

    size: RequestSize
    cached_tokens: int
    cost: ExpectedCost
    speed: float
    placed_at: float
    service: str = ''
    batch: bool = False
    queued: bool = False
    resumed: bool = False
    completed: bool = False
    events: int = 0
    first_event_at: float = 0
    last_event_at: float = 0

    def record_event(self, now: float) -> None:
        """Record an event of its answer."""
        if not self.events:
            self.first_event_at = now
        self.events += 1
        self.last_event_at = now

    def remaining_s(self, now: float) -> float:
        """Return its remaining cost."""
        if self.events:
            return self.cost.after(self.events)
        if self.queued:
            return self.cost.total_s
        done_s = max(0, now - self.placed_at) * self.speed
        return self.cost.total_s - min(self.cost.first_event_s, done_s)

    def observed(self, now: float) -> Observation:
        """Return what was observed of it when its answer has ended."""
        if not self.events:
            return Observation(
                None if self.queued else now - self.placed_at, 0, 0
            )
        first_s = self.first_event_at - self.placed_at
        return Observation(
            None if self.queued or self.resumed else first_s,
            self.events,
            self.last_event_at - self.first_event_at,
            whole=not self.resumed,
        )


@dataclasses.dataclass(frozen=True)
class _Report:
    work_s: float
    requests: int
    at: float


class _ReportedWork:
    """Sums of the valid reports on one server.

    They are kept up to date, so that a choice costs the same however many
    hosts report.
    """

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}
        self._order: collections.deque[tuple[float, str]] = collections.deque()
        self.work_s: float = 0
        self.requests = 0
        self.sum_of_times: float = 0

    def record(self, host_id: str, report: _Report | None, now: float) -> None:
        self.expire(now)
        self._drop(host_id)
        if report is None:
            return
        self._reports[host_id] = report
        self._order.append((report.at, host_id))
        self._add(report, 1)

    def expire(self, now: float) -> None:
        order = self._order
        while order and now - order[0][0] > _REPORT_VALID_S:
            at, host_id = order.popleft()
            report = self._reports.get(host_id)
            if report is not None and report.at == at:
                self._drop(host_id)

    def _drop(self, host_id: str) -> None:
        report = self._reports.pop(host_id, None)
        if report is None:
            return
        self._add(report, -1)
        if not self._reports:
            # Sums of floats that cancel leave a small remainder.
            self.work_s = 0
            self.sum_of_times = 0

    def _add(self, report: _Report, sign: int) -> None:
        self.work_s += sign * report.work_s
        self.requests += sign * report.requests
        self.sum_of_times += sign * report.requests * report.at


class RemoteWork:
    """Work of other hosts at each server, as they reported it."""

    def __init__(self) -> None:
        self._servers: dict[str, _ReportedWork] = {}

    def record(
        self,
        host_id: str,
        server_id: str,
        requests: int,
        work_s: float | None,
        now: float,
    ) -> None:
        """Record the report of a host on a server.

        Args:
            host_id: the host.
            server_id: the server.
            requests: how many requests the host has there.
            work_s: their remaining work; None from a host that does not
                report it.
            now: seconds of the monotonic clock.
        """
        reported = self._servers.get(server_id)
        if reported is None:
            if work_s is None:
                return
            reported = self._servers.setdefault(server_id, _ReportedWork())
        reported.record(
            host_id,
            None if work_s is None else _Report(work_s, requests, now),
            now,
        )

    def remaining_s(
        self,
        server_id: str,
        load: RemoteLoad,
        now: float,
    ) -> float:
        """Return the remaining work of other hosts at a server.

        Since it was reported, each reported request has got one slot, as far
        as there are slots. Requests that were counted without their work have
        the mean cost.
        """
        reported = self._servers.get(server_id)
        if reported is None:
            return load.requests * load.mean_cost_s
        reported.expire(now)
        unreported = max(0, load.requests - reported.requests)
        elapsed_s = max(0, reported.requests * now - reported.sum_of_times)
        running = min(1, load.slots / max(1, load.requests))
        done_s = elapsed_s * running * load.speed
        return max(0, reported.work_s - done_s) + unreported * load.mean_cost_s


@dataclasses.dataclass(frozen=True)
class RemoteLoad:
    """Requests of other hosts at a server, and what is known of the server.

    ``mean_cost_s`` is the mean cost of a request of its service.
    """

    requests: int
    slots: int
    speed: float
    mean_cost_s: float
