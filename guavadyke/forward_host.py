"""A host that forwards requests and runs batch items like them."""

from __future__ import annotations

import dataclasses
import random
import threading
from collections.abc import Callable

from guavadyke.adapters.clock import SuspendAwareClock
from guavadyke.adapters.platform_rate_limit import RateLimitedStore
from guavadyke.adapters.ports import (
    BackendServers,
    Clock,
    PlatformStore,
    StoredObject,
)
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.controllers.actors import tell_function
from guavadyke.controllers.forward_job_api import JobApi, JobApiParts
from guavadyke.controllers.forward_job_registry import JobRegistry
from guavadyke.controllers.forward_job_runner import (
    HandOver,
    JobRunner,
    RunnerParts,
    RunnerTicker,
)
from guavadyke.controllers.forward_job_store import JobStore
from guavadyke.controllers.load_notices import LoadNoticeSender
from guavadyke.controllers.mirror import (
    Mirror,
    MirrorSettings,
    MirrorSink,
    WatchableStore,
)
from guavadyke.controllers.retirement_controller import (
    RetirementController,
    RetirementParts,
    RetirementRequest,
)
from guavadyke.controllers.route_table_sink import RouteTableSink
from guavadyke.controllers.server_pool import ServerDecoder, ServerPool
from guavadyke.decisions.forward_routes import RouteTable
from guavadyke.decisions.slot import HostLocation
from guavadyke.filters.caller_watch import CallerWatch
from guavadyke.filters.forward_attempt import ForwardTools
from guavadyke.forward_objects import JOB_KIND, PROGRESS_KIND
from guavadyke.forward_peers import ForwardPeers
from guavadyke.http_server import HttpServer
from guavadyke.log import EventLogger
from guavadyke.metrics import HostMetrics
from guavadyke.settings import ForwardHostSettings
from guavadyke.snapshots import FleetSnapshot, SnapshotCell

_ALIVE = 'alive'
_MOVED_S = 1.0
# Seconds in which further jobs and ends of jobs may come before the next
# watch; jobs are due many times later.
_JOB_PAUSE_S = 0.3


@dataclasses.dataclass(frozen=True)
class ForwardPorts:
    """How a host meets its platform and backend servers.

    ``table_kind``, ``server_kind`` and ``retirement_kind`` name the kinds
    of objects that hold the routes, the backend servers and the requests to
    empty a host; the decoders return None for objects that hold none,
    after saying so in the log.
    """

    store: PlatformStore
    servers: BackendServers
    table_kind: str
    server_kind: str
    decode_table: Callable[[StoredObject], RouteTable | None]
    decode_server: ServerDecoder
    retirement_kind: str
    decode_retirement: Callable[[StoredObject], RetirementRequest | None]
    complete_retirement: Callable[[str], None]


