"""Differences between two versions of a configuration, by entry and field.

Addresses no load of its own: a change that nobody intended is seen before it
is sent.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterator, Mapping, Sequence
from typing import Any, TypeAlias

from guavadyke.decisions.configuration_checks import (
    ConfigurationFinding,
    Place,
    Severity,
    TeamKeys,
)

Entry: TypeAlias = Mapping[str, Any]


def entry_differences(
    section: str,
    name_field: str,
    offered: Sequence[Entry],
    in_force: Sequence[Entry],
) -> list[ConfigurationFinding]:
    """Return the differences of a list of named entries.

    The place of an entry that has been removed is that in the old list.

    Args:
        section: name of the list.
        name_field: field that names an entry.
        offered: entries of the new version.
        in_force: entries of the version in force.
    """
    new = {str(one[name_field]): index for index, one in enumerate(offered)}
    old = {str(one[name_field]): index for index, one in enumerate(in_force)}
    added = [
        _change((section, new[name]), f'{name!r} is added')
        for name in new
        if name not in old
    ]
    removed = [
        _change((section, old[name]), f'{name!r} is removed')
        for name in old
        if name not in new
    ]
    changed = itertools.chain.from_iterable(
        field_differences(
            (section, new[name]), offered[new[name]], in_force[old[name]], name
        )
        for name in new
        if name in old
    )
    return [*added, *removed, *changed]


def field_differences(
    place: Place, offered: Entry, in_force: Entry, name: str
) -> Iterator[ConfigurationFinding]:
    """Yield the fields of an entry that differ, with both values."""
    for field in sorted(offered.keys() | in_force.keys()):
        new, old = offered.get(field), in_force.get(field)
        if new != old:
            yield _change((*place, field), f'{name!r}: {old!r} becomes {new!r}')


def key_differences(
    place: Place, offered: TeamKeys, in_force: TeamKeys
) -> Iterator[ConfigurationFinding]:
    """Yield how many keys of a team are added and removed."""
    new, old = frozenset(offered.keys), frozenset(in_force.keys)
    if new != old:
        yield _change(
            place,
            f'{offered.team.name!r}: {len(new - old)} keys are added, '
            f'{len(old - new)} are removed',
        )


def _change(place: Place, message: str) -> ConfigurationFinding:
    return ConfigurationFinding(Severity.change, place, message)
