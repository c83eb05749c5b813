"""Timers of suspected peers, which may refute until their timer ends."""

from __future__ import annotations

import math

_BASE_FLEET_SIZE = 10


class SuspicionTimers:
    """Times at which suspected peers are declared dead.

    Args:
        suspicion_s: seconds to refute in a fleet of up to ten hosts. It
            grows with the logarithm of the fleet size, as gossip then
            takes longer to arrive.
    """

    def __init__(self, suspicion_s: float) -> None:
        self._suspicion_s = suspicion_s
        self._until: dict[str, float] = {}

    def start(self, host_id: str, now: float, hosts: int) -> None:
        """Start the timer of a peer; ``hosts`` is the size of the fleet."""
        duration_s = self._suspicion_s * math.log(
            max(_BASE_FLEET_SIZE, hosts), _BASE_FLEET_SIZE
        )
        self._until[host_id] = now + duration_s

    def cancel(self, host_id: str) -> None:
        """Stop the timer of a peer, if there is one."""
        self._until.pop(host_id, None)

    def expired(self, now: float) -> list[str]:
        """Return the ids of peers whose timer has ended."""
        return [
            host_id for host_id, until in self._until.items() if now >= until
        ]

    def postpone(self, pause_s: float) -> None:
        """Extend all timers, as after a pause of this host."""
        self._until = {
            host_id: until + pause_s for host_id, until in self._until.items()
        }
