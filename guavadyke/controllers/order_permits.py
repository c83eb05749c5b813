"""Permits for orders: they limit concurrent loads and keep a last replica.

A ledger of permits is one object on the platform, changed by conditional
update. A host that adds a permit has therefore seen all others, and two
hosts can't both take the last one.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Mapping

import pydantic

from guavadyke.adapters.engine_order_client import EngineOrderClient
from guavadyke.adapters.ports import BackendServerError, Clock, StoredObject
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.catalogue import ModelEntry
from guavadyke.decisions.model_placement import (
    EngineState,
    ModelLoad,
    Placement,
    may_unload,
)
from guavadyke.errors import ObjectConflictError
from guavadyke.settings import OrderSettings
from guavadyke.snapshots import CatalogueSnapshot

LEDGER_KIND = 'order-permits'


class Permit(pydantic.BaseModel):
    """Permission to load or unload one model on one engine.

    ``since`` and ``until`` are in seconds since the epoch.
    """

    model_config = pydantic.ConfigDict(frozen=True)

    engine_id: str
    model: str
    version: str
    since: float
    until: float

    @property
    def key(self) -> tuple[str, str, str]:
        """Identity; a new permit replaces an older one of the same key."""
        return (self.engine_id, self.model, self.version)


class _Ledger(pydantic.BaseModel):
    permits: tuple[Permit, ...] = ()


@dataclasses.dataclass(frozen=True)
class _LedgerState:
    stored: StoredObject | None
    permits: tuple[Permit, ...]


class PermitLedger:
    """The permits of one ledger object on the platform.

    Args:
        store: the platform.
        name: name of the ledger object.
        clock: wall clock that decides which permits have expired.
    """

    def __init__(
        self, store: WriteConfirmingStore, name: str, clock: Clock
    ) -> None:
        self._store = store
        self._name = name
        self._clock = clock

    def acquire(
        self,
        permit: Permit,
        is_allowed: Callable[[tuple[Permit, ...]], bool],
    ) -> bool:
        """Add a permit if the other unexpired permits allow it.

        Args:
            permit: the permit to add.
            is_allowed: decides from the other unexpired permits.

        Returns:
            Whether the permit was added; False also if another host
            changed the ledger in the meantime.
        """
        current = self._read_unexpired()
        others = tuple(
            other for other in current.permits if other.key != permit.key
        )
        if not is_allowed(others):
            return False
        return self._write(current.stored, (*others, permit))

    def release_engine(self, engine_id: str) -> None:
        """Remove all permits of an engine.

        If another host changed the ledger in the meantime, they stay until
        they expire.
        """
        current = self._read_unexpired()
        others = tuple(
            other for other in current.permits if other.engine_id != engine_id
        )
        if len(others) != len(current.permits):
            self._write(current.stored, others)

    def _read_unexpired(self) -> _LedgerState:
        stored = self._store.read(LEDGER_KIND, self._name)
        if stored is None:
            return _LedgerState(None, ())
        ledger = _decode_ledger(stored.body)
        now = self._clock.wall()
        unexpired = tuple(
            permit for permit in ledger.permits if permit.until > now
        )
        return _LedgerState(stored, unexpired)

    def _write(
        self,
        stored: StoredObject | None,
        permits: tuple[Permit, ...],
    ) -> bool:
        body = _Ledger(permits=permits).model_dump_json().encode()
        try:
            if stored is None:
                self._store.create(LEDGER_KIND, self._name, body)
            else:
                self._store.update(stored, body)
        except ObjectConflictError:
            return False
        return True


def _decode_ledger(body: bytes) -> _Ledger:
    try:
        return _Ledger.model_validate_json(body)
    except pydantic.ValidationError:
        return _Ledger()


class OrderPermits:
    """Acquires permits from the ledgers before an order is sent.

    Args:
        settings: durations of permits and the limit of concurrent loads.
        store: the platform.
        engines: reads the states of engines.
        clock: dates permits.
    """

    def __init__(
        self,
        settings: OrderSettings,
        store: WriteConfirmingStore,
        engines: EngineOrderClient,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._store = store
        self._engines = engines
        self._clock = clock
        self._load_permit_zones: dict[str, str] = {}

    def acquire_load(
        self,
        engine_id: str,
        load: ModelLoad,
        catalogue: CatalogueSnapshot,
    ) -> bool:
        """Acquire a permit to load a model, within the limit of the zone.

        Returns:
            False if the zone runs as many loads as allowed, or if another
            host changed the ledger in the meantime.
        """
        zone = catalogue.backend_servers[engine_id].zone
        permit = self._new_permit(engine_id, load, self._settings.load_permit_s)
        acquired = self._open_ledger(f'loads.{zone}').acquire(
            permit,
            lambda others: (
                self._count_loading(others, catalogue)
                < self._settings.loads_at_once
            ),
        )
        if acquired:
            self._load_permit_zones[engine_id] = zone
        return acquired

    def release_load(self, engine_id: str) -> None:
        """Release the load permit of an engine that has stopped loading."""
        zone = self._load_permit_zones.pop(engine_id, None)
        if zone is not None:
            self._open_ledger(f'loads.{zone}').release_engine(engine_id)

    def acquire_unload(
        self,
        engine_id: str,
        load: ModelLoad,
        catalogue: CatalogueSnapshot,
        placement: Placement,
    ) -> bool:
        """Acquire a permit to unload a model.

        Returns:
            False if an entry would lose its last replica, or if another
            host changed the ledger in the meantime.
        """
        states = self._engine_states(load.model, catalogue, placement)
        permit = self._new_permit(
            engine_id, load, self._settings.unload_permit_s
        )
        entries = [
            entry
            for entry in catalogue.entries.values()
            if isinstance(entry, ModelEntry)
        ]
        return self._open_ledger(f'model.{load.model}').acquire(
            permit,
            lambda others: may_unload(
                load,
                entries,
                placement,
                _states_after_unloads(states, (*others, permit)),
            ),
        )

    def _count_loading(
        self,
        permits: tuple[Permit, ...],
        catalogue: CatalogueSnapshot,
    ) -> int:
        """Return how many permits stand for loads that still run.

        Engines are asked only where the limit is reached: a host that was
        lost during a load did not release its permit.
        """
        if len(permits) < self._settings.loads_at_once:
            return len(permits)
        return sum(self._is_loading(permit, catalogue) for permit in permits)

    def _is_loading(self, permit: Permit, catalogue: CatalogueSnapshot) -> bool:
        if self._clock.wall() - permit.since < self._settings.lease_s:
            return True
        if permit.engine_id not in catalogue.backend_servers:
            return False
        state = self._engine_state(catalogue, permit.engine_id)
        if state is None:
            return True
        return any(
            load.key == (permit.model, permit.version) for load in state.loading
        )

    def _engine_states(
        self,
        model: str,
        catalogue: CatalogueSnapshot,
        placement: Placement,
    ) -> dict[str, EngineState]:
        """Ask the engines that shall hold the model; omit the unreachable."""
        engine_ids = (
            engine_id
            for engine_id, loads in placement.by_engine.items()
            if any(load.model == model for load in loads)
        )
        states = (
            (engine_id, self._engine_state(catalogue, engine_id))
            for engine_id in engine_ids
        )
        return {
            engine_id: state for engine_id, state in states if state is not None
        }

    def _engine_state(
        self,
        catalogue: CatalogueSnapshot,
        engine_id: str,
    ) -> EngineState | None:
        server = catalogue.backend_servers[engine_id]
        try:
            return self._engines.state(server.address)
        except BackendServerError:
            return None

    def _open_ledger(self, name: str) -> PermitLedger:
        return PermitLedger(self._store, name, self._clock)

    def _new_permit(
        self,
        engine_id: str,
        load: ModelLoad,
        duration_s: float,
    ) -> Permit:
        now = self._clock.wall()
        return Permit(
            engine_id=engine_id,
            model=load.model,
            version=load.version,
            since=now,
            until=now + duration_s,
        )


def _states_after_unloads(
    states: Mapping[str, EngineState],
    permits: tuple[Permit, ...],
) -> dict[str, EngineState]:
    """Return the engine states as they will be after the permitted unloads."""
    remaining = dict(states)
    for permit in permits:
        state = remaining.get(permit.engine_id)
        if state is not None:
            key = (permit.model, permit.version)
            remaining[permit.engine_id] = state.without(key)
    return remaining
