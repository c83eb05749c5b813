"""Registry of backend servers that survives outages of the platform."""

from __future__ import annotations

import dataclasses
from collections.abc import Collection, Iterable, Sequence

from guavadyke.decisions.remaining_work import PlacedRequest

# Time in which servers whose entries expired during an outage of the platform
# register again; stated in the users' operations pages.
REREGISTRATION_S = 2.0
# How long a server counts as leaving because it has said so. Its entry follows
# within seconds; one that stays is taken for usable again.
_SAID_LEAVING_S = 120.0


@dataclasses.dataclass(frozen=True)
class ListedServer:
    """A registered backend server.

    ``slots`` is the number of requests it runs at once. A server that is
    ``leaving`` gets no new work. ``born_ms`` is the incarnation: the
    server's start in milliseconds since the epoch, 0 if unknown. ``software``
    is the version of its software; what two versions write does not fit
    together.
    """

    server_id: str
    service: str
    address: str
    zone: str
    slots: int
    leaving: bool = False
    born_ms: int = 0
    software: str = ''

    @property
    def incarnation(self) -> str:
        """Id and start of the server; new whenever it starts again."""
        return incarnation_of(self.server_id, self.born_ms)


@dataclasses.dataclass(frozen=True)
class ServerLease:
    """A server slot assigned to one request of this host.

    ``batch`` tells a batch item from an online request; ``taken_at`` is in
    monotonic seconds. ``online_before`` and ``batch_before`` are the requests
    that the server had from all hosts, as far as known. ``placed`` observes the
    request, None where nothing is learned.
    """

    server: ListedServer
    batch: bool
    taken_at: float
    online_before: int = 0
    batch_before: int = 0
    placed: PlacedRequest | None = dataclasses.field(
        default=None, compare=False
    )


class ServerRegistry:
    """The registered servers.

    An entry that is missing from the first list after an outage may only
    have expired during it, so it is kept for ``REREGISTRATION_S`` more.
    """

    def __init__(self) -> None:
        self._servers: dict[str, ListedServer] = {}
        self._keep_until: dict[str, float] = {}
        # By incarnation, until when servers count as leaving.
        self._leaving_until: dict[str, float] = {}

    def say_leaving(self, incarnation: str, now: float) -> bool:
        """Record that a server has said in an answer that it leaves.

        Args:
            incarnation: the server and its start.
            now: seconds of the monotonic clock.

        Returns:
            Whether it had not said so before.
        """
        is_new = self._leaving_until.get(incarnation, 0) <= now
        self._leaving_until[incarnation] = now + _SAID_LEAVING_S
        return is_new

    def update(self, server: ListedServer) -> None:
        """Add or update an entry."""
        self._servers[server.server_id] = server
        self._keep_until.pop(server.server_id, None)

    def remove(self, server_id: str) -> None:
        """Remove an entry if it exists."""
        self._servers.pop(server_id, None)
        self._keep_until.pop(server_id, None)

    def replace(
        self,
        servers: Iterable[ListedServer],
        now: float,
        *,
        after_outage: bool,
    ) -> None:
        """Replace all entries by a full list.

        Args:
            servers: all servers that the platform lists.
            now: seconds of the monotonic clock.
            after_outage: whether this is the first list after an outage of
                the platform; missing entries are then kept for a while.
        """
        listed = {server.server_id: server for server in servers}
        gone = self._servers.keys() - listed.keys()
        if after_outage:
            listed.update({name: self._servers[name] for name in gone})
        self._keep_until = {
            name: self._keep_until.get(name, now + REREGISTRATION_S)
            for name in gone
            if after_outage
        }
        self._servers = listed

    def current(self, now: float) -> tuple[ListedServer, ...]:
        """Return the servers, removing those missing for too long."""
        for name in self._overdue(now):
            self.remove(name)
        self._leaving_until = {
            incarnation: until
            for incarnation, until in self._leaving_until.items()
            if until > now
        }
        return tuple(map(self._as_it_said, self._servers.values()))

    def next_change_at(self) -> float | None:
        """Return when the servers change by themselves; None for never."""
        times = (*self._keep_until.values(), *self._leaving_until.values())
        return min(times, default=None)

    def _as_it_said(self, server: ListedServer) -> ListedServer:
        if server.leaving or server.incarnation not in self._leaving_until:
            return server
        return dataclasses.replace(server, leaving=True)

    def _overdue(self, now: float) -> Collection[str]:
        return [
            name for name, until in self._keep_until.items() if until <= now
        ]


def incarnation_of(server_id: str, born_ms: int) -> str:
    """Return what identifies one start of a server."""
    return f'{server_id}/{born_ms}'


def that_may_resume(
    servers: Sequence[ListedServer],
    software: str | None,
    excluded: frozenset[str],
) -> Sequence[ListedServer]:
    """Return the servers at which a stream may go on.

    Args:
        servers: the servers of its service.
        software: the version that has begun it, None for a new stream, which
            may begin at all servers.
        excluded: ids of servers that are not to be tried. They are left out
            here, so that a failing server is tried before a stream is cut.
    """
    if software is None:
        return servers
    return [
        server
        for server in servers
        if server.software == software and server.server_id not in excluded
    ]
