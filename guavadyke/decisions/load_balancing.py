"""Choice of a backend server for forwarded requests and batch items.

Answers two loads: a steady one, in which every server should hold about the
same number of requests, and a burst, in which batch items give way.
"""

from __future__ import annotations

import collections
import dataclasses
import random
from collections.abc import Iterable, Mapping, Sequence

from guavadyke.decisions.batch_allocation import BatchDemand, batch_rooms
from guavadyke.decisions.health import ServerHealth
from guavadyke.decisions.remote_counts import RemoteCounts
from guavadyke.decisions.rendezvous_hashing import rank_names
from guavadyke.decisions.server_registry import ListedServer
from guavadyke.decisions.slot import HostLocation

# Load that a server of another availability zone has to be below a near one
# to be chosen, as a share of its slots: about one request.
_ZONE_PENALTY = 0.13
# Slots of each server that batch leaves for online requests to come; the
# next ones have their place within two notices of load.
_ONLINE_RESERVE = 1
# Stands for all servers in counts of the items that wait for any of them.
ANY_SERVER = '*'
# Seconds for which a server that refused an item gets no other one.
_REFUSED_PAUSE_S = 0.4


@dataclasses.dataclass(frozen=True)
class ServerLoad:
    """Requests at one server, of all hosts as far as this host knows."""

    online: int
    batch: int

    @property
    def total(self) -> int:
        """Requests of both classes."""
        return self.online + self.batch


