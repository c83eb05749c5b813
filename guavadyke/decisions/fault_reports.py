"""Failures of backend servers that hosts tell each other.

Answers a server that goes dark before a large fleet: where each host has to
find out for itself, each of them loses a request.
"""

from __future__ import annotations

import collections
import dataclasses
import random

# Reports that are older say nothing about the server any more.
_REPORT_VALID_S = 2.0
# Hosts that have to fail before others avoid a server. One may be at fault
# itself.
_MIN_REPORTERS = 2
# Shortest time for which a server is avoided.
_MIN_AVOIDED_S = 0.5
# Hosts return to a server one after the other, at this distance on average,
# so that few requests are lost if it has not recovered.
_RETURN_SPACING_S = 0.1
_MAX_AVOIDED_S = 8.0
# A server that fails again within this time is avoided after one report.
_RELAPSE_S = 15.0


@dataclasses.dataclass(frozen=True)
class ServerFault:
    """Whether a host's requests to one backend server fail.

    ``zone`` is the host's availability zone. If not ``failing``, the server
    answers again after it has failed. With ``leaving`` the server that
    started at ``born_ms``, in milliseconds since the epoch, has said in an
    answer that it leaves; nothing is said of its failures then.
    """

    backend_id: str
    zone: str
    failing: bool
    leaving: bool = False
    born_ms: int = 0


@dataclasses.dataclass(frozen=True)
class _Report:
    zone: str
    at: float


class FaultReports:
    """Which servers to avoid, by what this host and others report.

    All times are in seconds of the monotonic clock.

    Args:
        zone: the availability zone of this host.
        rng: spreads the times at which hosts return to a server.
    """

    def __init__(self, zone: str, rng: random.Random) -> None:
        self._zone = zone
        self._rng = rng
        self._reports: dict[str, dict[str, _Report]] = collections.defaultdict(
            dict
        )
        self._avoided_until: dict[str, float] = {}

    def report(
        self,
        server_id: str,
        host_id: str,
        zone: str,
        now: float,
        live_hosts: int,
    ) -> None:
        """Record that a host of a zone has stopped using a server.

        Args:
            server_id: the server.
            host_id: the host, which may be this one.
            zone: availability zone of the host.
            now: current time.
            live_hosts: number of hosts, over which returns are spread.
        """
        reports = self._reports[server_id]
        reports[host_id] = _Report(zone, now)
        if not self._is_confirmed(server_id, now):
            return
        longest_s = min(
            _MAX_AVOIDED_S, _MIN_AVOIDED_S + live_hosts * _RETURN_SPACING_S
        )
        self._avoided_until[server_id] = now + self._rng.uniform(
            _MIN_AVOIDED_S, longest_s
        )

    def withdraw(self, server_id: str) -> bool:
        """Forget a server's failures, as it has answered a request.

        Returns:
            Whether there were any.
        """
        self._reports.pop(server_id, None)
        return self._avoided_until.pop(server_id, None) is not None

    def avoids(self, server_id: str, now: float) -> bool:
        """Return whether to use other servers for now."""
        return self._avoided_until.get(server_id, 0) > now

    def _is_confirmed(self, server_id: str, now: float) -> bool:
        """Return whether the server rather than its callers is at fault.

        Hosts of one other zone may only be cut off from the server.
        """
        last = self._avoided_until.get(server_id)
        if last is not None and now - last < _RELAPSE_S:
            return True
        zones = [
            report.zone
            for report in self._reports[server_id].values()
            if now - report.at <= _REPORT_VALID_S
        ]
        return len(zones) >= _MIN_REPORTERS and (
            zones.count(self._zone) >= _MIN_REPORTERS or len(set(zones)) > 1
        )
