"""Limits in force on this host, for its request threads."""

from __future__ import annotations

import dataclasses
import threading
from collections.abc import Callable, Iterator

from guavadyke.adapters.ports import Clock
from guavadyke.catalogue import Limits
from guavadyke.decisions.limits import LimitSpec, LocalLimit, host_floor, specs
from guavadyke.errors import ErrorCode, GuavadykeError
from guavadyke.settings import EntrySettings
from guavadyke.snapshots import (
    CatalogueSnapshot,
    FleetSnapshot,
    SnapshotCell,
)

_ACTIVE_S = 5.0
_LONGEST_WAIT_S = 0.6
_SAVED_WAIT_S = 0.45
_LOOK_S = 0.01
_LONGEST_RETRY_AFTER_S = 30


@dataclasses.dataclass(frozen=True)
class LimitedRequest:
    """What a request asks of limits; ``tokens`` is the most it may use."""

    owner: str
    entry_name: str
    tokens: int


class LimitTable:
    """Enforces this host's shares of limits.

    Args:
        settings: settings of this host.
        clock: gives the time.
        catalogue: configuration in force.
        fleet: peers.
    """

    def __init__(
        self,
        settings: EntrySettings,
        clock: Clock,
        catalogue: SnapshotCell[CatalogueSnapshot],
        fleet: SnapshotCell[FleetSnapshot],
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._catalogue = catalogue
        self._fleet = fleet
        self._lock = threading.Lock()
        self._limits: dict[str, LocalLimit] = {}
        self._starved: Callable[[], None] = _ignore

    def on_starved(self, starved: Callable[[], None]) -> None:
        """Call ``starved`` where a request waits for a first grant."""
        self._starved = starved

    def take(self, request: LimitedRequest) -> list[LocalLimit]:
        """Use every limit of a request and return them.

        Raises:
            GuavadykeError: ``limit_exceeded``; nothing is used.
        """
        wanted = list(self._specs(request))
        if not wanted:
            return []
        until = self._want_all(wanted, request.tokens) + _LONGEST_WAIT_S
        while True:
            refused = self._take_all(wanted, request.tokens)
            now = self._clock.monotonic()
            if refused is None:
                return [self._limit(spec) for spec in wanted]
            saved_s = _SAVED_WAIT_S * refused.share.granted(now)
            if now >= until - saved_s:
                raise _exceeded(refused, now)
            self._starved()
            self._clock.sleep(_LOOK_S)

    def give_back(self, limits: list[LocalLimit], unused_tokens: int) -> None:
        """End the uses of a request."""
        with self._lock:
            for limit in limits:
                _give_back(limit, unused_tokens)

    def active(self) -> list[LocalLimit]:
        """Return the limits that requests have lately met."""
        since = self._clock.monotonic() - _ACTIVE_S
        with self._lock:
            return [
                limit
                for limit in self._limits.values()
                if limit.used_at >= since or limit.in_use
            ]

    def demand(self, limit: LocalLimit) -> float:
        """Return what this host wants of a limit."""
        with self._lock:
            return limit.demand(self._clock.monotonic())

    def grant(self, limit: LocalLimit, share: float, until: float) -> None:
        """Take a share that was granted to this host."""
        with self._lock:
            limit.share.grant(share, until)

    def spec(self, limit_name: str) -> LimitSpec | None:
        """Return the limit of that name in the catalogue in force."""
        scope, _colon, measure = limit_name.rpartition(':')
        limits = self._limits_of(scope)
        named = {str(one.measure): one for one in specs(scope, limits)}
        return named.get(measure)

    def _limits_of(self, scope: str) -> Limits:
        kind, _slash, name = scope.partition('/')
        catalogue = self._catalogue.current
        holders = catalogue.owners if kind == 'owner' else catalogue.entries
        holder = holders.get(name)
        return Limits() if holder is None else holder.limits

    def _specs(self, request: LimitedRequest) -> Iterator[LimitSpec]:
        catalogue = self._catalogue.current
        owner = catalogue.owners.get(request.owner)
        entry = catalogue.entries.get(request.entry_name)
        if owner is not None:
            yield from specs(f'owner/{request.owner}', owner.limits)
        if entry is not None:
            yield from specs(f'entry/{request.entry_name}', entry.limits)

    def _want_all(self, wanted: list[LimitSpec], tokens: int) -> float:
        """Count what a request asks for and return the time."""
        now = self._clock.monotonic()
        with self._lock:
            for limit in map(self._limit, wanted):
                limit.want(_cost(limit, tokens), now)
        return now

    def _take_all(
        self,
        wanted: list[LimitSpec],
        tokens: int,
    ) -> LocalLimit | None:
        """Use all limits; return the one that refuses, and use none."""
        now = self._clock.monotonic()
        with self._lock:
            limits = [self._limit(spec) for spec in wanted]
            for place, limit in enumerate(limits):
                if not limit.take(_cost(limit, tokens), now):
                    _undo(limits[:place], tokens)
                    return limit
        return None

    def _limit(self, spec: LimitSpec) -> LocalLimit:
        found = self._limits.get(spec.name)
        if found is None:
            found = LocalLimit(spec)
            self._limits[spec.name] = found
        found.spec = spec
        found.share.floor = self._floor(spec)
        return found

    def _floor(self, spec: LimitSpec) -> float:
        settings = self._settings
        servers = self._catalogue.current.backend_servers.values()
        zones = {server.zone for server in servers} | {settings.zone}
        peers = self._fleet.current.peers
        hosts = [peer.host_id for peer in peers if peer.zone == settings.zone]
        return host_floor(
            spec,
            len(zones),
            settings.host_id,
            [settings.host_id, *hosts],
        )


def _cost(limit: LocalLimit, tokens: int) -> float:
    return tokens if limit.is_token_rate else 1


def _undo(limits: list[LocalLimit], tokens: int) -> None:
    for limit in limits:
        limit.give_back(_cost(limit, tokens))


def _give_back(limit: LocalLimit, unused_tokens: int) -> None:
    if limit.is_token_rate:
        limit.give_back(unused_tokens)
    elif limit.is_concurrency:
        limit.give_back(1)


def _exceeded(limit: LocalLimit, now: float) -> GuavadykeError:
    wait_s = limit.retry_after_s(now)
    return GuavadykeError(
        ErrorCode.limit_exceeded,
        f'the limit {limit.spec.name} of {limit.spec.total:g} is reached',
        retry_after_s=max(1, min(_LONGEST_RETRY_AFTER_S, round(wait_s))),
    )


def _ignore() -> None:
    """Ask nobody for a grant."""
