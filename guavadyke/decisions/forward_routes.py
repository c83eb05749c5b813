"""Routes of forwarded requests: matching, traffic split and limits."""

from __future__ import annotations

import dataclasses
import enum
import hashlib
import itertools
from collections.abc import Mapping

from guavadyke.decisions.teams import TeamDirectory

_HASH_BYTES = 8
_HASH_RANGE = 2.0 ** (8 * _HASH_BYTES)


class RouteKind(enum.Enum):
    """How requests of a route may be handled and repeated."""

    idempotent = 'idempotent'
    non_idempotent = 'non_idempotent'
    streamed = 'streamed'
    batch = 'batch'


@dataclasses.dataclass(frozen=True)
class ServiceShare:
    """A service of a route; ``weight`` is relative to the other shares."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class ForwardRoute:
    """A configured route; times are in seconds.

    Attributes:
        name: unique name.
        host: host name that requests are sent to.
        path_prefix: prefix of the paths that the route matches.
        kind: how its requests may be handled.
        timeout_s: timeout of a request.
        shares: services that requests are split over.
        target_latency_s: latency objective, 0 for none.
        max_attempts: number of backend servers that may have begun to run
            the same request.
        priority: priority of its requests.
        resumable: whether a stream may continue at another server.
        waiting_tokens: maximum tokens of waiting batch items, 0 for no
            limit.
        target_complete_s: time after submission at which a batch job is
            due.
        abandon_after_s: time after submission at which a batch item may be
            given up, 0 for never.
        anonymous: whether its requests need no key of a team.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    shares: tuple[ServiceShare, ...]
    target_latency_s: float = 0
    max_attempts: int = 1
    priority: int = 0
    resumable: bool = False
    waiting_tokens: int = 0
    target_complete_s: float = 0
    abandon_after_s: float = 0
    anonymous: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run can be sent again."""
        if self.kind is RouteKind.streamed:
            return self.resumable
        return self.kind is not RouteKind.non_idempotent

    @property
    def services(self) -> frozenset[str]:
        """Names of the services that the route sends requests to."""
        return frozenset(share.service for share in self.shares)

    def service_of(self, request_id: str) -> str:
        """Return the service of a request, the same for each attempt."""
        total = sum(share.weight for share in self.shares)
        position = _hash_fraction(request_id) * total
        bounds = itertools.accumulate(share.weight for share in self.shares)
        chosen = (
            share.service
            for share, bound in zip(self.shares, bounds, strict=True)
            if position < bound
        )
        return next(chosen, self.shares[-1].service)


@dataclasses.dataclass(frozen=True)
class CallerLimits:
    """Limits on the size of requests and on idle connections."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    idle_timeout_s: float = 60


@dataclasses.dataclass(frozen=True)
class RouteTable:
    """One version of all routes; version 0 means no configuration.

    Without ``teams`` no request needs a key. ``memory_tokens`` are the tokens
    that a server of each service holds, where the configuration states them.
    """

    version: int = 0
    routes: tuple[ForwardRoute, ...] = ()
    limits: CallerLimits = CallerLimits()
    teams: TeamDirectory = dataclasses.field(
        default_factory=TeamDirectory, compare=False
    )
    memory_tokens: Mapping[str, int] = dataclasses.field(
        default_factory=dict, hash=False
    )

    @property
    def configured(self) -> bool:
        """Whether a configuration has been loaded."""
        return self.version > 0

    def match(self, host: str, path: str) -> ForwardRoute | None:
        """Return the route of ``host`` with the longest matching prefix."""
        found = [
            route
            for route in self.routes
            if route.host == host and path.startswith(route.path_prefix)
        ]
        return max(found, key=_prefix_length, default=None)

    def route_by_name(self, name: str) -> ForwardRoute | None:
        """Return a route by its name, None if there is none."""
        return next((one for one in self.routes if one.name == name), None)


def newer_table(current: RouteTable, offered: RouteTable) -> RouteTable:
    """Return the newer of two tables, ``current`` if they are equal."""
    return offered if offered.version > current.version else current


def split_host(authority: str) -> str:
    """Return the lower-case host name of a Host header, without port."""
    name, _colon, port = authority.rpartition(':')
    return (name if port.isdecimal() and name else authority).lower()


def _prefix_length(route: ForwardRoute) -> int:
    return len(route.path_prefix)


def _hash_fraction(text: str) -> float:
    digest = hashlib.blake2b(text.encode(), digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest) / _HASH_RANGE
