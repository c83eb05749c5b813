"""Lists the days on which a class or a zone was worth least.

Reads site files and the entries of ``journal/``:
``python bench/lowest_worth.py SITE... --journal journal --most 20``.
"""

from __future__ import annotations

import dataclasses
import json
import tomllib
from collections.abc import Iterable, Iterator, Mapping
from pathlib import Path
from typing import Any

import click

_PARTS = ('class', 'zone')


@dataclasses.dataclass(frozen=True)
class Part:
    """A class or a zone of a played day.

    ``worth`` is what was earned of what was owed, ``floor`` the least of it
    with which the day passes.
    """

    day: str
    head: str
    name: str
    worth: float
    floor: float

    @property
    def margin(self) -> float:
        """By how much it was worth more than its floor."""
        return self.worth - self.floor


@dataclasses.dataclass(frozen=True)
class Site:
    """Names and floors of the classes and zones of a site, by day."""

    name: str
    names: Mapping[str, tuple[str, ...]]
    floors: Mapping[str, Mapping[str, tuple[float, ...]]]

    def parts(self, entry: Mapping[str, Any]) -> Iterator[Part]:
        """Return the classes and zones of all days of a journal entry."""
        for day in entry.get('days') or ():
            for kind in _PARTS:
                yield from self._parts_of_day(entry, day, kind)

    def _parts_of_day(
        self, entry: Mapping[str, Any], day: Mapping[str, Any], kind: str
    ) -> Iterator[Part]:
        names = self.names[kind]
        floors = self._floors(kind, day['name'].split()[0], len(names))
        worths = day.get(f'by_{kind}') or ()
        for name, worth, floor in zip(names, worths, floors, strict=False):
            if worth is not None:
                head = (entry.get('head') or '')[:8]
                yield Part(day['name'], head, name, worth, floor)

    def _floors(self, kind: str, day: str, count: int) -> tuple[float, ...]:
        """Return the floors of a day; a day that is not listed has the least.

        A single floor holds for all.
        """
        by_day = self.floors[kind]
        listed = by_day.get(day) or (min(min(by_day.values())),)
        return listed * count if len(listed) == 1 else listed


def read_site(path: Path) -> Site:
    """Read a site file."""
    site = tomllib.loads(path.read_text(encoding='utf-8'))
    days = site['day']
    return Site(
        site['name'],
        {
            'class': tuple(one['name'] for one in site['classes']),
            'zone': tuple(one['name'] for one in site['zones']),
        },
        {
            'class': {one['name']: tuple(one['floor_classes']) for one in days},
            'zone': {one['name']: tuple(one['floor_zones']) for one in days},
        },
    )


def lowest(
    sites: Iterable[Site], entries: Iterable[Mapping[str, Any]], most: int
) -> list[Part]:
    """Return the classes and zones with the least margin, that first."""
    by_name = {site.name: site for site in sites}
    found = [
        part
        for entry in entries
        if entry.get('site') in by_name
        for part in by_name[entry['site']].parts(entry)
    ]
    return sorted(found, key=lambda part: part.margin)[:most]


@click.command()
@click.argument('sites', nargs=-1, type=click.Path(path_type=Path))
@click.option('--journal', default='journal', type=click.Path(path_type=Path))
@click.option('--head', default='', help='Only plays of this commit.')
@click.option('--most', default=20)
def main(sites: tuple[Path, ...], journal: Path, head: str, most: int) -> None:
    """Print the classes and zones that came closest to their floors."""
    entries = (
        json.loads(path.read_text(encoding='utf-8'))
        for path in sorted(journal.glob('*.json'))
    )
    played = (
        entry for entry in entries if (entry.get('head') or '').startswith(head)
    )
    click.echo('worth  floor  commit    part of day')
    for part in lowest(map(read_site, sites), played, most):
        click.echo(
            f'{part.worth:5.3f}  {part.floor:5.3f}  {part.head:8}  '
            f'{part.name} of {part.day}'
        )


if __name__ == '__main__':
    main()
