"""The daemon of an entry host: creates, starts and stops its services."""

from __future__ import annotations

import random
import signal
import threading
import types
import uuid

from guavadyke.adapters.backend import HttpBackendServers
from guavadyke.adapters.clock import SystemClock
from guavadyke.adapters.platform import HttpPlatformStore
from guavadyke.adapters.platform_rate_limit import RateLimitedStore
from guavadyke.adapters.ports import Clock, PlatformStore
from guavadyke.batch_service import BatchService
from guavadyke.filters.base import chain
from guavadyke.fleet_service import FleetService
from guavadyke.guarded_threads import BackgroundTask
from guavadyke.http_application import HttpApplication, Route
from guavadyke.http_server import HttpServer, HttpServerSettings
from guavadyke.log import EventLogger
from guavadyke.online_service import OnlineService
from guavadyke.settings import EntrySettings

_MAX_OPERATOR_BODY_BYTES = 1_048_576
_ALIVE_STATE = 'alive'
_HAND_OVER_THREAD = 'hand-over'


class EntryHost:
    """The services and HTTP servers of one entry host.

    Args:
        settings: settings of the host.

    Raises:
        GuavadykeError: a port is in use or a secret is missing; nothing has
            been started.
    """

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self._clock: Clock = SystemClock()
        self._logger = EventLogger(
            entry_host=settings.host_id,
            zone=settings.zone,
        )
        rng = random.Random(uuid.uuid4().int)
        servers = HttpBackendServers(settings.online.idle_connection_s)
        self.fleet = FleetService(
            settings,
            self._clock,
            rng,
            self._create_platform_store(),
            servers,
            self._logger,
        )
        self.online = OnlineService(
            settings,
            self._clock,
            rng,
            self.fleet.catalogue,
            self.fleet.fleet,
            servers,
            self.fleet.store,
            self.fleet.messenger,
            self._logger,
        )
        self.batch = BatchService(
            settings,
            self._clock,
            rng,
            self.fleet.catalogue,
            self.fleet.fleet,
            self.fleet.store,
            self.online.runner,
            self.online.authenticate,
            self._logger,
        )
        self._caller_server = self._create_caller_server()
        self._operator_server = self._create_operator_server()

    @property
    def caller_url(self) -> str:
        """URL of the caller port."""
        ip = self._settings.caller.listen.ip
        return f'http://{ip}:{self._caller_server.port}'

    @property
    def operator_url(self) -> str:
        """URL of the operator port."""
        ip = self._settings.operator.listen.ip
        return f'http://{ip}:{self._operator_server.port}'

    def start(self) -> None:
        """Start all services; the caller port opens last."""
        self.fleet.start()
        self.online.start()
        self.batch.start()
        self._operator_server.start()
        self._caller_server.start()
        self._logger.info(
            'entry_host_started',
            caller=self.caller_url,
            operator=self.operator_url,
        )

    def stop(self) -> bool:
        """Stop gracefully: hand over batch work and let requests finish.

        Returns:
            False if requests were still in flight when the time limit in
            the settings had passed.
        """
        self._logger.info('entry_host_stopping')
        self.online.stop_readiness()
        handing_over = BackgroundTask(
            self.batch.hand_over, _HAND_OVER_THREAD, self._logger
        )
        handing_over.start()
        self._caller_server.disable_keep_alive()
        self._clock.sleep(self._settings.stop.balancer_delay_s)
        self._caller_server.refuse_requests()
        settled = self._caller_server.wait_until_idle(
            self._clock,
            self._settings.stop.longest_s,
        )
        handing_over.wait(self._settings.stop.longest_s)
        self.fleet.leave()
        self.close()
        self._logger.info('entry_host_stopped', whole=settled)
        return settled

    def close(self) -> None:
        """Stop all services at once, which cuts off requests in flight."""
        self._caller_server.close()
        self._operator_server.close()
        self.batch.close()
        self.online.close()
        self.fleet.close()

    def _create_platform_store(self) -> PlatformStore:
        settings = self._settings
        return RateLimitedStore(
            HttpPlatformStore(settings.platform, host_id=settings.host_id),
            settings.platform,
            self._clock,
            self._live_hosts,
        )

    def _live_hosts(self) -> int:
        """Return the number of hosts that share the platform's call rates."""
        peers = self.fleet.fleet.current.peers
        return 1 + sum(peer.state == _ALIVE_STATE for peer in peers)

    def _create_caller_server(self) -> HttpServer:
        caller = self._settings.caller
        routes = [*self.online.routes(), *self.batch.routes()]
        return HttpServer(
            HttpApplication(routes, self._clock, self._logger),
            HttpServerSettings(
                listen=caller.listen,
                threads=caller.threads,
                connections=caller.connections,
                max_body_bytes=caller.max_batch_body_bytes,
                stream_buffer_bytes=caller.stream_buffer_bytes,
            ),
        )

    def _create_operator_server(self) -> HttpServer:
        operator = self._settings.operator
        self.fleet.add_status_source('online', self.online.status)
        self.fleet.add_status_source('batch', self.batch.status)
        routes = [*self.fleet.operator_routes(), *self._metrics_routes()]
        return HttpServer(
            HttpApplication(routes, self._clock, self._logger),
            HttpServerSettings(
                listen=operator.listen,
                threads=operator.threads,
                max_body_bytes=_MAX_OPERATOR_BODY_BYTES,
            ),
        )

    def _metrics_routes(self) -> list[Route]:
        filters = (self.fleet.operator_filter,)
        return [
            Route(
                route.pattern,
                {
                    method: chain(filters, handler)
                    for method, handler in route.handlers.items()
                },
            )
            for route in self.online.metrics_routes()
        ]


def run_daemon(settings: EntrySettings) -> bool:
    """Run an entry host until SIGTERM or SIGINT, then stop it gracefully.

    Returns:
        Whether every request in flight finished.
    """
    stopping = threading.Event()

    def request_stop(_number: int, _frame: types.FrameType | None) -> None:
        stopping.set()

    signal.signal(signal.SIGTERM, request_stop)
    signal.signal(signal.SIGINT, request_stop)
    host = EntryHost(settings)
    host.start()
    stopping.wait()
    return host.stop()
