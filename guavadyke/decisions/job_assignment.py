"""Which open jobs a host looks after, so that no host looks at all.

A host looks after all jobs while these are few, else after those that are
nearest to it by rendezvous hashing over the live hosts that can run their
entry; a job of many chunks is near to many hosts. A host that finds no
work looks after twice as many.
"""

from __future__ import annotations

import collections
import dataclasses
import functools
import hashlib
import itertools
from collections.abc import Iterable, Mapping

from guavadyke.catalogue import ModelEntry
from guavadyke.snapshots import CatalogueSnapshot

_LEAST_GROUP = 4
_FEW_JOBS = 64
_RANKED_AT_ONCE = 256
_LARGEST_REACH = 64
_HASH_BYTES = 8
_MIX = 0x9E3779B97F4A7C15
_MASK = (1 << (_HASH_BYTES * 8)) - 1
_SHIFT = 32


@dataclasses.dataclass(frozen=True)
class OpenJob:
    """A job that has not ended, with the number of its chunks."""

    job_id: str
    entry_name: str
    chunks: int


class JobSelector:
    """Chooses the jobs that one host looks after.

    Args:
        host_id: this host.
    """

    def __init__(self, host_id: str) -> None:
        self._host_id = host_id
        self._hosts: Mapping[str, tuple[str, ...]] = {}
        self._ranks: dict[str, int] = {}
        self._stale: set[str] = set()
        self._reach = 1

    def attended(
        self,
        jobs: Iterable[OpenJob],
        hosts: Mapping[str, tuple[str, ...]],
    ) -> frozenset[str]:
        """Return the ids of the jobs that this host looks after.

        After a change of hosts the old ranks serve until the new ones are
        worked out, some in each call.

        Args:
            jobs: all open jobs.
            hosts: live hosts that can run each entry, this one included.
        """
        known = {job.job_id: job for job in jobs}
        most = _FEW_JOBS * self._reach
        if len(known) <= most:
            return frozenset(known)
        if hosts != self._hosts:
            self._hosts = hosts
            self._stale = set(self._ranks)
        mine = {
            job_id: job
            for job_id, job in known.items()
            if self._host_id in hosts.get(job.entry_name, ())
        }
        self._rank_anew(mine)
        near = sorted(
            mine,
            key=lambda job_id: (
                self._ranks[job_id] / max(_LEAST_GROUP, mine[job_id].chunks)
            ),
        )
        return frozenset(itertools.islice(near, most))

    def found(self, *, work: bool) -> None:
        """Take note whether there was work for idle capacity."""
        self._reach = 1 if work else min(_LARGEST_REACH, self._reach * 2)

    def _rank_anew(self, mine: Mapping[str, OpenJob]) -> None:
        self._ranks = {
            job_id: place
            for job_id, place in self._ranks.items()
            if job_id in mine
        }
        self._stale.intersection_update(mine)
        again = frozenset(itertools.islice(self._stale, _RANKED_AT_ONCE))
        self._stale -= again
        for job_id in again.union(mine.keys() - self._ranks.keys()):
            hosts = self._hosts[mine[job_id].entry_name]
            self._ranks[job_id] = rank(job_id, self._host_id, hosts)


def rank(name: str, host_id: str, hosts: Iterable[str]) -> int:
    """Return how many of the hosts come before one of them for a name."""
    name_hash = _hash(name)
    own = _weight(name_hash, host_id)
    return sum(_weight(name_hash, other) > own for other in hosts)


def hosts_by_entry(
    catalogue: CatalogueSnapshot,
    zones: Mapping[str, str],
) -> Mapping[str, tuple[str, ...]]:
    """Return the hosts that can run each entry.

    These are the hosts of the availability zones that have a backend
    server for it, or all hosts where none of these zones has a host.

    Args:
        catalogue: configuration in force.
        zones: availability zone of each live host by its id.
    """
    serving: dict[str, set[str]] = collections.defaultdict(set)
    for server in catalogue.backend_servers.values():
        for entry_name in server.serves:
            serving[entry_name].add(server.zone)
    return {
        name: _hosts_in(serving[name].union(_managed_zones(entry)), zones)
        for name, entry in catalogue.entries.items()
    }


def _managed_zones(entry: object) -> frozenset[str]:
    if not isinstance(entry, ModelEntry):
        return frozenset()
    return frozenset(zone for zone, count in entry.replicas.items() if count)


def _hosts_in(
    wanted: frozenset[str] | set[str],
    zones: Mapping[str, str],
) -> tuple[str, ...]:
    able = sorted(host for host, zone in zones.items() if zone in wanted)
    return tuple(able or sorted(zones))


def _weight(name_hash: int, host_id: str) -> int:
    mixed = ((name_hash ^ _host_hash(host_id)) * _MIX) & _MASK
    return ((mixed ^ (mixed >> _SHIFT)) * _MIX) & _MASK


@functools.lru_cache(maxsize=4096)
def _host_hash(host_id: str) -> int:
    return _hash(host_id)


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=_HASH_BYTES)
    return int.from_bytes(digest.digest(), 'big')
