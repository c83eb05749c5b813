"""Faults of a soak, drawn from a seed."""

from __future__ import annotations

import dataclasses
import itertools
import json
import math
import random
from collections.abc import Iterator
from pathlib import Path
from typing import Any

# A soak begins and ends without faults, so that hosts start and recover.
QUIET_START_S = 2.0
QUIET_END_S = 6.0
_SHORTEST_S = 0.2
_LONGEST_S = 3.5
_FAULTS_PER_S = 0.6
# Some faults come in a series, each soon after the one before.
_SERIES_SHARE = 0.3
_MOST_IN_SERIES = 4
_SERIES_GAP_S = 0.7
HOST_FAULTS = (
    'killed',
    'paused',
    'restarted',
    'reloaded',
    'platform_silent',
    'platform_rejects',
)
FLEET_FAULTS = ('route_added', 'engine_leaves', 'engine_crashes', 'odd_entry')


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault from ``at_s`` on, for ``for_s`` seconds.

    ``hosts`` are numbers of hosts, empty for faults of the whole fleet.
    """

    kind: str
    at_s: float
    for_s: float
    hosts: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True)
class Schedule:
    """What a soak does: all of it follows from the seed."""

    seed: int
    seconds: float
    hosts: int
    faults: tuple[Fault, ...]

    def write(self, path: Path) -> None:
        """Write the schedule as JSON."""
        text = json.dumps(dataclasses.asdict(self), indent=1)
        path.write_text(text, encoding='utf-8')


def draw_schedule(seed: int, seconds: float, hosts: int) -> Schedule:
    """Draw the faults of a soak.

    Args:
        seed: the same seed gives the same schedule.
        seconds: length of the soak.
        hosts: number of hosts.
    """
    rng = random.Random(seed)
    length_s = max(0, seconds - QUIET_START_S - QUIET_END_S)
    count = math.ceil(length_s * _FAULTS_PER_S)
    drawn = (_draw_series(rng, length_s, hosts) for _ in range(count))
    faults = sorted(
        itertools.chain.from_iterable(drawn), key=lambda fault: fault.at_s
    )
    return Schedule(seed, seconds, hosts, tuple(faults))


def read_schedule(path: Path) -> Schedule:
    """Read a schedule that was written by ``Schedule.write``."""
    document = json.loads(path.read_text(encoding='utf-8'))
    faults = tuple(_read_faults(document.pop('faults')))
    return Schedule(faults=faults, **document)


def _read_faults(documents: list[dict[str, Any]]) -> Iterator[Fault]:
    for document in documents:
        hosts = tuple(document.pop('hosts'))
        yield Fault(hosts=hosts, **document)


def _draw_series(
    rng: random.Random, length_s: float, hosts: int
) -> list[Fault]:
    """Draw a fault that comes once or several times, maybe overlapping."""
    first = _draw_fault(rng, length_s, hosts)
    times = 1
    if rng.random() < _SERIES_SHARE:
        times = rng.randint(2, _MOST_IN_SERIES)
    gap_s = rng.uniform(_SHORTEST_S, _SERIES_GAP_S)
    repeated = (
        dataclasses.replace(first, at_s=round(first.at_s + number * gap_s, 3))
        for number in range(times)
    )
    until_s = QUIET_START_S + length_s
    return [
        dataclasses.replace(
            fault, for_s=round(min(fault.for_s, until_s - fault.at_s), 3)
        )
        for fault in repeated
        if fault.at_s < until_s
    ]


def _draw_fault(rng: random.Random, length_s: float, hosts: int) -> Fault:
    kind = rng.choice((*HOST_FAULTS, *FLEET_FAULTS))
    at_s = QUIET_START_S + rng.uniform(0, length_s)
    for_s = min(
        rng.uniform(_SHORTEST_S, _LONGEST_S), QUIET_START_S + length_s - at_s
    )
    hit: tuple[int, ...] = ()
    if kind in HOST_FAULTS:
        share = rng.choice((1, 1, max(1, hosts // 2), hosts))
        hit = tuple(sorted(rng.sample(range(hosts), share)))
    return Fault(kind, round(at_s, 3), round(for_s, 3), hit)
