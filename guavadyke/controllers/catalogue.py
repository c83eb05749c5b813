"""Controller of the catalogue: owns what is in force and publishes it."""

from __future__ import annotations

import dataclasses
import functools
from collections.abc import Callable, Mapping
from typing import Any

import pykka

from guavadyke.catalogue_objects import CatalogueObject
from guavadyke.controllers.catalogue_snapshot import build_snapshot
from guavadyke.decisions.object_versions import (
    CatalogueMark,
    ObjectVersion,
    OfferResult,
    VersionedObjects,
)
from guavadyke.log import EventLogger
from guavadyke.snapshots import CatalogueSnapshot, SnapshotCell


@dataclasses.dataclass(frozen=True)
class CatalogueState:
    """The catalogue in force, with what hosts compare and what is wrong.

    ``faults`` gives the reason for each object whose copy on the platform
    is not the one in force.
    """

    snapshot: CatalogueSnapshot = dataclasses.field(
        default_factory=CatalogueSnapshot,
    )
    mark: CatalogueMark = dataclasses.field(default_factory=CatalogueMark)
    digests: tuple[int, ...] = ()
    objects: Mapping[str, CatalogueObject] = dataclasses.field(
        default_factory=dict,
    )
    faults: Mapping[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class OfferedObjects:
    """Copies of objects from the platform, a peer, the disk or an edit."""

    source: str
    objects: tuple[CatalogueObject, ...]


@dataclasses.dataclass(frozen=True)
class ObjectFault:
    """The platform's copy of an object cannot be put in force."""

    name: str
    reason: str


@dataclasses.dataclass(frozen=True)
class DifferingVersionsQuery:
    """Asks for the versions that differ from a peer's digests."""

    digests: tuple[int, ...]


PLATFORM = 'platform'
PEER = 'peer'
EDIT = 'edit'
DISK = 'disk'


class CatalogueController(pykka.ThreadingActor):
    """Owns the catalogue in force on this host.

    Args:
        cell: gets the catalogue that request threads read.
        state: gets all that is known of it.
        logger: gets a line for each object put in force and each fault.
        changed: called with the copies that have come in force.
    """

    use_daemon_thread = True

    def __init__(
        self,
        cell: SnapshotCell[CatalogueSnapshot],
        state: SnapshotCell[CatalogueState],
        logger: EventLogger,
        changed: Callable[[OfferedObjects], None],
    ) -> None:
        super().__init__()
        self._cell = cell
        self._state = state
        self._logger = logger
        self._changed = changed
        self._book = VersionedObjects()
        self._faults: dict[str, str] = {}
        self._revision = 0

    def on_receive(self, message: Any) -> Any:
        """Handle a message; the answer depends on its type."""
        return _handle(message, self)

    def take(self, offered: OfferedObjects) -> int:
        """Put newer copies in force.

        Returns:
            How many were newer.
        """
        faults = dict(self._faults)
        newer = tuple(
            one
            for one in offered.objects
            if self._take_one(offered.source, one) is OfferResult.newer
        )
        if newer or faults != self._faults:
            self._publish()
        if newer:
            self._changed(OfferedObjects(offered.source, newer))
        return len(newer)

    def note_fault(self, fault: ObjectFault) -> None:
        """Report an object whose last good copy stays in force."""
        if self._faults.get(fault.name) == fault.reason:
            return
        self._faults[fault.name] = fault.reason
        self._logger.error(
            'catalogue_object_refused',
            name=fault.name,
            reason=fault.reason,
            in_force=self._book.version(fault.name),
        )
        self._publish()

    def differing(
        self, query: DifferingVersionsQuery
    ) -> tuple[ObjectVersion, ...]:
        """Return the versions that differ from a peer's digests."""
        return self._book.differing(query.digests)

    def _take_one(self, source: str, one: CatalogueObject) -> OfferResult:
        outcome = self._book.offer(one)
        if outcome is OfferResult.older and source == PLATFORM:
            self.note_fault(
                ObjectFault(one.name, f'older version {one.version}'),
            )
            return outcome
        if source == PLATFORM:
            self._faults.pop(one.name, None)
        if outcome is OfferResult.newer:
            self._logger.info(
                'catalogue_in_force',
                name=one.name,
                version=one.version,
                source=source,
            )
        return outcome

    def _publish(self) -> None:
        self._revision += 1
        objects = dict(self._book.objects)
        snapshot = build_snapshot(objects, self._revision)
        self._state.publish(
            CatalogueState(
                snapshot,
                self._book.mark,
                self._book.digests,
                objects,
                dict(self._faults),
            ),
        )
        self._cell.publish(snapshot)


@functools.singledispatch
def _handle(message: object, controller: CatalogueController) -> Any:
    raise TypeError(f'unknown message {message!r}')


@_handle.register
def _handle_offered(
    message: OfferedObjects, controller: CatalogueController
) -> int:
    return controller.take(message)


@_handle.register
def _handle_fault(
    message: ObjectFault,
    controller: CatalogueController,
) -> None:
    controller.note_fault(message)


@_handle.register
def _handle_differing(
    message: DifferingVersionsQuery,
    controller: CatalogueController,
) -> tuple[ObjectVersion, ...]:
    return controller.differing(message)
