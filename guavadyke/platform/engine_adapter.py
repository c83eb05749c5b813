"""Engines of the users' platform: store entries and HTTP headers."""

from __future__ import annotations

import ipaddress
import math
import re
import types
from collections.abc import Mapping
from typing import Annotated, Literal

import pydantic

from guavadyke.adapters.backend import BackendDialect
from guavadyke.adapters.ports import BackendCall, StoredObject
from guavadyke.decisions.request_headers import (
    end_to_end_headers,
    without_headers,
)
from guavadyke.decisions.server_registry import ListedServer
from guavadyke.log import EventLogger

ENGINE_KIND = 'servers'
_MS_PER_S = 1000
_MAX_PORT = 65_535
_MAX_SLOTS = 1_000_000
# Messages between hosts hold times in 64 bits.
_MAX_MS = 2**63 - 1
_REQUEST_ID_HEADER = 'request-id'
_NOT_EXECUTED_HEADER = 'not-executed'
_SIGNATURE_HEADER = 'response-signature'
_LIMIT_HEADER = 'server-limit'
_LEAVING_HEADER = 'server-leaving'
_LEAVING = '1'
_LIMIT_PATTERN = re.compile(r'\d{1,9}(\.\d{1,9})?')
_HTTP_MISDIRECTED = 421
_SUCCESS_STATUSES = range(200, 300)
# Statuses that tell a caller that the request did not run.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_TEAM_HEADER = 'Tenant-Id'
CREDENTIALS_HEADER = 'authorization'
# Where there are teams, the host states the team and servers see no key.
TEAM_HEADERS = frozenset((CREDENTIALS_HEADER, _TEAM_HEADER.lower()))
# Headers that the host sets for each attempt.
MANAGED_HEADERS = frozenset((
    'accept-encoding',
    'deadline-ms',
    'expect-instance',
    'last-event-id',
    'request-id',
))
# Headers that engines get even if a caller names them in ``Connection``.
END_TO_END_HEADERS = frozenset((
    'host',
    'model',
    'prompt-prefix',
    'token-counts',
))


def _checked_address(address: str) -> str:
    """Return an IP:PORT.

    Raises:
        ValueError: the IP address or the port is not valid.
    """
    ip, _colon, port = address.rpartition(':')
    ipaddress.IPv4Address(ip)
    if not port.isdecimal() or not 0 < int(port) <= _MAX_PORT:
        raise ValueError(f'{port} is not a port')
    return address


class _EngineEntry(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(strict=True)

    service: str = pydantic.Field(alias='Service', min_length=1)
    address: Annotated[str, pydantic.AfterValidator(_checked_address)] = (
        pydantic.Field(alias='Address')
    )
    zone: str = pydantic.Field(alias='Zone')
    # Version of the engine's software, not of the model's weights.
    software: str = pydantic.Field(alias='Version')
    slots: int = pydantic.Field(alias='Slots', ge=1, le=_MAX_SLOTS)
    state: Literal['ready', 'draining'] = pydantic.Field(alias='State')
    # Start of the engine in Unix milliseconds; identifies the incarnation.
    born_ms: int = pydantic.Field(alias='born', default=0, ge=0, le=_MAX_MS)


class EngineDecoder:
    """Decodes the store entries of engines.

    Args:
        logger: logs entries that are not valid.
    """

    def __init__(self, logger: EventLogger) -> None:
        self._logger = logger

    def __call__(self, stored: StoredObject) -> ListedServer | None:
        """Return the engine, or None if the entry is not valid."""
        try:
            entry = _EngineEntry.model_validate_json(stored.body)
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
            software=entry.software,
        )


class EngineDialect(BackendDialect):
    """Headers of requests to engines and of their responses."""

    names_requests = True

    def request_headers(self, call: BackendCall) -> Mapping[str, str]:
        """Return the headers of a request."""
        managed = MANAGED_HEADERS
        if call.names_team or call.team:
            managed = managed.union(TEAM_HEADERS)
        headers = without_headers(
            end_to_end_headers(call.headers, END_TO_END_HEADERS), managed
        )
        headers.update(team_headers(call.team))
        if call.request_id:
            headers['Request-Id'] = call.request_id
        if call.server_id:
            headers['Expect-Instance'] = call.server_id
        if call.deadline_s > 0:
            headers['Deadline-Ms'] = str(
                max(1, int(call.deadline_s * _MS_PER_S))
            )
        if call.last_event_id:
            headers['Last-Event-Id'] = str(call.last_event_id)
        # Engines and callers expect bodies without content encoding.
        return {**headers, **_IDENTITY_ENCODING}

    def answered_request_id(self, headers: Mapping[str, str]) -> str | None:
        """Return the id of the request that the response belongs to."""
        return headers.get(_REQUEST_ID_HEADER)

    def not_run(self, status: int, headers: Mapping[str, str]) -> bool:
        """Return whether a response proves that the request did not run."""
        return _NOT_EXECUTED_HEADER in headers or status == _HTTP_MISDIRECTED

    def request_limit(self, headers: Mapping[str, str]) -> float:
        """Return the requests a second that the engine takes."""
        stated = headers.get(_LIMIT_HEADER, '').strip()
        return float(stated) if _LIMIT_PATTERN.fullmatch(stated) else math.inf

    def leaving(self, status: int, headers: Mapping[str, str]) -> bool:
        """Return whether the engine that was expected says that it leaves."""
        return (
            status != _HTTP_MISDIRECTED
            and headers.get(_LEAVING_HEADER, '').strip() == _LEAVING
        )

    def answer_defect(self, status: int, headers: Mapping[str, str]) -> str:
        """Return why a response cannot be forwarded, empty if it can."""
        if status in _NOT_RUN_STATUSES:
            return 'without proof that nothing ran'
        if status in _SUCCESS_STATUSES and _SIGNATURE_HEADER not in headers:
            return 'without a signature'
        return ''


def team_headers(team: str) -> Mapping[str, str]:
    """Return the headers that name a team, none without one.

    Header values are sent in Latin-1, so that this sends UTF-8.
    """
    if not team:
        return {}
    return {_TEAM_HEADER: team.encode().decode('latin-1')}


_IDENTITY_ENCODING = types.MappingProxyType({'Accept-Encoding': 'identity'})
