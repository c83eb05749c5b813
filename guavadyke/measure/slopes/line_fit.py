"""Least-squares line through measured points, with standard errors."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Sequence

from guavadyke.errors import ErrorCode, GuavadykeError

_MIN_SIZES = 4


@dataclasses.dataclass(frozen=True)
class Sample:
    """The cost measured at one size."""

    size: float
    cost: float


@dataclasses.dataclass(frozen=True)
class LineFit:
    """The line ``cost = intercept + slope * size``.

    ``slope_error`` and ``intercept_error`` are standard errors.
    """

    slope: float
    intercept: float
    slope_error: float
    intercept_error: float

    def at(self, size: float) -> float:
        """Return the predicted cost at a size."""
        return self.intercept + self.slope * size


def fit_line(samples: Sequence[Sample]) -> LineFit:
    """Fit a line by least squares.

    Raises:
        GuavadykeError: there are samples at fewer than four sizes.
    """
    sizes = [sample.size for sample in samples]
    if len(set(sizes)) < _MIN_SIZES:
        raise GuavadykeError(
            ErrorCode.bad_request,
            f'a slope needs at least {_MIN_SIZES} sizes',
        )
    count = len(samples)
    mean_size = math.fsum(sizes) / count
    mean_cost = math.fsum(sample.cost for sample in samples) / count
    squared_size_deviations = math.fsum(
        (size - mean_size) ** 2 for size in sizes
    )
    slope = (
        _covariation(samples, mean_size, mean_cost) / squared_size_deviations
    )
    intercept = mean_cost - slope * mean_size
    variance = _residual_variance(samples, slope, intercept)
    return LineFit(
        slope=slope,
        intercept=intercept,
        slope_error=math.sqrt(variance / squared_size_deviations),
        intercept_error=math.sqrt(
            variance * (1 / count + mean_size**2 / squared_size_deviations),
        ),
    )


def _covariation(
    samples: Sequence[Sample],
    mean_size: float,
    mean_cost: float,
) -> float:
    return math.fsum(
        (sample.size - mean_size) * (sample.cost - mean_cost)
        for sample in samples
    )


def _residual_variance(
    samples: Sequence[Sample],
    slope: float,
    intercept: float,
) -> float:
    squared_residuals = math.fsum(
        (sample.cost - intercept - slope * sample.size) ** 2
        for sample in samples
    )
    return squared_residuals / (len(samples) - 2)
