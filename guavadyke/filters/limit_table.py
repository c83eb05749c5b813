"""Enforcement of limits by the request threads of one host."""

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

_ACTIVE_WINDOW_S = 5.0
_MAX_WAIT_S = 0.6
_WAIT_CUT_WITH_GRANT_S = 0.45
_POLL_INTERVAL_S = 0.01
_MAX_RETRY_AFTER_S = 30


@dataclasses.dataclass(frozen=True)
class LimitedRequest:
    """A request to charge; ``tokens`` is the maximum it may use."""

    owner: str
    entry_name: str
    tokens: int


class LimitTable:
    """Enforces this host's shares of limits; thread-safe.

    Args:
        settings: settings of this host.
        clock: source of the time.
        catalogue: current configuration.
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
        self._grant_needed: Callable[[], None] = _ignore

    def set_grant_needed_callback(
        self,
        grant_needed: Callable[[], None],
    ) -> None:
        """Call ``grant_needed`` whenever a request waits for a grant."""
        self._grant_needed = grant_needed

    def acquire(self, request: LimitedRequest) -> list[LocalLimit]:
        """Charge a request to all its limits and return them.

        The request waits a short time for an exhausted limit; the wait is
        shorter if this host has a grant of the limit already.

        Raises:
            GuavadykeError: ``limit_exceeded``; nothing is charged.
        """
        limit_specs = list(self._specs(request))
        if not limit_specs:
            return []
        until = self._record_demand(limit_specs, request.tokens) + _MAX_WAIT_S
        while True:
            refused = self._try_charge_all(limit_specs, request.tokens)
            now = self._clock.monotonic()
            if refused is None:
                return [self._limit(spec) for spec in limit_specs]
            wait_cut_s = _WAIT_CUT_WITH_GRANT_S * refused.share.has_grant(now)
            if now >= until - wait_cut_s:
                raise _exceeded(refused, now)
            self._grant_needed()
            self._clock.sleep(_POLL_INTERVAL_S)

    def release(self, limits: list[LocalLimit], unused_tokens: int) -> None:
        """Release the concurrency and unused tokens of a request."""
        with self._lock:
            for limit in limits:
                _end_use(limit, unused_tokens)

    def active(self) -> list[LocalLimit]:
        """Return the limits that requests use or have used recently."""
        since = self._clock.monotonic() - _ACTIVE_WINDOW_S
        with self._lock:
            return [
                limit
                for limit in self._limits.values()
                if limit.used_at >= since or limit.in_use
            ]

    def demand(self, limit: LocalLimit) -> float:
        """Return this host's demand for a limit, in the limit's unit."""
        with self._lock:
            return limit.demand(self._clock.monotonic())

    def grant(self, limit: LocalLimit, share: float, until: float) -> None:
        """Apply a granted share, valid until a monotonic time."""
        with self._lock:
            limit.share.grant(share, until)

    def spec(self, limit_name: str) -> LimitSpec | None:
        """Return the limit of that name in the current catalogue.

        A name is ``owner/NAME:MEASURE`` or ``entry/NAME:MEASURE``.
        """
        scope, _colon, measure = limit_name.rpartition(':')
        limits = self._scope_limits(scope)
        named = {
            str(limit_spec.measure): limit_spec
            for limit_spec in specs(scope, limits)
        }
        return named.get(measure)

    def _scope_limits(self, scope: str) -> Limits:
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

    def _record_demand(
        self,
        limit_specs: list[LimitSpec],
        tokens: int,
    ) -> float:
        """Add a request to the demand for its limits; return the time."""
        now = self._clock.monotonic()
        with self._lock:
            for limit in map(self._limit, limit_specs):
                limit.record_demand(_cost(limit, tokens), now)
        return now

    def _try_charge_all(
        self,
        limit_specs: list[LimitSpec],
        tokens: int,
    ) -> LocalLimit | None:
        """Charge all limits, or none and return the exhausted one."""
        now = self._clock.monotonic()
        with self._lock:
            limits = [self._limit(spec) for spec in limit_specs]
            for place, limit in enumerate(limits):
                if not limit.try_charge(_cost(limit, tokens), now):
                    _refund(limits[:place], tokens)
                    return limit
        return None

    def _limit(self, spec: LimitSpec) -> LocalLimit:
        found = self._limits.get(spec.name)
        if found is None:
            found = LocalLimit(spec)
            self._limits[spec.name] = found
        found.spec = spec
        found.share.floor = self._host_floor(spec)
        return found

    def _host_floor(self, spec: LimitSpec) -> float:
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


def _refund(limits: list[LocalLimit], tokens: int) -> None:
    for limit in limits:
        limit.release(_cost(limit, tokens))


def _end_use(limit: LocalLimit, unused_tokens: int) -> None:
    if limit.is_token_rate:
        limit.release(unused_tokens)
    elif limit.is_concurrency:
        limit.release(1)


def _exceeded(limit: LocalLimit, now: float) -> GuavadykeError:
    wait_s = limit.retry_after_s(now)
    return GuavadykeError(
        ErrorCode.limit_exceeded,
        f'the limit {limit.spec.name} of {limit.spec.total:g} is reached',
        retry_after_s=max(1, min(_MAX_RETRY_AFTER_S, round(wait_s))),
    )


def _ignore() -> None:
    """Do nothing when a grant is needed."""
