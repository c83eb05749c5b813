"""Sends load and unload orders to engines and reads their state, over HTTP."""

from __future__ import annotations

import functools
import json
import uuid
from typing import Any

import pydantic

from guavadyke.adapters.answer_bodies import read_body
from guavadyke.adapters.ports import (
    BackendCall,
    BackendFault,
    BackendServerError,
    BackendServers,
)
from guavadyke.decisions.model_placement import (
    EngineState,
    LoadOrder,
    ModelLoad,
    Order,
    UnloadOrder,
)

_ORDERS_PATH = '/orders'
_SUCCESS_STATUSES = range(200, 300)
_CONFLICT_STATUS = 409
_CONNECT_TIMEOUT_S = 0.5
_ANSWER_TIMEOUT_S = 2
_MAX_STATE_BYTES = 1_048_576


class _LoadDocument(pydantic.BaseModel):
    model: str
    version: str = '1'
    adapters: tuple[str, ...] = ()


class _StateDocument(pydantic.BaseModel):
    fencing: int = 0
    loaded: tuple[_LoadDocument, ...] = ()
    loading: tuple[_LoadDocument, ...] = ()


class OrderRefusedError(Exception):
    """The engine has seen a higher fencing token and refused the order."""


class EngineOrderClient:
    """Sends orders to engines and reads their state.

    Args:
        servers: makes the HTTP calls.
        host_id: this host's id, sent to the engines as a header.
    """

    def __init__(self, servers: BackendServers, host_id: str) -> None:
        self._servers = servers
        self._host_id = host_id

    def state(self, address: str) -> EngineState:
        """Fetch the loaded and loading models of an engine.

        Raises:
            BackendServerError: the call failed or the state is malformed.
        """
        return _engine_state(self._call(address, 'GET', b''))

    def send(self, address: str, order: Order, fencing: int) -> None:
        """Send an order.

        Raises:
            OrderRefusedError: the fencing token is out of date.
            BackendServerError: the call failed; the engine may or may not
                have accepted the order.
        """
        body = {'fencing': fencing, **_order_document(order)}
        self._call(address, 'POST', json.dumps(body).encode())

    def _call(self, address: str, method: str, body: bytes) -> bytes:
        answer = self._servers.send(
            BackendCall(
                request_id=f'order-{uuid.uuid4().hex}',
                address=address,
                method=method,
                path=_ORDERS_PATH,
                headers={
                    'Content-Type': 'application/json',
                    'Guavadyke-Host': self._host_id,
                },
                body=body,
                connect_timeout_s=_CONNECT_TIMEOUT_S,
                first_byte_timeout_s=_ANSWER_TIMEOUT_S,
                gap_timeout_s=_ANSWER_TIMEOUT_S,
                fresh=True,
            ),
        )
        content = read_body(answer, _MAX_STATE_BYTES)
        if answer.status == _CONFLICT_STATUS:
            raise OrderRefusedError(content.decode(errors='replace'))
        if answer.status not in _SUCCESS_STATUSES:
            raise BackendServerError(
                BackendFault.refused,
                f'the engine answered {answer.status} to an order',
                not_run=False,
            )
        return content


def _engine_state(content: bytes) -> EngineState:
    try:
        document = _StateDocument.model_validate_json(content)
    except pydantic.ValidationError as error:
        raise BackendServerError(
            BackendFault.broken,
            'the engine returned a malformed state',
            not_run=False,
        ) from error
    return EngineState(
        document.fencing,
        frozenset(map(_model_load, document.loaded)),
        frozenset(map(_model_load, document.loading)),
    )


def _model_load(document: _LoadDocument) -> ModelLoad:
    return ModelLoad(
        document.model,
        document.version,
        frozenset(document.adapters),
    )


@functools.singledispatch
def _order_document(order: object) -> dict[str, Any]:
    raise TypeError(f'unknown order {order!r}')


@_order_document.register
def _load_document(order: LoadOrder) -> dict[str, Any]:
    return {'action': 'load', **load_document(order.load)}


@_order_document.register
def _unload_document(order: UnloadOrder) -> dict[str, Any]:
    return {'action': 'unload', **load_document(order.load)}


def load_document(load: ModelLoad) -> dict[str, Any]:
    """Return the model, version and adapters as JSON types."""
    return {
        'model': load.model,
        'version': load.version,
        'adapters': sorted(load.adapters),
    }


def order_document(order: Order) -> dict[str, Any]:
    """Return the order as JSON types, with its action."""
    return _order_document(order)
