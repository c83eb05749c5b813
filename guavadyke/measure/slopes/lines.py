"""Fitted lines as a report of slopes holds them."""

from __future__ import annotations

from collections.abc import Iterable

from guavadyke.measure.report import Figure


class Lines:
    """Lines by name.

    Args:
        figures: figures of a report of slopes.
    """

    def __init__(self, figures: Iterable[Figure]) -> None:
        self._values = {one.name: one.value for one in figures}

    def at(self, name: str, size: float) -> float | None:
        """Return a cost at a size, None where it was not measured."""
        slope = self._values.get(f'{name}.slope')
        intercept = self._values.get(f'{name}.intercept')
        if slope is None or intercept is None:
            return None
        return max(0, intercept + slope * size)

    def slope(self, name: str) -> float | None:
        """Return what one more of the size costs."""
        return self._values.get(f'{name}.slope')
