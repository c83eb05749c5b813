"""Items that stay off servers for a while, and servers that fail."""

from __future__ import annotations

import dataclasses
import itertools

from hypothesis import strategies as st

from features import builders_forward as build
from guavadyke.adapters.ports import BackendFault, OnlineCount, PeerNotice
from guavadyke.controllers.server_pool import ServerPool
from guavadyke.decisions.forward_job_items import JobItemTracker
from guavadyke.decisions.server_registry import ServerLease

ENDS = ('broken', 'failed', 'preempted', 'not run')
_HOSTS = 3
_SERVERS = ('s1', 's2')
_FULL = 's3'
SLOTS = 8
# Items of each host at each server before any of them fails.
_HELD = 5
_TICK_S = 0.05
# Drawn more often, since each of them alone keeps a host from a server.
_UNREACHED = (BackendFault.not_reached,) * 6
_LONGEST_LOOK_S = 60.0
_MANY_ATTEMPTS = 1000


def end_run(work: JobItemTracker, end: str, now: float) -> None:
    """End the run of the one item of a job."""
    if end == 'failed':
        work.failed('item-0', _MANY_ATTEMPTS, now)
    elif end == 'preempted':
        work.preempted('item-0')
    else:
        work.broken('item-0', now)


@dataclasses.dataclass(frozen=True)
class ServerEvent:
    """What a host finds of a server; ``fault`` is None for an answer."""

    host: int
    server: str
    fault: BackendFault | None
    pause_s: float


server_events = st.builds(
    ServerEvent,
    host=st.integers(0, _HOSTS - 1),
    server=st.sampled_from(_SERVERS),
    fault=st.sampled_from((*_UNREACHED, *BackendFault, None)),
    pause_s=st.floats(0, 0.5),
)


class FailingFleet:
    """Hosts that learn of each other's failures, without delay.

    One server is full of online requests, so that items need the others.
    """

    def __init__(self) -> None:
        self._clock = build.ManualClock()
        listed = tuple(build.server(name) for name in (*_SERVERS, _FULL))
        self._pools = [build.pool(listed, self._clock) for _ in range(_HOSTS)]
        self._leases = {
            (host, name): [self._lease(host, name) for _ in range(_HELD)]
            for host, name in itertools.product(range(_HOSTS), _SERVERS)
        }

    def apply(self, event: ServerEvent) -> None:
        """Let an item of a host at a server end, and tell the other hosts."""
        held = self._leases[event.host, event.server]
        lease = held.pop() if held else self._lease(event.host, event.server)
        if lease is not None:
            self._pools[event.host].release(lease, event.fault)
        self._tell(event.host)
        self._clock.now += event.pause_s

    def wait_for_items(self) -> float:
        """Return the seconds until an item of each host has started.

        The items that are left are refused first, which tells of no failure.
        """
        for (host, _name), held in self._leases.items():
            for lease in filter(None, held):
                self._pools[host].release(lease, BackendFault.refused)
        return max(
            wait_for_start(pool, self._clock, _FULL) for pool in self._pools
        )

    def _lease(self, host: int, name: str) -> ServerLease | None:
        others = frozenset((*_SERVERS, _FULL)) - {name}
        return self._pools[host].acquire_batch(build.SERVICE, others)

    def _tell(self, host: int) -> None:
        news = self._pools[host].urgent.wait(0)
        for number, pool in enumerate(self._pools):
            if number != host and news.faults:
                pool.record_notice(
                    f'host-{host}', PeerNotice(faults=news.faults)
                )


def lease_item(pool: ServerPool) -> ServerLease | None:
    """Return a slot for an item, None if there is none now."""
    return pool.acquire_batch(build.SERVICE, frozenset())


def fill(pool: ServerPool, server_id: str) -> None:
    """Tell a host of online requests that take all slots of a server."""
    pool.record_notice(
        'elsewhere', PeerNotice(counts=(OnlineCount(server_id, SLOTS, 0),))
    )


def wait_for_start(
    pool: ServerPool, clock: build.ManualClock, full: str = ''
) -> float:
    """Return the seconds until an item starts.

    Args:
        pool: the servers of its host.
        clock: is advanced while it waits.
        full: a server that stays full of online requests.
    """
    began_at = clock.now
    while True:
        if full:
            fill(pool, full)
        if lease_item(pool) is not None:
            return clock.now - began_at
        clock.now += _TICK_S
        assert clock.now - began_at < _LONGEST_LOOK_S
