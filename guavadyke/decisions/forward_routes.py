"""Routes whose requests are forwarded unchanged, and what each allows."""

from __future__ import annotations

import dataclasses
import enum
import hashlib
import itertools

_HASH_BYTES = 8
_HASH_RANGE = 2.0 ** (8 * _HASH_BYTES)


class RouteKind(enum.Enum):
    """What may be done with a request of a route."""

    idempotent = 'idempotent'
    non_idempotent = 'non_idempotent'
    streamed = 'streamed'
    batch = 'batch'


@dataclasses.dataclass(frozen=True)
class ServiceShare:
    """The part of a route's requests that goes to a service."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class ForwardRoute:
    """A route of the configuration; times are in seconds.

    ``max_attempts`` counts backend servers that may have begun to run one
    request. ``resumable`` lets a stream continue at another server.
    ``waiting_tokens`` bounds the tokens of batch items that wait, 0 for no
    bound. ``abandon_after_s`` is how long after its submission an item may
    be given up, 0 for never.
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

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run can be sent once more."""
        if self.kind is RouteKind.streamed:
            return self.resumable
        return self.kind is not RouteKind.non_idempotent

    @property
    def services(self) -> frozenset[str]:
        """Every service that requests of this route may reach."""
        return frozenset(share.service for share in self.shares)

    def service_of(self, request_id: str) -> str:
        """Return the service of one request; the same for each attempt."""
        total = sum(share.weight for share in self.shares)
        drawn = _fraction(request_id) * total
        bounds = itertools.accumulate(share.weight for share in self.shares)
        chosen = (
            share.service
            for share, bound in zip(self.shares, bounds, strict=True)
            if drawn < bound
        )
        return next(chosen, self.shares[-1].service)


@dataclasses.dataclass(frozen=True)
class CallerLimits:
    """What a caller may send and how long it may stay idle."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    idle_timeout_s: float = 60


@dataclasses.dataclass(frozen=True)
class RouteTable:
    """One version of the routes; version 0 is none at all."""

    version: int = 0
    routes: tuple[ForwardRoute, ...] = ()
    limits: CallerLimits = CallerLimits()

    @property
    def known(self) -> bool:
        """Whether any configuration is in force."""
        return self.version > 0

    def match(self, host: str, path: str) -> ForwardRoute | None:
        """Return the route of a host with the longest prefix of the path."""
        found = [
            route
            for route in self.routes
            if route.host == host and path.startswith(route.path_prefix)
        ]
        return max(found, key=_prefix_length, default=None)

    def named(self, name: str) -> ForwardRoute | None:
        """Return a route by its name."""
        return next((one for one in self.routes if one.name == name), None)


def newer(current: RouteTable, offered: RouteTable) -> RouteTable:
    """Return the table to use; a host never goes back to an older one."""
    return offered if offered.version > current.version else current


def split_host(authority: str) -> str:
    """Return the host name of a Host header, without its port."""
    name, _colon, port = authority.rpartition(':')
    return (name if port.isdecimal() and name else authority).lower()


def _prefix_length(route: ForwardRoute) -> int:
    return len(route.path_prefix)


def _fraction(text: str) -> float:
    digest = hashlib.blake2b(text.encode(), digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest) / _HASH_RANGE
