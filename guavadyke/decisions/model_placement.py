"""Placement of models on managed engines, and the next load order."""

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
    """A model version with the adapters to load with it."""

    model: str
    version: str
    adapters: frozenset[str] = frozenset()

    @property
    def key(self) -> tuple[str, str]:
        """Model and version; an engine loads each such pair once."""
        return (self.model, self.version)

    def covers(self, other: ModelLoad) -> bool:
        """Return whether this load can serve all requests of ``other``."""
        return self.key == other.key and self.adapters >= other.adapters


@dataclasses.dataclass(frozen=True)
class EngineState:
    """State reported by an engine.

    ``fencing`` is the fencing token of the orders that it has accepted.
    """

    fencing: int = 0
    loaded: frozenset[ModelLoad] = frozenset()
    loading: frozenset[ModelLoad] = frozenset()

    def serves(self, wanted: ModelLoad) -> bool:
        """Return whether the engine has loaded what ``wanted`` needs."""
        return any(loaded.covers(wanted) for loaded in self.loaded)

    def without(self, key: tuple[str, str]) -> EngineState:
        """Return the state without the model version ``key``."""
        kept = (load for load in self.loaded if load.key != key)
        return dataclasses.replace(self, loaded=frozenset(kept))


@dataclasses.dataclass(frozen=True)
class LoadOrder:
    """Order to load a model."""

    load: ModelLoad


@dataclasses.dataclass(frozen=True)
class UnloadOrder:
    """Order to unload a model."""

    load: ModelLoad


Order: TypeAlias = LoadOrder | UnloadOrder


@dataclasses.dataclass(frozen=True)
class Placement:
    """Desired models by engine id.

    ``short`` gives the number of replicas that a zone has too few engines
    for, by ``model@zone``.
    """

    by_engine: Mapping[str, frozenset[ModelLoad]]
    short: Mapping[str, int]

    def engines(self, load: ModelLoad) -> frozenset[str]:
        """Return the ids of the engines that should have this model."""
        return frozenset(
            engine_id
            for engine_id, loads in self.by_engine.items()
            if any(one.key == load.key for one in loads)
        )


@dataclasses.dataclass(frozen=True)
class _ReplicaNeed:
    load: ModelLoad
    zone: str
    replicas: int


def place_models(
    catalogue: CatalogueSnapshot,
    leaving: frozenset[str],
) -> Placement:
    """Place the replicas of every model entry on managed engines.

    The result depends only on the arguments, so hosts with the same
    catalogue compute the same placement. Engines are chosen by rendezvous
    hashing, so that few replicas move when engines are added or removed;
    engines that already have an even share of the zone's replicas come
    last.

    Args:
        catalogue: configuration in force.
        leaving: ids of engines that are shutting down and get no models.
    """
    by_zone = _engines_by_zone(catalogue, leaving)
    engines = itertools.chain.from_iterable(by_zone.values())
    placed: dict[str, set[ModelLoad]] = {
        engine_id: set() for engine_id in engines
    }
    needs = sorted(_needs(catalogue.entries.values()), key=_need_sort_key)
    missing = {
        f'{need.load.model}@{need.zone}': _place_replicas(
            need,
            by_zone.get(need.zone, []),
            placed,
            _models_per_engine(
                needs,
                need.zone,
                len(by_zone.get(need.zone, [])),
            ),
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
    """Return the next order towards the desired models, None if none.

    Loads come first, one at a time, so that new models serve before old
    ones are unloaded.
    """
    missing = sorted(
        (load for load in desired if not state.serves(load)),
        key=_load_sort_key,
    )
    if missing:
        return None if state.loading else LoadOrder(missing[0])
    wanted = {load.key for load in desired}
    surplus = sorted(
        (load for load in state.loaded if load.key not in wanted),
        key=_load_sort_key,
    )
    return UnloadOrder(surplus[0]) if surplus else None


def may_unload(
    load: ModelLoad,
    entries: Iterable[ModelEntry],
    placement: Placement,
    remaining: Mapping[str, EngineState],
) -> bool:
    """Return whether all entries of a model stay served after an unload.

    Args:
        load: the model to unload.
        entries: model entries of the catalogue.
        placement: desired models by engine.
        remaining: states of the engines that respond and are not leaving,
            as they will be after this and all other unloads in progress.
    """
    return all(
        _served(required_load(entry), placement, remaining)
        for entry in entries
        if entry.model == load.model
    )


def required_load(entry: ModelEntry) -> ModelLoad:
    """Return the model, version and adapters that an entry needs."""
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
    """Return whether this system controls which models a server loads."""
    return server.managed and server.role == 'engine'


def _needs(entries: Iterable[object]) -> Iterator[_ReplicaNeed]:
    """Yield the replicas of each model version in each zone.

    Entries of the same version share replicas: the highest count of each
    zone applies, and all their adapters are loaded.
    """
    models = sorted(
        (entry for entry in entries if isinstance(entry, ModelEntry)),
        key=_entry_key,
    )
    for _key, group in itertools.groupby(models, key=_entry_key):
        same_version = list(group)
        load = functools.reduce(
            _with_adapters_of,
            map(required_load, same_version),
        )
        replicas = functools.reduce(
            operator.or_,
            (collections.Counter(entry.replicas) for entry in same_version),
        )
        yield from (
            _ReplicaNeed(load, zone, count) for zone, count in replicas.items()
        )


def _with_adapters_of(first: ModelLoad, second: ModelLoad) -> ModelLoad:
    return dataclasses.replace(
        first,
        adapters=first.adapters | second.adapters,
    )


def _models_per_engine(
    needs: Iterable[_ReplicaNeed],
    zone: str,
    engines: int,
) -> int:
    total = sum(
        min(need.replicas, engines) for need in needs if need.zone == zone
    )
    return math.ceil(total / max(1, engines))


def _place_replicas(
    need: _ReplicaNeed,
    candidates: list[str],
    placed: Mapping[str, set[ModelLoad]],
    share: int,
) -> int:
    """Place the replicas of one model in one zone.

    Engines with fewer than ``share`` models come first.

    Returns:
        The number of replicas that no engine is left for.
    """
    ranked = rank_names(need.load.model, candidates)
    ranked.sort(key=lambda engine_id: len(placed[engine_id]) >= share)
    chosen = ranked[: need.replicas]
    for chosen_id in chosen:
        placed[chosen_id].add(need.load)
    return need.replicas - len(chosen)


def _need_sort_key(need: _ReplicaNeed) -> tuple[str, str, str]:
    return (need.zone, *need.load.key)


def _load_sort_key(load: ModelLoad) -> tuple[str, str]:
    return load.key


def _entry_key(entry: ModelEntry) -> tuple[str, str]:
    return (entry.model, entry.version)
