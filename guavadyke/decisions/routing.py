"""Choice of a backend server: prefix affinity with bounded loads.

Servers are ranked by weighted rendezvous hashing of the request's key.
"""

from __future__ import annotations

import dataclasses
import hashlib
import itertools
import math
import random
from collections.abc import Collection, Sequence

from guavadyke.adapters.ports import ReportedLoad
from guavadyke.decisions.remote_counts import RemoteCounts
from guavadyke.decisions.server_state import ServerState

_LOAD_BOUND = 1.25
_MIN_SERVERS_SHARE = 0.25
_HASH_BYTES = 8
_HASH_RANGE = 2.0 ** (8 * _HASH_BYTES)


@dataclasses.dataclass(frozen=True)
class ServerView:
    """A backend server that may receive requests.

    ``slots`` is the number of requests that it runs at once; ``fair_slots``
    is how many of them this host may use regardless of other hosts.
    """

    server_id: str
    zone: str
    address: str
    slots: int
    fair_slots: int


class Router:
    """Chooses backend servers by the load and health of each.

    Not thread-safe: the caller holds a lock. Times are in seconds of the
    monotonic clock.

    Args:
        zone: availability zone of this host.
        rng: adds jitter to the probes of failing servers.
    """

    def __init__(self, zone: str, rng: random.Random) -> None:
        self._zone = zone
        self._rng = rng
        self.remote_batch = RemoteCounts()
        self._servers: dict[str, ServerState] = {}

    def server(self, server_id: str) -> ServerState:
        """Return the state of a server; an unknown server gets a new one."""
        found = self._servers.get(server_id)
        if found is None:
            found = ServerState(self._rng)
            self._servers[server_id] = found
        return found

    def retain(self, server_ids: Collection[str]) -> None:
        """Drop the state of servers that are neither listed nor in use."""
        self._servers = {
            server_id: server
            for server_id, server in self._servers.items()
            if server_id in server_ids or server.in_flight
        }

    def in_use_or_ejected(self) -> frozenset[str]:
        """Return the ids of servers that are in use here or ejected."""
        return frozenset(
            server_id
            for server_id, server in self._servers.items()
            if server.in_flight or server.health.ejected_until is not None
        )

    def report(self, server_id: str, load: ReportedLoad, now: float) -> None:
        """Record a load report of a server."""
        server = self.server(server_id)
        remote_batch = self.remote_batch.total_at(server_id, now - load.age_s)
        server.record_report(load, now, remote_batch)
        server.health.reported(now)

    def other_hosts_online(self, server_id: str, now: float) -> int | None:
        """Return other hosts' online requests; None if not known."""
        return self.server(server_id).other_hosts_online(now)

    def free_slots(self, view: ServerView, now: float) -> int:
        """Return how many more online requests this host may send there.

        This host's batch items are not subtracted, as they are preempted
        when online requests need their slots.
        """
        server = self.server(view.server_id)
        other_hosts_online = self.other_hosts_online(view.server_id, now)
        allowed = view.fair_slots
        if other_hosts_online is not None:
            allowed = max(allowed, view.slots - other_hosts_online)
        usable = server.health.usable_slots(view.slots, now)
        return min(allowed, usable) - server.online

    def available(self, view: ServerView) -> bool:
        """Return whether a server is neither ejected nor awaiting a probe."""
        return self.server(view.server_id).health.ejected_until is None

    def choose(
        self,
        views: Sequence[ServerView],
        key: bytes,
        now: float,
    ) -> ServerView | None:
        """Return the server for a request, None where none has a free slot.

        Servers in this host's own zone are preferred.

        Args:
            views: servers that may receive the request.
            key: affinity key, the same for requests with a common prefix.
            now: current time.
        """
        own = [view for view in views if view.zone == self._zone]
        chosen = self._choose_among(own, key, now)
        if chosen is not None:
            return chosen
        rest = [view for view in views if view.zone != self._zone]
        return self._choose_among(rest, key, now)

    def _choose_among(
        self,
        views: Sequence[ServerView],
        key: bytes,
        now: float,
    ) -> ServerView | None:
        views = self._without_ejected(views, now)
        free = [view for view in views if self.free_slots(view, now) > 0]
        if not free:
            return None
        load = 1 + sum(self._online_total(view, now) for view in free)
        bound = _LOAD_BOUND * load / sum(view.slots for view in free)
        ranked = sorted(
            free, key=lambda view: affinity_score(view, key), reverse=True
        )
        return next(
            (
                view
                for view in ranked
                if self._online_total(view, now) < math.ceil(bound * view.slots)
            ),
            ranked[0],
        )

    def _online_total(self, view: ServerView, now: float) -> int:
        server = self.server(view.server_id)
        return server.online + (
            self.other_hosts_online(view.server_id, now) or 0
        )

    def _without_ejected(
        self,
        views: Sequence[ServerView],
        now: float,
    ) -> list[ServerView]:
        """Leave out ejected servers, up to the maximum share of servers."""
        until = {
            view.server_id: self.server(view.server_id).health.ejected_until
            for view in views
        }
        usable = [view for view in views if (until[view.server_id] or 0) <= now]
        min_servers = math.ceil(_MIN_SERVERS_SHARE * len(views))
        if len(usable) >= min_servers:
            return usable
        ejected = sorted(
            (view for view in views if view not in usable),
            key=lambda view: until[view.server_id] or 0,
        )
        probed = (
            view
            for view in ejected
            if self.server(view.server_id).health.allow_early_probe(now)
        )
        missing = min_servers - len(usable)
        return [*usable, *itertools.islice(probed, missing)]


def affinity_score(view: ServerView, key: bytes) -> float:
    """Return the rendezvous hash score of a server, weighted by its slots."""
    digest = hashlib.blake2b(
        b'%b\0%b' % (view.server_id.encode(), key),
        digest_size=_HASH_BYTES,
    ).digest()
    fraction = (int.from_bytes(digest) + 1) / (_HASH_RANGE + 1)
    return view.slots / -math.log(fraction)
