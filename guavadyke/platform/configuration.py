"""The operator's configuration as routes of the product."""

from __future__ import annotations

import types

import pydantic

from guavadyke.adapters.ports import StoredObject
from guavadyke.decisions.forward_routes import (
    CallerLimits,
    ForwardRoute,
    RouteKind,
    RouteTable,
    ServiceShare,
)
from guavadyke.log import EventLogger

CONFIGURATION_KIND = 'config'
_NAME = 'main'
_MS = 1000
_KINDS = types.MappingProxyType({
    'safe': RouteKind.idempotent,
    'unsafe': RouteKind.non_idempotent,
    'streaming': RouteKind.streamed,
    'batch': RouteKind.batch,
})


class _Share(pydantic.BaseModel):
    service: str = pydantic.Field(alias='Service')
    weight: float = pydantic.Field(alias='Weight', ge=0)


class _Route(pydantic.BaseModel):
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
    shares: tuple[_Share, ...] = pydantic.Field(
        alias='TrafficSplit',
        default=(),
    )
    max_attempts: int = pydantic.Field(alias='MaxAttempts', default=1)
    resumable: bool = pydantic.Field(alias='Resumable', default=False)
    # MaxCount bounds the tokens that wait, not a number of things.
    waiting_tokens: int = pydantic.Field(alias='MaxCount', default=0)
    target_complete_ms: float = pydantic.Field(
        alias='TargetCompleteMs',
        default=0,
    )
    # MaxWaitS counts from the job's first sending.
    abandon_after_s: float = pydantic.Field(alias='MaxWaitS', default=0)


class _Limits(pydantic.BaseModel):
    max_header_bytes: int = pydantic.Field(alias='MaxHeaderBytes')
    max_body_bytes: int = pydantic.Field(alias='MaxBodyBytes')
    idle_timeout_ms: float = pydantic.Field(alias='IdleTimeoutMs')


class _Configuration(pydantic.BaseModel):
    version: int = pydantic.Field(alias='Version')
    routes: tuple[_Route, ...] = pydantic.Field(alias='Routes')
    limits: _Limits | None = pydantic.Field(alias='Limits', default=None)


class ConfigurationDecoder:
    """Reads the object that holds the configuration.

    Args:
        logger: told of a configuration that cannot be read.
    """

    def __init__(self, logger: EventLogger) -> None:
        self._logger = logger

    def __call__(self, stored: StoredObject) -> RouteTable | None:
        """Return the routes; None where the object holds none."""
        if stored.name != _NAME:
            return None
        try:
            document = _Configuration.model_validate_json(stored.body)
        except pydantic.ValidationError as error:
            self._logger.error(
                'configuration_unreadable',
                revision=stored.version,
                reason=str(error),
            )
            return None
        return RouteTable(
            version=document.version,
            routes=tuple(map(_route, document.routes)),
            limits=_limits(document.limits),
        )


def _route(route: _Route) -> ForwardRoute:
    shares = tuple(
        ServiceShare(share.service, share.weight) for share in route.shares
    )
    return ForwardRoute(
        name=route.name,
        host=route.host.lower(),
        path_prefix=route.path_prefix,
        # A kind that is not known allows nothing to be repeated.
        kind=_KINDS.get(route.kind, RouteKind.non_idempotent),
        timeout_s=route.timeout_ms / _MS,
        shares=shares or (ServiceShare(route.service, 1),),
        target_latency_s=route.target_latency_ms / _MS,
        max_attempts=route.max_attempts,
        priority=route.priority,
        resumable=route.resumable,
        waiting_tokens=route.waiting_tokens,
        target_complete_s=route.target_complete_ms / _MS,
        abandon_after_s=route.abandon_after_s,
    )


def _limits(limits: _Limits | None) -> CallerLimits:
    if limits is None:
        return CallerLimits()
    return CallerLimits(
        max_header_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        idle_timeout_s=limits.idle_timeout_ms / _MS,
    )
