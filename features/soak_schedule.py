"""Faults of a soak, drawn from a seed."""

from __future__ import annotations

import dataclasses
import itertools
import json
import math
import random
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

from features.soak_bounds import LONG_PART_PREFIX

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
_UPGRADE_S = 0.5
_UPGRADE_SPACING_S = 1.5
HOST_FAULTS = (
    'killed',
    'paused',
    'restarted',
    'reloaded',
    'platform_silent',
    'platform_rejects',
)
# Engines that end: under a part of prompts, under one request that comes again,
# under an item, and a third of them within a second.
CRASH_FAULTS = (
    'part_crashes',
    'request_crashes',
    'item_crashes',
    'engine_wave',
)
_CRASH_FAULTS_PER_S = 0.25
# Longer than the first trials of a part after its quarantine.
_LONGEST_CRASHING_S = 11.0
_JOBS_PER_S = 0.7
_MOST_ITEMS = 10
_CANCELLED_SHARE = 0.2
_LONGEST_TO_CANCEL_S = 2.0
# Jobs are submitted right before this share of stops and kills of hosts.
_BEFORE_END_SHARE = 0.6
_BEFORE_END_S = 0.05
# Jobs whose items share a rare part are running when engines end in a wave.
_BEFORE_WAVE_SHARE = 0.6
_BEFORE_WAVE_S = 0.3
_RARE_ITEMS = 6
_ITEM_PARTS = 10
# The first parts are drawn much more often than the last ones.
_PART_SKEW = 1.7
# Long jobs run throughout the faults and move, as hosts fail one after another,
# often while the platform is slow.
_MOVED_JOBS_PER_S = 0.6
_MOVED_ITEMS = 20
_LONG_PARTS = 20
_MOVES_PER_S = 0.4
_MOVE_KINDS = (
    *(('killed', 'restarted', 'paused') * 2),
    'platform_silent',
    'platform_rejects',
)
# Long enough for other hosts to take jobs over.
_LONGEST_MOVE_S = 6.0
_LONGEST_MOVE_GAP_S = 2.0
_SLOW_SHARE = 0.7
# The platform is still slow when the last host's jobs are taken over.
_SLOW_S = 5.0
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
class JobPlan:
    """A job that is submitted at a host, ``parts`` has one for each item.

    It is cancelled after ``cancel_after_s`` seconds, never if that is 0.
    """

    at_s: float
    host: int
    parts: tuple[str, ...]
    cancel_after_s: float = 0


@dataclasses.dataclass(frozen=True)
class Schedule:
    """What a soak does: all of it follows from the seed.

    A key is removed after ``key_removed_s`` seconds, 0 for a soak without
    teams.
    """

    seed: int
    seconds: float
    hosts: int
    faults: tuple[Fault, ...]
    jobs: tuple[JobPlan, ...] = ()
    key_removed_s: float = 0

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
    crash_rng = random.Random(f'{seed} crashes')
    crashes = (
        _draw_crashes(crash_rng, length_s)
        for _ in range(math.ceil(length_s * _CRASH_FAULTS_PER_S))
    )
    faults = sorted(
        itertools.chain.from_iterable((*drawn, *crashes)),
        key=lambda fault: fault.at_s,
    )
    jobs = _draw_jobs(random.Random(f'{seed} jobs'), length_s, hosts, faults)
    return Schedule(seed, seconds, hosts, tuple(faults), tuple(jobs))


def with_teams(schedule: Schedule) -> Schedule:
    """Return a schedule with teams, one of which loses its key halfway."""
    return dataclasses.replace(schedule, key_removed_s=schedule.seconds / 2)


def with_moves(schedule: Schedule) -> Schedule:
    """Return a schedule with long jobs and faults that move them.

    Of the other faults of hosts, those of single hosts are kept, so that there
    are always hosts that take jobs over.
    """
    rng = random.Random(f'{schedule.seed} moves')
    until_s = schedule.seconds - QUIET_END_S
    length_s = max(0, until_s - QUIET_START_S)
    moves = (
        _draw_move(rng, length_s, schedule.hosts)
        for _ in range(math.ceil(length_s * _MOVES_PER_S))
    )
    kept = [fault for fault in schedule.faults if len(fault.hosts) <= 1]
    faults = sorted(
        (*kept, *itertools.chain.from_iterable(moves)),
        key=lambda fault: fault.at_s,
    )
    jobs = [
        JobPlan(
            round(rng.uniform(0, until_s / 2), 3),
            rng.randrange(schedule.hosts),
            tuple(
                f'{LONG_PART_PREFIX}{rng.randint(1, _LONG_PARTS)}'
                for _ in range(_MOVED_ITEMS)
            ),
        )
        for _ in range(math.ceil(length_s * _MOVED_JOBS_PER_S))
    ]
    jobs = sorted((*schedule.jobs, *jobs), key=lambda plan: plan.at_s)
    return dataclasses.replace(schedule, faults=tuple(faults), jobs=tuple(jobs))


def with_upgrade(schedule: Schedule) -> Schedule:
    """Return a schedule with stops by which every host is upgraded.

    The first host is stopped early, and all of them in turn after the other
    faults, so that two versions run side by side meanwhile.
    """
    until_s = schedule.seconds - QUIET_END_S
    early = Fault('restarted', QUIET_START_S, _UPGRADE_S, (0,))
    turns = (
        Fault(
            'restarted',
            until_s + number * _UPGRADE_SPACING_S,
            _UPGRADE_S,
            (number,),
        )
        for number in range(schedule.hosts)
    )
    return dataclasses.replace(
        schedule, faults=(early, *schedule.faults, *turns)
    )


