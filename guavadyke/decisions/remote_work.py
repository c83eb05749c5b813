"""Work that the requests of other hosts still are for servers.

Load: requests of uneven cost from 86 hosts, whose reports are old, lost or,
from hosts of the release before, without their work. Work is in slot-seconds
at a server of usual speed.
"""

from __future__ import annotations

import collections
import dataclasses

from guavadyke.decisions.server_registry import ListedServer

# A report that is not repeated for this time does not count, as with counts of
# requests. Hosts repeat their reports every 0.5 s.
_REPORT_VALID_S = 1.2


@dataclasses.dataclass(frozen=True, slots=True)
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
        server: ListedServer,
        requests: int,
        speed: float,
        mean_cost_s: float,
        now: float,
    ) -> float:
        """Return the remaining work of other hosts at a server.

        Since it was reported, each reported request has got one slot, as far
        as there are slots. Requests that were counted without their work have
        the mean cost.

        Args:
            server: the server.
            requests: how many requests other hosts have there.
            speed: speed of the server.
            mean_cost_s: mean cost of a request of its service.
            now: seconds of the monotonic clock.
        """
        reported = self._servers.get(server.server_id)
        if reported is None:
            return requests * mean_cost_s
        reported.expire(now)
        unreported = max(0, requests - reported.requests)
        elapsed_s = max(0, reported.requests * now - reported.sum_of_times)
        running = min(1, server.slots / max(1, requests))
        left_s = reported.work_s - elapsed_s * running * speed
        return max(0, left_s) + unreported * mean_cost_s
