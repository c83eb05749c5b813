"""Decodes the operator's configuration object into a route table."""

from __future__ import annotations

import dataclasses
import types
from collections.abc import Iterable
from typing import Any

import pydantic

from guavadyke.adapters.ports import StoredObject
from guavadyke.decisions.configuration_checks import TeamKeys
from guavadyke.decisions.forward_routes import (
    CallerLimits,
    ForwardRoute,
    RouteKind,
    RouteTable,
    ServiceShare,
)
from guavadyke.decisions.teams import Team, TeamDirectory
from guavadyke.log import EventLogger

CONFIGURATION_KIND = 'config'
_CONFIGURATION_NAME = 'main'
_MS_PER_S = 1000
_KIND_BY_WIRE_NAME = types.MappingProxyType({
    'safe': RouteKind.idempotent,
    'unsafe': RouteKind.non_idempotent,
    'streaming': RouteKind.streamed,
    'batch': RouteKind.batch,
})


class _ShareSpec(pydantic.BaseModel):
    service: str = pydantic.Field(alias='Service')
    weight: float = pydantic.Field(alias='Weight', ge=0)


class _RouteSpec(pydantic.BaseModel):
    name: str = pydantic.Field(alias='Name')
    host: str = pydantic.Field(alias='Host')
    path_prefix: str = pydantic.Field(alias='PathPrefix')
    kind: str = pydantic.Field(alias='Kind')
    timeout_ms: float = pydantic.Field(alias='TimeoutMs', default=60_000)
    target_latency_ms: float = pydantic.Field(
        alias='TargetLatencyMs',
        default=0,
    )
    priority: int = pydantic.Field(alias='Priority', default=0)
    service: str = pydantic.Field(alias='Service', default='')
    shares: tuple[_ShareSpec, ...] = pydantic.Field(
        alias='TrafficSplit',
        default=(),
    )
    max_attempts: int = pydantic.Field(alias='MaxAttempts', default=1)
    resumable: bool = pydantic.Field(alias='Resumable', default=False)
    # Despite its name, MaxCount limits waiting tokens, not items.
    waiting_tokens: int = pydantic.Field(alias='MaxCount', default=0)
    target_complete_ms: float = pydantic.Field(
        alias='TargetCompleteMs',
        default=0,
    )
    # MaxWaitS counts from the first submission of the job.
    abandon_after_s: float = pydantic.Field(alias='MaxWaitS', default=0)
    anonymous: bool = pydantic.Field(alias='Anonymous', default=False)


class _LimitsSpec(pydantic.BaseModel):
    max_header_bytes: int = pydantic.Field(alias='MaxHeaderBytes')
    max_body_bytes: int = pydantic.Field(alias='MaxBodyBytes')
    idle_timeout_ms: float = pydantic.Field(alias='IdleTimeoutMs')


class _TeamSpec(pydantic.BaseModel):
    name: str = pydantic.Field(alias='Name', min_length=1)
    keys: tuple[str, ...] = pydantic.Field(
        alias='ApiKeys', default=(), repr=False
    )
    priority: int | None = pydantic.Field(alias='Priority', default=None)
    requests_per_s: float = pydantic.Field(alias='RatePerS', default=0, ge=0)
    burst: float = pydantic.Field(alias='Burst', default=0, ge=0)


class _EngineSpec(pydantic.BaseModel):
    memory_tokens: int = pydantic.Field(alias='KvTokens', default=0, ge=0)


class _ServiceSpec(pydantic.BaseModel):
    name: str = pydantic.Field(alias='Name')
    # Plain services have none.
    engine: _EngineSpec | None = pydantic.Field(alias='Engine', default=None)


_SERVICES: pydantic.TypeAdapter[tuple[_ServiceSpec, ...]] = (
    pydantic.TypeAdapter(tuple[_ServiceSpec, ...])
)


class _ConfigurationSpec(pydantic.BaseModel):
    # Errors are logged, and their text must not contain keys.
    model_config = pydantic.ConfigDict(hide_input_in_errors=True)

    version: int = pydantic.Field(alias='Version')
    routes: tuple[_RouteSpec, ...] = pydantic.Field(alias='Routes')
    limits: _LimitsSpec | None = pydantic.Field(alias='Limits', default=None)
    teams: tuple[_TeamSpec, ...] = pydantic.Field(alias='Tenants', default=())
    # They only tell the memory of engines, so that an odd one must not make
    # the routes unreadable.
    services: Any = pydantic.Field(alias='Services', default=())


