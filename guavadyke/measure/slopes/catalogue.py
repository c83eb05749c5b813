"""Memory and CPU cost of the catalogue on one host, by number of objects."""

from __future__ import annotations

import hashlib
import itertools
import random

from guavadyke.catalogue import (
    BackendServerEntry,
    CatalogueEntry,
    ModelEntry,
    OwnerEntry,
)
from guavadyke.catalogue_objects import (
    CatalogueObject,
    decode_object,
    encode_object,
)
from guavadyke.controllers.catalogue import (
    PLATFORM,
    CatalogueController,
    CatalogueState,
    OfferedObjects,
)
from guavadyke.log import EventLogger
from guavadyke.measure.slopes.costs import allocated_bytes, cpu_us
from guavadyke.snapshots import CatalogueSnapshot, SnapshotCell

SIZES = (500, 1000, 2000, 4000)
MODELS = 11
ZONES = 6
_SLOTS = 8
_EDITS = 20
_ENGINE_SHARE = 0.4


def objects(count: int) -> tuple[CatalogueObject, ...]:
    """Return engines, models and owners in about a large fleet's mix."""
    engines = round(count * _ENGINE_SHARE)
    entries: itertools.chain[tuple[str, CatalogueEntry]] = itertools.chain(
        ((f'model-{number}', _model(number)) for number in range(MODELS)),
        ((f'engine-{number}', engine(number)) for number in range(engines)),
        (
            (f'owner-{number}', _owner(number))
            for number in range(max(0, count - engines - MODELS))
        ),
    )
    return tuple(CatalogueObject(name, 1, entry) for name, entry in entries)


def engine(number: int) -> BackendServerEntry:
    """Return an engine; zone and model follow round-robin from the number."""
    return BackendServerEntry(
        zone=f'zone-{number % ZONES}',
        address=f'10.1.{number // 250}.{number % 250 + 1}:8000',
        serves=(f'model-{number // ZONES % MODELS}',),
        slots=_SLOTS,
    )


def state_bytes(count: int, seed: int) -> float:
    """Return the bytes of memory of the active catalogue and its snapshot."""
    bodies = [
        (catalogue_object.name, encode_object(catalogue_object))
        for catalogue_object in objects(count)
    ]

    def build() -> CatalogueController:
        controller = _new_controller()
        decoded = tuple(itertools.starmap(decode_object, bodies))
        controller.apply_copies(OfferedObjects(PLATFORM, decoded))
        return controller

    return allocated_bytes(build)


def edit_us(count: int, seed: int) -> float:
    """Return the CPU time to apply one edit, in us."""
    rng = random.Random(seed)
    stored_objects = objects(count)
    controller = _new_controller()
    controller.apply_copies(OfferedObjects(PLATFORM, stored_objects))
    versions = itertools.count(2)

    def edit() -> None:
        catalogue_object = rng.choice(stored_objects)
        newer = CatalogueObject(
            catalogue_object.name, next(versions), catalogue_object.entry
        )
        decoded = decode_object(catalogue_object.name, encode_object(newer))
        controller.apply_copies(OfferedObjects(PLATFORM, (decoded,)))

    return cpu_us(edit, _EDITS)


def snapshot(count: int) -> CatalogueSnapshot:
    """Return the catalogue snapshot that request threads read."""
    cell = SnapshotCell(CatalogueSnapshot())
    _new_controller(cell).apply_copies(OfferedObjects(PLATFORM, objects(count)))
    return cell.current


def _new_controller(
    cell: SnapshotCell[CatalogueSnapshot] | None = None,
) -> CatalogueController:
    return CatalogueController(
        cell or SnapshotCell(CatalogueSnapshot()),
        SnapshotCell(CatalogueState()),
        EventLogger(),
        _ignore,
    )


def _ignore(_offered: OfferedObjects) -> None:
    """Ignore the objects."""


def _model(number: int) -> ModelEntry:
    return ModelEntry(owner=f'owner-{number}', model=f'small-{number}')


def _owner(number: int) -> OwnerEntry:
    digest = hashlib.sha256(str(number).encode()).hexdigest()
    return OwnerEntry(key_hashes=(digest,))
