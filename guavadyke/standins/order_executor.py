"""Orders to the engine stand-in: models, role and leaving."""

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
    """What an engine is told to do.

    ``fencing`` rises with each orderer that takes over; ``role`` is for
    the action of that name.
    """

    fencing: int
    action: Literal['load', 'unload', 'role', 'drain']
    model: str = ''
    version: str = '1'
    adapters: tuple[str, ...] = ()
    role: str = ''


class LoadedModel(SettingsModel):
    """A model that an engine holds."""

    model: str
    version: str = '1'
    adapters: tuple[str, ...] = ()


class OrderState(SettingsModel):
    """What has come of the orders so far."""

    fencing: int = 0
    role: str = 'both'
    leaving: bool = False
    loaded: tuple[LoadedModel, ...] = ()
    loading: tuple[LoadedModel, ...] = ()


class StaleOrderError(Exception):
    """The order carries an older fencing number than one before it."""


class WeightSource(SettingsModel):
    """Where weights come from.

    Without a URL a load takes ``load_s`` seconds.
    """

    url: str = ''
    load_s: float = 0.2


class OrderDesk:
    """Takes orders and carries them out one after another.

    Args:
        models: models that are loaded from the start.
        weights: where others come from.
        fencing: whether an old fencing number is refused.
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
        self._loads: queue.SimpleQueue[LoadedModel | None]
        self._loads = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, daemon=True)

    @property
    def state(self) -> OrderState:
        """What has come of the orders so far."""
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
        """Begin to carry out orders."""
        self._thread.start()

    def close(self) -> None:
        """Carry out no more loads."""
        self._loads.put(None)

    def take(self, order: Order) -> OrderState:
        """Accept an order.

        Raises:
            StaleOrderError: its fencing number is old.
        """
        with self._lock:
            if self._fencing and order.fencing < self._state.fencing:
                raise StaleOrderError
            highest = max(order.fencing, self._state.fencing)
            self._update(fencing=highest, **self._effects(order))
            return self._state

    def _effects(self, order: Order) -> dict[str, object]:
        effects: dict[str, Callable[[Order], dict[str, object]]] = {
            'load': self._load,
            'unload': self._unload,
            'role': lambda one: {'role': one.role},
            'drain': lambda _one: {'leaving': True},
        }
        return effects[order.action](order)

    def _load(self, order: Order) -> dict[str, object]:
        model = LoadedModel(
            model=order.model,
            version=order.version,
            adapters=order.adapters,
        )
        if model in {*self._state.loading, *self._state.loaded}:
            return {}
        self._loads.put(model)
        return {'loading': (*self._state.loading, model)}

    def _unload(self, order: Order) -> dict[str, object]:
        kept = tuple(
            one
            for one in self._state.loaded
            if (one.model, one.version) != (order.model, order.version)
        )
        return {'loaded': kept}

    def _update(self, **fields: object) -> None:
        self._state = self._state.model_copy(update=fields)

    def _run(self) -> None:
        for model in iter(self._loads.get, None):
            loaded = self._fetch(model)
            with self._lock:
                self._finish(model, loaded=loaded)

    def _finish(self, model: LoadedModel, *, loaded: bool) -> None:
        loading = tuple(one for one in self._state.loading if one != model)
        self._update(loading=loading)
        if loaded:
            others = tuple(
                one
                for one in self._state.loaded
                if (one.model, one.version) != (model.model, model.version)
            )
            self._update(loaded=(*others, model))

    def _fetch(self, model: LoadedModel) -> bool:
        """Read the weights and return whether that went well."""
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