class ForwardHost:
    """All parts of one host but its caller port.

    Args:
        settings: what the host is told at its start.
        ports: its platform and backend servers.
        logger: gets the events.

    Raises:
        GuavadykeError: the peer port is taken or a secret is missing.
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
        self.fleet = SnapshotCell(FleetSnapshot())
        self.table = SnapshotCell(RouteTable())
        self.stopping = False
        self._rng = random.Random()
        self._budgeted = RateLimitedStore(
            ports.store,
            settings.platform,
            self.clock,
            self._live_hosts,
        )
        self._peers = ForwardPeers(
            settings,
            self._budgeted,
            self.fleet,
            self.clock,
            self._child(),
            logger,
        )
        store = WriteConfirmingStore(
            self._peers.store, self.clock, self._child()
        )
        self.pool = ServerPool(
            HostLocation(settings.host_id, settings.zone),
            ports.decode_server,
            self.clock,
            self._child(),
            logger,
        )
        self._watch = CallerWatch()
        self.tools = ForwardTools(
            settings.forward,
            self.clock,
            ports.servers,
            self.pool,
            self._watch,
            self.metrics,
            logger,
        )
        self.board = JobRegistry(self._wake, logger)
        self._job_store = JobStore(store)
        self.desk = JobApi(
            JobApiParts(
                settings.host_id,
                self.board,
                self._job_store,
                self.fleet,
                self.clock,
                logger,
            ),
        )
        self._retirements = RetirementController(
            RetirementParts(
                settings.host_id,
                ports.decode_retirement,
                self.hand_over,
                ports.complete_retirement,
                self.fleet,
                self.clock,
                logger,
            ),
        )
        self._mirrors = self._made_mirrors(ports)
        self._exchange = LoadNoticeSender(
            settings.forward,
            self.fleet,
            self._peers.messenger,
            self.pool,
            self._child(),
        )
        busy = SnapshotCell(first=False)
        self._runner = JobRunner.start(
            RunnerParts(
                settings,
                self.board,
                self._job_store,
                self.pool,
                ports.servers,
                self.table,
                self.fleet,
                self.connected,
                busy,
                self.clock,
                logger,
            ),
        )
        self._ticker = RunnerTicker(tell_function(self._runner), busy)

    @property
    def ready(self) -> bool:
        """Whether requests can be served by what is known here."""
        return self.table.current.known and all(
            mirror.listed for mirror in self._mirrors
        )

    def connected(self) -> bool:
        """Return whether the platform answered when it was last asked."""
        return not any(mirror.failing for mirror in self._mirrors)

    def start(self) -> None:
        """Join the fleet and begin to follow the platform."""
        self._watch.start()
        self._peers.start()
        for mirror in self._mirrors:
            mirror.start()
        self._exchange.start()
        self._ticker.start()
        if self._retires:
            self._retirements.start()
        self.logger.info(
            'host_started',
            caller=self.settings.caller is not None,
            seeds=','.join(self.settings.peer.seeds),
        )

    def hand_over(self, longest_s: float) -> None:
        """Let runs end for a while, then give the jobs to other hosts."""
        until = self.clock.monotonic() + longest_s
        while self._runner.ask(HandOver(leave=False)):
            if self.clock.monotonic() >= until:
                break
            self.clock.sleep(_MOVED_S / 10)
        if self._runner.ask(HandOver(leave=True)):
            self.clock.sleep(_MOVED_S)
        self._peers.leave()

    def stop(self, port: HttpServer | None) -> None:
        """Stop as planned: hand the jobs over, let callers' requests end.

        Args:
            port: what callers use, None on a host without callers.
        """
        settings = self.settings.stop
        until = (
            self.clock.monotonic()
            + settings.balancer_delay_s
            + settings.longest_s
        )
        self.logger.info('host_stopping')
        self.stopping = True
        handing_over = threading.Thread(
            target=self.hand_over,
            args=(settings.balancer_delay_s,),
            daemon=True,
        )
        handing_over.start()
        if port is not None:
            self._settle(port, until)
        handing_over.join(max(0, until - self.clock.monotonic()))

    def close(self) -> None:
        """End every part."""
        self._ticker.close()
        self._retirements.close()
        self._exchange.close()
        for mirror in self._mirrors:
            mirror.close()
        self._runner.stop()
        self._watch.close()
        self._peers.close()

    def _settle(self, port: HttpServer, until: float) -> None:
        """Take what still comes, then wait until all is answered."""
        port.disable_keep_alive()
        self.clock.sleep(self.settings.stop.balancer_delay_s)
        left_s = until - self.clock.monotonic()
        whole = port.settle(self.clock, left_s)
        self.logger.info('callers_settled', whole=whole)

    @property
    def _retires(self) -> bool:
        """Whether hosts of this kind are emptied on request."""
        return self.settings.caller is None

    def _made_mirrors(self, ports: ForwardPorts) -> tuple[Mirror, ...]:
        jobs = WriteConfirmingStore(
            self._peers.store, self.clock, self._child()
        )
        peers = self._peers.store
        routes = RouteTableSink(ports.decode_table, self.table, self.logger)
        retirements = self._mirror(
            ports.retirement_kind,
            peers,
            self._retirements,
        )
        return (
            *((retirements,) if self._retires else ()),
            self._mirror(ports.table_kind, peers, routes),
            self._mirror(ports.server_kind, peers, self.pool),
            self._job_mirror(JOB_KIND, jobs, self.board.jobs),
            self._job_mirror(PROGRESS_KIND, jobs, self.board.progress),
        )

    def _job_mirror(
        self,
        kind: str,
        store: WatchableStore,
        sink: MirrorSink,
    ) -> Mirror:
        wait_s = self.settings.platform.watch_wait_s
        settings = MirrorSettings(kind, wait_s, _JOB_PAUSE_S, by_names=True)
        return self._followed(settings, store, sink)

    def _mirror(
        self,
        kind: str,
        store: WatchableStore,
        sink: MirrorSink,
    ) -> Mirror:
        wait_s = self.settings.platform.watch_wait_s
        return self._followed(MirrorSettings(kind, wait_s), store, sink)

    def _followed(
        self,
        settings: MirrorSettings,
        store: WatchableStore,
        sink: MirrorSink,
    ) -> Mirror:
        return Mirror(
            settings,
            store,
            sink,
            self.clock,
            self._child(),
            self.logger,
        )

    def _live_hosts(self) -> int:
        """Return how many hosts share the platform's rates."""
        peers = self.fleet.current.peers
        return 1 + sum(peer.state == _ALIVE for peer in peers)

    def _wake(self) -> None:
        self._ticker.wake()

    def _child(self) -> random.Random:
        """Return a generator for one thread."""
        return random.Random(self._rng.getrandbits(64))
