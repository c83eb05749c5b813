"""Rows of the capacity page: a cost, its budget, and its derivation."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable


@dataclasses.dataclass(frozen=True)
class Row:
    """One cost at the planned size.

    ``value`` is None if a slope was not measured. ``bound`` is the budget,
    None for a cost that is part of a sum. ``derivation`` names the slopes
    and sizes that the value was computed from.
    """

    what: str
    value: float | None
    unit: str
    derivation: str
    bound: float | None = None

    @property
    def fits(self) -> bool | None:
        """Whether the cost is within its budget, None without a budget."""
        if self.bound is None:
            return None
        return self.value is not None and self.value <= self.bound


@dataclasses.dataclass(frozen=True)
class Role:
    """A role of a host or of the platform, with its costs.

    ``mechanism`` is a short description of how the role works.
    """

    name: str
    mechanism: str
    rows: tuple[Row, ...]


def multiplied(cost: float | None, factor: float) -> float | None:
    """Return the product, None if the cost was not measured."""
    return None if cost is None else cost * factor


def capped(cost: float | None, bound: float) -> float | None:
    """Return the cost, capped at a bound; None if it was not measured."""
    return None if cost is None else min(cost, bound)


def total(rows: Iterable[Row]) -> float | None:
    """Return the sum of all rows, None if one was not measured."""
    summed: float = 0
    for row in rows:
        if row.value is None:
            return None
        summed += row.value
    return summed
