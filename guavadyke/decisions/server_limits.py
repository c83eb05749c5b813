"""Limits of requests that backend servers name in their answers."""

from __future__ import annotations

import dataclasses

from guavadyke.decisions.server_registry import ListedServer

# A limit that changes by less is not told to other hosts, as it may change
# with each answer.
_SAME_SHARE = 0.2


@dataclasses.dataclass(frozen=True)
class ServerLimit:
    """How many requests a second a server takes from all hosts together.

    ``born_ms`` is the server's start; its next one begins without a limit.
    """

    server_id: str
    born_ms: int
    per_s: float

    def is_of(self, server: ListedServer) -> bool:
        """Return whether this start of a server has named the limit."""
        return (server.server_id, server.born_ms) == (
            self.server_id,
            self.born_ms,
        )

    def is_like(self, other: ServerLimit | None) -> bool:
        """Return whether another limit is nearly the same."""
        return (
            other is not None
            and other.server_id == self.server_id
            and other.born_ms == self.born_ms
            and abs(other.per_s - self.per_s) <= _SAME_SHARE * self.per_s
        )


class KnownLimits:
    """The limits that servers have named. Not safe for threads.

    All times are in seconds of the monotonic clock.
    """

    def __init__(self) -> None:
        self._limits: dict[str, ServerLimit] = {}
        self._named_at: dict[str, float] = {}

    def __bool__(self) -> bool:
        """Return whether any server has a limit."""
        return bool(self._limits)

    def find(self, server_id: str) -> ServerLimit | None:
        """Return the limit of a server by its id, whatever its start."""
        return self._limits.get(server_id)

    def limit_of(self, server: ListedServer) -> ServerLimit | None:
        """Return the limit of a server, None if it has none."""
        found = self._limits.get(server.server_id)
        return found if found is not None and found.is_of(server) else None

    def name(self, limit: ServerLimit, now: float) -> None:
        """Record that a server has named a limit."""
        self._limits[limit.server_id] = limit
        self._named_at[limit.server_id] = now

    def name_none(self, server: ListedServer, sent_at: float) -> bool:
        """Record an answer in which a server names no limit.

        Args:
            server: the server.
            sent_at: when the request was sent. An older request than the last
                that named a limit says nothing.

        Returns:
            Whether this ends a limit.
        """
        is_older = sent_at < self._named_at.get(server.server_id, 0)
        if is_older or self.limit_of(server) is None:
            return False
        self.remove(server.server_id)
        return True

    def remove(self, server_id: str) -> None:
        """Forget the limit of a server."""
        self._limits.pop(server_id, None)
        self._named_at.pop(server_id, None)
