"""Stand-in for a language model engine."""

from __future__ import annotations

import dataclasses
import re
import time

from guavadyke.settings import SettingsModel
from guavadyke.standins.backend import BackendStandin
from guavadyke.standins.completing import Completions
from guavadyke.standins.continuous_batching import Batch, ContinuousBatchSpec
from guavadyke.standins.control import refusal
from guavadyke.standins.faults import BackendFaults
from guavadyke.standins.http import (
    StandinAnswer,
    StandinRequest,
    json_answer,
)
from guavadyke.standins.order_executor import (
    LoadedModel,
    Order,
    OrderDesk,
    StaleOrderError,
    WeightSource,
)
from guavadyke.standins.prefix_cache import CacheSpec, PrefixCache, blocks

_FROM_START = '0'


@dataclasses.dataclass(frozen=True)
class EngineSpec:
    """What an engine stand-in is like.

    ``models`` are loaded from the start; without any it serves every
    name. ``fencing`` tells whether it refuses old orders; ``load_lag_s``
    is how old its load report gets.
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
    """Asks for cached blocks, of one prompt or of all."""

    prompt: str | None = None


class KvBlocks(SettingsModel):
    """Cached blocks by name."""

    blocks: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class _Report:
    at: float
    running: int
    waiting: int


class EngineStandin(BackendStandin):
    """Answers OpenAI's completions, and an engine's own calls.

    See docs/stand-ins.md.

    Args:
        ip: IP address to listen on.
        port: port to listen on; 0 takes any free one.
        spec: what it is like.
        faults: faults from the start.
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
        self._batch = Batch(self._spec.batch, self._cache)
        self._desk = OrderDesk(
            self._spec.models,
            self._spec.weights,
            fencing=self._spec.fencing,
        )
        self._report = _Report(time.monotonic(), 0, 0)
        self._completions = Completions(self, self._batch, self._desk)
        self._add_routes()

    @property
    def desk(self) -> OrderDesk:
        """What has come of the orders."""
        return self._desk

    @property
    def cache(self) -> PrefixCache:
        """The prompts that need not be read again."""
        return self._cache

    @property
    def batch(self) -> Batch:
        """The requests that run and wait."""
        return self._batch

    def start(self) -> None:
        """Serve in the background."""
        self._batch.start()
        self._desk.start()
        super().start()

    def close(self) -> None:
        """Stop at once and reset every connection."""
        self._batch.close()
        self._desk.close()
        super().close()

    def _add_routes(self) -> None:
        complete = self._reachable(self._completions.complete)
        self._route(r'/v1/(chat/)?completions', POST=complete)
        self._route('/load', GET=self._reachable(self._get_load))
        self._route('/cache-events', GET=self._reachable(self._get_events))
        self._route('/kv/export', POST=self._reachable(self._export))
        self._route('/kv/import', POST=self._reachable(self._import))
        self._route(
            '/orders',
            GET=self._reachable(self._get_orders),
            POST=self._reachable(self._post_order),
        )

    def _faults_changed(self) -> None:
        self._batch.adjust(held=self.faults.silent, slow=self.faults.slow)

    def _get_load(
        self,
        _request: StandinRequest,
        _match: re.Match[str],
    ) -> StandinAnswer:
        now = time.monotonic()
        if now - self._report.at >= self._spec.load_lag_s:
            self._report = _Report(
                now,
                self._batch.running,
                self._batch.waiting,
            )
        return json_answer({
            'running': self._report.running,
            'waiting': self._report.waiting,
            'slots': self._spec.batch.slots,
            'leaving': self._desk.state.leaving,
            'serves': self._desk.serves,
            'age_s': now - self._report.at,
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

    def _export(
        self,
        request: StandinRequest,
        _match: re.Match[str],
    ) -> StandinAnswer:
        """Export the blocks of a prompt, or all without one."""
        wanted = KvExport.model_validate_json(request.body or b'{}')
        held = self._cache.held
        if wanted.prompt is not None:
            named = frozenset(blocks(wanted.prompt))
            held = tuple(block for block in held if block in named)
        return json_answer(KvBlocks(blocks=held).model_dump(mode='json'))

    def _import(
        self,
        request: StandinRequest,
        _match: re.Match[str],
    ) -> StandinAnswer:
        self._cache.add(KvBlocks.model_validate_json(request.body).blocks)
        return json_answer({})

    def _get_orders(
        self,
        _request: StandinRequest,
        _match: re.Match[str],
    ) -> StandinAnswer:
        return json_answer(self._desk.state.model_dump(mode='json'))

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
            state = self._desk.take(order)
        except StaleOrderError:
            self._history.end(record, 'refused')
            fencing = self._desk.state.fencing
            return refusal(409, f'the fencing number is now {fencing}')
        self._history.end(record, 'accepted')
        return json_answer(state.model_dump(mode='json'), 202)
