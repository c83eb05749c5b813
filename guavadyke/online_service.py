"""Online requests of one entry host, and the runner of batch items."""

from __future__ import annotations

import random
from collections.abc import Callable

from guavadyke.adapters.ports import (
    BackendServers,
    Clock,
    ItemRunner,
    PeerMessenger,
)
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.errors import ErrorCode, GuavadykeError
from guavadyke.filters.authenticate import Authenticate
from guavadyke.filters.backend_request import (
    CHAT_PATH,
    COMPLETIONS_PATH,
    AttemptTools,
)
from guavadyke.filters.base import Answer, Exchange, Filter, Handler, chain
from guavadyke.filters.batch_item_runner import BatchItemRunner
from guavadyke.filters.caller_watch import CallerWatch
from guavadyke.filters.claim_cleanup import ClaimCleanup
from guavadyke.filters.claim_writer import ClaimWriter
from guavadyke.filters.dispatch import Dispatcher
from guavadyke.filters.idempotency import ClaimTools, IdempotencyFilter
from guavadyke.filters.limit_coordinator import SharingTools
from guavadyke.filters.limit_filter import LimitFilter
from guavadyke.filters.limit_sharing import LimitSharing
from guavadyke.filters.limit_table import LimitTable
from guavadyke.filters.load_poller import LoadPoller
from guavadyke.filters.request_validation import (
    ParseModelRequest,
    ParseServiceRequest,
    ParseTools,
)
from guavadyke.filters.retry_policy import RetryPolicy
from guavadyke.filters.slot_count_notices import SlotCountNotices
from guavadyke.filters.slot_pool import SlotPool
from guavadyke.http_application import Route, json_answer
from guavadyke.log import EventLogger
from guavadyke.metrics import HostMetrics, metrics_routes
from guavadyke.settings import EntrySettings
from guavadyke.snapshots import (
    CatalogueSnapshot,
    FleetSnapshot,
    SnapshotCell,
)

_SERVICE_PATTERN = '/v1/services/(?P<entry>[^/]+)/?(?P<path>.*)'


class OnlineService:
    """Serves online requests and runs batch items in idle slots.

    Args:
        settings: settings of this host.
        clock: the host's clock.
        rng: source of randomness.
        catalogue: the catalogue in force.
        fleet: state of the peers and of leaving servers.
        servers: calls to backend servers.
        store: the platform's objects.
        messenger: sends notices to other entry hosts.
        logger: logs events.
    """

    def __init__(  # noqa: WPS211 - one argument per dependency
        self,
        settings: EntrySettings,
        clock: Clock,
        rng: random.Random,
        catalogue: SnapshotCell[CatalogueSnapshot],
        fleet: SnapshotCell[FleetSnapshot],
        servers: BackendServers,
        store: WriteConfirmingStore,
        messenger: PeerMessenger,
        logger: EventLogger,
    ) -> None:
        self.metrics = HostMetrics()
        self._catalogue = catalogue
        self._slot_pool = SlotPool(settings, clock, rng, catalogue, fleet)
        self._caller_watch = CallerWatch()
        tools = AttemptTools(
            settings=settings.online,
            clock=clock,
            servers=servers,
            capacity=self._slot_pool,
            watch=self._caller_watch,
            retries=RetryPolicy(settings.online.retry_budget_ratio, clock),
            metrics=self.metrics,
            logger=logger,
        )
        self._item_runner = BatchItemRunner(tools, catalogue, settings.host_id)
        self._load_poller = LoadPoller(
            settings, catalogue, servers, self._slot_pool
        )
        self._count_notices = SlotCountNotices(
            settings,
            fleet,
            messenger,
            self._slot_pool,
        )
        self._authenticate = Authenticate(catalogue)
        self._dispatcher = Dispatcher(tools, settings.host_id)
        self._parse_tools = ParseTools(settings, clock, catalogue)
        self._claim_writer = ClaimWriter(store, logger)
        claims = ClaimTools(settings.host_id, clock, store, self._claim_writer)
        self._idempotency_filter = IdempotencyFilter(claims)
        retention_s = settings.online.claim_kept_s
        self._claim_cleanup = ClaimCleanup(claims, fleet, retention_s)
        table = LimitTable(settings, clock, catalogue, fleet)
        self._limit_filter = LimitFilter(table)
        self._limit_sharing = LimitSharing(
            SharingTools(settings, clock, fleet, store, messenger, table),
        )
        self._stopping = False

    @property
    def authenticate(self) -> Filter:
        """Filter that identifies callers by their keys."""
        return self._authenticate

    @property
    def runner(self) -> ItemRunner:
        """Runs batch items in idle slots."""
        return self._item_runner

    def routes(self) -> list[Route]:
        """Return the routes of the caller port."""
        parse_model = ParseModelRequest(self._parse_tools)
        model = self._handler(parse_model, self._dispatcher.model)
        parse_service = ParseServiceRequest(self._parse_tools)
        service = self._handler(parse_service, self._dispatcher.service)
        return [
            Route(CHAT_PATH, {'POST': model}),
            Route(COMPLETIONS_PATH, {'POST': model}),
            Route(_SERVICE_PATTERN, {'*': service}),
            Route('/health/live', {'GET': _check_live}, while_stopping=True),
            Route(
                '/health/ready',
                {'GET': self._check_ready},
                while_stopping=True,
            ),
        ]

    def metrics_routes(self) -> list[Route]:
        """Return the routes of the operator port."""
        return metrics_routes(self.metrics)

    def start(self) -> None:
        """Start the background threads."""
        self._caller_watch.start()
        self._load_poller.start()
        self._claim_writer.start()
        self._claim_cleanup.start()
        self._count_notices.start()
        self._limit_sharing.start()

    def stop_readiness(self) -> None:
        """Fail readiness checks from now on, because the host is stopping."""
        self._stopping = True

    def close(self) -> None:
        """Stop the background threads."""
        self._load_poller.close()
        self._claim_writer.close()
        self._claim_cleanup.close()
        self._count_notices.close()
        self._limit_sharing.close()
        self._caller_watch.close()

    def status(self) -> dict[str, object]:
        """Return the state of online requests, for operators."""
        return {
            'waiting': self._slot_pool.waiting,
            'claims_backlog': self._claim_writer.backlog,
            'servers': self._slot_pool.status(),
            'counters': self.metrics.counters(),
            'latencies_s': self.metrics.latencies(),
        }

    def _handler(
        self,
        parse: Filter,
        dispatch: Callable[[Exchange], Answer],
    ) -> Handler:
        return chain(
            (
                self._authenticate,
                parse,
                self._limit_filter,
                self._idempotency_filter,
            ),
            dispatch,
        )

    def _check_ready(self, _exchange: Exchange) -> Answer:
        if self._stopping:
            raise GuavadykeError(ErrorCode.stopping, 'this host is stopping')
        if not self._catalogue.current.versions:
            raise GuavadykeError(
                ErrorCode.not_ready,
                'this host has no configuration in force yet',
            )
        return json_answer({'ready': True})


def _check_live(_exchange: Exchange) -> Answer:
    return json_answer({'live': True})