def read_schedule(path: Path) -> Schedule:
    """Read a schedule that was written by ``Schedule.write``."""
    document = json.loads(path.read_text(encoding='utf-8'))
    faults = tuple(_read_faults(document.pop('faults')))
    jobs = tuple(
        JobPlan(**{**job, 'parts': tuple(job['parts'])})
        for job in document.pop('jobs', ())
    )
    return Schedule(faults=faults, jobs=jobs, **document)


def _read_faults(documents: list[dict[str, Any]]) -> Iterator[Fault]:
    for document in documents:
        hosts = tuple(document.pop('hosts'))
        yield Fault(hosts=hosts, **document)


def _draw_series(
    rng: random.Random, length_s: float, hosts: int
) -> list[Fault]:
    """Draw a fault that comes once or several times, maybe overlapping."""
    first = _draw_fault(rng, length_s, hosts)
    return _repeat(rng, first, QUIET_START_S + length_s)


def _draw_crashes(rng: random.Random, length_s: float) -> list[Fault]:
    kind = rng.choice((*CRASH_FAULTS, 'engine_wave'))
    at_s = QUIET_START_S + rng.uniform(0, length_s)
    for_s = rng.uniform(1, _LONGEST_CRASHING_S)
    first = Fault(kind, round(at_s, 3), round(for_s, 3))
    return _repeat(rng, first, QUIET_START_S + length_s)


def _draw_move(rng: random.Random, length_s: float, hosts: int) -> list[Fault]:
    """Draw faults of hosts one after another, maybe on a slow platform."""
    kind = rng.choice(_MOVE_KINDS)
    first_s = QUIET_START_S + rng.uniform(0, length_s)
    gap_s = rng.uniform(_SHORTEST_S, _LONGEST_MOVE_GAP_S)
    hit = rng.sample(range(hosts), rng.randint(1, max(1, hosts // 2)))
    drawn = [
        Fault(
            kind,
            first_s + rank * gap_s,
            rng.uniform(1, _LONGEST_MOVE_S),
            (host,),
        )
        for rank, host in enumerate(hit)
    ]
    if rng.random() < _SLOW_SHARE:
        everyone = tuple(range(hosts))
        slow_s = gap_s * len(hit) + _SLOW_S
        drawn.append(Fault('platform_slow', first_s, slow_s, everyone))
    return _ended_by(drawn, QUIET_START_S + length_s)


def _repeat(rng: random.Random, first: Fault, until_s: float) -> list[Fault]:
    times = 1
    if rng.random() < _SERIES_SHARE:
        times = rng.randint(2, _MOST_IN_SERIES)
    gap_s = rng.uniform(_SHORTEST_S, _SERIES_GAP_S)
    repeated = (
        dataclasses.replace(first, at_s=round(first.at_s + number * gap_s, 3))
        for number in range(times)
    )
    return _ended_by(repeated, until_s)


def _ended_by(faults: Iterable[Fault], until_s: float) -> list[Fault]:
    return [
        dataclasses.replace(
            fault,
            at_s=round(fault.at_s, 3),
            for_s=round(min(fault.for_s, until_s - fault.at_s), 3),
        )
        for fault in faults
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


def _draw_jobs(
    rng: random.Random, length_s: float, hosts: int, faults: list[Fault]
) -> list[JobPlan]:
    """Draw jobs throughout the faults, some right before a host ends."""
    count = math.ceil(length_s * _JOBS_PER_S)
    until_s = QUIET_START_S + length_s
    times = [
        (rng.uniform(0, until_s), rng.randrange(hosts)) for _ in range(count)
    ]
    times.extend(
        (fault.at_s - _BEFORE_END_S, fault.hosts[0])
        for fault in faults
        if fault.kind in {'killed', 'restarted'}
        and rng.random() < _BEFORE_END_SHARE
    )
    drawn = [_draw_job(rng, at_s, host) for at_s, host in times]
    rare = [
        JobPlan(
            round(fault.at_s - _BEFORE_WAVE_S, 3),
            rng.randrange(hosts),
            (_item_part(rng.randint(_ITEM_PARTS // 2, _ITEM_PARTS)),)
            * _RARE_ITEMS,
        )
        for fault in faults
        if fault.kind == 'engine_wave' and rng.random() < _BEFORE_WAVE_SHARE
    ]
    return sorted((*drawn, *rare), key=lambda plan: plan.at_s)


def _draw_job(rng: random.Random, at_s: float, host: int) -> JobPlan:
    ranks = range(1, _ITEM_PARTS + 1)
    drawn = rng.choices(
        ranks,
        [rank**-_PART_SKEW for rank in ranks],
        k=rng.randint(2, _MOST_ITEMS),
    )
    cancelled = rng.random() < _CANCELLED_SHARE
    cancel_after_s = rng.uniform(_SHORTEST_S, _LONGEST_TO_CANCEL_S)
    return JobPlan(
        round(at_s, 3),
        host,
        tuple(map(_item_part, drawn)),
        round(cancel_after_s, 3) if cancelled else 0,
    )


def _item_part(rank: int) -> str:
    return f'part-item-{rank}'
