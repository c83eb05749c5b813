"""Applies limits of servers from the platform."""

from __future__ import annotations

import threading

from guavadyke import server_limit_documents as documents
from guavadyke.adapters.ports import StoredObject
from guavadyke.controllers.mirror import MirrorSink
from guavadyke.controllers.server_limits import ServerLimits
from guavadyke.errors import GuavadykeError
from guavadyke.log import EventLogger


class ServerLimitSink(MirrorSink):
    """Passes the limits that hosts have told to this host. Thread-safe.

    Args:
        limits: gets the limits.
        logger: logs objects that hold no limit.
    """

    def __init__(self, limits: ServerLimits, logger: EventLogger) -> None:
        self._limits = limits
        self._logger = logger
        self._lock = threading.Lock()
        self._stored: dict[str, StoredObject] = {}
        self._dates: dict[str, float] = {}

    def stored(self, server_id: str) -> StoredObject | None:
        """Return the object of a server's limit, None if there is none."""
        with self._lock:
            return self._stored.get(server_id)

    def written_before(self, wall: float) -> tuple[StoredObject, ...]:
        """Return the objects that are older.

        Args:
            wall: seconds since the epoch.
        """
        with self._lock:
            return tuple(
                self._stored[name]
                for name, at in self._dates.items()
                if at < wall
            )

    def replace(
        self,
        objects: tuple[StoredObject, ...],
        *,
        after_outage: bool,
    ) -> None:
        """Apply a full list; limits that are missing have ended."""
        with self._lock:
            gone = self._stored.keys() - {one.name for one in objects}
        for name in gone:
            self.remove(name)
        for stored in objects:
            self.put(stored)

    def put(self, stored: StoredObject) -> None:
        """Apply a limit."""
        try:
            limit, at = documents.decode_limit(stored.name, stored.body)
        except GuavadykeError as error:
            self._logger.warning(
                'server_limit_unusable',
                name=stored.name,
                revision=stored.version,
                reason=error.message,
            )
            return
        with self._lock:
            self._stored[stored.name] = stored
            self._dates[stored.name] = at
        self._limits.apply(limit)

    def remove(self, name: str) -> None:
        """End a limit."""
        with self._lock:
            self._stored.pop(name, None)
            self._dates.pop(name, None)
        self._limits.withdraw(name)
