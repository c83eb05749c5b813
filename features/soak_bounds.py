"""When items are owed, by the fleet's bounds and the design of quarantines."""

from __future__ import annotations

import types
from collections.abc import Iterable

from features.soak_history import History, SoakItem, SoakJob

PART_PREFIX = 'part-'
LONG_PART_PREFIX = f'{PART_PREFIX}long-'
REQUEST_PREFIX = 'request-'
ITEM_PREFIX = 'item-'
# After all faults items have to be done within this time.
_FINISH_S = 18.0
# Items that failed at an engine within this time are not owed yet.
_FAILED_LATELY_S = 20.0
# Servers that have to end before a name in prompts is blamed.
MIN_CRASHES = 3
# Time from the last crash to the first trial; it doubles with each trial that
# crashes an engine.
_FIRST_TRIAL_S_BY_PREFIX = types.MappingProxyType({
    PART_PREFIX: 5.0,
    ITEM_PREFIX: 10.0,
    REQUEST_PREFIX: 600.0,
})
# An unspent claim of a trial lapses after 5 s; then an item may have to wait
# for 2 s and run.
_TRIED_S = 10.0
_EVENTS = 5


def item_text(item_id: str) -> str:
    """Return the whole text of an item."""
    return '\n'.join(f'{item_id} {number}' for number in range(1, _EVENTS + 1))


def trial_due_s(name: str, crashes_s: Iterable[float]) -> float | None:
    """Return when a name in prompts is tried, None if it need not be.

    Args:
        name: begins with what it is: a part, a request or an item.
        crashes_s: times at which engines have ended under it, ascending.
    """
    wait_s = next(
        first_s
        for prefix, first_s in _FIRST_TRIAL_S_BY_PREFIX.items()
        if name.startswith(prefix)
    )
    due_s: float | None = None
    for count, at_s in enumerate(crashes_s, start=1):
        if due_s is not None and at_s >= due_s:
            wait_s *= 2
        if count >= MIN_CRASHES:
            due_s = at_s + wait_s
    return due_s


def owed_at(history: History, job: SoakJob, entry: SoakItem) -> float:
    """Return when an item has to be done."""
    own = [end for end in history.ends if entry.item_id in end.requests]
    dues = (_due(history, name) for name in entry.names)
    return max(
        history.calm_s + _FINISH_S,
        job.accepted_s + _FINISH_S,
        *(end.at_s + _FAILED_LATELY_S for end in own),
        *(due_s + _TRIED_S for due_s in dues if due_s is not None),
    )


def undone(history: History) -> list[tuple[SoakJob, SoakItem]]:
    """Return the items of open jobs that no host has listed."""
    listed = {
        (listing.job_id, found.item_id)
        for listing in history.listings
        for found in listing.listed
    }
    return [
        (job, entry)
        for job in history.jobs
        for entry in job.items
        if not job.end_asked and (job.job_id, entry.item_id) not in listed
    ]


def _due(history: History, name: str) -> float | None:
    return trial_due_s(
        name, sorted(end.at_s for end in history.ends if name in end.running)
    )
