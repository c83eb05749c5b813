"""Hosts that share allowances of teams, without a network."""

from __future__ import annotations

import bisect
import dataclasses
import math
import random
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping

from features import builders_forward as build
from guavadyke.adapters.ports import PeerNotice
from guavadyke.controllers.allowance_reports import AllowanceReports
from guavadyke.controllers.team_allowances import (
    AllowanceParts,
    TeamAllowances,
)
from guavadyke.decisions.allowance_stock import Denial
from guavadyke.decisions.forward_routes import RouteTable
from guavadyke.decisions.rendezvous_hashing import rendezvous
from guavadyke.decisions.teams import Team, TeamDirectory
from guavadyke.log import EventLogger
from guavadyke.metrics import HostMetrics
from guavadyke.settings import ForwardHostSettings
from guavadyke.snapshots import FleetSnapshot, PeerView, SnapshotCell

ZONES = ('north-a', 'north-b', 'north-c')
WINDOW_S = 5.0
_STEP_S = 0.01
_TICK_STEPS = 25
# Times within which hosts notice that another one is away or back: probes come
# every half second, and what they find is passed on.
_LOST_S = (0.5, 2.5)
_FOUND_S = (0.1, 1.0)
# The same for hosts that have just started and know no other one.
_MET_S = (0.3, 4.0)
_RUN_S = 20


def bound(team: Team) -> float:
    """Return how many requests of a team may run in a window."""
    return (team.requests_per_s * WINDOW_S + team.burst) * 1.1 + 20


def most_in_window(times: list[float]) -> int:
    """Return the most of these times, in order, within a window."""
    return max(
        (
            bisect.bisect_left(times, at + WINDOW_S) - number
            for number, at in enumerate(times)
        ),
        default=0,
    )


class LossyMessenger:
    """Delivers notices at once, unless the fleet loses or keeps them."""

    def __init__(self, fleet: AllowanceFleet, host_id: str) -> None:
        self._fleet = fleet
        self._host_id = host_id

    def send(self, host_id: str, notice: PeerNotice) -> None:
        """Deliver a notice."""
        self._fleet.deliver(self._host_id, host_id, notice)

    def send_all(self, host_ids: Collection[str], notice: PeerNotice) -> None:
        """Deliver a notice to several hosts."""
        for host_id in host_ids:
            self.send(host_id, notice)

    def subscribe(self, receive: Callable[[str, PeerNotice], None]) -> None:
        """Do nothing: the fleet knows whom to call."""


@dataclasses.dataclass
class SimulatedHost:
    """One host; ``part`` is the part of a cut fleet that it is in."""

    name: str
    zone: str
    cell: SnapshotCell[FleetSnapshot]
    table: SnapshotCell[RouteTable]
    allowances: TeamAllowances
    metrics: HostMetrics
    started_ms: int = 1
    grown_at: float = -math.inf
    part: int = 0
    frozen: bool = False
    kept: list[tuple[str, PeerNotice]] = dataclasses.field(default_factory=list)
    known: set[str] = dataclasses.field(default_factory=set)


