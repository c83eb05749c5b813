"""Hosts that tell each other whether they can run items, without a network."""

from __future__ import annotations

import collections
import functools
from collections.abc import Callable, Collection, Mapping

from features import builders_forward as build
from features.builders_forward_runner import host_settings
from guavadyke.adapters.ports import PeerNotice
from guavadyke.controllers.forward_job_maintenance import JobMaintenance
from guavadyke.controllers.host_abilities import HostAbilities
from guavadyke.decisions.forward_job_ownership import choose_owner
from guavadyke.decisions.forward_job_records import JobView
from guavadyke.log import EventLogger
from guavadyke.snapshots import FleetSnapshot, PeerView, SnapshotCell

_STEP_S = 0.1


class AbilityMessenger:
    """Delivers notices at once, but none of a host whose notices are lost."""

    def __init__(self, fleet: AbilityFleet, host_id: str) -> None:
        self._fleet = fleet
        self._host_id = host_id

    def send(self, host_id: str, notice: PeerNotice) -> None:
        """Deliver a notice."""
        self.send_all((host_id,), notice)

    def send_all(self, host_ids: Collection[str], notice: PeerNotice) -> None:
        """Deliver a notice to several hosts."""
        self._fleet.datagrams += len(host_ids)
        if self._host_id in self._fleet.lost:
            return
        for host_id in host_ids:
            self._fleet.abilities[host_id].receive(self._host_id, notice)

    def subscribe(self, receive: Callable[[str, PeerNotice], None]) -> None:
        """Do nothing: the fleet knows whom to call."""


class ClaimRecorder:
    """Records the claims of a host in place of its writer."""

    def __init__(self, host_id: str, claims: dict[str, set[str]]) -> None:
        self._host_id = host_id
        self._claims = claims

    def claim(self, job_id: str, _owner_before: str) -> None:
        """Record a claim."""
        self._claims[job_id].add(self._host_id)


class AbilityFleet:
    """Hosts that know each other and look after jobs.

    ``claims`` holds the hosts that have claimed each job; ``datagrams``
    counts what they have sent.

    Args:
        size: number of hosts, named host-0 and so on.
        jobs: number of jobs of host-0.
    """

    def __init__(self, size: int, jobs: int = 0) -> None:
        self.clock = build.ManualClock()
        self.names = [f'host-{number}' for number in range(size)]
        self.unable: set[str] = set()
        self.lost: set[str] = set()
        self.datagrams = 0
        self.claims: dict[str, set[str]] = collections.defaultdict(set)
        self.views: Mapping[str, JobView] = {
            f'job-{number}': JobView(
                build.job(
                    f'job-{number}',
                    owner=self.names[0],
                    accepted_at=self.clock.wall(),
                )
            )
            for number in range(jobs)
        }
        self.abilities: dict[str, HostAbilities] = {}
        self._maintenances = [self._start(name) for name in self.names]

    def run(self, seconds: float) -> None:
        """Let the time pass at all hosts."""
        for _ in range(round(seconds / _STEP_S)):
            self.clock.sleep(_STEP_S)
            for abilities in self.abilities.values():
                abilities.tell_due()
            for maintenance in self._maintenances:
                maintenance.run_if_due(
                    self.views, self.clock.monotonic(), self.clock.wall()
                )

    def owner_of_new_job(self, me: str) -> str:
        """Return to whom a host gives a new job."""
        others = [name for name in self.names if name != me]
        return choose_owner('new', me, others, (), self.abilities[me].unable())

    def _start(self, name: str) -> JobMaintenance:
        peers = SnapshotCell(
            FleetSnapshot(
                peers=tuple(
                    PeerView(other, build.ZONE, 'region', '', 'alive', 1, 0)
                    for other in self.names
                    if other != name
                )
            )
        )
        abilities = HostAbilities(
            name,
            peers,
            AbilityMessenger(self, name),
            self.clock,
            EventLogger(),
        )
        abilities.is_able = functools.partial(self._is_able, name)
        self.abilities[name] = abilities
        return JobMaintenance(
            host_settings(1).model_copy(update={'host_id': name}),
            peers,
            abilities,
            ClaimRecorder(name, self.claims),
        )

    def _is_able(self, name: str) -> bool:
        return name not in self.unable
