"""Lease of the coordinator of a shard of limits.

The lease is an object of the platform. A holder counts its time from
before the write that renewed it; a taker waits until it has itself seen
the lease unchanged for its length and that of the last grants.
"""

from __future__ import annotations

import dataclasses
import enum
import hashlib
import math

from guavadyke.decisions.limit_grants import GRANT_S

LEASE_KIND = 'limit-lease'
SHARDS = 8
_LEASE_S = 8.0
_RENEW_S = 2.5
_MARGIN_S = 1.0


class LeaseStep(enum.Enum):
    """What a host that ought to hold a lease does next."""

    nothing = 'nothing'
    read = 'read'
    write = 'write'


@dataclasses.dataclass
class ShardLease:
    """What one host knows of the lease of one shard.

    Args:
        host_id: this host.
    """

    host_id: str
    _version: int = -1
    _holder: str = ''
    _seen_since: float = -math.inf
    _held_until: float = -math.inf
    _renewed_at: float = -math.inf

    def held(self, now: float) -> bool:
        """Return whether this host may grant now."""
        return now < self._held_until

    def next_step(self, now: float) -> LeaseStep:
        """Return what to do so that this host comes to hold the lease."""
        if self.held(now) and now - self._renewed_at < _RENEW_S:
            return LeaseStep.nothing
        if self._version < 0:
            return LeaseStep.read
        own = self._holder in {'', self.host_id}
        if own or now - self._seen_since > _LEASE_S + GRANT_S:
            return LeaseStep.write
        return LeaseStep.read

    def seen(self, version: int, holder: str, now: float) -> None:
        """Take what the platform holds; version 0 where there is none."""
        if version != self._version:
            self._version = version
            self._seen_since = now
        self._holder = holder if version else ''

    def written(self, version: int, began_at: float) -> None:
        """Take a write of our own.

        Args:
            version: version that it made.
            began_at: when the write began, monotonic seconds.
        """
        self._version = version
        self._holder = self.host_id
        self._seen_since = began_at
        self._renewed_at = began_at
        self._held_until = began_at + _LEASE_S - _MARGIN_S

    def lost(self) -> None:
        """Take a lost race: another host wrote."""
        self._version = -1
        self._held_until = -math.inf


def shard_of(limit_name: str) -> int:
    """Return the shard of a limit."""
    digest = hashlib.blake2b(limit_name.encode(), digest_size=4).digest()
    return int.from_bytes(digest) % SHARDS
