"""What a request finds beside the server that it is at."""

from __future__ import annotations

from guavadyke.controllers.pool_parts import PoolParts
from guavadyke.decisions.server_activity import ServerActivity
from guavadyke.decisions.server_registry import that_may_resume


class OtherServers:
    """Tells whether a request gains anything by leaving its server.

    Thread-safe.

    Args:
        parts: state shared with the server pool.
    """

    def __init__(self, parts: PoolParts) -> None:
        self._parts = parts
        self._activity = ServerActivity()

    def heard(self, server_id: str) -> None:
        """Record that a server has sent a part of an answer."""
        self._activity.heard(server_id, self._parts.clock.monotonic())

    def all_silent(self, server_id: str, silence_s: float) -> bool:
        """Return whether all other servers with calls are silent as well.

        Args:
            server_id: the server that has been silent.
            silence_s: seconds in which none of the others has been heard.
        """
        now = self._parts.clock.monotonic()
        with self._parts.lock:
            table = self._parts.table
            busy = table.own_online.keys() | table.own_batch.keys()
        return self._activity.all_silent(
            busy - {server_id}, now - silence_s, now
        )

    def has_any(
        self, service: str, excluded: frozenset[str], software: str | None
    ) -> bool:
        """Return whether a request may go to any server but the excluded.

        Args:
            service: the service that has to serve the request.
            excluded: ids of servers not to use.
            software: the only software version to use, None for any.
        """
        with self._parts.lock:
            listed = self._parts.servers(service, self._parts.clock.monotonic())
        return any(
            server.server_id not in excluded and not server.leaving
            for server in that_may_resume(listed, software, excluded)
        )
