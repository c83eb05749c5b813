"""Hosts that remove jobs and hear of it by mirrors of their own."""

from __future__ import annotations

import random
import types

from features import builders_forward as build
from features.builders_batch_platform import MemoryPlatform
from features.builders_forward_runner import host_settings
from features.builders_job_owners import JOB, OwnerFleet, OwnerHost
from guavadyke.controllers.forward_job_maintenance import JobLeftovers
from guavadyke.controllers.mirror import Mirror, MirrorSettings
from guavadyke.decisions.forward_job_records import (
    ForwardItemResult,
    JobProgress,
)
from guavadyke.forward_job_documents import (
    JOB_KIND,
    PAGE_KIND,
    PROGRESS_KIND,
)

# Longer than the retention of results with its margin.
EXPIRED_S = 2_000.0
SETTLED_S = 40
# More than a removal of two pages makes.
MOST_CALLS = 16
_PAGE_TEXT = 'x' * 60_000
_KINDS = types.MappingProxyType({
    'jobs': JOB_KIND,
    'progress': PROGRESS_KIND,
})


class RemovingHost(OwnerHost):
    """A host whose two mirrors hear of the platform independently.

    ``late`` holds the kinds of which it hears nothing. ``took_open`` is
    whether it has known an open job since ``ended``.
    """

    def __init__(self, host_id: str, platform: MemoryPlatform) -> None:
        super().__init__(host_id, platform)
        self.late: set[str] = set()
        self.ended = False
        self.took_open = False
        self.host.link.faults.waits = False
        self._leftovers = JobLeftovers(
            host_settings(1, host_id),
            self._fleet,
            self.host.registry,
            self._writer,
        )
        # The mirrors have a link of their own, which has no faults.
        link = build.MemoryStore(platform)
        link.faults.waits = False
        self._mirrors = {
            kind: Mirror(
                MirrorSettings(kind, 0, by_names=True),
                build.settled(link),
                sink,
                self.clock,
                random.Random(3),
                self.logger,
            )
            for kind, sink in (
                (JOB_KIND, self.host.registry.jobs),
                (PROGRESS_KIND, self.host.registry.progress),
            )
        }

    def tick(self, now: float) -> None:
        """Remove jobs and what is left of them, as the runner does."""
        super().tick(now)
        if not self.host.link.faults.cut:
            self._leftovers.run_if_due(now)

    def catch_up(self) -> None:
        """Let the mirrors that are not late catch up."""
        for kind, mirror in self._mirrors.items():
            if kind not in self.late:
                mirror.step()
                mirror.record_success()
        view = self.host.registry.view(JOB)
        self.took_open |= self.ended and view is not None and view.open


class RemovingFleet(OwnerFleet):
    """Hosts of which the first owns a job with two pages of results."""

    def __init__(self, count: int) -> None:
        names = [f'host-{number}' for number in range(count)]
        super().__init__(())
        self.hosts = {name: RemovingHost(name, self.platform) for name in names}
        self.see(dict.fromkeys(names, 'alive'))
        self.accept(names[0])
        for number in range(2):
            self.hosts[names[0]].host.store.append(
                JOB, (result(number, _PAGE_TEXT),)
            )

    def end(self, host_id: str, end: str) -> None:
        """Let a host write that the job has been cancelled or finished."""
        change = JobProgress(**{end: True})
        self.hosts[host_id].host.store.merge_progress(JOB, change)
        self.catch_up()
        for host in self.hosts.values():
            host.ended = True

    def expire(self) -> None:
        """Let the retention of the results pass."""
        self.now += EXPIRED_S

    def be_late(self, host_id: str, kind: str) -> None:
        """Let a host hear of a kind no more, empty for all kinds."""
        self.hosts[host_id].late = {_KINDS[kind]} if kind else set()

    def fail_removals(self, calls: int) -> None:
        """End each host that removes the job after some calls of its own."""
        for host in self.hosts.values():
            host.host.link.faults.cut_after_calls = calls

    def restart_hosts(self) -> None:
        """Start all hosts anew with links without faults."""
        states = dict.fromkeys(self.hosts, 'alive')
        for name, before in self.hosts.items():
            host = RemovingHost(name, self.platform)
            host.ended = before.ended
            host.took_open = before.took_open
            self.hosts[name] = host
        self.see(states)
        self.catch_up()

    def took_open(self) -> list[str]:
        """Return the hosts that have taken the ended job for open."""
        return [name for name, host in self.hosts.items() if host.took_open]

    def left(self) -> list[str]:
        """Return what the platform holds of jobs."""
        return [
            f'{stored.kind}/{stored.name}'
            for kind in (JOB_KIND, PROGRESS_KIND, PAGE_KIND)
            for stored in self.platform.of_kind(kind)
        ]

    def write_after_removal(self, host_id: str, left: str) -> None:
        """Write to the platform as a host does that has not heard of it."""
        store = self.hosts[host_id].host.store
        if left == 'a cancellation':
            store.merge_progress(JOB, JobProgress(cancelled=True))
        else:
            store.claim(JOB, host_id, 'host-0')


def result(number: int, text: str = 'text') -> ForwardItemResult:
    """Return the result of an item."""
    return ForwardItemResult(f'item-{number}', completed=True, text=text)


def interrupted_fleet(calls: int) -> RemovingFleet:
    """Return a fleet whose hosts ended after some calls of a removal."""
    fleet = RemovingFleet(3)
    fleet.end('host-1', 'cancelled')
    fleet.expire()
    fleet.fail_removals(calls)
    fleet.run(SETTLED_S)
    fleet.restart_hosts()
    fleet.run(SETTLED_S)
    return fleet


def lossy_fleet(every: int) -> RemovingFleet:
    """Return a fleet that loses the answer to every n-th write of a kind."""
    fleet = RemovingFleet(3)
    fleet.end('host-1', 'cancelled')
    fleet.expire()
    for host in fleet.hosts.values():
        host.host.link.faults.lose_answer_every = every
    fleet.run(SETTLED_S)
    return fleet
