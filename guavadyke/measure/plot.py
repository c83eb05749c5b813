"""Plots of measurements, drawn by matplotlib without a screen."""

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
    """A named line through points; ``marks`` draws the points alone."""

    label: str
    xs: Sequence[float]
    ys: Sequence[float]
    marks: bool = False


@dataclasses.dataclass(frozen=True)
class Panel:
    """One pair of axes with its curves."""

    title: str
    x_label: str
    y_label: str
    curves: tuple[Curve, ...]
    y_logarithmic: bool = False


def check_plot_path(path: Path) -> None:
    """Check that a plot can be written to the path.

    Raises:
        GuavadykeError: its suffix is neither .svg nor .png.
    """
    if path.suffix not in _FORMATS:
        raise GuavadykeError(
            ErrorCode.bad_request,
            f'{path}: a plot is written as .svg or .png',
        )


def draw(panels: Sequence[Panel], path: Path) -> None:
    """Draw the panels below each other into an SVG or PNG file.

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
    for place, panel in enumerate(panels, start=1):
        _draw_panel(panel, figure.add_subplot(len(panels), 1, place))
    figure.savefig(path)


def _draw_panel(panel: Panel, axes: Any) -> None:
    for curve in panel.curves:
        style = 'o' if curve.marks else '-'
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
