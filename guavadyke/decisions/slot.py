"""Values that describe a server's slot in use and the host's location."""

from __future__ import annotations

import dataclasses

from guavadyke.adapters.cancellation import CallCancellation
from guavadyke.decisions.routing import ServerView


@dataclasses.dataclass(eq=False)
class Slot:
    """A slot of a backend server, in use by one request until released.

    ``taken_at`` is in seconds of the monotonic clock; ``batch`` marks the
    slot of a batch item. ``preempted`` is set when online requests need
    the slot of a batch item; ``non_preemptible`` marks an item that must
    not be preempted, as it may not run twice. ``cancellation`` aborts the
    call that uses the slot.
    """

    view: ServerView
    entry_name: str
    taken_at: float
    batch: bool = False
    non_preemptible: bool = False
    preempted: bool = False
    cancellation: CallCancellation = dataclasses.field(
        default_factory=CallCancellation,
    )


@dataclasses.dataclass(frozen=True)
class HostLocation:
    """Id and availability zone of this host."""

    host_id: str
    zone: str
