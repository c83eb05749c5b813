"""Engines: their entries in the store, and the headers that they know."""

from __future__ import annotations

import types
from collections.abc import Mapping
from typing import Literal

import pydantic

from guavadyke.adapters.backend import BackendDialect
from guavadyke.adapters.ports import BackendCall, StoredObject
from guavadyke.decisions.server_registry import ListedServer
from guavadyke.log import EventLogger

ENGINE_KIND = 'servers'
_MS = 1000
_REQUEST_ID = 'request-id'
_NOT_EXECUTED = 'not-executed'
_SIGNATURE = 'response-signature'
_MISDIRECTED = 421
_SUCCESSES = range(200, 300)
# Statuses by which callers are promised that nothing ran.
_PROMISES = frozenset((408, 421, 429, 503))
_SET_HERE = frozenset(('deadline-ms', 'expect-instance', 'last-event-id'))


class _Entry(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(strict=True)

    service: str = pydantic.Field(alias='Service', min_length=1)
    address: str = pydantic.Field(
        alias='Address',
        pattern=r'^\d+\.\d+\.\d+\.\d+:\d+$',
    )
    zone: str = pydantic.Field(alias='Zone')
    slots: int = pydantic.Field(alias='Slots', ge=1)
    state: Literal['ready', 'draining'] = pydantic.Field(alias='State')
    # Unix milliseconds of the engine's start; tells its incarnations apart.
    born_ms: int = pydantic.Field(alias='born', default=0)


class EngineDecoder:
    """Reads entries of engines.

    Args:
        logger: told of entries that name no engine to use.
    """

    def __init__(self, logger: EventLogger) -> None:
        self._logger = logger

    def __call__(self, stored: StoredObject) -> ListedServer | None:
        """Return the engine; None where the entry names none to use."""
        try:
            entry = _Entry.model_validate_json(stored.body)
        except pydantic.ValidationError as error:
            self._logger.warning(
                'engine_entry_unusable',
                name=stored.name,
                revision=stored.version,
                reason=str(error.errors(include_url=False)[0]['msg']),
            )
            return None
        return ListedServer(
            server_id=stored.name,
            service=entry.service,
            address=entry.address,
            zone=entry.zone,
            slots=entry.slots,
            leaving=entry.state == 'draining',
            born_ms=entry.born_ms,
        )


class EngineDialect(BackendDialect):
    """Headers between the system and the platform's engines."""

    def request_headers(self, call: BackendCall) -> Mapping[str, str]:
        """Return the headers of a request."""
        headers = {
            name: text
            for name, text in call.headers.items()
            if name.lower() not in _SET_HERE
        }
        if call.request_id:
            headers['Request-Id'] = call.request_id
        if call.server_id:
            headers['Expect-Instance'] = call.server_id
        if call.deadline_s > 0:
            headers['Deadline-Ms'] = str(max(1, int(call.deadline_s * _MS)))
        if call.last_event_id:
            headers['Last-Event-Id'] = str(call.last_event_id)
        # Engines and callers speak of bodies without any encoding.
        return {**headers, **_PLAIN}

    def answered_id(self, headers: Mapping[str, str]) -> str | None:
        """Return the id of the request that an answer belongs to."""
        return headers.get(_REQUEST_ID)

    def not_run(self, status: int, headers: Mapping[str, str]) -> bool:
        """Return whether an answer proves that the request did not run."""
        return _NOT_EXECUTED in headers or status == _MISDIRECTED

    def answer_defect(self, status: int, headers: Mapping[str, str]) -> str:
        """Return why a head cannot be passed on, empty where it can."""
        if status in _PROMISES:
            return 'without proof that nothing ran'
        if status in _SUCCESSES and _SIGNATURE not in headers:
            return 'without a signature'
        return ''


_PLAIN = types.MappingProxyType({'Accept-Encoding': 'identity'})
