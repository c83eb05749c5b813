"""State that a server pool shares with its parts."""

from __future__ import annotations

import dataclasses
import threading
from collections.abc import Callable, Sequence

from guavadyke.adapters.ports import Clock
from guavadyke.controllers.placement import Placement
from guavadyke.decisions.load_balancing import LoadBalancer
from guavadyke.decisions.requests_in_flight import RequestsInFlight
from guavadyke.decisions.server_registry import ListedServer


@dataclasses.dataclass(frozen=True)
class PoolParts:
    """What a server pool shares with its parts.

    ``lock`` guards ``table``, ``placement`` and ``in_flight``. ``servers``
    returns the servers of a service at a time of the monotonic clock; the lock
    has to be held.
    """

    lock: threading.Lock
    table: LoadBalancer
    servers: Callable[[str, float], Sequence[ListedServer]]
    clock: Clock
    placement: Placement
    in_flight: RequestsInFlight = dataclasses.field(
        default_factory=RequestsInFlight,
    )