class LoadBalancer:
    """What this host and others have at each server.

    Not safe for threads: its owner holds a lock.

    Args:
        here: this host.
        rng: breaks ties and spreads probes.
    """

    def __init__(self, here: HostLocation, rng: random.Random) -> None:
        self._here = here
        self._rng = rng
        self._paused: dict[str, float] = {}
        self.own_online: collections.Counter[str] = collections.Counter()
        self.own_batch: collections.Counter[str] = collections.Counter()
        self.own_waiting = 0
        # Hosts with open jobs, the one whose job is due first coming first.
        self.due_order: tuple[str, ...] = ()
        self.online_elsewhere = RemoteCounts()
        self.batch_elsewhere = RemoteCounts()
        self._health: dict[str, ServerHealth] = {}

    def health(self, server: ListedServer) -> ServerHealth:
        """Return the health of one incarnation of a server."""
        key = f'{server.server_id}/{server.born_ms}'
        found = self._health.get(key)
        if found is None:
            found = ServerHealth(self._rng)
            self._health[key] = found
        return found

    def load(self, server_id: str, now: float) -> ServerLoad:
        """Return the requests at a server."""
        return ServerLoad(
            self.own_online[server_id]
            + self.online_elsewhere.total(server_id, now),
            self.own_batch[server_id]
            + self.batch_elsewhere.total(server_id, now),
        )

    def own_share(
        self,
        servers: Iterable[ListedServer],
        now: float,
    ) -> float:
        """Return this host's part of the online requests at servers.

        A host that has none counts as if it had one.
        """
        ids = [server.server_id for server in servers]
        own = max(1, sum(self.own_online[name] for name in ids))
        elsewhere = sum(self.online_elsewhere.total(name, now) for name in ids)
        return own / (own + elsewhere)

    def forget(self, servers: Iterable[ListedServer]) -> None:
        """Keep the health of these servers only."""
        kept = {f'{one.server_id}/{one.born_ms}' for one in servers}
        self._health = {
            key: health for key, health in self._health.items() if key in kept
        }

    def choose_online(
        self,
        servers: Sequence[ListedServer],
        excluded: frozenset[str],
        key: str,
        now: float,
    ) -> ListedServer | None:
        """Return the least loaded server that may take a request.

        Batch items count as half a request, since they give way. Of equal
        servers the one that ranks first for the key is taken, so that
        requests with the same prompt parts meet.
        """
        usable = [
            server
            for server in self._in_service(servers, now)
            if server.server_id not in excluded
        ]
        if not usable:
            return None
        ranked = rank_names(key, [server.server_id for server in usable])
        places = {name: place for place, name in enumerate(ranked)}
        return min(
            usable,
            key=lambda server: (
                self._score(server, now),
                places[server.server_id],
            ),
        )

    def refused(self, server_id: str, now: float) -> None:
        """Leave a server that refused an item alone for a moment."""
        self._paused[server_id] = now + _REFUSED_PAUSE_S

    def choose_batch(
        self,
        servers: Sequence[ListedServer],
        excluded: frozenset[str],
        now: float,
    ) -> ListedServer | None:
        """Return the server with most room for an item, None without."""
        usable = {
            server.server_id: server
            for server in self._in_service(servers, now)
            if server.server_id not in excluded
            and self._paused.get(server.server_id, 0) <= now
        }
        free = {
            name: slots
            for name, one in usable.items()
            if (slots := self._free(one, now)) > 0
        }
        # Most often nothing is free, which is found out for little.
        demands = self._demands(free, now) if free else {}
        rooms = batch_rooms(free, demands, self._here.host_id)
        best = max(rooms.values(), default=0)
        if best <= 0:
            return None
        return usable[
            self._rng.choice([
                name for name, room in rooms.items() if room == best
            ])
        ]

    def surplus(self, server: ListedServer, now: float) -> int:
        """Return how many items of this host are to give way at a server.

        The items beyond the slots are divided over the hosts in proportion
        to what they have, and rounded so that just these give way.
        """
        load = self.load(server.server_id, now)
        over = min(load.total - server.slots, load.batch)
        own = self.own_batch[server.server_id]
        if over <= 0 or not own:
            return 0
        held = self._batch_by_host(server.server_id, now)
        ranked = rank_names(server.server_id, held)
        before = sum(
            held[host] for host in ranked[: ranked.index(self._here.host_id)]
        )
        batch = sum(held.values())
        return over * (before + own) // batch - over * before // batch

    def _free(self, server: ListedServer, now: float) -> int:
        """Return the slots that online requests and a reserve leave."""
        reserve = min(_ONLINE_RESERVE, server.slots - 1)
        return server.slots - reserve - self.load(server.server_id, now).total

    def _demands(
        self,
        server_ids: Iterable[str],
        now: float,
    ) -> dict[str, BatchDemand]:
        """Return the hosts with items waiting, the first due first.

        Those after this host are left out: they leave its room as it is.
        """
        me = self._here.host_id
        elsewhere = self.batch_elsewhere.by_host(ANY_SERVER, now)
        waiting = {**elsewhere, me: max(1, self.own_waiting)}
        held: dict[str, dict[str, int]] = collections.defaultdict(dict)
        for name in server_ids:
            for holder, count in self._batch_by_host(name, now).items():
                held[holder][name] = count
        ordered = self._by_due(waiting)
        return {
            host: BatchDemand(waiting[host], held[host])
            for host in ordered[: ordered.index(me) + 1]
        }

    def _by_due(self, hosts: Iterable[str]) -> list[str]:
        """Return hosts in the order of their jobs, others after them."""
        places = {host: number for number, host in enumerate(self.due_order)}
        ranked = rank_names(ANY_SERVER, hosts)
        return sorted(ranked, key=lambda host: places.get(host, len(places)))

    def _batch_by_host(self, server_id: str, now: float) -> dict[str, int]:
        held = self.batch_elsewhere.by_host(server_id, now)
        own = self.own_batch[server_id]
        return {**held, self._here.host_id: own} if own else held

    def _score(self, server: ListedServer, now: float) -> float:
        load = self.load(server.server_id, now)
        held = load.online + load.batch / 2
        penalty = 0 if server.zone == self._here.zone else _ZONE_PENALTY
        return round(held / server.slots, 2) + penalty

    def _in_service(
        self,
        servers: Sequence[ListedServer],
        now: float,
    ) -> list[ListedServer]:
        """Leave out leaving and ejected servers, but not the last ones."""
        staying = [server for server in servers if not server.leaving]
        sound = [
            server
            for server in staying
            if (self.health(server).ejected_until or 0) <= now
        ]
        return sound or staying


def group_by_service(
    servers: Iterable[ListedServer],
) -> Mapping[str, tuple[ListedServer, ...]]:
    """Return the servers of each service."""
    found: dict[str, list[ListedServer]] = collections.defaultdict(list)
    for server in servers:
        found[server.service].append(server)
    return {service: tuple(group) for service, group in found.items()}