class AllowanceFleet:
    """Hosts, the load of teams, and the faults between the hosts.

    Args:
        size: number of hosts.
        teams: the teams of the configuration.
    """

    def __init__(self, size: int, teams: Iterable[Team]) -> None:
        self.clock = build.ManualClock()
        self.rng = random.Random(11)
        self.loss: float = 0
        self.sent: Counter[str] = Counter()
        # Times of the requests of each team that ran, and the refusals.
        self.ran: dict[str, list[float]] = {}
        self.denied: dict[str, list[Denial]] = {}
        self.hosts: dict[str, SimulatedHost] = {}
        self._due: list[tuple[float, str, str]] = []
        self.table = _table(1, teams)
        for number in range(size):
            self._create(f'host-{number}')
        for host in self.hosts.values():
            host.known = set(self.hosts) - {host.name}
            host.cell.publish(_snapshot(host, self.hosts))
        # All have run for long.
        for _ in range(_RUN_S):
            self.clock.sleep(1)
            for host in self.hosts.values():
                host.allowances.tick()

    def issuer(self, team: str) -> SimulatedHost:
        """Return the host that issues the permits of a team."""
        return self.hosts[rendezvous(f'allowances/{team}', self.hosts)]

    def deliver(self, sender: str, receiver: str, notice: PeerNotice) -> None:
        """Deliver a notice, keep it for a frozen host or lose it."""
        self.sent[sender] += 1
        host = self.hosts.get(receiver)
        if host is None or sender not in self.hosts:
            return
        if self.rng.random() < self.loss or not _connected(
            self.hosts[sender], host
        ):
            return
        if host.frozen:
            host.kept.append((sender, notice))
        else:
            host.allowances.receive(sender, notice)

    def add(self, name: str) -> None:
        """Start a host with no knowledge but that of the other hosts."""
        host = self._create(name)
        host.known = set(self.hosts) - {name}
        host.cell.publish(_snapshot(host, self.hosts))
        self.notice_changes()

    def lose(self, name: str) -> None:
        """End a host, which the others notice later."""
        self.hosts.pop(name)
        self.notice_changes()

    def freeze(self, name: str) -> None:
        """Suspend a host, which the others notice later."""
        self.hosts[name].frozen = True
        self.notice_changes()

    def resume(self, name: str) -> None:
        """Resume a host, which answers what came in the meantime."""
        host = self.hosts[name]
        host.frozen = False
        while host.kept:
            host.allowances.receive(*host.kept.pop(0))
        self.notice_changes()

    def cut(self, names: Collection[str]) -> None:
        """Cut some hosts off from the others."""
        for host in self.hosts.values():
            host.part = int(host.name in names)
        self.notice_changes()

    def configure(self, version: int, teams: Iterable[Team]) -> None:
        """Let the hosts read a new configuration within a second."""
        self.table = _table(version, teams)
        for host in self.hosts.values():
            at = self.clock.now + self.rng.random()
            self._due.append((at, host.name, ''))

    def notice_changes(self) -> None:
        """Let each host notice who is away and who is back, after a time."""
        for host in self.hosts.values():
            expected = {
                other.name
                for other in self.hosts.values()
                if _connected(host, other)
                and not other.frozen
                and other is not host
            }
            for name in expected ^ host.known:
                times = _FOUND_S if name in expected else _LOST_S
                at = self.clock.now + self.rng.uniform(*times)
                self._due.append((at, host.name, name))

    def run(self, seconds: float, loads: dict[str, float]) -> None:
        """Let requests of teams arrive at random at the hosts.

        Args:
            seconds: how long.
            loads: requests a second by team.
        """
        arrivals = {
            team: self.clock.now + self.rng.expovariate(per_s)
            for team, per_s in loads.items()
        }
        for step in range(round(seconds / _STEP_S)):
            self.clock.sleep(_STEP_S)
            self._apply_due()
            if step % _TICK_STEPS == 0:
                for host in self._running():
                    host.allowances.tick()
            for team, per_s in loads.items():
                while arrivals[team] <= self.clock.now:
                    arrivals[team] += self.rng.expovariate(per_s)
                    self.request(self.rng.choice(self._running()), team)

    def request(self, host: SimulatedHost, name: str) -> bool:
        """Let a request arrive at a host; return whether it runs."""
        team = host.table.current.teams.teams[name]
        verdict = host.allowances.take(team)
        if isinstance(verdict, Denial):
            self.denied.setdefault(name, []).append(verdict)
            return False
        self.ran.setdefault(name, []).append(self.clock.now)
        return True

    def _create(self, name: str, zone: str = '') -> SimulatedHost:
        zone = zone or ZONES[len(self.hosts) % len(ZONES)]
        cell = SnapshotCell(FleetSnapshot())
        table = SnapshotCell(self.table)
        metrics = HostMetrics()
        parts = AllowanceParts(
            ForwardHostSettings.model_validate({
                'host_id': name,
                'zone': zone,
                'zones': ZONES,
                'peer': {
                    'listen': {'ip': build.LOOPBACK, 'port': 0},
                    'fleet_key': {'environment': 'GUAVADYKE_FLEET_KEY'},
                },
                'platform': {'url': 'http://127.0.0.1:1'},
            }),
            cell,
            table,
            LossyMessenger(self, name),
            self.clock,
            random.Random(self.rng.random()),
            AllowanceReports(metrics, EventLogger()),
            # An answer comes at once or never.
            answer_s=0,
        )
        allowances = TeamAllowances(parts)
        host = SimulatedHost(name, zone, cell, table, allowances, metrics)
        self.hosts[name] = host
        return host

    def _running(self) -> list[SimulatedHost]:
        return [host for host in self.hosts.values() if not host.frozen]

    def _apply_due(self) -> None:
        due = [entry for entry in self._due if entry[0] <= self.clock.now]
        if not due:
            return
        self._due = [one for one in self._due if one[0] > self.clock.now]
        for _at, name, other in due:
            host = self.hosts.get(name)
            if host is None:
                continue
            if not other:
                host.table.publish(self.table)
                continue
            self._update_known(host, other)

    def _update_known(self, host: SimulatedHost, name: str) -> None:
        other = self.hosts.get(name)
        alive = other is not None and not other.frozen
        if alive and _connected(host, other):
            host.known.add(name)
            host.grown_at = self.clock.now
        else:
            host.known.discard(name)
        host.cell.publish(_snapshot(host, self.hosts))


class RestartingFleet(AllowanceFleet):
    """Hosts that restart and learn of the others one after another."""

    def restart(self, names: Collection[str]) -> None:
        """Restart some hosts at the same moment."""
        for name in names:
            host = self._create(name, self.hosts.pop(name).zone)
            host.started_ms = round(1000 * self.clock.now)
            self._due.extend(
                (self.clock.now + self.rng.uniform(*_MET_S), name, other)
                for other in {*self.hosts, *names} - {name}
            )


def _connected(one: SimulatedHost, other: SimulatedHost) -> bool:
    return one.part == other.part


def _snapshot(
    host: SimulatedHost, hosts: Mapping[str, SimulatedHost]
) -> FleetSnapshot:
    known = [hosts[name] for name in sorted(host.known) if name in hosts]
    return FleetSnapshot(
        tuple(
            PeerView(
                one.name,
                one.zone,
                'north',
                '127.0.0.2:1',
                'alive',
                one.started_ms,
                0,
            )
            for one in known
        ),
        grown_at=host.grown_at,
    )


def _table(version: int, teams: Iterable[Team]) -> RouteTable:
    directory = TeamDirectory({team: (team.name,) for team in teams})
    return RouteTable(version, teams=directory)
