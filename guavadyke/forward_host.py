"""A host that forwards callers' requests and runs batch jobs."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable

from guavadyke.adapters.clock import SuspendAwareClock
from guavadyke.adapters.platform_rate_limit import RateLimitedStore
from guavadyke.adapters.ports import (
    Clock,
    PlatformStore,
    StoredObject,
)
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.controllers.forward_job_api import JobApi, JobApiParts
from guavadyke.controllers.forward_job_registry import JobRegistry
from guavadyke.controllers.forward_job_runner import RunnerParts
from guavadyke.controllers.forward_job_store import JobStore
from guavadyke.controllers.host_mirrors import HostMirrors
from guavadyke.controllers.load_notices import LoadNoticeSender
from guavadyke.controllers.mirror import MirrorSettings, urgent_mirror
from guavadyke.controllers.retirement_controller import (
    RetirementController,
    RetirementParts,
    RetirementRequest,
)
from guavadyke.controllers.server_pool import (
    ServerDecoder,
    ServerPool,
    tell_each,
)
from guavadyke.controllers.version_check import VersionCheck
from guavadyke.decisions.forward_routes import RouteTable
from guavadyke.decisions.slot import HostLocation
from guavadyke.filters.caller_watch import CallerWatch
from guavadyke.filters.forward_attempt import ForwardTools
from guavadyke.filters.team_admission import (
    TeamAdmission,
    TeamAdmissionParts,
)
from guavadyke.forward_duties import DutyWatch, JobDuty
from guavadyke.forward_learning import ForwardLearning, enable_placement
from guavadyke.forward_peers import ForwardPeers, RoutedBackendServers
from guavadyke.guarded_threads import BackgroundTask
from guavadyke.http_server import HttpServer
from guavadyke.log import EventLogger
from guavadyke.metrics import HostMetrics
from guavadyke.settings import ForwardHostSettings
from guavadyke.snapshots import FleetSnapshot, SnapshotCell

_ALIVE_STATE = 'alive'


@dataclasses.dataclass(frozen=True)
class ForwardPorts:
    """Adapters to the platform and the backend servers of a host.

    ``table_kind``, ``server_kind`` and ``retirement_kind`` are the kinds of
    objects with the route table, the backend servers and the requests to
    drain a host. The decoders log an invalid object and return None.
    """

    store: PlatformStore
    servers: RoutedBackendServers
    table_kind: str
    server_kind: str
    decode_table: Callable[[StoredObject], RouteTable | None]
    decode_server: ServerDecoder
    retirement_kind: str
    decode_retirement: Callable[[StoredObject], RetirementRequest | None]
    complete_retirement: Callable[[str], None]
    is_retirement_completed: Callable[[str], bool]


class ForwardHost:
    """The services of one host, without its HTTP servers.

    Args:
        settings: settings of the host.
        ports: adapters to the platform and the backend servers.
        logger: logs events.

    Raises:
        GuavadykeError: the peer port is in use or a secret is missing.
    """

    def __init__(
        self,
        settings: ForwardHostSettings,
        ports: ForwardPorts,
        logger: EventLogger,
    ) -> None:
        self.settings = settings
        self.clock: Clock = SuspendAwareClock()
        self.logger = logger
        self.metrics = HostMetrics()
        self._fleet = SnapshotCell(FleetSnapshot())
        self.table = SnapshotCell(RouteTable())
        self.stopping = False
        self._rng = random.Random()
        self._rate_limited_store = RateLimitedStore(
            ports.store,
            settings.platform,
            self.clock,
            self._live_hosts,
        )
        self._peers = ForwardPeers(
            settings,
            self._rate_limited_store,
            self._fleet,
            self.clock,
            self._child_rng(),
            logger,
            ports.servers,
        )
        store = WriteConfirmingStore(
            self._peers.store, self.clock, self._child_rng()
        )
        self._learning = ForwardLearning(
            settings,
            store,
            self._fleet,
            self._peers.messenger,
            VersionCheck(store, ports.server_kind, ports.decode_server, logger),
            self.clock,
            logger,
        )
        self.pool = ServerPool(
            HostLocation(settings.host_id, settings.zone),
            ports.decode_server,
            self.clock,
            self._child_rng(),
            logger,
            self._live_hosts,
            tell_each(
                self._learning.streams.origins.servers_listed,
                self._learning.limits.limits.servers_listed,
                self._peers.tunnel_relay.servers_listed,
            ),
        )
        enable_placement(self.pool, settings.forward, self.table, self.metrics)
        self._watch = CallerWatch()
        self.tools = ForwardTools(
            settings.forward,
            self.clock,
            ports.servers,
            self.pool,
            self._learning.prompts.guard,
            self._learning.streams.origins,
            self._learning.limits.limits,
            self._watch,
            self.metrics,
            logger,
        )
        self.registry = JobRegistry(self._wake_runner, logger)
        self._job_store = JobStore(store)
        self._peers.abilities.is_able = self._is_able
        self.job_api = JobApi(
            JobApiParts(
                settings.host_id,
                self.registry,
                self._job_store,
                self._fleet,
                self._peers.abilities,
                self._peers.messenger,
                self.clock,
                logger,
                self.metrics,
                self._peers.reads,
                lambda: self.connected() and self.ends_known(),
            ),
        )
        self._peers.answer_locally = self.job_api.pages.answer
        self._retirements = RetirementController(
            RetirementParts(
                settings.host_id,
                ports.decode_retirement,
                self.hand_over,
                ports.complete_retirement,
                ports.is_retirement_completed,
                self._fleet,
                self.clock,
                logger,
            ),
        )
        self._mirrors = HostMirrors(self.clock, self._child_rng, logger)
        table_mirror = self._mirrors.add_table(
            urgent_mirror(ports.table_kind, settings.platform),
            self._peers.store,
            ports.decode_table,
            self.table,
        )
        self.teams = TeamAdmission(
            TeamAdmissionParts(
                settings,
                self.table,
                table_mirror,
                self._fleet,
                self._peers.messenger,
                self.clock,
                self._child_rng(),
                self.metrics,
                logger,
            ),
        )
        self._add_mirrors(ports)
        self._load_notices = LoadNoticeSender(
            settings,
            self._fleet,
            self._peers.messenger,
            self.pool,
            self._peers.abilities,
            self._child_rng(),
        )
        self._job_duty = JobDuty(
            RunnerParts(
                settings,
                self.registry,
                self._job_store,
                self.pool,
                self._learning.prompts.guard,
                self._learning.limits.limits,
                ports.servers,
                self.table,
                self._fleet,
                self._peers.abilities,
                self.connected,
                self.ends_known,
                SnapshotCell(initial=False),
                self.clock,
                logger,
                self.metrics,
                self._peers.item_texts,
            ),
        )
        self.pool.urgent.on_own_items(self._job_duty.wake)
        self.duties = DutyWatch(self.failed_parts, self._fleet, logger)

    @property
    def ready(self) -> bool:
        """Whether the host has routes and all state that it mirrors.

        It is not ready while it ends because a part of it has failed.
        """
        return (
            self.table.current.configured
            and self._mirrors.listed
            and not self.duties.ending
            and self._learning.streams.ready
        )

    def connected(self) -> bool:
        """Return whether the last calls to the platform succeeded."""
        return not self._mirrors.failing

    def ends_known(self) -> bool:
        """Return whether the host has read all that could end its jobs.

        That includes what else takes away the right to start their items.
        """
        return self._mirrors.allow_items

    def failed_parts(self) -> tuple[str, ...]:
        """Return the names of the parts that have failed for good."""
        return self._job_duty.failed_parts() + self._peers.failed_parts()

    def start(self) -> None:
        """Join the fleet and start to watch the platform."""
        self._watch.start()
        self._peers.start()
        self._mirrors.start()
        self.job_api.start()
        self._load_notices.start()
        self._learning.start()
        self.teams.start()
        self._job_duty.start()
        self.duties.start()
        if self._is_drainable:
            self._retirements.start()
        self.logger.info(
            'host_started',
            caller=self.settings.caller is not None,
            seeds=','.join(self.settings.peer.seeds),
        )

    def hand_over(self, longest_s: float, stay_s: float = 0) -> None:
        """Hand this host's jobs over to other hosts and leave the fleet.

        Args:
            longest_s: seconds after which a job is handed over though a
                cancelled run of it has not ended.
            stay_s: seconds in which callers may still submit jobs.
        """
        self._peers.abilities.leaving = True
        try:
            self._job_duty.hand_over(longest_s, stay_s)
        finally:
            self._peers.leave()

    def stop(self, port: HttpServer | None) -> None:
        """Stop gracefully: hand over the jobs and let requests finish.

        Args:
            port: HTTP server of the caller port, None on a host without
                one.
        """
        settings = self.settings.stop
        until = (
            self.clock.monotonic()
            + settings.balancer_delay_s
            + settings.longest_s
        )
        self.logger.info('host_stopping')
        self.stopping = True
        stay_s = 0 if port is None else settings.balancer_delay_s
        handing_over = BackgroundTask(
            lambda: self.hand_over(settings.balancer_delay_s, stay_s),
            'hand-over',
            self.logger,
        )
        handing_over.start()
        if port is not None:
            self._finish_requests(port, until)
        handing_over.wait(max(0, until - self.clock.monotonic()))

    def close(self) -> None:
        """Stop all services."""
        self.duties.close()
        self._retirements.close()
        self._load_notices.close()
        self._learning.close()
        self.teams.close()
        self._mirrors.close()
        self._job_duty.close()
        self._watch.close()
        self._peers.close()

    def _finish_requests(self, port: HttpServer, until: float) -> None:
        """Serve requests until the balancer stops sending, then finish them.

        Callers go on to use open connections after that. What they send then
        could be cut off, so it is refused.
        """
        port.disable_keep_alive()
        self.clock.sleep(self.settings.stop.balancer_delay_s)
        port.refuse_requests()
        remaining_s = until - self.clock.monotonic()
        whole = port.wait_until_idle(self.clock, remaining_s)
        self.logger.info('callers_settled', whole=whole)

    @property
    def _is_drainable(self) -> bool:
        """Whether the platform may ask this host to drain.

        Only hosts without a caller port are drained on request.
        """
        return self.settings.caller is None

    def _add_mirrors(self, ports: ForwardPorts) -> None:
        """Add the mirrors of all kinds but the route table."""
        platform = self.settings.platform
        jobs = WriteConfirmingStore(
            self._peers.store, self.clock, self._child_rng()
        )
        self._mirrors.add(
            urgent_mirror(ports.server_kind, platform),
            self._peers.store,
            self.pool,
        )
        self._mirrors.add_jobs(platform, jobs, self.registry)
        for part in self._learning.mirrored:
            self._mirrors.add(part.mirror_settings, jobs, part.sink)
        if self._is_drainable:
            self._mirrors.add(
                MirrorSettings(ports.retirement_kind, platform.watch_wait_s),
                self._peers.store,
                self._retirements,
            )

    def _live_hosts(self) -> int:
        """Return the number of hosts that share the platform's call rates."""
        peers = self._fleet.current.peers
        return 1 + sum(peer.state == _ALIVE_STATE for peer in peers)

    def _is_able(self) -> bool:
        """Return whether this host can run items of jobs."""
        return self.ready and self.ends_known()

    def _wake_runner(self) -> None:
        self._job_duty.wake()

    def _child_rng(self) -> random.Random:
        """Return a random generator for the use of one thread."""
        return random.Random(self._rng.getrandbits(64))
