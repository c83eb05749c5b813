"""Hosts that take over jobs, each with its own view, on a manual clock."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping

from features import builders_forward as build
from features.builders_batch_platform import MemoryPlatform
from features.builders_forward_runner import host_settings
from guavadyke.adapters.ports import StoredObject
from guavadyke.controllers.forward_job_maintenance import JobMaintenance
from guavadyke.controllers.forward_job_writer import JobWriter
from guavadyke.decisions.forward_job_items import JobItemTracker
from guavadyke.decisions.forward_job_ownership import batch_hosts
from guavadyke.decisions.forward_job_records import listings
from guavadyke.decisions.partial_texts import JobTexts
from guavadyke.decisions.rendezvous_hashing import rank_names
from guavadyke.forward_job_documents import JOB_KIND, encode_job
from guavadyke.snapshots import FleetSnapshot, PeerView, SnapshotCell

_TICK_S = 0.5
_GONE = frozenset(('dead', 'left'))
JOB = 'job-1'


class _PatientClock(build.ManualClock):
    """A clock whose sleeps take no time, as writers sleep elsewhere."""

    def sleep(self, seconds: float) -> None:
        """Return at once."""


class _DirectExecutor:
    """Runs what is submitted to it at once."""

    def submit(self, step: Callable[..., object], *args: object) -> None:
        step(*args)


class OwnerHost:
    """The part of a host that decides which jobs it owns.

    ``stopping``: it starts nothing more. ``deaf``: its mirrors get nothing.

    Args:
        host_id: its id.
        platform: the platform of all hosts.
    """

    def __init__(self, host_id: str, platform: MemoryPlatform) -> None:
        self.host_id = host_id
        self.stopping = False
        self.deaf = False
        self.clock = _PatientClock()
        self.host = build.job_host(platform, host_id)
        self.logger = build.RecordingLogger()
        self._fleet = SnapshotCell(FleetSnapshot())
        self._writer = JobWriter(
            host_settings(1, host_id),
            self.host.store,
            self.host.registry,
            self.clock,
            self.logger,
            lambda job_id, _pages: self._writer.ended(job_id),
            lambda _owner, _texts: None,
        )
        self._writer.close()
        self._writer._writers = _DirectExecutor()
        self._maintenance = JobMaintenance(
            host_settings(1, host_id),
            self._fleet,
            build.host_abilities(host_id, self._fleet),
            self._writer,
        )

    def see(
        self, states: Mapping[str, str], grown_at: float = -math.inf
    ) -> None:
        """Take a view of the other hosts, their states by host id."""
        self._fleet.publish(
            FleetSnapshot(
                tuple(
                    PeerView(name, build.ZONE, 'south', '::1', state, 1, 0)
                    for name, state in states.items()
                    if name != self.host_id and state not in _GONE
                ),
                frozenset(
                    name for name, state in states.items() if state in _GONE
                ),
                grown_at,
            )
        )

    def see_one(self, host_id: str, state: str) -> None:
        """Change the view of one other host."""
        fleet = self._fleet.current
        states = {peer.host_id: peer.state for peer in fleet.peers}
        gone = dict.fromkeys(fleet.gone, 'dead')
        self.see({**gone, **states, host_id: state})

    def heal(self) -> None:
        """End all faults of this host's link and mirrors."""
        self.host.link.faults.clear_faults()
        self.deaf = False

    def catch_up(self) -> None:
        """Let the mirrors of this host catch up with the platform."""
        if not (self.deaf or self.host.link.faults.cut):
            self.host.catch_up()

    def tick(self, now: float) -> None:
        """Take over the jobs that are due, as the runner does."""
        self.clock.now = now
        if not (self.stopping or self.host.link.faults.cut):
            views = self.host.registry.views()
            self._maintenance.run_if_due(views, now, now)

    def claim(self, job_id: str, owner_before: str) -> None:
        """Claim a job of another host."""
        self._writer.claim(job_id, owner_before)

    def complete_item(self, job_id: str) -> None:
        """Complete the first item of a job, whose result is not stored yet."""
        view = self.host.registry.view(job_id)
        self._writer.claims.take(view, self.clock.now)
        self._work = JobItemTracker(view.job)
        self._work.drop_stored(self.host.store.pages(job_id))
        self._work.completed(view.job.items[0].item_id, 'text')

    def listed_at(self, job_id: str, now: float) -> int:
        """Advance the job whose item is complete; return what is listed."""
        self.clock.now = now
        self._writer.advance(self._work)
        return len(tuple(listings(self.host.store.pages(job_id))))

    def pass_on(self, job_id: str, owner: str) -> None:
        """Pass a job on to another host, as a host does that leaves."""
        self._writer.reassign(owner, (), JobTexts(job_id, {}))

    def cut_off(self) -> None:
        """Cut this host off from the platform."""
        self.host.link.faults.cut = True

    def go_deaf(self) -> None:
        """Forget all jobs; the mirrors get nothing any more."""
        self.deaf = True
        self.host.registry.jobs.replace((), after_outage=False)

    def learn_of_job(self, job_id: str) -> None:
        """Let the mirror of jobs alone deliver a job."""
        body = encode_job(build.job(job_id))
        self.host.registry.jobs.put(StoredObject(JOB_KIND, job_id, 1, body))

    def owner_of(self, job_id: str) -> str:
        """Return the owner of an open job as it knows it, empty if none."""
        view = self.host.registry.view(job_id)
        return view.owner if view is not None and view.open else ''

    def owns(self, job_id: str) -> bool:
        """Return whether it takes itself for the owner of an open job."""
        return self.owner_of(job_id) == self.host_id


class OwnerFleet:
    """Hosts on one platform."""

    def __init__(self, host_ids: Iterable[str]) -> None:
        self.platform = MemoryPlatform()
        self.hosts = {name: OwnerHost(name, self.platform) for name in host_ids}
        self.now = build.NOW

    def accept(self, owner: str, job_id: str = JOB) -> None:
        """Store a job, which all hosts learn of."""
        job = build.job(job_id, owner=owner, accepted_at=self.now)
        self.hosts[owner].host.store.create(job)
        self.catch_up()

    def see(self, states: Mapping[str, str]) -> None:
        """Give all hosts the same view."""
        for host in self.hosts.values():
            host.see(states)

    def heal(self) -> None:
        """End all faults, and let all writes that were delayed take effect."""
        for host in self.hosts.values():
            host.heal()
        self.platform.apply_late_writes()
        self.catch_up()

    def catch_up(self) -> None:
        """Let the mirrors of all hosts catch up."""
        for host in self.hosts.values():
            host.catch_up()

    def run(self, seconds: float, lost: Iterable[str] = ()) -> None:
        """Let the hosts that are not lost decide for some seconds."""
        live = [
            host for name, host in self.hosts.items() if name not in set(lost)
        ]
        for _ in range(round(seconds / _TICK_S)):
            self.now += _TICK_S
            for host in live:
                host.tick(self.now)
            self.catch_up()

    def owners(self, job_id: str = JOB) -> list[str]:
        """Return the hosts that take themselves for the owner of a job."""
        return [name for name, host in self.hosts.items() if host.owns(job_id)]


def first_taker(host_ids: Iterable[str], job_id: str = JOB) -> str:
    """Return which of some hosts takes a job over first."""
    return rank_names(job_id, batch_hosts(set(host_ids)))[0]
