"""Random arrival times of an open load, drawn from a seed before the run."""

from __future__ import annotations

import dataclasses
import functools
import itertools
import random
from collections.abc import Iterator
from typing import TypeAlias


@dataclasses.dataclass(frozen=True)
class Poisson:
    """Poisson arrivals with a mean of ``rate_per_s`` requests a second."""

    rate_per_s: float


@dataclasses.dataclass(frozen=True)
class OnOff:
    """Bursts of ``on_s`` seconds alternating with pauses of ``off_s``.

    Arrivals are Poisson at ``on_rate_per_s`` during bursts and at
    ``off_rate_per_s`` during pauses. The load begins with a pause.
    """

    on_rate_per_s: float
    off_rate_per_s: float
    on_s: float
    off_s: float

    @property
    def mean_rate_per_s(self) -> float:
        """Arrivals a second, averaged over one burst and one pause."""
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
    """Draw the arrival times of a pattern, in seconds from the start.

    Args:
        pattern: the arrival process.
        seconds: length of the load.
        rng: seeded random number generator.

    Raises:
        TypeError: the type of the pattern is not supported.
    """
    raise TypeError(f'unknown arrival pattern {pattern!r}')


@arrivals.register
def _poisson_arrivals(
    pattern: Poisson,
    seconds: float,
    rng: random.Random,
) -> tuple[float, ...]:
    return tuple(_poisson_times(0, seconds, pattern.rate_per_s, rng))


@arrivals.register
def _on_off_arrivals(
    pattern: OnOff,
    seconds: float,
    rng: random.Random,
) -> tuple[float, ...]:
    return tuple(
        itertools.chain.from_iterable(
            _poisson_times(start, min(end, seconds), rate, rng)
            for start, end, rate in _rate_periods(pattern, seconds)
        ),
    )


def burst_starts(pattern: OnOff, seconds: float) -> tuple[float, ...]:
    """Return the start of each burst, in seconds from the start of load."""
    return tuple(
        start
        for start, _end, rate in _rate_periods(pattern, seconds)
        if rate == pattern.on_rate_per_s
    )


def _rate_periods(
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


def _poisson_times(
    start: float,
    end: float,
    rate_per_s: float,
    rng: random.Random,
) -> Iterator[float]:
    if rate_per_s <= 0:
        return
    arrival_s = start + rng.expovariate(rate_per_s)
    while arrival_s < end:
        yield arrival_s
        arrival_s += rng.expovariate(rate_per_s)
