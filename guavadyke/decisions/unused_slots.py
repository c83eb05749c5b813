"""Free slots of servers that no host takes.

Answers a host that comes first in the order of due jobs and whose items cannot
start, as they are of another service or wait for the platform.
"""

from __future__ import annotations

import random
from collections.abc import Collection

from guavadyke.decisions.rendezvous_hashing import place

# Longer than the host that a free slot is for needs to learn of it.
_UNUSED_AFTER_S = 0.5
# Hosts that wait for the same slots take one after the other at this distance,
# so that each knows of the items before its own.
_SPACING_S = 0.25
# A server that was not looked at for this time may have been full in between.
_LONGEST_GAP_S = 0.5


class UnusedSlots:
    """Tracks since when servers have had free slots. Not safe for threads.

    All times are in seconds of the monotonic clock.

    Args:
        host_id: the id of this host.
        rng: chooses among several servers.
    """

    def __init__(self, host_id: str, rng: random.Random) -> None:
        self._host_id = host_id
        self._rng = rng
        self._since: dict[str, float] = {}
        self._looked_at: dict[str, float] = {}

    def update(
        self, looked_at: Collection[str], free: Collection[str], now: float
    ) -> None:
        """Record which servers have a free slot now.

        Args:
            looked_at: ids of the servers that may be used.
            free: ids of those with a free slot.
            now: current time.
        """
        for server_id in looked_at:
            gap_s = now - self._looked_at.get(server_id, now)
            if gap_s > _LONGEST_GAP_S or server_id not in free:
                self._since.pop(server_id, None)
            if server_id in free:
                self._since.setdefault(server_id, now)
            self._looked_at[server_id] = now

    def take(
        self, free: Collection[str], waiting: Collection[str], now: float
    ) -> str:
        """Return a server whose slot this host takes out of turn.

        Args:
            free: ids of the servers with a free slot.
            waiting: ids of the hosts whose items wait.
            now: current time.

        Returns:
            The server's id, empty if no slot has been unused for long enough.
        """
        turns = {name: place(name, self._host_id, waiting) for name in free}
        unused = [
            name
            for name, turn in turns.items()
            if now - self._since.get(name, now)
            >= _UNUSED_AFTER_S + _SPACING_S * turn
        ]
        if not unused:
            return ''
        chosen = self._rng.choice(unused)
        # All other hosts have their turns before the next one of this host.
        others = len({*waiting, self._host_id}) - turns[chosen]
        self._since[chosen] = now + _SPACING_S * others
        return chosen
