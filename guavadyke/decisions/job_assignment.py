"""Assignment of open batch jobs to hosts, to bound what a host polls.

A host polls all jobs while these are few. Otherwise it polls the jobs for
which it ranks highest by rendezvous hashing over the live hosts that can run
the job's entry; a job of many chunks is polled by more hosts. A host that
finds no work doubles the number of jobs that it polls.
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

_MIN_CHUNKS_IN_RANK = 4
_MIN_POLLED_JOBS = 64
_MAX_RERANKED_PER_CALL = 256
_MAX_POLL_FACTOR = 64
_HASH_BYTES = 8
_HASH_MULTIPLIER = 0x9E3779B97F4A7C15
_HASH_MASK = (1 << (_HASH_BYTES * 8)) - 1
_HASH_SHIFT_BITS = 32


@dataclasses.dataclass(frozen=True)
class OpenJob:
    """A job that has not ended; ``chunks`` is its number of chunks."""

    job_id: str
    entry_name: str
    chunks: int


class JobSelector:
    """Selects the open jobs that one host polls.

    Args:
        host_id: id of this host.
    """

    def __init__(self, host_id: str) -> None:
        self._host_id = host_id
        self._hosts: Mapping[str, tuple[str, ...]] = {}
        self._ranks: dict[str, int] = {}
        self._stale: set[str] = set()
        self._poll_factor = 1

    def select_jobs(
        self,
        jobs: Iterable[OpenJob],
        hosts: Mapping[str, tuple[str, ...]],
    ) -> frozenset[str]:
        """Return the ids of the jobs that this host polls.

        After a change of hosts the old ranks stay in use until they are
        recomputed, at most ``_MAX_RERANKED_PER_CALL`` in each call.

        Args:
            jobs: all open jobs.
            hosts: ids of the live hosts that can run each entry, by entry
                name, including this host.
        """
        known = {job.job_id: job for job in jobs}
        max_jobs = _MIN_POLLED_JOBS * self._poll_factor
        if len(known) <= max_jobs:
            return frozenset(known)
        if hosts != self._hosts:
            self._hosts = hosts
            self._stale = set(self._ranks)
        runnable = {
            job_id: job
            for job_id, job in known.items()
            if self._host_id in hosts.get(job.entry_name, ())
        }
        self._update_ranks(runnable)
        by_rank = sorted(
            runnable,
            key=lambda job_id: (
                self._ranks[job_id]
                / max(_MIN_CHUNKS_IN_RANK, runnable[job_id].chunks)
            ),
        )
        return frozenset(itertools.islice(by_rank, max_jobs))

    def record_search(self, *, work: bool) -> None:
        """Adjust the number of polled jobs after a search for work.

        Args:
            work: whether a job had work for this host's idle capacity. If
                not, twice as many jobs are polled, up to a maximum.
        """
        self._poll_factor = (
            1 if work else min(_MAX_POLL_FACTOR, self._poll_factor * 2)
        )

    def _update_ranks(self, runnable: Mapping[str, OpenJob]) -> None:
        self._ranks = {
            job_id: rank
            for job_id, rank in self._ranks.items()
            if job_id in runnable
        }
        self._stale.intersection_update(runnable)
        to_rank = frozenset(
            itertools.islice(self._stale, _MAX_RERANKED_PER_CALL)
        )
        self._stale -= to_rank
        for job_id in to_rank.union(runnable.keys() - self._ranks.keys()):
            hosts = self._hosts[runnable[job_id].entry_name]
            self._ranks[job_id] = host_rank(job_id, self._host_id, hosts)


def host_rank(name: str, host_id: str, hosts: Iterable[str]) -> int:
    """Return how many of ``hosts`` score above ``host_id`` for a name."""
    name_hash = _hash(name)
    own = _score(name_hash, host_id)
    return sum(_score(name_hash, other) > own for other in hosts)


def hosts_by_entry(
    catalogue: CatalogueSnapshot,
    zones: Mapping[str, str],
) -> Mapping[str, tuple[str, ...]]:
    """Return the ids of the hosts that can run each entry, by entry name.

    These are the hosts of the availability zones that have a backend
    server for the entry, or all hosts if none of these zones has a host.

    Args:
        catalogue: configuration in force.
        zones: availability zone of each live host, by host id.
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
    in_zones = sorted(host for host, zone in zones.items() if zone in wanted)
    return tuple(in_zones or sorted(zones))


def _score(name_hash: int, host_id: str) -> int:
    mixed = ((name_hash ^ _host_hash(host_id)) * _HASH_MULTIPLIER) & _HASH_MASK
    return (
        (mixed ^ (mixed >> _HASH_SHIFT_BITS)) * _HASH_MULTIPLIER
    ) & _HASH_MASK


@functools.lru_cache(maxsize=4096)
def _host_hash(host_id: str) -> int:
    return _hash(host_id)


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=_HASH_BYTES)
    return int.from_bytes(digest.digest(), 'big')
