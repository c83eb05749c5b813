"""Hosts that share limits of servers, without a network."""

from __future__ import annotations

import collections
import itertools
import random
from collections.abc import Callable, Collection

from features import builders_forward as build
from features.builders_batch_platform import MemoryPlatform, MemoryStore
from features.builders_prompt_guards import host_settings, peer
from guavadyke.adapters.ports import Clock, PeerNotice
from guavadyke.controllers.mirror import Mirror
from guavadyke.controllers.server_limits import ServerLimits
from guavadyke.decisions.rendezvous_hashing import rendezvous
from guavadyke.forward_limits import ForwardLimits
from guavadyke.log import EventLogger
from guavadyke.snapshots import FleetSnapshot, SnapshotCell

SERVER = build.server('s1')
WINDOW_S = 4.0


class DirectMessenger:
    """Delivers notices at once, but none to or from a frozen host."""

    def __init__(self, fleet: LimitFleet, host_id: str) -> None:
        self._fleet = fleet
        self._host_id = host_id

    def send(self, host_id: str, notice: PeerNotice) -> None:
        """Deliver a notice."""
        self._fleet.asked[self._host_id] += len(notice.permit_requests)
        if host_id not in self._fleet.frozen:
            self._fleet.limits(host_id).receive(self._host_id, notice)

    def send_all(self, host_ids: Collection[str], notice: PeerNotice) -> None:
        """Deliver a notice to several hosts."""
        for host_id in host_ids:
            self.send(host_id, notice)

    def subscribe(self, receive: Callable[[str, PeerNotice], None]) -> None:
        """Do nothing: the fleet knows whom to call."""


class LimitFleet:
    """Hosts that keep limits; what they tell is read by ``exchange``.

    Args:
        size: number of hosts.
        clock: the clock of all hosts; a manual one by default.
    """

    def __init__(self, size: int, clock: Clock | None = None) -> None:
        self.clock = clock or build.ManualClock()
        self.platform = MemoryPlatform()
        self.frozen: set[str] = set()
        self.asked: collections.Counter[str] = collections.Counter()
        # Times of the requests sent, and whether each was a batch item.
        self.sent: list[tuple[float, bool]] = []
        self.names = [f'host-{number}' for number in range(size)]
        self.links: dict[str, MemoryStore] = {}
        self._hosts: dict[str, ForwardLimits] = {}
        self._mirrors: dict[str, Mirror] = {}
        for name in self.names:
            self.start(name)

    @property
    def issuer(self) -> str:
        """The host that issues the permits of the server."""
        return rendezvous(f'permits/{SERVER.server_id}', set(self.names))

    def limits(self, name: str) -> ServerLimits:
        """Return the limits that a host knows."""
        return self._hosts[name].limits

    def start(self, name: str) -> None:
        """Start a host, which forgets what it knew."""
        self.links[name] = MemoryStore(self.platform)
        self.links[name].faults.waits = False
        store = build.settled(self.links[name])
        host = ForwardLimits(
            host_settings(name),
            store,
            SnapshotCell(self._fleet_of(name)),
            DirectMessenger(self, name),
            self.clock,
            EventLogger(),
        )
        self._hosts[name] = host
        self._mirrors[name] = Mirror(
            host.mirror_settings,
            store,
            host.sink,
            self.clock,
            random.Random(5),
            EventLogger(),
        )
        self._mirrors[name].step()

    def lose(self, name: str) -> None:
        """Lose a host, of which all others learn."""
        self.names.remove(name)
        for other in self.names:
            self.start(other)

    def name_limit(self, per_s: float, name: str = 'host-0') -> None:
        """Let a host get an answer in which the server names a limit."""
        self.limits(name).observer(SERVER)(per_s)

    def exchange(self) -> None:
        """Write what hosts have to tell and let every host read it."""
        for host in self._hosts.values():
            host.writer.write_changes(0)
        for mirror in self._mirrors.values():
            mirror.step()

    def remove_old(self) -> None:
        """Let every host remove the old limits that it has to."""
        wall = self.clock.wall()
        for host in self._hosts.values():
            host.writer.remove_old(wall)

    def run(self, seconds: float, *kinds: bool) -> None:
        """Let each host want requests every 0.1 seconds, in changing order.

        Args:
            seconds: how long.
            kinds: for each of the requests whether it is a batch item.
        """
        rng = random.Random(7)
        for _ in range(round(10 * seconds)):
            wanted = list(itertools.product(self.names, kinds))
            rng.shuffle(wanted)
            for name, batch in wanted:
                if self.limits(name).admit(SERVER, batch=batch):
                    self.sent.append((self.clock.monotonic(), batch))
            self.clock.sleep(0.1)

    def most_in_window(self) -> int:
        """Return the most requests that were sent within a window."""
        times = [at for at, _is_batch in self.sent]
        return max(
            sum(at <= other < at + WINDOW_S for other in times) for at in times
        )

    def _fleet_of(self, name: str) -> FleetSnapshot:
        return FleetSnapshot(
            tuple(peer(one) for one in self.names if one != name)
        )
