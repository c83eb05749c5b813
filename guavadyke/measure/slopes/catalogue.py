"""Cost of the catalogue on one host, by the number of its objects."""

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
from guavadyke.measure.slopes.costs import allocated_bytes, processor_us
from guavadyke.snapshots import CatalogueSnapshot, SnapshotCell

SIZES = (500, 1000, 2000, 4000)
MODELS = 11
ZONES = 6
_SLOTS = 8
_EDITS = 20
_ENGINE_SHARE = 0.4


def objects(count: int) -> tuple[CatalogueObject, ...]:
    """Return objects in about the mix of a large fleet."""
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
    """Return an engine; they take turns over zones and models."""
    return BackendServerEntry(
        zone=f'zone-{number % ZONES}',
        address=f'10.1.{number // 250}.{number % 250 + 1}:8000',
        serves=(f'model-{number // ZONES % MODELS}',),
        slots=_SLOTS,
    )


def state_bytes(count: int, seed: int) -> float:
    """Return the memory of the catalogue in force and its snapshot."""
    bodies = [(one.name, encode_object(one)) for one in objects(count)]

    def build() -> CatalogueController:
        controller = _controller()
        decoded = tuple(itertools.starmap(decode_object, bodies))
        controller.take(OfferedObjects(PLATFORM, decoded))
        return controller

    return allocated_bytes(build)


def edit_us(count: int, seed: int) -> float:
    """Return microseconds of processor time to put one edit in force."""
    rng = random.Random(seed)
    known = objects(count)
    controller = _controller()
    controller.take(OfferedObjects(PLATFORM, known))
    versions = itertools.count(2)

    def edit() -> None:
        one = rng.choice(known)
        newer = CatalogueObject(one.name, next(versions), one.entry)
        decoded = decode_object(one.name, encode_object(newer))
        controller.take(OfferedObjects(PLATFORM, (decoded,)))

    return processor_us(edit, _EDITS)


def snapshot(count: int) -> CatalogueSnapshot:
    """Return the snapshot that request threads read."""
    cell = SnapshotCell(CatalogueSnapshot())
    _controller(cell).take(OfferedObjects(PLATFORM, objects(count)))
    return cell.current


def _controller(
    cell: SnapshotCell[CatalogueSnapshot] | None = None,
) -> CatalogueController:
    return CatalogueController(
        cell or SnapshotCell(CatalogueSnapshot()),
        SnapshotCell(CatalogueState()),
        EventLogger(),
        _ignore,
    )


def _ignore(_offered: OfferedObjects) -> None:
    """Take no note."""


def _model(number: int) -> ModelEntry:
    return ModelEntry(owner=f'owner-{number}', model=f'small-{number}')


def _owner(number: int) -> OwnerEntry:
    digest = hashlib.sha256(str(number).encode()).hexdigest()
    return OwnerEntry(key_hashes=(digest,))
