"""Lease of the host that coordinates one shard of the limits.

The lease is an object of the platform. The holder counts its validity from
before the write that renewed it. Another host takes it over only after it
has itself seen the lease unchanged for the length of the lease and of the
grants that the last holder may have issued.
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
    """Next action of a host that should hold a lease."""

    nothing = 'nothing'
    read = 'read'
    write = 'write'


@dataclasses.dataclass
class ShardLease:
    """State of one shard's lease as known to this host.

    Args:
        host_id: holder id of this process, unique for each start.
    """

    host_id: str
    _version: int = -1
    _holder: str = ''
    _unchanged_since: float = -math.inf
    _held_until: float = -math.inf
    _renewed_at: float = -math.inf

    def held(self, now: float) -> bool:
        """Return whether this host holds the lease and may issue grants."""
        return now < self._held_until

    def next_step(self, now: float) -> LeaseStep:
        """Return the next action to acquire or renew the lease."""
        if self.held(now) and now - self._renewed_at < _RENEW_S:
            return LeaseStep.nothing
        if self._version < 0:
            return LeaseStep.read
        own = self._holder in {'', self.host_id}
        if own or now - self._unchanged_since > _LEASE_S + GRANT_S:
            return LeaseStep.write
        return LeaseStep.read

    def record_read(self, version: int, holder: str, now: float) -> None:
        """Record a read of the lease; version 0 if it does not exist."""
        if version != self._version:
            self._version = version
            self._unchanged_since = now
        self._holder = holder if version else ''

    def record_write(self, version: int, began_at: float) -> None:
        """Record a successful write of the lease by this host.

        Args:
            version: version created by the write.
            began_at: start of the write, in monotonic seconds.
        """
        self._version = version
        self._holder = self.host_id
        self._unchanged_since = began_at
        self._renewed_at = began_at
        self._held_until = began_at + _LEASE_S - _MARGIN_S

    def record_conflict(self) -> None:
        """Record a write that failed because another host wrote first."""
        self._version = -1
        self._held_until = -math.inf


def shard_of(limit_name: str) -> int:
    """Return the number of the shard that a limit belongs to."""
    digest = hashlib.blake2b(limit_name.encode(), digest_size=4).digest()
    return int.from_bytes(digest) % SHARDS
