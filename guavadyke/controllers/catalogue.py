"""Actor that holds the catalogue in force on this host and publishes it."""

from __future__ import annotations

import dataclasses
import functools
from collections.abc import Callable, Mapping
from typing import Any

from guavadyke.catalogue_objects import CatalogueObject
from guavadyke.controllers.actors import GuardedActor
from guavadyke.controllers.catalogue_snapshot import build_snapshot
from guavadyke.decisions.object_versions import (
    CatalogueMark,
    ObjectVersion,
    OfferResult,
    VersionedObjects,
)
from guavadyke.log import EventLogger
from guavadyke.part_health import PartHealth
from guavadyke.snapshots import CatalogueSnapshot, SnapshotCell


@dataclasses.dataclass(frozen=True)
class CatalogueState:
    """The catalogue in force and what its status and peer sync need.

    Args:
        snapshot: the catalogue as request threads read it.
        mark: total and digest of all versions, compared between hosts.
        digests: one digest of versions for each bucket of object names.
        objects: objects in force by name, including deleted ones.
        faults: by name, why the platform's copy of an object is not the
            one in force.
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
    """Copies of catalogue objects that may be newer than those in force.

    ``source`` is ``PLATFORM``, ``PEER``, ``EDIT`` or ``DISK``.
    """

    source: str
    objects: tuple[CatalogueObject, ...]


@dataclasses.dataclass(frozen=True)
class ObjectFault:
    """Reports that the platform's copy of an object can't come into force."""

    name: str
    reason: str


@dataclasses.dataclass(frozen=True)
class DifferingVersionsQuery:
    """Asks for the versions in the buckets whose digests differ from these."""

    digests: tuple[int, ...]


PLATFORM = 'platform'
PEER = 'peer'
EDIT = 'edit'
DISK = 'disk'


class CatalogueController(GuardedActor):
    """Owns the catalogue in force on this host.

    Of the copies of an object the one with the highest version is in
    force.

    Args:
        snapshot_cell: receives each new catalogue for the request threads.
        state: receives each new state, including versions and faults.
        logger: logs each object put in force and each fault.
        on_change: called with the copies that came into force.
    """

    def __init__(
        self,
        snapshot_cell: SnapshotCell[CatalogueSnapshot],
        state: SnapshotCell[CatalogueState],
        logger: EventLogger,
        on_change: Callable[[OfferedObjects], None],
    ) -> None:
        super().__init__(PartHealth('catalogue', logger))
        self._snapshot_cell = snapshot_cell
        self._state = state
        self._logger = logger
        self._on_change = on_change
        self._versions = VersionedObjects()
        self._faults: dict[str, str] = {}
        self._revision = 0

    def handle(self, message: Any) -> Any:
        """Handle a message; the type of the reply depends on the message."""
        return _handle(message, self)

    def apply_copies(self, offered: OfferedObjects) -> int:
        """Put the copies that are newer than those in force into force.

        Returns:
            The number of copies that were newer.
        """
        faults = dict(self._faults)
        newer = tuple(
            candidate
            for candidate in offered.objects
            if self._apply_copy(offered.source, candidate) is OfferResult.newer
        )
        if newer or faults != self._faults:
            self._publish()
        if newer:
            self._on_change(OfferedObjects(offered.source, newer))
        return len(newer)

    def report_fault(self, fault: ObjectFault) -> None:
        """Record and log a fault; the object in force stays as it is."""
        if self._faults.get(fault.name) == fault.reason:
            return
        self._faults[fault.name] = fault.reason
        self._logger.error(
            'catalogue_object_refused',
            name=fault.name,
            reason=fault.reason,
            in_force=self._versions.version(fault.name),
        )
        self._publish()

    def differing(
        self, query: DifferingVersionsQuery
    ) -> tuple[ObjectVersion, ...]:
        """Return the versions in the buckets that differ from a peer's."""
        return self._versions.differing(query.digests)

    def _apply_copy(
        self, source: str, candidate: CatalogueObject
    ) -> OfferResult:
        outcome = self._versions.store_if_newer(candidate)
        if outcome is OfferResult.older and source == PLATFORM:
            self.report_fault(
                ObjectFault(
                    candidate.name, f'older version {candidate.version}'
                ),
            )
            return outcome
        if source == PLATFORM:
            self._faults.pop(candidate.name, None)
        if outcome is OfferResult.newer:
            self._logger.info(
                'catalogue_in_force',
                name=candidate.name,
                version=candidate.version,
                source=source,
            )
        return outcome

    def _publish(self) -> None:
        self._revision += 1
        objects = dict(self._versions.objects)
        snapshot = build_snapshot(objects, self._revision)
        self._state.publish(
            CatalogueState(
                snapshot,
                self._versions.mark,
                self._versions.digests,
                objects,
                dict(self._faults),
            ),
        )
        self._snapshot_cell.publish(snapshot)


@functools.singledispatch
def _handle(message: object, controller: CatalogueController) -> Any:
    raise TypeError(f'unknown message {message!r}')


@_handle.register
def _handle_copies(
    message: OfferedObjects, controller: CatalogueController
) -> int:
    return controller.apply_copies(message)


@_handle.register
def _handle_fault(
    message: ObjectFault,
    controller: CatalogueController,
) -> None:
    controller.report_fault(message)


@_handle.register
def _handle_differing(
    message: DifferingVersionsQuery,
    controller: CatalogueController,
) -> tuple[ObjectVersion, ...]:
    return controller.differing(message)
