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
_WITHOUT_SERVERS = frozenset(('srv_crash', 'scale_in', 'servers_away'))
_EVENT = re.compile(
    r'^\s*(?P<begin>[\d.]+) s to\s+(?P<end>[\d.]+) s\s+'
    r'(?P<kind>\w+)[^\d]*(?P<count>\d+) servers',
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


def place_time_s(class_: Mapping[str, Any], server: Mapping[str, Any]) -> float:
    """Return how long a request of a class takes a place of a full server."""
    stream = class_['stream']
    tokens = stream['prompt_tokens']['mean'] + sum(
        part['tokens']['mean'] for part in stream.get('chain', ())
    )
    steps = math.ceil(stream['pieces']['mean'] / server['stride'])
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
    """Servers of a site with the mean time that a request takes a place."""

    servers: int
    places: int
    place_time_s: float

    def bound(self, window: Window, away: Iterable[Loss]) -> int:
        """Return how many owed requests the places could serve in time."""
        until_s = window.begin_s + window.length_s
        lost = sum(
            loss.servers
            for loss in away
            if loss.begin_s < until_s and window.begin_s < loss.end_s
        )
        places = max(0, self.servers - lost) * self.places
        capacity = places * window.length_s / self.place_time_s
        return min(window.owed, int(capacity))


def fleet(site: Mapping[str, Any], lines: Iterable[str]) -> Fleet:
    """Return the servers of a site; OUTPUT tells how many requests came."""
    service = site['services'][0]
    asked = {
        words[0]: int(words[1])
        for words in map(str.split, lines)
        if len(words) > 2 and words[1].isdigit()
    }
    weighed = [
        (asked.get(class_['name'], 0), place_time_s(class_, service['llm']))
        for class_ in site['classes']
    ]
    requests = sum(count for count, _time_s in weighed)
    servers = sum(place['count'] for place in service['servers'])
    return Fleet(
        max(1, round(servers * site.get('thin', 1))),
        service['slots'],
        sum(count * time_s for count, time_s in weighed) / max(1, requests),
    )


@click.command()
@click.argument('site', type=click.Path(exists=True, path_type=Path))
@click.argument('output', type=click.Path(exists=True, path_type=Path))
def main(site: Path, output: Path) -> None:
    """Print for each window what was owed, its bound and what was served.

    The bound counts places of servers alone: hosts that are away, and items
    that may wait, are not taken into account. ``thin`` sites play that share
    of their servers.
    """
    lines = output.read_text(encoding='utf-8').splitlines()
    served_by = fleet(tomllib.loads(site.read_text(encoding='utf-8')), lines)
    away = list(losses(lines))
    click.echo('from s  asked   owed  bound  in time  below')
    totals = [0, 0]
    for window in windows(lines):
        bound = served_by.bound(window, away)
        totals = [totals[0] + bound, totals[1] + window.in_time]
        click.echo(
            f'{window.begin_s:6.0f} {window.asked:6} {window.owed:6} '
            f'{bound:6} {window.in_time:8} {bound - window.in_time:6}'
        )
    click.echo(f'bound {totals[0]}, in time {totals[1]}')


if __name__ == '__main__':
    main()
