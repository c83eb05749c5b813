"""Recent peaks of the online load, which batch items leave room for.

Answers a load that swings within seconds: batch items that fill the troughs
would have to be preempted at every rise, while the callers wait for it.
"""

from __future__ import annotations

import collections
from collections.abc import Callable, Sequence

from guavadyke.decisions.server_registry import ListedServer

# Peaks are remembered for this time, so that a load that rises every few
# seconds finds free slots. Later than that, batch items use them.
_WINDOW_S = 15.0
_SAMPLE_INTERVAL_S = 0.25
# Slots of each server that batch items always leave free for new requests.
# When more arrive, batch items are preempted.
_RESERVED_SLOTS = 1


def reserved_slots(server: ListedServer) -> int:
    """Return the slots that batch items always leave free; one is left."""
    return min(_RESERVED_SLOTS, server.slots - 1)


class OnlinePeaks:
    """Highest share of the slots of a service that online requests used.

    All times are in seconds of the monotonic clock.
    """

    def __init__(self) -> None:
        self._samples: dict[str, collections.deque[tuple[float, float]]] = (
            collections.defaultdict(collections.deque)
        )

    def sample(
        self,
        servers: Sequence[ListedServer],
        online: Callable[[str], int],
        now: float,
    ) -> None:
        """Sample the load of the servers of one service, if that is due.

        Args:
            servers: all servers of the service, at least one.
            online: returns the online requests at a server by its id.
            now: current time.
        """
        samples = self._samples[servers[0].service]
        if samples and now - samples[-1][0] < _SAMPLE_INTERVAL_S:
            return
        slots = sum(server.slots for server in servers)
        if not slots:
            return
        used = sum(
            min(server.slots, online(server.server_id)) for server in servers
        )
        samples.append((now, used / slots))
        while now - samples[0][0] > _WINDOW_S:
            samples.popleft()

    def batch_limit(self, server: ListedServer, now: float) -> int:
        """Return the batch items at a server that leave room for a peak.

        It is at least one, so that batch items go on under any load.
        """
        peak = max(
            (
                share
                for at, share in self._samples[server.service]
                if now - at <= _WINDOW_S
            ),
            default=0,
        )
        kept = max(reserved_slots(server), round(peak * server.slots))
        return max(1, server.slots - kept)
