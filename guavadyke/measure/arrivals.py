"""Arrival times of an open load, fixed by a seed before the run."""

from __future__ import annotations

import dataclasses
import functools
import itertools
import random
from collections.abc import Iterator
from typing import TypeAlias


@dataclasses.dataclass(frozen=True)
class Poisson:
    """Independent arrivals at ``rate_per_s``."""

    rate_per_s: float


@dataclasses.dataclass(frozen=True)
class OnOff:
    """Bursts of ``on_s`` seconds and pauses of ``off_s`` seconds in turn.

    Within each, arrivals are independent at a rate of their own. The load
    begins with a pause.
    """

    on_rate_per_s: float
    off_rate_per_s: float
    on_s: float
    off_s: float

    @property
    def mean_rate_per_s(self) -> float:
        """Arrivals a second over a whole period."""
        arrivals = self.on_rate_per_s * self.on_s
        arrivals += self.off_rate_per_s * self.off_s
        return arrivals / (self.on_s + self.off_s)


Pattern: TypeAlias = Poisson | OnOff


@functools.singledispatch
def arrivals(
    pattern: Pattern,
    seconds: float,
    rng: random.Random,
) -> tuple[float, ...]:
    """Return the arrival times of a pattern in seconds from the start.

    Args:
        pattern: how the arrivals are spread.
        seconds: length of the load.
        rng: seeded randomness.

    Raises:
        TypeError: the pattern is unknown.
    """
    raise TypeError(f'unknown pattern {pattern!r}')


@arrivals.register
def _poisson(
    pattern: Poisson,
    seconds: float,
    rng: random.Random,
) -> tuple[float, ...]:
    return tuple(_between(0, seconds, pattern.rate_per_s, rng))


@arrivals.register
def _on_off(
    pattern: OnOff,
    seconds: float,
    rng: random.Random,
) -> tuple[float, ...]:
    return tuple(
        itertools.chain.from_iterable(
            _between(start, min(end, seconds), rate, rng)
            for start, end, rate in _phases(pattern, seconds)
        ),
    )


def burst_starts(pattern: OnOff, seconds: float) -> tuple[float, ...]:
    """Return when each burst begins, in seconds from the start."""
    return tuple(
        start
        for start, _end, rate in _phases(pattern, seconds)
        if rate == pattern.on_rate_per_s
    )


def _phases(
    pattern: OnOff,
    seconds: float,
) -> Iterator[tuple[float, float, float]]:
    lengths = itertools.cycle((
        (pattern.off_s, pattern.off_rate_per_s),
        (pattern.on_s, pattern.on_rate_per_s),
    ))
    start: float = 0
    while start < seconds:
        length, rate = next(lengths)
        yield start, start + length, rate
        start += length


def _between(
    start: float,
    end: float,
    rate_per_s: float,
    rng: random.Random,
) -> Iterator[float]:
    if rate_per_s <= 0:
        return
    moment = start + rng.expovariate(rate_per_s)
    while moment < end:
        yield moment
        moment += rng.expovariate(rate_per_s)
