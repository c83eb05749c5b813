"""Which hosts issue the permits of teams, and for what share of the fleet.

Answers a fleet that is cut in two: the issuers on both sides together stay
within a team's limit, since each scales it by the share that it sees.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Iterable, Mapping

from guavadyke.decisions.rendezvous_hashing import rank_names

# Time in which a host that is lost still counts as one that may be cut off.
_PEAK_S = 600.0
# A cut of the fleet is noticed host by host. While the share falls, the issuers
# of both sides would together issue more than the limit.
_FALL_S = 3.0
_LEAST_OF_SEEN = 0.6
# The issuer and the host that stands in for it.
_CANDIDATES = 2
# An issuer that did not answer is not asked again for this time.
_SKIPPED_S = 2.0


class SlidingPeak:
    """The highest of the recent values. Not thread-safe.

    Args:
        seconds: for how long a value counts.
    """

    def __init__(self, seconds: float = _PEAK_S) -> None:
        self._seconds = seconds
        # Times and values; each value is lower than the one before it.
        self._peaks: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    def observe(self, count: float, now: float) -> float:
        """Record a value; return the highest.

        Args:
            count: the value from now on.
            now: seconds of the monotonic clock.
        """
        peaks = self._peaks
        while peaks and peaks[-1][1] <= count:
            peaks.pop()
        peaks.append((now, count))
        while peaks[0][0] < now - self._seconds:
            peaks.popleft()
        return peaks[0][1]


class FleetShare:
    """The share of the fleet that this host sees. Not thread-safe.

    Attributes:
        share: above 0, up to 1; each zone counts equally. While the hosts
            that are seen become fewer, it is lower by as much as it fell.
        most_hosts: the most hosts that were alive at once in 10 minutes.

    Args:
        zones: the zones of the settings; those with hosts count as well.
    """

    def __init__(self, zones: Iterable[str]) -> None:
        self.share: float = 1
        self.most_hosts = 1
        self._total = SlidingPeak()
        self._recent = SlidingPeak(_FALL_S)
        self._peaks = {zone: SlidingPeak() for zone in zones}

    def observe(self, hosts_by_zone: Mapping[str, int], now: float) -> None:
        """Record how many hosts are alive, this one included.

        Args:
            hosts_by_zone: number of live hosts by zone.
            now: seconds of the monotonic clock.
        """
        hosts = sum(hosts_by_zone.values())
        self.most_hosts = int(self._total.observe(hosts, now))
        new_zones = hosts_by_zone.keys() - self._peaks.keys()
        self._peaks.update((zone, SlidingPeak()) for zone in new_zones)
        fractions = (
            _fraction(hosts_by_zone.get(zone, 0), peak, now)
            for zone, peak in self._peaks.items()
        )
        seen = sum(fractions) / len(self._peaks)
        fall = self._recent.observe(seen, now) - seen
        self.share = max(_LEAST_OF_SEEN * seen, seen - fall)


class IssuerRanking:
    """Ranks the live hosts as issuers of each team. Not thread-safe.

    Ranks are kept until the live hosts change, since ranking hashes the name
    of each of them.

    Args:
        host_id: the id of this host.
    """

    def __init__(self, host_id: str) -> None:
        self._host_id = host_id
        self._hosts = frozenset((host_id,))
        self._candidates: dict[str, tuple[str, ...]] = {}

    def update(self, hosts: frozenset[str]) -> bool:
        """Set the live hosts; return whether they have changed."""
        if hosts == self._hosts:
            return False
        self._hosts = hosts
        self._candidates = {}
        return True

    def candidates(self, team: str) -> tuple[str, ...]:
        """Return the issuer of a team and the host that stands in for it."""
        found = self._candidates.get(team)
        if found is None:
            ranked = rank_names(f'allowances/{team}', self._hosts)
            found = tuple(ranked[:_CANDIDATES])
            self._candidates[team] = found
        return found

    def is_issuer(self, team: str) -> bool:
        """Return whether this host is the issuer of a team."""
        return self.candidates(team)[0] == self._host_id


class IssuerContacts:
    """Which issuers answer this host. Not thread-safe."""

    def __init__(self) -> None:
        self._answered_at: dict[str, float] = {}
        self._skipped_until: dict[str, float] = {}

    def answered(self, host_id: str, now: float) -> None:
        """Record an answer."""
        self._answered_at[host_id] = now
        self._skipped_until.pop(host_id, None)

    def unanswered(self, host_id: str, now: float) -> bool:
        """Record that a host has not answered; return whether to skip it.

        One that answered a little while ago is presumed alive, with a link
        that loses datagrams. If hosts went on to its substitute then, both
        would issue the limit of a team.
        """
        if now - self._answered_at.get(host_id, -math.inf) < _SKIPPED_S:
            return False
        self._skipped_until[host_id] = now + _SKIPPED_S
        return True

    def skips(self, host_id: str, now: float) -> bool:
        """Return whether a host is not to be asked now."""
        return self._skipped_until.get(host_id, 0) > now

    def keep_only(self, hosts: frozenset[str]) -> None:
        """Forget all hosts but these."""
        self._answered_at = _only(self._answered_at, hosts)
        self._skipped_until = _only(self._skipped_until, hosts)


def _only(
    times: Mapping[str, float], hosts: frozenset[str]
) -> dict[str, float]:
    return {name: at for name, at in times.items() if name in hosts}


def _fraction(hosts: int, peak: SlidingPeak, now: float) -> float:
    most = peak.observe(hosts, now)
    return hosts / most if most else 0
