"""Compares a played day with what the places of its servers could serve.

Reads a site file and the printed output of ``fleetbench run``:
``python bench/day_bound.py SITE OUTPUT``.
"""

from __future__ import annotations

import dataclasses
import itertools
import math
import re
import tomllib
from collections.abc import Iterable, Iterator, Mapping
from pathlib import Path
from typing import Any

import click

_TABLE_HEAD = 'from second '
_MS = 1000.0
# Columns of counts in that table end here.
_COUNTS_END = 7
# Kinds of trouble that take servers away while they last.
_WITHOUT_SERVERS = frozenset((
    'srv_crash',
    'scale_in',
    'servers_away',
    'srv_slow (pause)',
))
_EVENT = re.compile(
    r'^\s*(?P<begin>[\d.]+) s to\s+(?P<end>[\d.]+) s\s+'
    r'(?P<kind>\w+(?: \(pause\))?)[^\d]*(?P<count>\d+) servers',
)


@dataclasses.dataclass(frozen=True)
class Window:
    """Requests that arrived in a window, by how they ended.

    ``begin_s`` and ``length_s`` are in seconds from the start of traffic.
    """

    begin_s: float
    length_s: float
    asked: int
    in_time: int
    not_owed: int

    @property
    def owed(self) -> int:
        """Requests that had to be served."""
        return self.asked - self.not_owed


@dataclasses.dataclass(frozen=True)
class Loss:
    """Servers that are away from ``begin_s`` to ``end_s``."""

    begin_s: float
    end_s: float
    servers: int

    def share_of(self, window: Window) -> float:
        """Return the share of a window in which they are away."""
        until_s = min(self.end_s, window.begin_s + window.length_s)
        away_s = until_s - max(self.begin_s, window.begin_s)
        return max(0, away_s) / window.length_s


def place_time_s(class_: Mapping[str, Any], server: Mapping[str, Any]) -> float:
    """Return how long a request of a class takes a place of a full server.

    A step yields a token for each request, an event has ``stride`` tokens.
    """
    stream = class_['stream']
    tokens = stream['prompt_tokens']['mean'] + sum(
        part['tokens']['mean'] for part in stream.get('chain', ())
    )
    steps = stream['pieces']['mean'] * server['stride']
    step_ms = server['step_ms'] + server['batch'] * server['step_ms_per_slot']
    return (
        server['first_ms']
        + tokens / server['prefill_tokens_per_ms']
        + steps * step_ms
    ) / _MS


def windows(lines: Iterable[str]) -> Iterator[Window]:
    """Read the table of windows from printed output."""
    rows = list(_rows(lines))
    begins = [float(row[0]) for row in rows]
    lengths = [end - begin for begin, end in itertools.pairwise(begins)]
    # The last window is as long as the one before it.
    lengths.extend(lengths[-1:])
    for row, begin_s, length_s in zip(rows, begins, lengths, strict=True):
        counts = [int(word) for word in row[1:_COUNTS_END]]
        yield Window(begin_s, length_s, counts[0], counts[1], counts[-1])


def _rows(lines: Iterable[str]) -> Iterator[list[str]]:
    inside = False
    for line in lines:
        if line.startswith(_TABLE_HEAD):
            inside = True
        elif inside and not line.strip():
            return
        elif inside:
            yield line.split()


def losses(lines: Iterable[str]) -> Iterator[Loss]:
    """Read from printed output when servers were away."""
    for line in lines:
        event = _EVENT.match(line)
        if event is not None and event['kind'] in _WITHOUT_SERVERS:
            yield Loss(
                float(event['begin']),
                float(event['end']),
                int(event['count']),
            )


@dataclasses.dataclass(frozen=True)
class Fleet:
    """Servers of a site and how long an online request takes a place.

    The bound is an upper one: items count like online requests, hosts that
    are away are not taken into account.
    """

    servers: int
    places: int
    place_time_s: float

    def bounds(
        self, played: Iterable[Window], away: Iterable[Loss]
    ) -> Iterator[int]:
        """Return for each window how many owed requests could be begun.

        Places that a window leaves free are there for the next one.
        """
        away = tuple(away)
        free: float = self.servers * self.places
        for window in played:
            places = self._places(window, away)
            free = min(free, places)
            free += places * window.length_s / self.place_time_s
            begun = min(window.owed, int(free))
            free -= begun
            yield begun

    def _places(self, window: Window, away: Iterable[Loss]) -> float:
        lost = sum(loss.servers * loss.share_of(window) for loss in away)
        return max(0, self.servers - lost) * self.places


def fleet(site: Mapping[str, Any]) -> Fleet:
    """Return the servers of a site, at the share at which it is played."""
    service = site['services'][0]
    times_s = [
        place_time_s(class_, service['llm'])
        for class_ in site['classes']
        if class_['kind'] != 'batch'
    ]
    servers = sum(place['count'] for place in service['servers'])
    return Fleet(
        math.ceil(servers * site.get('thin', 1)),
        service['slots'],
        min(times_s),
    )


@click.command()
@click.argument('site', type=click.Path(exists=True, path_type=Path))
@click.argument('output', type=click.Path(exists=True, path_type=Path))
def main(site: Path, output: Path) -> None:
    """Print for each window what was owed, its bound and what was served."""
    lines = output.read_text(encoding='utf-8').splitlines()
    served_by = fleet(tomllib.loads(site.read_text(encoding='utf-8')))
    played = list(windows(lines))
    bounds = list(served_by.bounds(played, losses(lines)))
    click.echo('from s  asked   owed  bound  in time  below')
    for window, bound in zip(played, bounds, strict=True):
        click.echo(
            f'{window.begin_s:6.0f} {window.asked:6} {window.owed:6} '
            f'{bound:6} {window.in_time:8} {bound - window.in_time:6}'
        )
    in_time = sum(one.in_time for one in played)
    click.echo(f'bound {sum(bounds)}, in time {in_time}')


if __name__ == '__main__':
    main()
