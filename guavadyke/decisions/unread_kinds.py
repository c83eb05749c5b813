"""Which kinds of platform objects a host must read before it starts items.

A host follows each kind on its own. One that has read the jobs but not their
progress takes a job that has ended for one that is open; the same holds for
every kind that can take away the right to start an item. The load that this
addresses is a restart, or the end of an outage, with jobs that were cancelled
or moved meanwhile.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterable, Sequence

# Items may start on a kind of this age while it is listed again, if it has no
# bound. It is the default of the time in which a cancelled job has to stop
# (``job_end_s``), and longer than the delays between the lists of a host that
# cannot watch.
_OUTDATED_S = 3.0


@dataclasses.dataclass(frozen=True)
class KindState:
    """What a host knows of one kind; times are in seconds.

    ``age_s`` is the age of the state that it knows, infinity before the first
    list. ``unread_s`` is how long a full list has been due, None while a watch
    follows the kind. ``reached_s`` is the time since the platform answered a
    call on the kind, infinity if it never has. Users of the kind rely on
    knowing what was there ``bound_s`` ago, infinity for no bound. Items wait
    for a list that fails for ``longest_unread_s`` at most.
    """

    kind: str
    age_s: float
    unread_s: float | None
    reached_s: float
    bound_s: float
    longest_unread_s: float


def awaited_kinds(states: Sequence[KindState]) -> tuple[str, ...]:
    """Return the kinds without which no item may start now.

    Once listed, a kind is not awaited while the platform answers no call on
    any kind: what is known then counts as it is.

    Args:
        states: the state of each kind that the host follows.
    """
    return tuple(state.kind for state in states if _is_awaited(state, states))


def _is_awaited(state: KindState, states: Iterable[KindState]) -> bool:
    unread_s = state.unread_s
    if unread_s is None or unread_s > state.longest_unread_s:
        return False
    if math.isinf(state.reached_s):
        return True
    outdated_s = _OUTDATED_S if math.isinf(state.bound_s) else state.bound_s
    is_platform_back = any(other.reached_s < unread_s for other in states)
    return is_platform_back and state.age_s > outdated_s
