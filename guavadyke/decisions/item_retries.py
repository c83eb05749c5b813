"""Retry policy of batch items: final outcome, or a delayed new run."""

from __future__ import annotations

import dataclasses

from guavadyke.adapters.ports import ItemEnd, ItemResult
from guavadyke.decisions.chunk_state import ItemOutcome, Outcome

MIN_REFUSAL_DELAY_S = 0.25
MAX_REFUSAL_DELAY_S = 5.0
PREEMPTED_DELAY_S = 0.05
RETRY_DELAY_S = 0.2
_MAX_DOUBLINGS = 8


@dataclasses.dataclass(frozen=True)
class OpenItem:
    """Run history of an item that has no outcome yet.

    ``attempts`` counts failed runs, ``refusals`` consecutive runs that did
    not begin. ``partial`` is the text of a preempted run.
    """

    index: int
    idempotent: bool
    attempts: int = 0
    refusals: int = 0
    partial: str = ''


@dataclasses.dataclass(frozen=True)
class ItemRetry:
    """Decision to run the item again after ``delay_s``."""

    open_item: OpenItem
    delay_s: float = 0


def outcome_or_retry(
    open_item: OpenItem,
    ended: ItemResult,
    max_attempts: int,
) -> ItemOutcome | ItemRetry:
    """Return the item's final outcome, or that it runs again.

    A run that did not begin is always repeated. Any other end without a
    result makes the outcome of a non-idempotent item unknown.

    Args:
        open_item: the item's history before this run.
        ended: how the run ended.
        max_attempts: number of failed attempts after which the item fails.
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
        return _retry_refused(open_item)
    if not open_item.idempotent:
        return _unknown_outcome(open_item, ended)
    if ended.end in {ItemEnd.preempted, ItemEnd.cancelled}:
        return _retry_preempted(open_item, ended)
    return _retry_or_fail(open_item, ended, max_attempts)


def refusal_delay_s(refusals: int) -> float:
    """Return the seconds before an item that did not begin is retried.

    Args:
        refusals: earlier consecutive runs that did not begin.
    """
    growth = float(2 ** min(refusals, _MAX_DOUBLINGS))
    return min(MAX_REFUSAL_DELAY_S, MIN_REFUSAL_DELAY_S * growth)


def _retry_refused(open_item: OpenItem) -> ItemRetry:
    return ItemRetry(
        dataclasses.replace(open_item, refusals=open_item.refusals + 1),
        refusal_delay_s(open_item.refusals),
    )


def _unknown_outcome(open_item: OpenItem, ended: ItemResult) -> ItemOutcome:
    reason = ended.reason or 'the run was cut off'
    return ItemOutcome(
        open_item.index,
        Outcome.unknown,
        error=f'it may have run and is not repeated: {reason}',
    )


def _retry_preempted(open_item: OpenItem, ended: ItemResult) -> ItemRetry:
    updated = dataclasses.replace(
        open_item,
        partial=ended.partial or open_item.partial,
        refusals=0,
    )
    return ItemRetry(updated, PREEMPTED_DELAY_S)


def _retry_or_fail(
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
