"""Orders to the engine stand-in: load models, set a role, drain."""

from __future__ import annotations

import collections
import queue
import threading
import time
from collections.abc import Callable
from typing import Literal

import urllib3

from guavadyke.settings import SettingsModel

_WEIGHTS_TIMEOUT_S = 600
_READ_BYTES = 1_048_576
_OK = 200


class Order(SettingsModel):
    """A command to an engine.

    ``fencing`` is the sender's fencing token, which rises with each new
    sender; ``role`` is used only by the action of that name.
    """

    fencing: int
    action: Literal['load', 'unload', 'role', 'drain']
    model: str = ''
    version: str = '1'
    adapters: tuple[str, ...] = ()
    role: str = ''


class LoadedModel(SettingsModel):
    """A model that an engine has loaded, or is loading."""

    model: str
    version: str = '1'
    adapters: tuple[str, ...] = ()


class OrderState(SettingsModel):
    """State of an engine after the orders so far."""

    fencing: int = 0
    role: str = 'both'
    leaving: bool = False
    loaded: tuple[LoadedModel, ...] = ()
    loading: tuple[LoadedModel, ...] = ()


class StaleOrderError(Exception):
    """The order has a lower fencing token than an earlier one."""


class WeightSource(SettingsModel):
    """Source of model weights.

    Weights are downloaded from the weight store at ``url``; if it is
    empty, loading just takes ``load_s`` seconds.
    """

    url: str = ''
    load_s: float = 0.2


class OrderExecutor:
    """Accepts orders, and loads models one after another in a thread.

    Args:
        models: models that are loaded at the start.
        weights: source of the weights of other models.
        fencing: whether orders with an old fencing token are refused.
    """

    def __init__(
        self,
        models: tuple[LoadedModel, ...],
        weights: WeightSource,
        *,
        fencing: bool,
    ) -> None:
        self._weights = weights
        self._fencing = fencing
        self._lock = threading.Lock()
        self._state = OrderState(loaded=models)
        self._load_queue: queue.SimpleQueue[LoadedModel | None]
        self._load_queue = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, daemon=True)

    @property
    def state(self) -> OrderState:
        """State of the engine after the orders so far."""
        return self._state

    @property
    def serves(self) -> tuple[str, ...]:
        """Names of loaded models and adapters."""
        return tuple(
            name
            for loaded in self._state.loaded
            for name in (loaded.model, *loaded.adapters)
        )

    def start(self) -> None:
        """Start the thread that loads models."""
        self._thread.start()

    def close(self) -> None:
        """Stop the thread after the loads that are queued."""
        self._load_queue.put(None)

    def accept_order(self, order: Order) -> OrderState:
        """Apply an order; a load is queued.

        Raises:
            StaleOrderError: the fencing token is old.
        """
        with self._lock:
            if self._fencing and order.fencing < self._state.fencing:
                raise StaleOrderError
            highest = max(order.fencing, self._state.fencing)
            self._update(fencing=highest, **self._state_changes(order))
            return self._state

    def _state_changes(self, order: Order) -> dict[str, object]:
        actions: dict[str, Callable[[Order], dict[str, object]]] = {
            'load': self._enqueue_load,
            'unload': self._remove_model,
            'role': lambda role_order: {'role': role_order.role},
            'drain': lambda _drain_order: {'leaving': True},
        }
        return actions[order.action](order)

    def _enqueue_load(self, order: Order) -> dict[str, object]:
        model = LoadedModel(
            model=order.model,
            version=order.version,
            adapters=order.adapters,
        )
        if model in {*self._state.loading, *self._state.loaded}:
            return {}
        self._load_queue.put(model)
        return {'loading': (*self._state.loading, model)}

    def _remove_model(self, order: Order) -> dict[str, object]:
        remaining = tuple(
            other
            for other in self._state.loaded
            if (other.model, other.version) != (order.model, order.version)
        )
        return {'loaded': remaining}

    def _update(self, **fields: object) -> None:
        self._state = self._state.model_copy(update=fields)

    def _run(self) -> None:
        for model in iter(self._load_queue.get, None):
            loaded = self._fetch_weights(model)
            with self._lock:
                self._finish_load(model, loaded=loaded)

    def _finish_load(self, model: LoadedModel, *, loaded: bool) -> None:
        loading = tuple(
            other for other in self._state.loading if other != model
        )
        self._update(loading=loading)
        if loaded:
            others = tuple(
                other
                for other in self._state.loaded
                if (other.model, other.version) != (model.model, model.version)
            )
            self._update(loaded=(*others, model))

    def _fetch_weights(self, model: LoadedModel) -> bool:
        """Download the weights and return whether that succeeded."""
        if not self._weights.url:
            time.sleep(self._weights.load_s)
            return True
        url = f'{self._weights.url}/weights/{model.model}/{model.version}'
        try:
            return _download(url)
        except (urllib3.exceptions.HTTPError, OSError):
            return False


def _download(url: str) -> bool:
    response = urllib3.request(
        'GET',
        url,
        preload_content=False,
        retries=False,
        timeout=_WEIGHTS_TIMEOUT_S,
    )
    collections.deque(response.stream(_READ_BYTES), maxlen=0)
    return response.status == _OK
