"""Choice of a backend server: prefix affinity with bounded loads."""

from __future__ import annotations

import dataclasses
import hashlib
import itertools
import math
import random
from collections.abc import Collection, Sequence

from guavadyke.adapters.ports import ReportedLoad
from guavadyke.decisions.load import ServerState
from guavadyke.decisions.remote_counts import RemoteCounts

_BOUND = 1.25
_LEAST_KEPT_SHARE = 0.25
_HASH_BYTES = 8
_HASH_RANGE = 2.0 ** (8 * _HASH_BYTES)


@dataclasses.dataclass(frozen=True)
class ServerView:
    """A backend server that may take a request.

    ``fair_slots`` are the slots that this host may use whatever others do.
    """

    server_id: str
    zone: str
    address: str
    slots: int
    fair_slots: int


class Router:
    """Chooses backend servers and counts what this host has at each.

    Not safe for threads: its owner holds a lock.

    Args:
        zone: availability zone of this host.
        rng: spreads probes of failing servers.
    """

    def __init__(self, zone: str, rng: random.Random) -> None:
        self._zone = zone
        self._rng = rng
        self.remote_batch = RemoteCounts()
        self._servers: dict[str, ServerState] = {}

    def server(self, server_id: str) -> ServerState:
        """Return the state of a server, new where it was not known."""
        found = self._servers.get(server_id)
        if found is None:
            found = ServerState(self._rng)
            self._servers[server_id] = found
        return found

    def keep(self, server_ids: Collection[str]) -> None:
        """Forget servers that are neither named nor in use."""
        self._servers = {
            server_id: server
            for server_id, server in self._servers.items()
            if server_id in server_ids or server.in_flight
        }

    def used(self) -> frozenset[str]:
        """Return the servers in use here, and those that are ejected."""
        return frozenset(
            server_id
            for server_id, server in self._servers.items()
            if server.in_flight or server.health.ejected_until is not None
        )

    def report(self, server_id: str, load: ReportedLoad, now: float) -> None:
        """Take a server's own report of its load."""
        server = self.server(server_id)
        foreign = self.remote_batch.total_at(server_id, now - load.age_s)
        server.take_report(load, now, foreign)
        server.health.reported(now)

    def others(self, server_id: str, now: float) -> int | None:
        """Return online requests of other hosts; None where unknown."""
        return self.server(server_id).others(now)

    def free_slots(self, view: ServerView, now: float) -> int:
        """Return how many more requests this host may send to a server.

        Batch items of this host do not count: they yield.
        """
        server = self.server(view.server_id)
        others = self.others(view.server_id, now)
        allowed = view.fair_slots
        if others is not None:
            allowed = max(allowed, view.slots - others)
        usable = server.health.usable_slots(view.slots, now)
        return min(allowed, usable) - server.online

    def available(self, view: ServerView) -> bool:
        """Return whether a server is neither ejected nor being probed."""
        return self.server(view.server_id).health.ejected_until is None

    def choose(
        self,
        views: Sequence[ServerView],
        key: bytes,
        now: float,
    ) -> ServerView | None:
        """Return the server for a request, None where all are full.

        Servers of the own zone come first.
        """
        own = [view for view in views if view.zone == self._zone]
        chosen = self._choose(own, key, now)
        if chosen is not None:
            return chosen
        rest = [view for view in views if view.zone != self._zone]
        return self._choose(rest, key, now)

    def _choose(
        self,
        views: Sequence[ServerView],
        key: bytes,
        now: float,
    ) -> ServerView | None:
        views = self._in_service(views, now)
        free = [view for view in views if self.free_slots(view, now) > 0]
        if not free:
            return None
        load = 1 + sum(self._used(view, now) for view in free)
        bound = _BOUND * load / sum(view.slots for view in free)
        ranked = sorted(free, key=lambda view: rank(view, key), reverse=True)
        return next(
            (
                view
                for view in ranked
                if self._used(view, now) < math.ceil(bound * view.slots)
            ),
            ranked[0],
        )

    def _used(self, view: ServerView, now: float) -> int:
        server = self.server(view.server_id)
        return server.online + (self.others(view.server_id, now) or 0)

    def _in_service(
        self,
        views: Sequence[ServerView],
        now: float,
    ) -> list[ServerView]:
        """Leave out ejected servers, but never more than the cap allows."""
        until = {
            view.server_id: self.server(view.server_id).health.ejected_until
            for view in views
        }
        usable = [view for view in views if (until[view.server_id] or 0) <= now]
        least = math.ceil(_LEAST_KEPT_SHARE * len(views))
        if len(usable) >= least:
            return usable
        ejected = sorted(
            (view for view in views if view not in usable),
            key=lambda view: until[view.server_id] or 0,
        )
        readmitted = (
            view
            for view in ejected
            if self.server(view.server_id).health.readmit(now)
        )
        missing = least - len(usable)
        return [*usable, *itertools.islice(readmitted, missing)]


def rank(view: ServerView, key: bytes) -> float:
    """Return the weighted rendezvous score of a server for a key."""
    digest = hashlib.blake2b(
        b'%b\0%b' % (view.server_id.encode(), key),
        digest_size=_HASH_BYTES,
    ).digest()
    drawn = (int.from_bytes(digest) + 1) / (_HASH_RANGE + 1)
    return view.slots / -math.log(drawn)
