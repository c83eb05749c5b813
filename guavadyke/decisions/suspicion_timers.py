"""Until when each suspected peer may still refute."""

from __future__ import annotations

import math

_SCALE = 10


class Suspicions:
    """Times at which suspects are taken for dead.

    Args:
        suspicion_s: seconds to refute in a fleet of up to ten hosts; it
            grows with the logarithm, as rumours take longer.
    """

    def __init__(self, suspicion_s: float) -> None:
        self._suspicion_s = suspicion_s
        self._until: dict[str, float] = {}

    def begin(self, host_id: str, now: float, hosts: int) -> None:
        """Suspect a peer from now on."""
        lasting_s = self._suspicion_s * math.log(max(_SCALE, hosts), _SCALE)
        self._until[host_id] = now + lasting_s

    def end(self, host_id: str) -> None:
        """Suspect the peer no longer."""
        self._until.pop(host_id, None)

    def expired(self, now: float) -> list[str]:
        """Return the peers that have not refuted in time."""
        return [
            host_id for host_id, until in self._until.items() if now >= until
        ]

    def postpone(self, pause_s: float) -> None:
        """Give all suspects more time, as after a pause of this host."""
        self._until = {
            host_id: until + pause_s for host_id, until in self._until.items()
        }
