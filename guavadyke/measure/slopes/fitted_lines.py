"""Reads fitted lines from a report of slopes."""

from __future__ import annotations

from collections.abc import Iterable

from guavadyke.measure.report import Figure


class FittedLines:
    """Fitted lines by name.

    Args:
        figures: figures of a report of slopes.
    """

    def __init__(self, figures: Iterable[Figure]) -> None:
        self._values = {figure.name: figure.value for figure in figures}

    def at(self, name: str, size: float) -> float | None:
        """Return the cost at a size, None if the slope was not measured."""
        slope = self._values.get(f'{name}.slope')
        intercept = self._values.get(f'{name}.intercept')
        if slope is None or intercept is None:
            return None
        return max(0, intercept + slope * size)

    def slope(self, name: str) -> float | None:
        """Return the cost per unit of size, None if it was not measured."""
        return self._values.get(f'{name}.slope')
