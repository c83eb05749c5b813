"""What ran on the engines and when, from their histories."""

from __future__ import annotations

import bisect
import dataclasses
import itertools
from collections.abc import Iterable, Sequence

from guavadyke.measure.standin_calls import EngineRecord

BATCH_MARK = 'batch item'


@dataclasses.dataclass(frozen=True)
class Interval:
    """From ``start`` to ``end``, in seconds."""

    start: float
    end: float

    def holds(self, moment: float) -> bool:
        """Return whether the moment lies within."""
        return self.start <= moment < self.end


@dataclasses.dataclass(frozen=True)
class Step:
    """From ``at`` on, ``count`` requests were running."""

    at: float
    count: int


def is_batch(record: EngineRecord) -> bool:
    """Return whether the measurement sent it as a batch item."""
    return BATCH_MARK in record.prompt


def steps(records: Iterable[EngineRecord], until: float) -> tuple[Step, ...]:
    """Return how many of the records ran at the same time.

    Args:
        records: what ran.
        until: end of those that are still running.
    """
    changes = sorted(
        itertools.chain.from_iterable(
            ((one.started, 1), (one.ended or until, -1)) for one in records
        ),
    )
    running = itertools.accumulate(change for _at, change in changes)
    return tuple(
        Step(at, count)
        for (at, _change), count in zip(changes, running, strict=True)
    )


def intervals_above(
    found: Sequence[Step],
    bound: int,
) -> tuple[Interval, ...]:
    """Return when more than ``bound`` requests ran."""
    return tuple(
        Interval(group[0].at, following.at)
        for group, following in _runs(found, bound)
    )


def busy_seconds(
    records: Iterable[EngineRecord],
    window: Interval,
) -> float:
    """Return the seconds of slots that the records used in a window."""
    return sum(
        max(
            0,
            min(one.ended or window.end, window.end)
            - max(one.started, window.start),
        )
        for one in records
    )


def completed_rate(
    records: Iterable[EngineRecord],
    window: Interval,
) -> float:
    """Return the requests a second that completed within a window."""
    completed = sum(
        one.outcome == 'completed'
        and one.ended is not None
        and window.holds(one.ended)
        for one in records
    )
    return completed / (window.end - window.start)


def count_at(found: Sequence[Step], moment: float) -> int:
    """Return how many ran at a moment."""
    moments = [step.at for step in found]
    place = bisect.bisect_right(moments, moment)
    return found[place - 1].count if place else 0


def first_at_least(
    found: Sequence[Step],
    count: int,
    after: float,
) -> float | None:
    """Return when at least ``count`` ran, from a moment on."""
    if count_at(found, after) >= count:
        return after
    return next(
        (step.at for step in found if step.at >= after and step.count >= count),
        None,
    )


def _runs(
    found: Sequence[Step],
    bound: int,
) -> list[tuple[list[Step], Step]]:
    by_side = itertools.groupby(found, key=lambda step: step.count > bound)
    grouped = [(above, list(group)) for above, group in by_side]
    return [
        (group, following[0])
        for (above, group), (_below, following) in itertools.pairwise(grouped)
        if above
    ]
