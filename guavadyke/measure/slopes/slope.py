"""Measures a cost at several sizes and fits a line."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Sequence

from guavadyke.measure.report import Figure, figure
from guavadyke.measure.slopes.line_fit import LineFit, Sample, fit_line


@dataclasses.dataclass(frozen=True)
class Slope:
    """A cost to measure at several sizes.

    ``unit`` is the unit of the cost and ``per`` that of the size.
    ``measure`` returns the cost for a size and a seed.
    """

    name: str
    unit: str
    per: str
    sizes: Sequence[int]
    measure: Callable[[int, int], float]


@dataclasses.dataclass(frozen=True)
class MeasuredSlope:
    """A slope with its samples and the fitted line."""

    slope: Slope
    samples: tuple[Sample, ...]
    line: LineFit


def measure_slope(slope: Slope, seed: int) -> MeasuredSlope:
    """Measure a cost at each of its sizes and fit a line."""
    samples = tuple(
        Sample(size, slope.measure(size, seed)) for size in slope.sizes
    )
    return MeasuredSlope(slope, samples, fit_line(samples))


def figures(measured_slope: MeasuredSlope) -> tuple[Figure, ...]:
    """Return slope, intercept and their standard errors as figures."""
    name, unit = measured_slope.slope.name, measured_slope.slope.unit
    per_size = f'{unit}/{measured_slope.slope.per}'
    line = measured_slope.line
    return (
        figure(f'{name}.slope', line.slope, per_size),
        figure(f'{name}.slope_error', line.slope_error, per_size),
        figure(f'{name}.intercept', line.intercept, unit),
        figure(f'{name}.intercept_error', line.intercept_error, unit),
    )
