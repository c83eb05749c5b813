"""At which service and software version streams began.

What two versions of a server's software write does not fit together, so a
stream goes on only at the version that began it. A caller may take a stream up
at any host, which has to learn where it began.
"""

from __future__ import annotations

import collections
import dataclasses
import math
from collections.abc import Mapping

from guavadyke.decisions.rendezvous_hashing import rank_names

# Time after a stream has broken off within which its caller takes it up.
TAKE_UP_S = 15.0
# How long the origin of a stream is known; longer than streams take.
_KEPT_S = 120.0
_MAX_KEPT = 8192
_HOLDERS = 3


@dataclasses.dataclass(frozen=True)
class StreamOrigin:
    """Where a stream began.

    ``stream_id`` is the id of the request that brought its first event. A
    stream of which nothing is known has no ``service``.
    """

    stream_id: str
    service: str = ''
    software: str = ''

    @property
    def known(self) -> bool:
        """Whether it is known where the stream began."""
        return bool(self.service)


class KnownOrigins:
    """The origins that a host knows, the newest last. Not safe for threads.

    All times are in seconds of the monotonic clock.
    """

    def __init__(self) -> None:
        self._origins: collections.OrderedDict[
            str, tuple[float, StreamOrigin]
        ] = collections.OrderedDict()

    def add(self, origin: StreamOrigin, now: float) -> None:
        """Add an origin, or keep it for longer."""
        self._origins[origin.stream_id] = (now, origin)
        self._origins.move_to_end(origin.stream_id)
        while self._origins:
            oldest, (added_at, _origin) = next(iter(self._origins.items()))
            if len(self._origins) <= _MAX_KEPT and added_at > now - _KEPT_S:
                return
            self._origins.pop(oldest)

    def find(self, stream_id: str) -> StreamOrigin:
        """Return the origin of a stream, which may be unknown."""
        found = self._origins.get(stream_id)
        return StreamOrigin(stream_id) if found is None else found[1]

    def added_since(self, since: float) -> tuple[StreamOrigin, ...]:
        """Return the origins that were added or kept after a time."""
        return tuple(
            origin
            for added_at, origin in self._origins.values()
            if added_at >= since
        )


class SoftwareHistory:
    """The software versions of which streams may be taken up.

    These are the versions of the listed servers and those that have left only
    lately. A host that has just started knows what left before from a record
    on the platform. Not safe for threads. All times are in seconds of one
    clock.

    Args:
        complete_since: from when on no version was missed.
    """

    def __init__(self, complete_since: float) -> None:
        self._complete_since = complete_since
        self._listed: Mapping[str, frozenset[str]] = {}
        self._gone_at: dict[tuple[str, str], float] = {}

    def observe(
        self, listed: Mapping[str, frozenset[str]], now: float
    ) -> frozenset[str]:
        """Set the versions of the listed servers by service.

        Returns:
            The services with a version that was not listed before.
        """
        before = _pairs(self._listed)
        after = _pairs(listed)
        self._listed = listed
        self._gone_at.update(dict.fromkeys(before - after, now))
        return frozenset(service for service, _version in after - before)

    def recall(
        self,
        recorded: Mapping[str, Mapping[str, float]],
        complete_since: float,
        now: float,
    ) -> None:
        """Apply a record of an earlier time.

        Args:
            recorded: by service and version, when the version has left;
                infinity if it had not.
            complete_since: from when on the record misses no version.
            now: a version that had not left then and is not listed now has
                left by now.
        """
        self._complete_since = min(self._complete_since, complete_since)
        left = {
            (service, version): min(now, gone_at)
            for service, versions in recorded.items()
            for version, gone_at in versions.items()
        }
        for pair in left.keys() - _pairs(self._listed):
            known = self._gone_at.get(pair, -math.inf)
            self._gone_at[pair] = max(known, left[pair])

    def record(self, now: float) -> dict[str, dict[str, float]]:
        """Return what ``recall`` takes, of the versions that still matter."""
        found: dict[str, dict[str, float]] = collections.defaultdict(dict)
        for service, versions in self._listed.items():
            found[service] = dict.fromkeys(versions, math.inf)
        for (service, version), gone_at in self._gone_at.items():
            if gone_at > now - TAKE_UP_S:
                found[service].setdefault(version, gone_at)
        return dict(found)

    @property
    def complete_since(self) -> float:
        """From when on no version was missed."""
        return self._complete_since

    def only_version(self, service: str, now: float) -> str | None:
        """Return the version of all streams that may be taken up.

        Returns:
            None if there are several, or may have been.
        """
        if self._complete_since > now - TAKE_UP_S:
            return None
        versions = self.record(now).get(service, {})
        return next(iter(versions)) if len(versions) == 1 else None


def holders(
    stream_id: str, zone: str, zones_by_host: Mapping[str, str]
) -> frozenset[str]:
    """Return the hosts that are told, and asked, where a stream began.

    They are the first by rendezvous hashing of a zone and the first of all.
    While hosts come and go a few at a time, those that are asked include one
    that was told.

    Args:
        stream_id: the stream.
        zone: the zone of the host that tells or asks.
        zones_by_host: the zones of the live hosts.
    """
    ranked = rank_names(stream_id, zones_by_host)
    near = [host_id for host_id in ranked if zones_by_host[host_id] == zone]
    return frozenset((*ranked[:_HOLDERS], *near[:1]))


def _pairs(
    versions_by_service: Mapping[str, frozenset[str]],
) -> frozenset[tuple[str, str]]:
    return frozenset(
        (service, version)
        for service, versions in versions_by_service.items()
        for version in versions
    )