class ConfigurationDecoder:
    """Decodes the configuration object.

    Args:
        logger: logs an object that is not a valid configuration.
    """

    def __init__(self, logger: EventLogger) -> None:
        self._logger = logger

    def __call__(self, stored: StoredObject) -> RouteTable | None:
        """Return the route table, or None for any other or invalid object."""
        if stored.name != _CONFIGURATION_NAME:
            return None
        try:
            document = _ConfigurationSpec.model_validate_json(stored.body)
        except pydantic.ValidationError as error:
            self._logger.error(
                'configuration_unreadable',
                revision=stored.version,
                reason=str(error),
            )
            return None
        return RouteTable(
            version=document.version,
            routes=tuple(map(_decode_route, document.routes)),
            limits=_decode_limits(document.limits),
            teams=_decode_teams(document.teams),
            memory_tokens=self._memory_tokens(document.services),
        )

    def _memory_tokens(self, services: Any) -> dict[str, int]:
        """Return the memory of engines in tokens, by service."""
        try:
            listed = _SERVICES.validate_python(services)
        except pydantic.ValidationError as error:
            # The text of the error shows parts of the configuration.
            self._logger.warning(
                'services_unreadable', faults=error.error_count()
            )
            return {}
        return {
            service.name: service.engine.memory_tokens
            for service in listed
            if service.engine is not None
        }


@dataclasses.dataclass(frozen=True)
class ReadConfiguration:
    """A configuration as read from its file, in the order written there.

    ``document`` has all fields by their wire names, with the defaults of those
    that are absent and without keys.
    """

    version: int
    routes: tuple[ForwardRoute, ...]
    limits: CallerLimits
    teams: tuple[TeamKeys, ...]
    document: dict[str, Any]


def read_configuration(body: bytes) -> ReadConfiguration:
    """Read a configuration as hosts read it.

    Raises:
        pydantic.ValidationError: it is not valid.
    """
    spec = _ConfigurationSpec.model_validate_json(body)
    return ReadConfiguration(
        version=spec.version,
        routes=tuple(map(_decode_route, spec.routes)),
        limits=_decode_limits(spec.limits),
        teams=tuple(
            TeamKeys(_decode_team(team), team.keys) for team in spec.teams
        ),
        document=spec.model_dump(
            by_alias=True, exclude={'teams': {'__all__': {'keys'}}}
        ),
    )


def known_kind(wire_name: str) -> bool:
    """Return whether a kind of routes has this wire name."""
    return wire_name in _KIND_BY_WIRE_NAME


def _decode_route(route: _RouteSpec) -> ForwardRoute:
    shares = tuple(
        ServiceShare(share.service, share.weight) for share in route.shares
    )
    return ForwardRoute(
        name=route.name,
        host=route.host.lower(),
        path_prefix=route.path_prefix,
        # Requests of an unknown kind are treated as not idempotent.
        kind=_KIND_BY_WIRE_NAME.get(route.kind, RouteKind.non_idempotent),
        timeout_s=route.timeout_ms / _MS_PER_S,
        shares=shares or (ServiceShare(route.service, 1),),
        target_latency_s=route.target_latency_ms / _MS_PER_S,
        max_attempts=route.max_attempts,
        priority=route.priority,
        resumable=route.resumable,
        waiting_tokens=route.waiting_tokens,
        target_complete_s=route.target_complete_ms / _MS_PER_S,
        abandon_after_s=route.abandon_after_s,
        anonymous=route.anonymous,
    )


def _decode_teams(specs: Iterable[_TeamSpec]) -> TeamDirectory:
    """Return the teams; one that is listed twice has the keys of both."""
    keys: dict[Team, tuple[str, ...]] = {}
    for spec in specs:
        team = _decode_team(spec)
        keys[team] = (*keys.get(team, ()), *spec.keys)
    return TeamDirectory(keys)


def _decode_team(team: _TeamSpec) -> Team:
    return Team(
        name=team.name,
        priority=team.priority,
        requests_per_s=team.requests_per_s,
        burst=team.burst,
    )


def _decode_limits(limits: _LimitsSpec | None) -> CallerLimits:
    if limits is None:
        return CallerLimits()
    return CallerLimits(
        max_header_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        idle_timeout_s=limits.idle_timeout_ms / _MS_PER_S,
    )
