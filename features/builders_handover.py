"""Hosts that hand over jobs."""

from __future__ import annotations

import collections
from collections.abc import Collection

from features import builders_forward as build
from features.builders_forward_runner import host_settings
from guavadyke.controllers.forward_job_maintenance import JobMaintenance
from guavadyke.decisions.forward_job_items import JobItemTracker
from guavadyke.decisions.forward_job_records import JobView
from guavadyke.snapshots import FleetSnapshot, PeerView, SnapshotCell

_MS_PER_S = 1000


class LeavingHost:
    """A host that reassigns its jobs; ``owners`` counts who gets them.

    Args:
        started: when each of the other hosts started, in seconds.
    """

    def __init__(self, started: Collection[float]) -> None:
        self.owners: collections.Counter[str] = collections.Counter()
        fleet = SnapshotCell(
            FleetSnapshot(
                tuple(
                    _peer(f'host-{number}', at)
                    for number, at in enumerate(started, start=1)
                )
            )
        )
        self._maintenance = JobMaintenance(
            host_settings(1, 'host-0'),
            fleet,
            build.host_abilities('host-0', fleet),
            self,
        )

    def hand_over(self, jobs: int, started_at: float) -> None:
        """Hand jobs over; the host has started at a time in seconds."""
        works = [
            JobItemTracker(build.job(f'job-{number}', owner='host-0'))
            for number in range(jobs)
        ]
        self._maintenance.reassign(
            {work.job.job_id: work for work in works},
            {work.job.job_id: JobView(work.job) for work in works},
            started_at,
        )

    def reassign(self, _job_id: str, owner: str, _unlisted: object) -> None:
        """Record who gets a job."""
        self.owners[owner] += 1


def _peer(name: str, started: float) -> PeerView:
    started_ms = int(started * _MS_PER_S)
    return PeerView(name, build.ZONE, 'south', '', 'alive', started_ms, 0)
