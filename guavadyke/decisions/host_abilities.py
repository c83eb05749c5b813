"""Which hosts have said that they cannot run items of jobs.

Answers a host that is alive in the membership but knows no servers or routes:
jobs that it owns would wait for as long as it lives.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Collection

# Time for which a host may lack its routes or servers before it says so. A
# host that starts usually lists them within it.
_TELL_AFTER_S = 1.0
_SHORTEST_INTERVAL_S = 1.0
# Bounds the datagrams of a host in a large fleet.
_MAX_DATAGRAMS_PER_S = 250
# Notices of which all have to be lost before a host counts as able again.
_NOTICES_IN_VALIDITY = 3.5


@dataclasses.dataclass(frozen=True)
class HostAbility:
    """Whether a host can run items of jobs.

    A host that is not ``able`` says so for ``valid_s`` seconds at a time.
    """

    able: bool
    valid_s: float = 0


class OwnAbility:
    """When a host has to tell the others whether it can run items.

    All times are in seconds of the monotonic clock.
    """

    def __init__(self) -> None:
        self._unable_since: float | None = None
        self._tell_at: float = 0
        self._told = False

    def due(
        self, now: float, receivers: int, *, able: bool
    ) -> HostAbility | None:
        """Return what to tell all other hosts now, None for nothing.

        Args:
            now: the time.
            receivers: number of the other hosts.
            able: whether this host can run items.
        """
        if able:
            withdrawal = HostAbility(able=True) if self._told else None
            self._unable_since = None
            self._told = False
            return withdrawal
        if self._unable_since is None:
            self._unable_since = now
            self._tell_at = now + _TELL_AFTER_S
        if now < self._tell_at:
            return None
        interval_s = max(_SHORTEST_INTERVAL_S, receivers / _MAX_DATAGRAMS_PER_S)
        self._tell_at = now + interval_s
        self._told = True
        return HostAbility(
            able=False, valid_s=_NOTICES_IN_VALIDITY * interval_s
        )


class UnableHosts:
    """The other hosts that have said that they cannot run items.

    A host that says nothing counts as able, as do hosts of versions that
    cannot say it. All times are in seconds of the monotonic clock.
    """

    def __init__(self) -> None:
        self._until: dict[str, float] = {}

    def record(self, host_id: str, ability: HostAbility, now: float) -> bool:
        """Record what a host says; return whether it is new."""
        unable_before = host_id in self.names(now)
        self._until = {
            other: until
            for other, until in self._until.items()
            if until > now and other != host_id
        }
        if not ability.able:
            self._until[host_id] = now + ability.valid_s
        return unable_before is ability.able

    def names(self, now: float) -> frozenset[str]:
        """Return the ids of the hosts that are unable now."""
        return frozenset(
            host_id for host_id, until in self._until.items() if until > now
        )


def able_hosts(
    hosts: Collection[str], unable: Collection[str]
) -> frozenset[str]:
    """Return the hosts without the unable ones, all if that leaves none."""
    return frozenset(hosts).difference(unable) or frozenset(hosts)
