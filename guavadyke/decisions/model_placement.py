"""Which engine is to hold which models, and what may be ordered next."""

from __future__ import annotations

import collections
import dataclasses
import functools
import itertools
import math
import operator
from collections.abc import Iterable, Iterator, Mapping
from typing import TypeAlias

from guavadyke.catalogue import BackendServerEntry, ModelEntry
from guavadyke.decisions.rendezvous_hashing import rank_names
from guavadyke.snapshots import CatalogueSnapshot


@dataclasses.dataclass(frozen=True)
class ModelLoad:
    """A version of a model with the adapters that go with it."""

    model: str
    version: str
    adapters: frozenset[str] = frozenset()

    @property
    def key(self) -> tuple[str, str]:
        """Model and version, of which an engine holds one."""
        return (self.model, self.version)

    def covers(self, other: ModelLoad) -> bool:
        """Return whether it serves what the other one serves."""
        return self.key == other.key and self.adapters >= other.adapters


@dataclasses.dataclass(frozen=True)
class EngineState:
    """What an engine says of the orders that it has taken."""

    fencing: int = 0
    loaded: frozenset[ModelLoad] = frozenset()
    loading: frozenset[ModelLoad] = frozenset()

    def serves(self, wanted: ModelLoad) -> bool:
        """Return whether a loaded model serves what is wanted."""
        return any(loaded.covers(wanted) for loaded in self.loaded)

    def without(self, key: tuple[str, str]) -> EngineState:
        """Return the state after an unload."""
        kept = (load for load in self.loaded if load.key != key)
        return dataclasses.replace(self, loaded=frozenset(kept))


@dataclasses.dataclass(frozen=True)
class LoadOrder:
    """Load a model."""

    load: ModelLoad


@dataclasses.dataclass(frozen=True)
class UnloadOrder:
    """Give up a model."""

    load: ModelLoad


Order: TypeAlias = LoadOrder | UnloadOrder


@dataclasses.dataclass(frozen=True)
class Placement:
    """What each engine is to hold.

    ``short`` gives the replicas that a zone has no engine for, by model
    and zone.
    """

    by_engine: Mapping[str, frozenset[ModelLoad]]
    short: Mapping[str, int]

    def engines(self, load: ModelLoad) -> frozenset[str]:
        """Return the engines that are to hold the load."""
        return frozenset(
            engine_id
            for engine_id, loads in self.by_engine.items()
            if any(one.key == load.key for one in loads)
        )


@dataclasses.dataclass(frozen=True)
class _Need:
    load: ModelLoad
    zone: str
    replicas: int


def place(
    catalogue: CatalogueSnapshot,
    leaving: frozenset[str],
) -> Placement:
    """Place every model entry on managed engines that stay.

    All hosts with the same catalogue come to the same placement. An engine
    gets at most its share of its zone's replicas; which ones follows from
    rendezvous hashing, so that few move when engines come and go.
    """
    by_zone = _engines_by_zone(catalogue, leaving)
    engines = itertools.chain.from_iterable(by_zone.values())
    placed: dict[str, set[ModelLoad]] = {
        engine_id: set() for engine_id in engines
    }
    needs = sorted(_needs(catalogue.entries.values()), key=_need_order)
    missing = {
        f'{need.load.model}@{need.zone}': _place_one(
            need,
            by_zone.get(need.zone, []),
            placed,
            _share(needs, need.zone, len(by_zone.get(need.zone, []))),
        )
        for need in needs
    }
    return Placement(
        {one: frozenset(loads) for one, loads in placed.items()},
        {place_name: count for place_name, count in missing.items() if count},
    )


def next_order(
    state: EngineState,
    desired: frozenset[ModelLoad],
) -> Order | None:
    """Return what brings the engine nearer to what is desired.

    Loads go first, one at a time, so that what is new serves before what
    is old goes.
    """
    missing = sorted(
        (load for load in desired if not state.serves(load)),
        key=_load_order,
    )
    if missing:
        return None if state.loading else LoadOrder(missing[0])
    wanted = {load.key for load in desired}
    surplus = sorted(
        (load for load in state.loaded if load.key not in wanted),
        key=_load_order,
    )
    return UnloadOrder(surplus[0]) if surplus else None


def may_unload(
    load: ModelLoad,
    entries: Iterable[ModelEntry],
    placement: Placement,
    remaining: Mapping[str, EngineState],
) -> bool:
    """Return whether every entry of the model is still served without it.

    Args:
        load: what is to be given up.
        entries: model entries of the catalogue.
        placement: what each engine is to hold.
        remaining: states of the engines that answer and stay, as they will
            be after this and all other unloads that are under way.
    """
    return all(
        _served(wanted_load(entry), placement, remaining)
        for entry in entries
        if entry.model == load.model
    )


def wanted_load(entry: ModelEntry) -> ModelLoad:
    """Return what an entry needs."""
    return ModelLoad(entry.model, entry.version, frozenset(entry.adapters))


def _served(
    wanted: ModelLoad,
    placement: Placement,
    remaining: Mapping[str, EngineState],
) -> bool:
    serving = {
        engine_id
        for engine_id, state in remaining.items()
        if state.serves(wanted)
    }
    placed = placement.engines(wanted) & remaining.keys()
    return len(serving) >= max(1, len(placed))


def _engines_by_zone(
    catalogue: CatalogueSnapshot,
    leaving: frozenset[str],
) -> dict[str, list[str]]:
    by_zone: dict[str, list[str]] = collections.defaultdict(list)
    for engine_id, server in sorted(catalogue.backend_servers.items()):
        if is_managed(server) and engine_id not in leaving:
            by_zone[server.zone].append(engine_id)
    return by_zone


def is_managed(server: BackendServerEntry) -> bool:
    """Return whether this system orders what the server loads."""
    return server.managed and server.role == 'engine'


def _needs(entries: Iterable[object]) -> Iterator[_Need]:
    """Yield each model version's need in each zone, over all its entries."""
    models = sorted(
        (entry for entry in entries if isinstance(entry, ModelEntry)),
        key=_entry_key,
    )
    for _key, group in itertools.groupby(models, key=_entry_key):
        sharing = list(group)
        load = functools.reduce(_joined, map(wanted_load, sharing))
        replicas = functools.reduce(
            operator.or_,
            (collections.Counter(entry.replicas) for entry in sharing),
        )
        yield from (
            _Need(load, zone, count) for zone, count in replicas.items()
        )


def _joined(first: ModelLoad, second: ModelLoad) -> ModelLoad:
    return dataclasses.replace(
        first,
        adapters=first.adapters | second.adapters,
    )


def _share(needs: Iterable[_Need], zone: str, engines: int) -> int:
    total = sum(
        min(need.replicas, engines) for need in needs if need.zone == zone
    )
    return math.ceil(total / max(1, engines))


def _place_one(
    need: _Need,
    candidates: list[str],
    placed: Mapping[str, set[ModelLoad]],
    share: int,
) -> int:
    """Place a need, first where there is room; return what is missing."""
    ranked = rank_names(need.load.model, candidates)
    ranked.sort(key=lambda engine_id: len(placed[engine_id]) >= share)
    chosen = ranked[: need.replicas]
    for chosen_id in chosen:
        placed[chosen_id].add(need.load)
    return need.replicas - len(chosen)


def _need_order(need: _Need) -> tuple[str, str, str]:
    return (need.zone, *need.load.key)


def _load_order(load: ModelLoad) -> tuple[str, str]:
    return load.key


def _entry_key(entry: ModelEntry) -> tuple[str, str]:
    return (entry.model, entry.version)
