"""Online requests of one entry host, and its runner of batch items."""

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
    """Serves online requests and runs batch items on idle capacity.

    Args:
        settings: settings of this host.
        clock: gives the time.
        rng: source of randomness.
        catalogue: configuration in force.
        fleet: peers and leaving servers.
        servers: calls to backend servers.
        store: the platform's objects.
        messenger: notices between entry hosts.
        logger: gets the events.
    """

    def __init__(  # noqa: WPS211 - the parts of the host, one by one
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
        self._configuration = catalogue
        self._capacity = SlotPool(settings, clock, rng, catalogue, fleet)
        self._watch = CallerWatch()
        tools = AttemptTools(
            settings=settings.online,
            clock=clock,
            servers=servers,
            capacity=self._capacity,
            watch=self._watch,
            retries=RetryPolicy(settings.online.retry_budget_ratio, clock),
            metrics=self.metrics,
            logger=logger,
        )
        self._items = BatchItemRunner(tools, catalogue, settings.host_id)
        self._loads = LoadPoller(settings, catalogue, servers, self._capacity)
        self._notices = SlotCountNotices(
            settings,
            fleet,
            messenger,
            self._capacity,
        )
        self._authenticate = Authenticate(catalogue)
        self._dispatch = Dispatcher(tools, settings.host_id)
        self._parse_tools = ParseTools(settings, clock, catalogue)
        self._writes = ClaimWriter(store, logger)
        claims = ClaimTools(settings.host_id, clock, store, self._writes)
        self._claim = IdempotencyFilter(claims)
        kept_s = settings.online.claim_kept_s
        self._cleaning = ClaimCleanup(claims, fleet, kept_s)
        table = LimitTable(settings, clock, catalogue, fleet)
        self._limit = LimitFilter(table)
        self._sharing = LimitSharing(
            SharingTools(settings, clock, fleet, store, messenger, table),
        )
        self._stopping = False

    @property
    def authenticate(self) -> Filter:
        """Filter that knows callers by their keys."""
        return self._authenticate

    @property
    def runner(self) -> ItemRunner:
        """Runs batch items on idle capacity."""
        return self._items

    def routes(self) -> list[Route]:
        """Return the routes of the caller port."""
        parse_model = ParseModelRequest(self._parse_tools)
        model = self._handler(parse_model, self._dispatch.model)
        parse_service = ParseServiceRequest(self._parse_tools)
        service = self._handler(parse_service, self._dispatch.service)
        return [
            Route(CHAT_PATH, {'POST': model}),
            Route(COMPLETIONS_PATH, {'POST': model}),
            Route(_SERVICE_PATTERN, {'*': service}),
            Route('/health/live', {'GET': _alive}),
            Route('/health/ready', {'GET': self._ready}),
        ]

    def metrics_routes(self) -> list[Route]:
        """Return the routes of the operator port."""
        return metrics_routes(self.metrics)

    def start(self) -> None:
        """Begin the work in the background."""
        self._watch.start()
        self._loads.start()
        self._writes.start()
        self._cleaning.start()
        self._notices.start()
        self._sharing.start()

    def stop_readiness(self) -> None:
        """Answer from now on that this host is stopping."""
        self._stopping = True

    def close(self) -> None:
        """End the work in the background."""
        self._loads.close()
        self._writes.close()
        self._cleaning.close()
        self._notices.close()
        self._sharing.close()
        self._watch.close()

    def status(self) -> dict[str, object]:
        """Return what operators see of online requests."""
        return {
            'waiting': self._capacity.waiting,
            'claims_backlog': self._writes.backlog,
            'servers': self._capacity.status(),
            'counters': self.metrics.counters(),
            'latencies_s': self.metrics.latencies(),
        }

    def _handler(
        self,
        parse: Filter,
        dispatch: Callable[[Exchange], Answer],
    ) -> Handler:
        return chain(
            (self._authenticate, parse, self._limit, self._claim), dispatch
        )

    def _ready(self, _exchange: Exchange) -> Answer:
        if self._stopping:
            raise GuavadykeError(ErrorCode.stopping, 'this host is stopping')
        if not self._configuration.current.versions:
            raise GuavadykeError(
                ErrorCode.not_ready,
                'this host has no configuration in force yet',
            )
        return json_answer({'ready': True})


def _alive(_exchange: Exchange) -> Answer:
    return json_answer({'live': True})
