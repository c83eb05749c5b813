"""Leases on batch chunks: when a holder stops and others take over."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterable, Mapping, Sequence

from guavadyke.adapters.ports import StoredObject
from guavadyke.settings import BatchSettings

_MAX_OLD_RENEWALS = 8


@dataclasses.dataclass(frozen=True)
class LeaseView:
    """Snapshot of this host's lease for its worker threads.

    ``name`` is empty if the host has no lease. No item starts at or after
    ``valid_until``, in monotonic seconds.
    """

    name: str = ''
    valid_until: float = 0


def valid_until(confirmed_at: float, settings: BatchSettings) -> float:
    """Return when a holder has to stop, in its monotonic seconds.

    Args:
        confirmed_at: start of the last successful renewal.
        settings: length and safety margin of a lease.
    """
    return confirmed_at + settings.lease_s - settings.lease_margin_s


class LeaseRenewals:
    """The latest renewals of this host's lease, with their versions.

    Object versions are revisions of the whole platform. Data read at a
    revision is therefore at least as new as the renewals up to it.

    Args:
        settings: length and safety margin of a lease.
    """

    def __init__(self, settings: BatchSettings) -> None:
        self._settings = settings
        self._renewals: Sequence[_Renewal] = ()

    def add(self, version: int, started: float) -> None:
        """Record a successful renewal that began at ``started``."""
        kept = self._renewals[-_MAX_OLD_RENEWALS:]
        self._renewals = (*kept, _Renewal(version, started))

    def data_valid_until(self, revision: int) -> float:
        """Return until when data read at a revision may be acted on.

        Returns:
            Monotonic seconds, minus infinity if no recorded renewal is
            covered by the revision.
        """
        starts = [
            renewal.started
            for renewal in self._renewals
            if renewal.version <= revision
        ]
        if not starts:
            return -math.inf
        return valid_until(max(starts), self._settings)


@dataclasses.dataclass(frozen=True)
class _Renewal:
    version: int
    started: float


@dataclasses.dataclass(frozen=True)
class _Observation:
    version: int
    since: float


class LeaseExpiryDetector:
    """Detects expired leases of other hosts by this host's own clock.

    A lease counts as expired when this host has seen the same version for
    the length of a lease.

    Args:
        lease_s: length of a lease.
    """

    def __init__(self, lease_s: float) -> None:
        self._lease_s = lease_s
        self._observations: Mapping[str, _Observation] = {}

    def observe(self, leases: Iterable[StoredObject], now: float) -> None:
        """Record a complete list of the leases, read before ``now``."""
        self._observations = {
            lease.name: self._observation(lease, now) for lease in leases
        }

    def is_absent(self, name: str) -> bool:
        """Return whether the lease is missing from the latest list."""
        return name not in self._observations

    def expired_version(self, name: str, now: float) -> int | None:
        """Return the version of a lease if it has expired, else None.

        The caller deletes this version, so that a renewal in between wins.
        """
        observation = self._observations.get(name)
        if observation is None or now - observation.since < self._lease_s:
            return None
        return observation.version

    def _observation(self, lease: StoredObject, now: float) -> _Observation:
        known = self._observations.get(lease.name)
        if known is not None and known.version == lease.version:
            return known
        return _Observation(lease.version, now)
