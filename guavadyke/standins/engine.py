"""Stand-in of a language model engine."""

from __future__ import annotations

import dataclasses
import re
import time

from guavadyke.settings import SettingsModel
from guavadyke.standins.backend_base import BackendStandin
from guavadyke.standins.completion_handler import CompletionHandler
from guavadyke.standins.continuous_batching import (
    ContinuousBatch,
    ContinuousBatchSpec,
)
from guavadyke.standins.faults import BackendFaults
from guavadyke.standins.http import (
    StandinAnswer,
    StandinRequest,
    json_answer,
)
from guavadyke.standins.order_executor import (
    LoadedModel,
    Order,
    OrderExecutor,
    StaleOrderError,
    WeightSource,
)
from guavadyke.standins.prefix_cache import CacheSpec, PrefixCache, blocks
from guavadyke.standins.standin_base import refusal

_FROM_START = '0'


@dataclasses.dataclass(frozen=True)
class EngineSpec:
    """Configuration of an engine stand-in.

    ``models`` are loaded at the start; if there are none, it serves any
    model name. ``fencing`` tells whether it refuses orders with an old
    fencing token; ``load_lag_s`` is the maximum age of its load report
    in seconds.
    """

    batch: ContinuousBatchSpec = dataclasses.field(
        default_factory=ContinuousBatchSpec
    )
    cache: CacheSpec = dataclasses.field(default_factory=CacheSpec)
    models: tuple[LoadedModel, ...] = ()
    weights: WeightSource = dataclasses.field(default_factory=WeightSource)
    fencing: bool = True
    load_lag_s: float = 0.2


class KvExport(SettingsModel):
    """Request for the cached blocks of one prompt, or for all blocks."""

    prompt: str | None = None


class KvBlocks(SettingsModel):
    """Names of cached blocks."""

    blocks: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class _LoadReport:
    at: float
    running: int
    waiting: int


class EngineStandin(BackendStandin):
    """Serves OpenAI's completions, load reports, cache and orders.

    See docs/stand-ins.md.

    Args:
        ip: IP address to listen on.
        port: port to listen on; 0 takes any free one.
        spec: configuration.
        faults: faults to begin with.
    """

    def __init__(
        self,
        *,
        ip: str,
        port: int = 0,
        spec: EngineSpec | None = None,
        faults: BackendFaults | None = None,
    ) -> None:
        super().__init__(ip, port, faults or BackendFaults())
        self._spec = spec or EngineSpec()
        self._cache = PrefixCache(self._spec.cache)
        self._batch = ContinuousBatch(self._spec.batch, self._cache)
        self._order_executor = OrderExecutor(
            self._spec.models,
            self._spec.weights,
            fencing=self._spec.fencing,
        )
        self._load_report = _LoadReport(time.monotonic(), 0, 0)
        self._completion_handler = CompletionHandler(
            self, self._batch, self._order_executor
        )
        self._add_routes()

    @property
    def order_executor(self) -> OrderExecutor:
        """Executor of the orders, which knows the loaded models."""
        return self._order_executor

    @property
    def cache(self) -> PrefixCache:
        """The prefix cache of prompts."""
        return self._cache

    @property
    def batch(self) -> ContinuousBatch:
        """The running and waiting requests."""
        return self._batch

    def start(self) -> None:
        """Serve in background threads."""
        self._batch.start()
        self._order_executor.start()
        super().start()

    def close(self) -> None:
        """Stop immediately and reset every connection."""
        self._batch.close()
        self._order_executor.close()
        super().close()

    def _add_routes(self) -> None:
        complete = self._with_faults(self._completion_handler.complete)
        self._route(r'/v1/(chat/)?completions', POST=complete)
        self._route('/load', GET=self._with_faults(self._get_load))
        self._route('/cache-events', GET=self._with_faults(self._get_events))
        self._route('/kv/export', POST=self._with_faults(self._export_blocks))
        self._route('/kv/import', POST=self._with_faults(self._import_blocks))
        self._route(
            '/orders',
            GET=self._with_faults(self._get_orders),
            POST=self._with_faults(self._post_order),
        )

    def _faults_changed(self) -> None:
        self._batch.adjust(held=self.faults.silent, slow=self.faults.slow)

    def _get_load(
        self,
        _request: StandinRequest,
        _match: re.Match[str],
    ) -> StandinAnswer:
        now = time.monotonic()
        if now - self._load_report.at >= self._spec.load_lag_s:
            self._load_report = _LoadReport(
                now,
                self._batch.running,
                self._batch.waiting,
            )
        return json_answer({
            'running': self._load_report.running,
            'waiting': self._load_report.waiting,
            'slots': self._spec.batch.slots,
            'leaving': self._order_executor.state.leaving,
            'serves': self._order_executor.serves,
            'age_s': now - self._load_report.at,
        })

    def _get_events(
        self,
        request: StandinRequest,
        _match: re.Match[str],
    ) -> StandinAnswer:
        after = int(request.query.get('after', _FROM_START))
        events = self._cache.events(after)
        return json_answer({
            'events': [
                {
                    'sequence': event.sequence,
                    'action': event.action,
                    'block': event.block,
                }
                for event in events
            ],
        })

    def _export_blocks(
        self,
        request: StandinRequest,
        _match: re.Match[str],
    ) -> StandinAnswer:
        """Return the cached blocks of a prompt, or all if none is given."""
        export_request = KvExport.model_validate_json(request.body or b'{}')
        held = self._cache.held
        if export_request.prompt is not None:
            named = frozenset(blocks(export_request.prompt))
            held = tuple(block for block in held if block in named)
        return json_answer(KvBlocks(blocks=held).model_dump(mode='json'))

    def _import_blocks(
        self,
        request: StandinRequest,
        _match: re.Match[str],
    ) -> StandinAnswer:
        self._cache.import_blocks(
            KvBlocks.model_validate_json(request.body).blocks
        )
        return json_answer({})

    def _get_orders(
        self,
        _request: StandinRequest,
        _match: re.Match[str],
    ) -> StandinAnswer:
        return json_answer(self._order_executor.state.model_dump(mode='json'))

    def _post_order(
        self,
        request: StandinRequest,
        _match: re.Match[str],
    ) -> StandinAnswer:
        order = Order.model_validate_json(request.body)
        record = self._history.begin(
            operation='order',
            host_id=request.headers.get('guavadyke-host', ''),
            **order.model_dump(mode='json'),
        )
        try:
            state = self._order_executor.accept_order(order)
        except StaleOrderError:
            self._history.end(record, 'refused')
            fencing = self._order_executor.state.fencing
            return refusal(409, f'the fencing number is now {fencing}')
        self._history.end(record, 'accepted')
        return json_answer(state.model_dump(mode='json'), 202)
