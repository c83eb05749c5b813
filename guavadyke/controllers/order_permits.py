"""Permits that bound loads and keep the last replica, by conditional update.

A ledger is one object on the platform. Whoever adds a permit has seen all
the others, so that two hosts cannot both take the last one.
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
    """One engine's leave to do one thing, in epoch seconds."""

    model_config = pydantic.ConfigDict(frozen=True)

    engine_id: str
    model: str
    version: str
    since: float
    until: float

    @property
    def key(self) -> tuple[str, str, str]:
        """What a later permit replaces."""
        return (self.engine_id, self.model, self.version)


class _Ledger(pydantic.BaseModel):
    permits: tuple[Permit, ...] = ()


@dataclasses.dataclass(frozen=True)
class _Read:
    stored: StoredObject | None
    permits: tuple[Permit, ...]


class PermitLedger:
    """One ledger.

    Args:
        store: the platform.
        name: name of the ledger.
        clock: tells which permits have run out.
    """

    def __init__(
        self, store: WriteConfirmingStore, name: str, clock: Clock
    ) -> None:
        self._store = store
        self._name = name
        self._clock = clock

    def take(
        self,
        permit: Permit,
        allows: Callable[[tuple[Permit, ...]], bool],
    ) -> bool:
        """Add a permit if the others allow it.

        Args:
            permit: what is asked for.
            allows: judges by the permits of others that run.

        Returns:
            False where it is not allowed or another host was faster.
        """
        read = self._read()
        others = tuple(one for one in read.permits if one.key != permit.key)
        if not allows(others):
            return False
        return self._write(read.stored, (*others, permit))

    def give_back(self, engine_id: str) -> None:
        """Remove an engine's permits, if there are any."""
        read = self._read()
        others = tuple(
            one for one in read.permits if one.engine_id != engine_id
        )
        if len(others) != len(read.permits):
            self._write(read.stored, others)

    def _read(self) -> _Read:
        stored = self._store.read(LEDGER_KIND, self._name)
        if stored is None:
            return _Read(None, ())
        ledger = _ledger(stored.body)
        now = self._clock.wall()
        running = tuple(one for one in ledger.permits if one.until > now)
        return _Read(stored, running)

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


def _ledger(body: bytes) -> _Ledger:
    try:
        return _Ledger.model_validate_json(body)
    except pydantic.ValidationError:
        return _Ledger()


class OrderPermits:
    """Asks the ledgers before an order is given.

    Args:
        settings: how long permits last and how many loads run at once.
        store: the platform.
        engines: asked for what they hold.
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
        self._held: dict[str, str] = {}

    def take_load(
        self,
        engine_id: str,
        load: ModelLoad,
        catalogue: CatalogueSnapshot,
    ) -> bool:
        """Bound the loads that run at once in a zone."""
        zone = catalogue.backend_servers[engine_id].zone
        permit = self._permit(engine_id, load, self._settings.load_permit_s)
        taken = self._ledger(f'loads.{zone}').take(
            permit,
            lambda others: (
                self._running(others, catalogue) < self._settings.loads_at_once
            ),
        )
        if taken:
            self._held[engine_id] = zone
        return taken

    def loaded(self, engine_id: str) -> None:
        """Give back an engine's permit to load once it loads no more."""
        zone = self._held.pop(engine_id, None)
        if zone is not None:
            self._ledger(f'loads.{zone}').give_back(engine_id)

    def take_unload(
        self,
        engine_id: str,
        load: ModelLoad,
        catalogue: CatalogueSnapshot,
        placement: Placement,
    ) -> bool:
        """Never let the last replica of an entry go."""
        states = self._states_of(load.model, catalogue, placement)
        permit = self._permit(engine_id, load, self._settings.unload_permit_s)
        entries = [
            entry
            for entry in catalogue.entries.values()
            if isinstance(entry, ModelEntry)
        ]
        return self._ledger(f'model.{load.model}').take(
            permit,
            lambda others: may_unload(
                load,
                entries,
                placement,
                _after(states, (*others, permit)),
            ),
        )

    def _running(
        self,
        permits: tuple[Permit, ...],
        catalogue: CatalogueSnapshot,
    ) -> int:
        """Count the loads that run; the host that began one may be lost."""
        if len(permits) < self._settings.loads_at_once:
            return len(permits)
        return sum(self._runs(permit, catalogue) for permit in permits)

    def _runs(self, permit: Permit, catalogue: CatalogueSnapshot) -> bool:
        if self._clock.wall() - permit.since < self._settings.lease_s:
            return True
        if permit.engine_id not in catalogue.backend_servers:
            return False
        state = self._state(catalogue, permit.engine_id)
        if state is None:
            return True
        return any(
            load.key == (permit.model, permit.version) for load in state.loading
        )

    def _states_of(
        self,
        model: str,
        catalogue: CatalogueSnapshot,
        placement: Placement,
    ) -> dict[str, EngineState]:
        """Ask every engine that stays and is to hold the model."""
        asked = (
            engine_id
            for engine_id, loads in placement.by_engine.items()
            if any(load.model == model for load in loads)
        )
        states = (
            (engine_id, self._state(catalogue, engine_id))
            for engine_id in asked
        )
        return {
            engine_id: state for engine_id, state in states if state is not None
        }

    def _state(
        self,
        catalogue: CatalogueSnapshot,
        engine_id: str,
    ) -> EngineState | None:
        server = catalogue.backend_servers[engine_id]
        try:
            return self._engines.state(server.address)
        except BackendServerError:
            return None

    def _ledger(self, name: str) -> PermitLedger:
        return PermitLedger(self._store, name, self._clock)

    def _permit(
        self,
        engine_id: str,
        load: ModelLoad,
        lasting_s: float,
    ) -> Permit:
        now = self._clock.wall()
        return Permit(
            engine_id=engine_id,
            model=load.model,
            version=load.version,
            since=now,
            until=now + lasting_s,
        )


def _after(
    states: Mapping[str, EngineState],
    permits: tuple[Permit, ...],
) -> dict[str, EngineState]:
    """Return the states as they will be after the permitted unloads."""
    remaining = dict(states)
    for permit in permits:
        state = remaining.get(permit.engine_id)
        if state is not None:
            key = (permit.model, permit.version)
            remaining[permit.engine_id] = state.without(key)
    return remaining
