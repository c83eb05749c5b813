"""When backend servers were last heard, by the calls of one host."""

from __future__ import annotations

from collections.abc import Collection

# A server that was heard longer ago tells nothing of now.
_REMEMBERED_S = 10.0


class ServerActivity:
    """Tells a server that alone is silent from a service that pauses.

    Times are in seconds of the monotonic clock. Records may come from any
    thread.
    """

    def __init__(self) -> None:
        self._heard_at: dict[str, float] = {}

    def heard(self, server_id: str, now: float) -> None:
        """Record that a server has sent a part of an answer."""
        if server_id not in self._heard_at:
            self._forget_older(now - _REMEMBERED_S)
        self._heard_at[server_id] = now

    def all_silent(
        self, server_ids: Collection[str], since: float, now: float
    ) -> bool:
        """Return whether servers that work are all silent.

        Args:
            server_ids: servers that work on calls of this host.
            since: time from which none of them has been heard.
            now: current time.

        Returns:
            False if none of them has been heard before, too: then nothing
            tells whether they should have been.
        """
        heard_at = [
            at
            for name, at in tuple(self._heard_at.items())
            if name in server_ids and now - at <= _REMEMBERED_S
        ]
        return bool(heard_at) and max(heard_at) < since

    def _forget_older(self, limit: float) -> None:
        self._heard_at = {
            name: at
            for name, at in tuple(self._heard_at.items())
            if at >= limit
        }
