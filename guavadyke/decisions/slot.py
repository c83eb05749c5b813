"""A slot of a backend server, and the host that uses it."""

from __future__ import annotations

import dataclasses

from guavadyke.adapters.cancellation import CallCancellation
from guavadyke.decisions.routing import ServerView


@dataclasses.dataclass(eq=False)
class Slot:
    """A slot of a backend server, held until it is released.

    ``cancellation`` ends the call that uses it; ``preempted`` says that
    online requests needed the slot of a batch item; ``kept`` that the item
    is not to be preempted, since it may not run twice.
    """

    view: ServerView
    entry_name: str
    taken_at: float
    batch: bool = False
    kept: bool = False
    preempted: bool = False
    cancellation: CallCancellation = dataclasses.field(
        default_factory=CallCancellation,
    )


@dataclasses.dataclass(frozen=True)
class HostLocation:
    """Which host this is, and where."""

    host_id: str
    zone: str
