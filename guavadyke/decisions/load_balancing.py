"""Load balancing of forwarded requests and batch items over servers.

Under steady load all backend servers get about the same number of requests.
In a burst of online requests, batch items are preempted.
"""

from __future__ import annotations

import collections
import dataclasses
import itertools
import random
from collections.abc import Iterable, Mapping, Sequence

from guavadyke.decisions.batch_allocation import (
    HostBacklog,
    allocate_batch_slots,
    waiting_by_turn,
)
from guavadyke.decisions.fault_reports import FaultReports
from guavadyke.decisions.health import ServerHealth
from guavadyke.decisions.online_peaks import OnlinePeaks, reserved_slots
from guavadyke.decisions.remote_counts import RemoteCounts
from guavadyke.decisions.rendezvous_hashing import rank_names
from guavadyke.decisions.server_registry import ListedServer
from guavadyke.decisions.slot import HostLocation
from guavadyke.decisions.unused_slots import UnusedSlots

# A server of another availability zone is chosen only if its load, as a share
# of its slots, is lower by this than that of a server in this host's zone.
# It amounts to about one request.
_REMOTE_ZONE_PENALTY = 0.13
# Added to the load of a server without a free slot. There a batch item has to
# be preempted first, which takes longer than any difference in load.
_NO_SLOT_PENALTY = 1.0
# Items that may wait for each slot that batch has beside the online peaks. They
# take a few seconds each, so that more would not end in time.
_MAX_WAITING_PER_SLOT = 1.5
# Server id under which hosts report items that wait for any server.
ANY_SERVER = '*'
# Server id under which they report how many of these would be late.
LATE_ITEMS = '*late'
# A server that refused a batch item gets no further one for this time.
_REFUSAL_PAUSE_S = 0.4


@dataclasses.dataclass(frozen=True)
class ServerLoad:
    """Requests in flight at one server from all hosts, as known here."""

    online: int
    batch: int

    @property
    def total(self) -> int:
        """Number of online and batch requests."""
        return self.online + self.batch


