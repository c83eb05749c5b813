"""Plots of measurements, drawn by matplotlib without a display."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from guavadyke.errors import ErrorCode, GuavadykeError

_FORMATS = frozenset(('.svg', '.png'))
_WIDTH_INCHES = 9
_PANEL_INCHES = 3.2


@dataclasses.dataclass(frozen=True)
class Curve:
    """A labelled curve; ``points_only`` draws its points without a line."""

    label: str
    xs: Sequence[float]
    ys: Sequence[float]
    points_only: bool = False


@dataclasses.dataclass(frozen=True)
class Panel:
    """One pair of axes with its curves and labels."""

    title: str
    x_label: str
    y_label: str
    curves: tuple[Curve, ...]
    y_logarithmic: bool = False


def check_plot_path(path: Path) -> None:
    """Check that the suffix of a path is a supported plot format.

    Raises:
        GuavadykeError: the suffix is neither .svg nor .png.
    """
    if path.suffix not in _FORMATS:
        raise GuavadykeError(
            ErrorCode.bad_request,
            f'{path}: the suffix of a plot must be .svg or .png',
        )


def draw(panels: Sequence[Panel], path: Path) -> None:
    """Draw the panels below each other and write an SVG or PNG file.

    Raises:
        GuavadykeError: matplotlib is not installed, or the suffix is
            neither .svg nor .png.
    """
    check_plot_path(path)
    try:
        from matplotlib.figure import Figure
    except ImportError as error:
        raise GuavadykeError(
            ErrorCode.bad_request,
            'plots need matplotlib: pip install guavadyke[measure]',
        ) from error
    figure = Figure(
        figsize=(_WIDTH_INCHES, _PANEL_INCHES * max(1, len(panels))),
        layout='constrained',
    )
    for position, panel in enumerate(panels, start=1):
        _draw_panel(panel, figure.add_subplot(len(panels), 1, position))
    figure.savefig(path)


def _draw_panel(panel: Panel, axes: Any) -> None:
    for curve in panel.curves:
        style = 'o' if curve.points_only else '-'
        axes.plot(
            curve.xs,
            curve.ys,
            style,
            label=curve.label,
            markersize=3,
        )
    axes.set(
        title=panel.title,
        xlabel=panel.x_label,
        ylabel=panel.y_label,
        yscale='log' if panel.y_logarithmic else 'linear',
    )
    axes.legend()
