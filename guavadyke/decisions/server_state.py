"""Load of one backend server: own requests and those of other hosts."""

from __future__ import annotations

import collections
import dataclasses
import random

from guavadyke.adapters.ports import ReportedLoad
from guavadyke.decisions.health import ServerHealth

_REPORT_VALID_S = 3.0
_HISTORY_LENGTH = 256


@dataclasses.dataclass(frozen=True)
class _Report:
    other_hosts_online: int
    made_at: float


@dataclasses.dataclass(frozen=True)
class _InFlightSample:
    at: float
    in_flight: int


class ServerState:
    """A backend server's load and health as this host sees them.

    ``online`` and ``batch`` count this host's requests in flight there.
    The load of other hosts is the server's reported load less this host's
    requests at the time of the report. Times are in monotonic seconds.

    Args:
        rng: adds jitter to the probes of a failing server.
    """

    def __init__(self, rng: random.Random) -> None:
        self.online = 0
        self.batch = 0
        self.health = ServerHealth(rng)
        self._report: _Report | None = None
        self._history = collections.deque(
            (_InFlightSample(0, 0),), maxlen=_HISTORY_LENGTH
        )

    @property
    def in_flight(self) -> int:
        """Requests of this host in flight, online and batch."""
        return self.online + self.batch

    def add_online(self, change: int, now: float) -> None:
        """Change the number of online requests of this host in flight."""
        self.online += change
        self._history.append(_InFlightSample(now, self.in_flight))

    def add_batch(self, change: int, now: float) -> None:
        """Change the number of batch items of this host in flight."""
        self.batch += change
        self._history.append(_InFlightSample(now, self.in_flight))

    def record_report(
        self,
        load: ReportedLoad,
        now: float,
        remote_batch: int,
    ) -> None:
        """Record a load report of the server.

        Args:
            load: the report, made ``load.age_s`` seconds ago.
            now: current time in monotonic seconds.
            remote_batch: batch items that other hosts had in flight there
                when the report was made.
        """
        own = self._in_flight_at(now - load.age_s)
        other_hosts_online = load.running + load.waiting - own - remote_batch
        self._report = _Report(max(0, other_hosts_online), now - load.age_s)

    def other_hosts_online(self, now: float) -> int | None:
        """Return other hosts' online requests; None without a recent report."""
        report = self._report
        if report is None:
            return None
        if now - report.made_at > _REPORT_VALID_S:
            return None
        return report.other_hosts_online

    def _in_flight_at(self, at: float) -> int:
        """Return how many requests this host had in flight at a time."""
        held = (
            record.in_flight
            for record in reversed(self._history)
            if record.at <= at
        )
        return next(held, self._history[0].in_flight)