class LoadBalancer:
    """Chooses servers by the in-flight requests and health of each.

    Not safe for threads: the caller holds a lock.

    Args:
        here: id and availability zone of this host.
        rng: breaks ties and adds jitter to health probes.
    """

    def __init__(self, here: HostLocation, rng: random.Random) -> None:
        self._here = here
        self._rng = rng
        self._paused_until: dict[str, float] = {}
        self._unused_slots = UnusedSlots(here.host_id, rng)
        self.own_online: collections.Counter[str] = collections.Counter()
        self.own_batch: collections.Counter[str] = collections.Counter()
        self.own_waiting = 0
        self.own_late = 0
        # Ids of hosts with open jobs, the one whose job is due first first.
        self.due_order: tuple[str, ...] = ()
        self.online_elsewhere = RemoteCounts()
        self.batch_elsewhere = RemoteCounts()
        self.fault_reports = FaultReports(here.zone, rng)
        # Whether waiting items need the slots of the next peak to be in time.
        self.pressing = False
        self.online_peaks = OnlinePeaks()
        self._health: dict[str, ServerHealth] = {}

    def health(self, server: ListedServer) -> ServerHealth:
        """Return the health record of a server's incarnation."""
        found = self._health.get(server.incarnation)
        if found is None:
            found = ServerHealth(self._rng)
            self._health[server.incarnation] = found
        return found

    def load(self, server_id: str, now: float) -> ServerLoad:
        """Return the in-flight requests at a server from all hosts."""
        return ServerLoad(
            self.own_online[server_id]
            + self.online_elsewhere.total(server_id, now),
            self.own_batch[server_id]
            + self.batch_elsewhere.total(server_id, now),
        )

    def batch_counts(self) -> dict[str, int]:
        """Return this host's items by server, and those that wait."""
        waiting = max(0, self.own_waiting)
        late = min(self.own_late, waiting)
        unserved = {ANY_SERVER: waiting, LATE_ITEMS: late}
        return {
            **self.own_batch,
            **{name: count for name, count in unserved.items() if count},
        }

    def own_share(
        self,
        servers: Iterable[ListedServer],
        now: float,
    ) -> float:
        """Return this host's share of the online requests at servers.

        The share is above 0: a host without requests counts as having one.
        """
        ids = [server.server_id for server in servers]
        own = max(1, sum(self.own_online[name] for name in ids))
        elsewhere = sum(self.online_elsewhere.total(name, now) for name in ids)
        return own / (own + elsewhere)

    def keep_health_of(self, servers: Iterable[ListedServer]) -> None:
        """Drop the health records of all servers but these."""
        kept = {one.incarnation for one in servers}
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
        """Return the least loaded server for an online request.

        Batch items count as half a request, since they can be preempted.
        Between equally loaded servers rendezvous hashing of the key decides,
        so that requests with a common prompt prefix reach the same server.

        Args:
            servers: servers of the service.
            excluded: ids of servers that must not be chosen.
            key: rendezvous key of the request.
            now: seconds of the monotonic clock.

        Returns:
            None if no server may be chosen.
        """
        usable = self.usable(servers, excluded, now)
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

    def usable(
        self,
        servers: Sequence[ListedServer],
        excluded: frozenset[str],
        now: float,
    ) -> list[ListedServer]:
        """Return the servers that are neither leaving, failing nor excluded.

        If all staying servers fail, they are returned nevertheless.
        """
        staying = [server for server in servers if not server.leaving]
        healthy = [
            server
            for server in staying
            if (self.health(server).ejected_until or 0) <= now
            and not self.fault_reports.avoids(server.server_id, now)
        ]
        return [
            server
            for server in healthy or staying
            if server.server_id not in excluded
        ]

    def refused(self, server_id: str, now: float) -> None:
        """Send no batch items to a server for a short time after a refusal."""
        self._paused_until[server_id] = now + _REFUSAL_PAUSE_S

    def choose_batch(
        self,
        servers: Sequence[ListedServer],
        excluded: frozenset[str],
        now: float,
    ) -> ListedServer | None:
        """Return a server for a batch item, None if there is no free slot.

        Of the servers where this host may start the most items one is drawn
        at random. Free slots that the hosts before this one leave unused are
        taken out of turn after a while.
        """
        usable = {
            server.server_id: server
            for server in self.usable(servers, excluded, now)
            if self._paused_until.get(server.server_id, 0) <= now
        }
        free = self._free_slots(usable.values(), now)
        self._unused_slots.update(usable, free, now)
        # Skip the costly part in the usual case that no slot is free.
        demands = self._backlogs(free, now) if free else {}
        allocation = allocate_batch_slots(free, demands, self._here.host_id)
        best = max(allocation.values(), default=0)
        if best <= 0:
            waiting = self.batch_elsewhere.by_host(ANY_SERVER, now)
            return usable.get(self._unused_slots.take(free, waiting, now))
        return usable[
            self._rng.choice([
                name for name, starts in allocation.items() if starts == best
            ])
        ]

    def preemptions_due(self, server: ListedServer, now: float) -> int:
        """Return how many batch items this host has to preempt at a server.

        The items beyond the server's slots are divided over the hosts in
        proportion to their items in flight. All hosts round in the same way,
        so that the shares of all hosts add up to exactly this excess.
        """
        load = self.load(server.server_id, now)
        over = min(load.total - server.slots, load.batch)
        own = self.own_batch[server.server_id]
        if over <= 0 or not own:
            return 0
        held = self.batch_by_host(server.server_id, now)
        ranked = rank_names(server.server_id, held)
        before = sum(
            held[host] for host in ranked[: ranked.index(self._here.host_id)]
        )
        batch = sum(held.values())
        return over * (before + own) // batch - over * before // batch

    def batch_by_host(self, server_id: str, now: float) -> dict[str, int]:
        """Return the batch items at a server by the host that runs them."""
        held = self.batch_elsewhere.by_host(server_id, now)
        own = self.own_batch[server_id]
        return {**held, self._here.host_id: own} if own else held

    def _free_slots(
        self, servers: Iterable[ListedServer], now: float
    ) -> dict[str, int]:
        """Return the slots that batch items may take, by server id.

        Items leave room for the next peak of online requests unless they
        would be late then, because their jobs are due soon or more of them
        wait than the other slots can run. Servers without any are left out.
        """
        limits = {
            server.server_id: self.online_peaks.batch_limit(server, now)
            for server in servers
        }
        waiting = self.own_waiting + self.batch_elsewhere.total(ANY_SERVER, now)
        keeps_room = (
            not self.pressing
            and waiting <= _MAX_WAITING_PER_SLOT * sum(limits.values())
        )
        free = {}
        for server in servers:
            load = self.load(server.server_id, now)
            slots = server.slots - reserved_slots(server) - load.total
            if keeps_room:
                slots = min(slots, limits[server.server_id] - load.batch)
            if slots > 0:
                free[server.server_id] = slots
        return free

    def _backlogs(
        self,
        server_ids: Iterable[str],
        now: float,
    ) -> dict[str, HostBacklog]:
        """Return the backlog of hosts with waiting items, by due order.

        Items that can be in time go before late ones. Hosts after this one
        are left out, since they don't change what it may start.
        """
        me = self._here.host_id
        waiting = self.batch_elsewhere.by_host(ANY_SERVER, now)
        waiting[me] = max(1, self.own_waiting)
        late = self.batch_elsewhere.by_host(LATE_ITEMS, now)
        late[me] = min(self.own_late, self.own_waiting)
        held: dict[str, dict[str, int]] = collections.defaultdict(dict)
        for name in server_ids:
            for holder, count in self.batch_by_host(name, now).items():
                held[holder][name] = count
        turns = waiting_by_turn(waiting, late, self._in_due_order(waiting))
        before_me = itertools.takewhile(lambda host: host != me, turns)
        return {
            host: HostBacklog(turns[host], held[host])
            for host in (*before_me, me)
        }

    def _in_due_order(self, hosts: Iterable[str]) -> list[str]:
        """Return hosts in the order of their due jobs, then all others."""
        places = {host: number for number, host in enumerate(self.due_order)}
        ranked = rank_names(ANY_SERVER, hosts)
        return sorted(ranked, key=lambda host: places.get(host, len(places)))

    def _score(self, server: ListedServer, now: float) -> float:
        load = self.load(server.server_id, now)
        held = load.online + load.batch / 2
        penalty: float = 0
        if server.zone != self._here.zone:
            penalty += _REMOTE_ZONE_PENALTY
        if load.total >= server.slots:
            penalty += _NO_SLOT_PENALTY
        return round(held / server.slots, 2) + penalty


def group_by_service(
    servers: Iterable[ListedServer],
) -> Mapping[str, tuple[ListedServer, ...]]:
    """Return the servers grouped by service."""
    found: dict[str, list[ListedServer]] = collections.defaultdict(list)
    for server in servers:
        found[server.service].append(server)
    return {service: tuple(group) for service, group in found.items()}
