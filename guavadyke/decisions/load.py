"""Load of one backend server as one host sees it."""

from __future__ import annotations

import collections
import dataclasses
import random

from guavadyke.adapters.ports import ReportedLoad
from guavadyke.decisions.health import ServerHealth

_LOAD_FRESH_S = 3.0
_HISTORY = 256


@dataclasses.dataclass(frozen=True)
class _Report:
    others: int
    made_at: float


@dataclasses.dataclass(frozen=True)
class _Held:
    at: float
    in_flight: int


class ServerState:
    """What a host has at a backend server, and the server's last report.

    Args:
        rng: spreads probes of a failing server.
    """

    def __init__(self, rng: random.Random) -> None:
        self.online = 0
        self.batch = 0
        self.health = ServerHealth(rng)
        self._report: _Report | None = None
        self._history = collections.deque((_Held(0, 0),), maxlen=_HISTORY)

    @property
    def in_flight(self) -> int:
        """Requests of this host, of both classes."""
        return self.online + self.batch

    def add_online(self, change: int, now: float) -> None:
        """Count online requests of this host."""
        self.online += change
        self._history.append(_Held(now, self.in_flight))

    def add_batch(self, change: int, now: float) -> None:
        """Count batch items of this host."""
        self.batch += change
        self._history.append(_Held(now, self.in_flight))

    def take_report(
        self,
        load: ReportedLoad,
        now: float,
        remote_batch: int,
    ) -> None:
        """Take the server's own report.

        Args:
            load: the report, which is as old as it says.
            now: seconds of the monotonic clock.
            remote_batch: batch items that other hosts had there when the
                report was made.
        """
        own = self._held_at(now - load.age_s)
        others = load.running + load.waiting - own - remote_batch
        self._report = _Report(max(0, others), now - load.age_s)

    def others(self, now: float) -> int | None:
        """Return online requests of other hosts; None where unknown."""
        report = self._report
        if report is None:
            return None
        if now - report.made_at > _LOAD_FRESH_S:
            return None
        return report.others

    def _held_at(self, at: float) -> int:
        """Return the requests that this host had at a time."""
        held = (
            record.in_flight
            for record in reversed(self._history)
            if record.at <= at
        )
        return next(held, self._history[0].in_flight)
