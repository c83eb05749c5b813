"""Reports of measurements: figures, their targets, and which are met."""

from __future__ import annotations

import math
import re
from collections.abc import Mapping
from pathlib import Path

import pydantic

from guavadyke import __version__
from guavadyke.settings import SettingsModel

_TARGET_PATTERN = re.compile(r'(<=|>=) (\d+(?:\.\d+)?)')
_UNKNOWN_COMMIT = 'unknown'
_SIGNIFICANT_DIGITS = 4


class Figure(SettingsModel):
    """One measured figure.

    ``value`` is null if it could not be measured. ``target`` is a bound
    such as ``<= 10``, or null for a baseline. ``holds`` is true if the
    value was measured and meets the target.
    """

    name: str
    value: float | None
    unit: str
    target: str | None = None
    holds: bool

    @pydantic.model_validator(mode='after')
    def _check_holds(self) -> Figure:
        if self.holds != meets_target(self.value, self.target):
            raise ValueError(f'"holds" of {self.name} is inconsistent')
        return self


class Report(SettingsModel):
    """Figures of a measurement, and how it was run.

    ``policy`` maps the name of each policy to its tail weight.
    ``place`` is ``embedded`` or the caller URLs of the measured fleet.
    """

    measurement: str
    figures: tuple[Figure, ...]
    policy: Mapping[str, float]
    seed: int
    seconds: float
    commit: str
    version: str = __version__
    place: str


def meets_target(value: float | None, target: str | None) -> bool:
    """Return whether a value was measured and meets its target.

    A value without a target only has to be measured.

    Raises:
        ValueError: the target is not of the form ``<= 10`` or ``>= 10``.
    """
    if value is None or not math.isfinite(value):
        return False
    if target is None:
        return True
    match = _TARGET_PATTERN.fullmatch(target)
    if match is None:
        raise ValueError(f'{target!r} is not a valid target')
    bound = float(match[2])
    return value <= bound if match[1] == '<=' else value >= bound


def figure(
    name: str,
    value: float | None,
    unit: str,
    target: str | None = None,
) -> Figure:
    """Return a figure with its value rounded to four significant digits.

    NaN and infinite values count as not measured.
    """
    measured = value is not None and math.isfinite(value)
    rounded = _rounded(value) if measured and value is not None else None
    return Figure(
        name=name,
        value=rounded,
        unit=unit,
        target=target,
        holds=meets_target(rounded, target),
    )


def ratio(part: float | None, whole: float | None) -> float | None:
    """Return the quotient; None if a part is unknown or the whole is 0."""
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
    """Read and validate a report.

    Raises:
        pydantic.ValidationError: the file is not a valid report.
    """
    return Report.model_validate_json(path.read_bytes())


def current_commit(folder: Path) -> str:
    """Return the commit checked out in the repository of a folder.

    It reads the repository's files, without the git program, and returns
    ``unknown`` outside a repository.
    """
    for folder_or_parent in (folder, *folder.parents):
        if (folder_or_parent / '.git').exists():
            return _head_commit(_git_folder(folder_or_parent / '.git'))
    return _UNKNOWN_COMMIT


def _rounded(value: float) -> float:
    """Return the value rounded to four significant digits."""
    return float(f'{value:.{_SIGNIFICANT_DIGITS}g}')


def _git_folder(path: Path) -> Path:
    if path.is_dir():
        return path
    git_folder = (
        path.read_text(encoding='utf-8').removeprefix('gitdir:').strip()
    )
    return (path.parent / git_folder).resolve()


def _head_commit(folder: Path) -> str:
    head = _read_or_empty(folder / 'HEAD')
    reference = head.removeprefix('ref:').strip()
    if reference == head:
        return head or _UNKNOWN_COMMIT
    common = (folder / _read_or_empty(folder / 'commondir')).resolve()
    return (
        _read_or_empty(common / reference)
        or _packed_reference(common, reference)
        or _UNKNOWN_COMMIT
    )


def _packed_reference(folder: Path, reference: str) -> str:
    lines = _read_or_empty(folder / 'packed-refs').splitlines()
    return next(
        (line.split()[0] for line in lines if line.endswith(f' {reference}')),
        '',
    )


def _read_or_empty(path: Path) -> str:
    try:
        return path.read_text(encoding='utf-8').strip()
    except OSError:
        return ''
