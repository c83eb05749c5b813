"""Applies route table updates from the platform."""

from __future__ import annotations

from collections.abc import Callable

from guavadyke.adapters.ports import StoredObject
from guavadyke.controllers.mirror import MirrorSink
from guavadyke.decisions.forward_routes import RouteTable, newer_table
from guavadyke.log import EventLogger
from guavadyke.snapshots import SnapshotCell


class RouteTableSink(MirrorSink):
    """Publishes the newest route table; older versions are ignored.

    Args:
        decode: decodes a route table; None for an object that holds none.
        table: where the route table is published.
        logger: logs each version that comes into force or is ignored.
    """

    def __init__(
        self,
        decode: Callable[[StoredObject], RouteTable | None],
        table: SnapshotCell[RouteTable],
        logger: EventLogger,
    ) -> None:
        self._decode = decode
        self._table = table
        self._logger = logger

    def replace(
        self,
        objects: tuple[StoredObject, ...],
        *,
        after_outage: bool,
    ) -> None:
        """Apply the newest of the listed route tables."""
        for stored in objects:
            self.put(stored)

    def put(self, stored: StoredObject) -> None:
        """Apply a route table if it is newer than the current one."""
        offered = self._decode(stored)
        if offered is None:
            return
        current = self._table.current
        newest = newer_table(current, offered)
        if newest is current:
            self._logger.info(
                'routes_not_newer',
                version=offered.version,
                in_force=current.version,
            )
            return
        self._table.publish(newest)
        self._logger.info(
            'routes_in_force',
            version=newest.version,
            before=current.version,
            routes=len(newest.routes),
            revision=stored.version,
        )

    def remove(self, name: str) -> None:
        """Keep the current route table when its object is removed."""
        self._logger.warning('routes_removed_on_platform', name=name)
