"""A slope: what is measured, over which sizes, and its figures."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Sequence

from guavadyke.measure.report import Figure, figure
from guavadyke.measure.slopes.fits import Fit, Sample, fit


@dataclasses.dataclass(frozen=True)
class Slope:
    """A cost that is measured at several sizes.

    ``unit`` is the cost's, ``per`` what the size counts. ``measure``
    returns the cost at a size, given a seed.
    """

    name: str
    unit: str
    per: str
    sizes: Sequence[int]
    measure: Callable[[int, int], float]


@dataclasses.dataclass(frozen=True)
class Measured:
    """A slope with its samples and the line through them."""

    slope: Slope
    samples: tuple[Sample, ...]
    fit: Fit


def measured(slope: Slope, seed: int) -> Measured:
    """Measure a slope at each of its sizes and fit a line."""
    samples = tuple(
        Sample(size, slope.measure(size, seed)) for size in slope.sizes
    )
    return Measured(slope, samples, fit(samples))


def figures(one: Measured) -> tuple[Figure, ...]:
    """Return the line and its errors as figures."""
    name, unit = one.slope.name, one.slope.unit
    per_size = f'{unit}/{one.slope.per}'
    line = one.fit
    return (
        figure(f'{name}.slope', line.slope, per_size),
        figure(f'{name}.slope_error', line.slope_error, per_size),
        figure(f'{name}.intercept', line.intercept, unit),
        figure(f'{name}.intercept_error', line.intercept_error, unit),
    )
