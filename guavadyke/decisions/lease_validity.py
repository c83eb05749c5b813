"""Leases: when a holder has to stop and when another may take over."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterable, Mapping, Sequence

from guavadyke.adapters.ports import StoredObject
from guavadyke.settings import BatchSettings

_KEPT_RENEWALS = 8


@dataclasses.dataclass(frozen=True)
class LeaseView:
    """This host's lease as its workers see it.

    ``name`` is empty where there is none. Nothing starts at or after
    ``valid_until``, in seconds of this host's monotonic clock.
    """

    name: str = ''
    valid_until: float = 0


def valid_until(confirmed_at: float, settings: BatchSettings) -> float:
    """Return when a holder stops, by its own clock.

    Args:
        confirmed_at: start of the last renewal that succeeded.
        settings: length and margin of a lease.
    """
    return confirmed_at + settings.lease_s - settings.lease_margin_s


class LeaseRenewals:
    """The last renewals of an own lease, by the versions they got.

    Versions are revisions of the whole platform. What is known as of a
    revision is therefore at least as new as the renewals up to it.

    Args:
        settings: length and margin of a lease.
    """

    def __init__(self, settings: BatchSettings) -> None:
        self._settings = settings
        self._renewals: Sequence[_Renewal] = ()

    def add(self, version: int, started: float) -> None:
        """Take in a renewal that began at ``started`` and succeeded."""
        kept = self._renewals[-_KEPT_RENEWALS:]
        self._renewals = (*kept, _Renewal(version, started))

    def data_valid_until(self, revision: int) -> float:
        """Return how long knowledge as of a revision is good enough."""
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
class _Sighting:
    version: int
    since: float


class LeaseExpiryDetector:
    """What one host has seen itself of the other hosts' leases.

    Args:
        lease_s: length of a lease, in seconds.
    """

    def __init__(self, lease_s: float) -> None:
        self._lease_s = lease_s
        self._sightings: Mapping[str, _Sighting] = {}

    def observe(self, leases: Iterable[StoredObject], now: float) -> None:
        """Take in a full list that was complete at ``now``."""
        self._sightings = {
            lease.name: self._sighting(lease, now) for lease in leases
        }

    def is_absent(self, name: str) -> bool:
        """Return whether the newest list does not hold the lease."""
        return name not in self._sightings

    def expired_version(self, name: str, now: float) -> int | None:
        """Return the version of a lease that may be broken, if it may."""
        observation = self._sightings.get(name)
        if observation is None or now - observation.since < self._lease_s:
            return None
        return observation.version

    def _sighting(self, lease: StoredObject, now: float) -> _Sighting:
        known = self._sightings.get(lease.name)
        if known is not None and known.version == lease.version:
            return known
        return _Sighting(lease.version, now)
