"""The report of a measurement: figures, targets, and whether they hold."""

from __future__ import annotations

import math
import re
from collections.abc import Mapping
from pathlib import Path

import pydantic

from guavadyke import __version__
from guavadyke.settings import SettingsModel

_TARGET = re.compile(r'(<=|>=) (\d+(?:\.\d+)?)')
_UNKNOWN_COMMIT = 'unknown'
_DIGITS = 4


class Figure(SettingsModel):
    """One measured figure.

    ``value`` is null where it could not be measured. ``target`` is a bound
    such as ``<= 10``, or null for a baseline. ``holds`` says that the value
    was measured and meets the target.
    """

    name: str
    value: float | None
    unit: str
    target: str | None = None
    holds: bool

    @pydantic.model_validator(mode='after')
    def _holds_truly(self) -> Figure:
        if self.holds != meets(self.value, self.target):
            raise ValueError(f'"holds" of {self.name} is wrong')
        return self


class Report(SettingsModel):
    """What a measurement gave.

    ``policy`` maps the name of each policy to its weight of the tail.
    """

    measurement: str
    figures: tuple[Figure, ...]
    policy: Mapping[str, float]
    seed: int
    seconds: float
    commit: str
    version: str = __version__
    place: str


def meets(value: float | None, target: str | None) -> bool:
    """Return whether a value was measured and meets its target.

    Raises:
        ValueError: the target is not of the form ``<= 10``.
    """
    if value is None or not math.isfinite(value):
        return False
    if target is None:
        return True
    match = _TARGET.fullmatch(target)
    if match is None:
        raise ValueError(f'{target!r} is no target')
    bound = float(match[2])
    return value <= bound if match[1] == '<=' else value >= bound


def figure(
    name: str,
    value: float | None,
    unit: str,
    target: str | None = None,
) -> Figure:
    """Return a figure; a value that is no number counts as not measured."""
    measured = value is not None and math.isfinite(value)
    shown = _rounded(value) if measured and value is not None else None
    return Figure(
        name=name,
        value=shown,
        unit=unit,
        target=target,
        holds=meets(shown, target),
    )


def ratio(part: float | None, whole: float | None) -> float | None:
    """Return the quotient, None where it cannot be told."""
    if part is None or not whole:
        return None
    return part / whole


def write_report(report: Report, path: Path) -> None:
    """Write the report as JSON."""
    path.write_text(
        f'{report.model_dump_json(indent=2)}\n',
        encoding='utf-8',
    )


def read_report(path: Path) -> Report:
    """Read a report and check it.

    Raises:
        pydantic.ValidationError: it is no report.
    """
    return Report.model_validate_json(path.read_bytes())


def current_commit(folder: Path) -> str:
    """Return the commit that is checked out at or above a folder."""
    for place in (folder, *folder.parents):
        if (place / '.git').exists():
            return _head_commit(_git_folder(place / '.git'))
    return _UNKNOWN_COMMIT


def _rounded(value: float) -> float:
    """Return the value to four significant digits."""
    return float(f'{value:.{_DIGITS}g}')


def _git_folder(path: Path) -> Path:
    if path.is_dir():
        return path
    named = path.read_text(encoding='utf-8').removeprefix('gitdir:').strip()
    return (path.parent / named).resolve()


def _head_commit(folder: Path) -> str:
    head = _read(folder / 'HEAD')
    reference = head.removeprefix('ref:').strip()
    if reference == head:
        return head or _UNKNOWN_COMMIT
    common = (folder / _read(folder / 'commondir')).resolve()
    return (
        _read(common / reference)
        or _packed(common, reference)
        or _UNKNOWN_COMMIT
    )


def _packed(folder: Path, reference: str) -> str:
    lines = _read(folder / 'packed-refs').splitlines()
    return next(
        (line.split()[0] for line in lines if line.endswith(f' {reference}')),
        '',
    )


def _read(path: Path) -> str:
    try:
        return path.read_text(encoding='utf-8').strip()
    except OSError:
        return ''
