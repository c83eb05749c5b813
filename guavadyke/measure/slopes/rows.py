"""Rows of the capacity page: a cost, its budget, and how it was worked out."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable


@dataclasses.dataclass(frozen=True)
class Row:
    """One cost at the size that is planned for.

    ``value`` is None where a slope was not measured; ``bound`` is the
    budget; a cost that is part of a sum has none.
    """

    what: str
    value: float | None
    unit: str
    working: str
    bound: float | None = None

    @property
    def fits(self) -> bool | None:
        """Whether it fits its budget; None where there is no budget."""
        if self.bound is None:
            return None
        return self.value is not None and self.value <= self.bound


@dataclasses.dataclass(frozen=True)
class Role:
    """A role with its costs and the mechanism that carries it."""

    name: str
    mechanism: str
    rows: tuple[Row, ...]


def scaled(found: float | None, factor: float) -> float | None:
    """Return the product, None where the cost was not measured."""
    return None if found is None else found * factor


def at_most(found: float | None, bound: float) -> float | None:
    """Return the smaller one, None where the cost was not measured."""
    return None if found is None else min(found, bound)


def total(rows: Iterable[Row]) -> float | None:
    """Return the sum of all rows, None where one was not measured."""
    summed: float = 0
    for row in rows:
        if row.value is None:
            return None
        summed += row.value
    return summed
