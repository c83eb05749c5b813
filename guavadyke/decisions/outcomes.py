"""What follows from the end of one run of a batch item."""

from __future__ import annotations

import dataclasses

from guavadyke.adapters.ports import ItemEnd, ItemResult
from guavadyke.decisions.ledger import ItemOutcome, Outcome

NOT_RUN_DELAY_S = 0.25
LONGEST_DELAY_S = 5.0
PREEMPTED_DELAY_S = 0.05
RETRY_DELAY_S = 0.2
_MOST_DOUBLINGS = 8


@dataclasses.dataclass(frozen=True)
class ItemTrial:
    """What is known of an item while it has no outcome.

    ``refusals`` counts runs in a row that did not begin.
    """

    index: int
    idempotent: bool
    attempts: int = 0
    refusals: int = 0
    partial: str = ''


@dataclasses.dataclass(frozen=True)
class Again:
    """The item runs again after ``delay_s``."""

    trial: ItemTrial
    delay_s: float = 0


def judge(
    trial: ItemTrial,
    ended: ItemResult,
    max_attempts: int,
) -> ItemOutcome | Again:
    """Return the item's outcome, or how it runs again.

    Args:
        trial: the item before this run.
        ended: how the run ended.
        max_attempts: attempts after which the item fails.
    """
    if ended.end is ItemEnd.completed:
        return ItemOutcome(trial.index, Outcome.completed, ended.response)
    if ended.end is ItemEnd.rejected:
        return ItemOutcome(
            trial.index,
            Outcome.failed,
            ended.response,
            ended.reason or 'the backend server rejected the item',
        )
    if ended.end is ItemEnd.not_run:
        return _refused(trial)
    if not trial.idempotent:
        return _untold(trial, ended)
    if ended.end in {ItemEnd.preempted, ItemEnd.cancelled}:
        return _preempted(trial, ended)
    return _attempted(trial, ended, max_attempts)


def refusal_delay_s(refusals: int) -> float:
    """Return how long an item waits that did not begin."""
    growth = float(2 ** min(refusals, _MOST_DOUBLINGS))
    return min(LONGEST_DELAY_S, NOT_RUN_DELAY_S * growth)


def _refused(trial: ItemTrial) -> Again:
    return Again(
        dataclasses.replace(trial, refusals=trial.refusals + 1),
        refusal_delay_s(trial.refusals),
    )


def _untold(trial: ItemTrial, ended: ItemResult) -> ItemOutcome:
    reason = ended.reason or 'the run was cut off'
    return ItemOutcome(
        trial.index,
        Outcome.unknown,
        error=f'it may have run and is not repeated: {reason}',
    )


def _preempted(trial: ItemTrial, ended: ItemResult) -> Again:
    again = dataclasses.replace(
        trial,
        partial=ended.partial or trial.partial,
        refusals=0,
    )
    return Again(again, PREEMPTED_DELAY_S)


def _attempted(
    trial: ItemTrial,
    ended: ItemResult,
    max_attempts: int,
) -> ItemOutcome | Again:
    attempts = trial.attempts + 1
    if attempts >= max_attempts:
        return ItemOutcome(
            trial.index,
            Outcome.failed,
            error=f'{attempts} attempts failed: {ended.reason}',
        )
    return Again(
        dataclasses.replace(trial, attempts=attempts, refusals=0),
        RETRY_DELAY_S * attempts,
    )
