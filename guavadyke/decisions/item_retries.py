"""What follows from the end of one run of a batch item."""

from __future__ import annotations

import dataclasses

from guavadyke.adapters.ports import ItemEnd, ItemResult
from guavadyke.decisions.chunk_state import ItemOutcome, Outcome

NOT_RUN_DELAY_S = 0.25
LONGEST_DELAY_S = 5.0
PREEMPTED_DELAY_S = 0.05
RETRY_DELAY_S = 0.2
_MOST_DOUBLINGS = 8


@dataclasses.dataclass(frozen=True)
class OpenItem:
    """What is known of an item while it has no outcome.

    ``refusals`` counts runs in a row that did not begin.
    """

    index: int
    idempotent: bool
    attempts: int = 0
    refusals: int = 0
    partial: str = ''


@dataclasses.dataclass(frozen=True)
class ItemRetry:
    """The item runs again after ``delay_s``."""

    open_item: OpenItem
    delay_s: float = 0


def judge(
    open_item: OpenItem,
    ended: ItemResult,
    max_attempts: int,
) -> ItemOutcome | ItemRetry:
    """Return the item's outcome, or how it runs again.

    Args:
        open_item: the item before this run.
        ended: how the run ended.
        max_attempts: attempts after which the item fails.
    """
    if ended.end is ItemEnd.completed:
        return ItemOutcome(open_item.index, Outcome.completed, ended.response)
    if ended.end is ItemEnd.rejected:
        return ItemOutcome(
            open_item.index,
            Outcome.failed,
            ended.response,
            ended.reason or 'the backend server rejected the item',
        )
    if ended.end is ItemEnd.not_run:
        return _refused(open_item)
    if not open_item.idempotent:
        return _untold(open_item, ended)
    if ended.end in {ItemEnd.preempted, ItemEnd.cancelled}:
        return _preempted(open_item, ended)
    return _attempted(open_item, ended, max_attempts)


def refusal_delay_s(refusals: int) -> float:
    """Return how long an item waits that did not begin."""
    growth = float(2 ** min(refusals, _MOST_DOUBLINGS))
    return min(LONGEST_DELAY_S, NOT_RUN_DELAY_S * growth)


def _refused(open_item: OpenItem) -> ItemRetry:
    return ItemRetry(
        dataclasses.replace(open_item, refusals=open_item.refusals + 1),
        refusal_delay_s(open_item.refusals),
    )


def _untold(open_item: OpenItem, ended: ItemResult) -> ItemOutcome:
    reason = ended.reason or 'the run was cut off'
    return ItemOutcome(
        open_item.index,
        Outcome.unknown,
        error=f'it may have run and is not repeated: {reason}',
    )


def _preempted(open_item: OpenItem, ended: ItemResult) -> ItemRetry:
    again = dataclasses.replace(
        open_item,
        partial=ended.partial or open_item.partial,
        refusals=0,
    )
    return ItemRetry(again, PREEMPTED_DELAY_S)


def _attempted(
    open_item: OpenItem,
    ended: ItemResult,
    max_attempts: int,
) -> ItemOutcome | ItemRetry:
    attempts = open_item.attempts + 1
    if attempts >= max_attempts:
        return ItemOutcome(
            open_item.index,
            Outcome.failed,
            error=f'{attempts} attempts failed: {ended.reason}',
        )
    return ItemRetry(
        dataclasses.replace(open_item, attempts=attempts, refusals=0),
        RETRY_DELAY_S * attempts,
    )
