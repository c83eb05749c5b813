"""A host that works on jobs and reads the kinds of the platform in turn."""

from __future__ import annotations

import random
import threading
import time

from features import builders_forward as build
from features.builders_batch_platform import MemoryStore
from features.builders_forward_runner import (
    ME,
    RunnerBench,
    host_settings,
)
from guavadyke.controllers.actors import ask_function
from guavadyke.controllers.forward_job_runner import HandOver
from guavadyke.controllers.host_mirrors import HostMirrors
from guavadyke.controllers.mirror import MirrorSettings
from guavadyke.controllers.prompt_report_sink import PromptReportSink
from guavadyke.decisions.forward_job_records import JobProgress
from guavadyke.errors import GuavadykeError, PlatformUnavailableError
from guavadyke.log import EventLogger
from guavadyke.prompt_report_documents import REPORT_KIND


class RejectingStore(MemoryStore):
    """A link to a platform that rejects all calls on some kinds."""

    rejected: frozenset[str] = frozenset()

    def _called(self, call: str, kind: str) -> threading.Condition:
        if kind in self.rejected:
            raise PlatformUnavailableError('rejected')
        return super()._called(call, kind)


class ReadingHost:
    """A host with a runner, which reads jobs, their progress and prompts.

    ``read`` reads each kind once; nothing is read in between.
    """

    def __init__(self) -> None:
        self.clock = build.ManualClock()
        self.bench = RunnerBench()
        self.link = RejectingStore(self.bench.platform)
        self.link.faults.waits = False
        store = build.settled(self.link)
        self._mirrors = HostMirrors(
            self.clock, lambda: random.Random(7), EventLogger()
        )
        self._mirrors.add_jobs(
            host_settings(1).platform, store, self.bench.host.registry
        )
        self._mirrors.add(
            MirrorSettings(REPORT_KIND, 0),
            store,
            PromptReportSink(build.prompt_guard(), EventLogger()),
        )
        self.bench.ends_known = self.allows_items
        self.close = self.bench.close

    @property
    def runs(self) -> int:
        """Number of items that have reached a server."""
        return len(self.bench.servers.calls)

    def allows_items(self) -> bool:
        """Return whether the host may start items."""
        return self._mirrors.allow_items

    def knows_job(self) -> bool:
        """Return whether the host has read the job."""
        return 'job-1' in self.bench.host.registry.views()

    def add_job(self, items: int, *, cancelled: bool) -> None:
        """Let another host accept a job for this one, and cancel it or not."""
        other = build.job_host(self.bench.platform, 'host-2')
        other.store.create(
            build.job('job-1', items=items, owner=ME, accepted_at=time.time())
        )
        if cancelled:
            other.store.merge_progress('job-1', JobProgress(cancelled=True))

    def add_moved_job(self, owner: str) -> None:
        """Add a job of this host that another host has taken over since."""
        self.add_job(1, cancelled=False)
        other = build.job_host(self.bench.platform, owner)
        other.store.merge_progress('job-1', JobProgress(owner=owner))

    def leave(self) -> None:
        """Hand this host's jobs over to a live host, ``host-2``."""
        self.bench.add_peer('host-2')
        ask_function(self.bench._runner)(HandOver(leave=True))

    def owner(self) -> str:
        """Return the owner of the job on the platform."""
        reader = build.job_host(self.bench.platform, 'reader')
        return reader.store.merge_progress('job-1', JobProgress()).owner

    def read(self) -> None:
        """List or watch each kind once."""
        for mirror in self._mirrors._mirrors:
            try:
                mirror.step()
            except GuavadykeError as error:
                mirror.record_failure(error)
            else:
                mirror.record_success()

    def pass_seconds(self, seconds: int) -> None:
        """Let seconds pass and read each kind after each."""
        for _ in range(seconds):
            self.clock.sleep(1)
            self.read()
