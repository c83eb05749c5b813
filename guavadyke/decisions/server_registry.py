"""Backend servers as the platform lists them, across its outages."""

from __future__ import annotations

import dataclasses
from collections.abc import Collection, Iterable

# Seconds in which entries that lapsed during an outage of the platform are
# written again; from the users' operations pages.
RETURN_S = 2.0


@dataclasses.dataclass(frozen=True)
class ListedServer:
    """A backend server; ``leaving`` ones get no new work."""

    server_id: str
    service: str
    address: str
    zone: str
    slots: int
    leaving: bool = False
    born_ms: int = 0


@dataclasses.dataclass(frozen=True)
class ServerLease:
    """A place at a server that a request of this host has taken.

    ``taken_at`` is seconds of the monotonic clock.
    """

    server: ListedServer
    batch: bool
    taken_at: float


class ServerRegistry:
    """The servers that may get work.

    An entry that is missing from the first list after an outage may have
    lapsed meanwhile; it is kept until ``RETURN_S`` after that list.
    """

    def __init__(self) -> None:
        self._servers: dict[str, ListedServer] = {}
        self._missing: dict[str, float] = {}

    def put(self, server: ListedServer) -> None:
        """Take an entry that was written."""
        self._servers[server.server_id] = server
        self._missing.pop(server.server_id, None)

    def remove(self, server_id: str) -> None:
        """Take the removal of an entry."""
        self._servers.pop(server_id, None)
        self._missing.pop(server_id, None)

    def replace(
        self,
        servers: Iterable[ListedServer],
        now: float,
        *,
        after_outage: bool,
    ) -> None:
        """Take a full list."""
        listed = {server.server_id: server for server in servers}
        gone = self._servers.keys() - listed.keys()
        if after_outage:
            listed.update({name: self._servers[name] for name in gone})
        self._missing = {
            name: self._missing.get(name, now + RETURN_S)
            for name in gone
            if after_outage
        }
        self._servers = listed

    def current(self, now: float) -> tuple[ListedServer, ...]:
        """Return the servers, without those missing for too long."""
        for name in self._overdue(now):
            self.remove(name)
        return tuple(self._servers.values())

    def due(self) -> float | None:
        """Return when a missing entry is to be given up, if there is one."""
        return min(self._missing.values(), default=None)

    def _overdue(self, now: float) -> Collection[str]:
        return [name for name, until in self._missing.items() if until <= now]
