"""Logs and metrics of the allowances of teams."""

from __future__ import annotations

import threading

from guavadyke.decisions.allowance_stock import Denial
from guavadyke.log import EventLogger
from guavadyke.metrics import HostMetrics

# A hot team is refused and served by turns; it ceases to be refused once
# nothing has been refused for the window in which its limit holds.
_CEASED_S = 5.0


class AllowanceReports:
    """Logs when teams are refused and issuers do not answer. Thread-safe.

    Args:
        metrics: counts refused requests and permits.
        logger: logs what begins and ends.
    """

    def __init__(self, metrics: HostMetrics, logger: EventLogger) -> None:
        self._metrics = metrics
        self._logger = logger
        self._lock = threading.Lock()
        # When a request of a team was last refused, or was decided locally.
        self._refused_at: dict[str, float] = {}
        self._local_at: dict[str, float] = {}

    def refused(self, team: str, denial: Denial, now: float) -> None:
        """Record a refused request.

        Args:
            team: name of its team.
            denial: why it is refused.
            now: seconds of the monotonic clock.
        """
        self._metrics.increment(
            'refused_by_allowance'
            if denial.over
            else 'refused_by_local_allowance'
        )
        with self._lock:
            begins = team not in self._refused_at
            self._refused_at[team] = now
        if begins:
            self._logger.info('team_refused', team=team, over=denial.over)

    def issued(self, permits: int) -> None:
        """Record permits that this host has issued."""
        if permits:
            self._metrics.increment('allowance_permits_issued', permits)

    def unanswered(self, team: str, issuer: str) -> None:
        """Record that an issuer did not answer."""
        self._metrics.increment('allowance_permits_unanswered')
        self._logger.info(
            'allowance_issuer_unanswered', team=team, issuer=issuer
        )

    def decided_locally(self, team: str, now: float) -> None:
        """Record a request that this host's own bucket has decided.

        Args:
            team: name of its team.
            now: seconds of the monotonic clock.
        """
        with self._lock:
            begins = team not in self._local_at
            self._local_at[team] = now
        if begins:
            self._logger.warning('allowance_local', team=team)

    def tick(self, now: float) -> None:
        """Log what has ended.

        Args:
            now: seconds of the monotonic clock.
        """
        with self._lock:
            served = _remove_old(self._refused_at, now - _CEASED_S)
            issued = _remove_old(self._local_at, now - _CEASED_S)
        for team in served:
            self._logger.info('team_not_refused', team=team)
        for other in issued:
            self._logger.info('allowance_not_local', team=other)


def _remove_old(times: dict[str, float], oldest: float) -> list[str]:
    """Remove the entries before a time; return their names."""
    old = [name for name, at in times.items() if at < oldest]
    for name in old:
        times.pop(name)
    return old
