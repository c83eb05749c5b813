"""The routes in force on this host."""

from __future__ import annotations

from collections.abc import Callable

from guavadyke.adapters.ports import StoredObject
from guavadyke.controllers.mirror import MirrorSink
from guavadyke.decisions.forward_routes import RouteTable, newer
from guavadyke.log import EventLogger
from guavadyke.snapshots import SnapshotCell


class RouteTableSink(MirrorSink):
    """Publishes the newest routes; an older version is never taken.

    Args:
        decode: reads the routes; None for an object that holds none.
        table: gets the routes.
        logger: told of each version that comes into force.
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
        """Take a full list."""
        for stored in objects:
            self.put(stored)

    def put(self, stored: StoredObject) -> None:
        """Take an object that was written."""
        offered = self._decode(stored)
        if offered is None:
            return
        current = self._table.current
        chosen = newer(current, offered)
        if chosen is current:
            self._logger.info(
                'routes_not_newer',
                version=offered.version,
                in_force=current.version,
            )
            return
        self._table.publish(chosen)
        self._logger.info(
            'routes_in_force',
            version=chosen.version,
            before=current.version,
            routes=len(chosen.routes),
            revision=stored.version,
        )

    def remove(self, name: str) -> None:
        """Keep what is in force when its object is removed."""
        self._logger.warning('routes_removed_on_platform', name=name)
