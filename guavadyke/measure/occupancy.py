"""Slot occupancy of engines over time, computed from their histories."""

from __future__ import annotations

import bisect
import dataclasses
import itertools
from collections.abc import Iterable, Sequence

from guavadyke.measure.standin_client import EngineRecord

BATCH_PROMPT_MARKER = 'batch item'


@dataclasses.dataclass(frozen=True)
class Interval:
    """Half-open interval from ``start`` to ``end``, in seconds."""

    start: float
    end: float

    def holds(self, time_s: float) -> bool:
        """Return whether a time lies in the interval."""
        return self.start <= time_s < self.end


@dataclasses.dataclass(frozen=True)
class ConcurrencyStep:
    """``count`` requests were running from time ``at`` to the next step."""

    at: float
    count: int


def is_batch(record: EngineRecord) -> bool:
    """Return whether the request is a batch item of the measurement."""
    return BATCH_PROMPT_MARKER in record.prompt


def concurrency_steps(
    records: Iterable[EngineRecord], until: float
) -> tuple[ConcurrencyStep, ...]:
    """Return the number of running requests over time.

    Args:
        records: the requests.
        until: end time to assume for requests that are still running.
    """
    changes = sorted(
        itertools.chain.from_iterable(
            ((record.started, 1), (record.ended or until, -1))
            for record in records
        ),
    )
    running = itertools.accumulate(change for _at, change in changes)
    return tuple(
        ConcurrencyStep(at, count)
        for (at, _change), count in zip(changes, running, strict=True)
    )


def intervals_above(
    steps: Sequence[ConcurrencyStep],
    bound: int,
) -> tuple[Interval, ...]:
    """Return the intervals in which more than ``bound`` requests ran."""
    return tuple(
        Interval(group[0].at, following.at)
        for group, following in _groups_above(steps, bound)
    )


def busy_slot_seconds(
    records: Iterable[EngineRecord],
    window: Interval,
) -> float:
    """Return the slot time that the requests used in a window, in s."""
    return sum(
        max(
            0,
            min(record.ended or window.end, window.end)
            - max(record.started, window.start),
        )
        for record in records
    )


def completed_rate(
    records: Iterable[EngineRecord],
    window: Interval,
) -> float:
    """Return the completed requests per second of a window."""
    completed = sum(
        record.outcome == 'completed'
        and record.ended is not None
        and window.holds(record.ended)
        for record in records
    )
    return completed / (window.end - window.start)


def running_at(steps: Sequence[ConcurrencyStep], time_s: float) -> int:
    """Return the number of requests that were running at a time."""
    times_s = [step.at for step in steps]
    position = bisect.bisect_right(times_s, time_s)
    return steps[position - 1].count if position else 0


def first_time_at_least(
    steps: Sequence[ConcurrencyStep],
    count: int,
    after: float,
) -> float | None:
    """Return the first time from ``after`` on with ``count`` requests.

    It is None if fewer than ``count`` were running until the end.
    """
    if running_at(steps, after) >= count:
        return after
    return next(
        (step.at for step in steps if step.at >= after and step.count >= count),
        None,
    )


def _groups_above(
    steps: Sequence[ConcurrencyStep],
    bound: int,
) -> list[tuple[list[ConcurrencyStep], ConcurrencyStep]]:
    by_side = itertools.groupby(steps, key=lambda step: step.count > bound)
    grouped = [(above, list(group)) for above, group in by_side]
    return [
        (group, following[0])
        for (above, group), (_below, following) in itertools.pairwise(grouped)
        if above
    ]
