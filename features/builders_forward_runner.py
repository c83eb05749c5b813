"""A runner of forwarded jobs on fake servers and a platform in memory."""

from __future__ import annotations

import dataclasses
import threading
import time
from collections.abc import Callable, Mapping

from features import builders_forward as build
from features.builders_batch_platform import MemoryPlatform
from guavadyke.adapters.clock import SystemClock
from guavadyke.adapters.message_authentication import MessageAuthenticator
from guavadyke.adapters.peer_rpc import PeerClient
from guavadyke.adapters.peer_sockets import TransportFaults
from guavadyke.adapters.ports import (
    BackendAnswer,
    BackendCall,
    BackendFault,
    BackendServers,
    Clock,
    PeerNotice,
)
from guavadyke.controllers.actors import tell_function
from guavadyke.controllers.forward_job_runner import (
    JobRunner,
    RunnerParts,
)
from guavadyke.controllers.item_texts import ItemTexts
from guavadyke.controllers.prompt_guard import PromptGuard
from guavadyke.controllers.runner_ticker import RunnerTicker
from guavadyke.controllers.text_handover import TextHandover
from guavadyke.decisions.forward_job_records import (
    AcceptedJob,
    ForwardItemResult,
    JobProgress,
    listings,
)
from guavadyke.decisions.server_registry import ListedServer
from guavadyke.log import EventLogger
from guavadyke.metrics import HostMetrics
from guavadyke.settings import ForwardHostSettings
from guavadyke.snapshots import FleetSnapshot, PeerView, SnapshotCell

ME = 'host-1'
FLEET_KEY = b'key of the fleet'
_LOOK_S = 0.02
_HELD_S = 20
_BROKEN_AFTER = 'broken after '


def script(end: str) -> build.Scripted:
    """Return the script of a run end named in a feature."""
    if end.startswith(_BROKEN_AFTER):
        sent = int(end.removeprefix(_BROKEN_AFTER))
        return build.Scripted(fault=BackendFault.broken, sent=sent)
    scripts = {
        'whole': build.Scripted(),
        '500': build.Scripted(status=500, body=b'failed'),
        '422': build.Scripted(status=422, body=b'never'),
        'refused': build.Scripted(fault=BackendFault.refused, not_run=True),
        'reset': build.Scripted(fault=BackendFault.broken),
        'twice': build.Scripted(body=build.stream(1, 2) + build.event(2)),
    }
    return scripts[end]


def text_handover(
    fleet: SnapshotCell[FleetSnapshot], clock: Clock, logger: EventLogger
) -> TextHandover:
    """Return what carries texts of items between hosts."""
    client = PeerClient(
        MessageAuthenticator(FLEET_KEY), ME, SystemClock(), TransportFaults()
    )
    return TextHandover(client, fleet, clock, logger)


class HeldServers(build.FakeServers):
    """Servers that answer only once they are released."""

    def __init__(self) -> None:
        super().__init__()
        self.released = threading.Event()
        self.released.set()

    def send(self, call: BackendCall) -> BackendAnswer:
        answer = super().send(call)
        self.released.wait(_HELD_S)
        return answer


def host_settings(item_workers: int, host_id: str = ME) -> ForwardHostSettings:
    """Return the settings of a host."""
    return ForwardHostSettings.model_validate({
        'host_id': host_id,
        'zone': build.ZONE,
        'peer': {
            'listen': {'ip': '127.0.0.1', 'port': 0},
            'fleet_key': {'environment': 'GUAVADYKE_FLEET_KEY'},
        },
        'platform': {'url': 'http://127.0.0.1:1'},
        'forward': {'item_workers': item_workers},
    })


class RunnerBench:
    """A running job runner with its dependencies; stopped by ``close``."""

    def __init__(
        self,
        item_workers: int = 32,
        prompts: PromptGuard | None = None,
        listed: tuple[ListedServer, ...] | None = None,
        backends: BackendServers | None = None,
        logger: EventLogger | None = None,
        clock: Clock | None = None,
    ) -> None:
        clock = clock or SystemClock()
        self.logger = logger or EventLogger()
        self.platform = MemoryPlatform()
        self.host = build.job_host(self.platform, ME)
        self.servers = HeldServers()
        self.route = build.route()
        self.pool = build.pool(
            listed or (build.server('s1'), build.server('s2')),
            clock,
        )
        self.fleet = SnapshotCell(FleetSnapshot())
        self.handover = text_handover(self.fleet, clock, self.logger)
        self.knows_ends = True
        self.ends_known: Callable[[], bool] = lambda: self.knows_ends
        self._busy = SnapshotCell(initial=False)
        self._runner = JobRunner.start(
            RunnerParts(
                host_settings(item_workers),
                self.host.registry,
                self.host.store,
                self.pool,
                prompts or build.prompt_guard(),
                build.server_limits(),
                backends or self.servers,
                SnapshotCell(build.table(self.route)),
                self.fleet,
                build.host_abilities(ME, self.fleet),
                lambda: True,
                self._are_ends_known,
                self._busy,
                clock,
                self.logger,
                HostMetrics(),
                ItemTexts(self.handover),
            ),
        )
        self._ticker = RunnerTicker(tell_function(self._runner), self._busy)
        self._ticker.start()

    @property
    def busy(self) -> bool:
        """Whether the host seems to own open jobs."""
        return self._busy.current

    def accept(
        self,
        items: int,
        owner: str = ME,
        parts_by_number: Mapping[int, tuple[str, ...]] | None = None,
        job_id: str = 'job-1',
    ) -> AcceptedJob:
        """Store a job and add it to this host's registry.

        Args:
            items: number of its items.
            owner: the host that runs it.
            parts_by_number: shared prompt parts of some items.
            job_id: its id; items of all jobs have the same ids.
        """
        parts = parts_by_number or {}
        job = build.job(
            job_id, items=items, owner=owner, accepted_at=time.time()
        )
        job = dataclasses.replace(
            job,
            items=tuple(
                dataclasses.replace(item, prompt_parts=parts.get(number, ()))
                for number, item in enumerate(job.items)
            ),
        )
        self.host.store.create(job)
        self.host.registry.accepted(job)
        return job

    def add_peer(self, host_id: str) -> None:
        """Add a live peer to this host's view of the fleet."""
        peer = PeerView(
            host_id,
            build.ZONE,
            'south',
            '127.0.0.2:1',
            'alive',
            1,
            0,
        )
        self.fleet.publish(FleetSnapshot((peer,)))

    def write_progress(self, progress: JobProgress) -> None:
        """Store progress of the job and add it to this host's registry."""
        self.host.registry.progress_written(
            'job-1',
            self.host.store.merge_progress('job-1', progress),
        )

    def listed(self, job_id: str = 'job-1') -> tuple[ForwardItemResult, ...]:
        """Return the results of a job as another host reads them."""
        fresh = build.job_host(self.platform, 'reader')
        return tuple(listings(fresh.store.pages(job_id)))

    def in_flight(self) -> PeerNotice:
        """Return this host's in-flight counts."""
        return self.pool.load_notice()

    def close(self) -> None:
        self._ticker.close()
        self._runner.stop()

    def _are_ends_known(self) -> bool:
        return self.ends_known()
