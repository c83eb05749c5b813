"""A soak: a fleet of processes under faults that a seed draws.

``python -m features.soak --seed 1 --seconds 30 --hosts 4 --folder DIR`` plays
one and writes its schedule, its report and the logs; ``--replay DIR`` plays
the schedule of such a folder again; ``--earlier DIR`` has all hosts begin with
the product of another checkout and upgrades them one after another.
"""

from __future__ import annotations

import dataclasses
import functools
import heapq
import itertools
import json
import random
import sys
import threading
import time
from collections.abc import Callable, Iterator, Mapping
from pathlib import Path
from typing import Any

import click
import urllib3

from features import builders_users_platform as users
from features.builders_forward_processes import (
    ROOT,
    DaemonProcess,
    results,
)
from features.builders_processes import wait_until
from features.soak_bounds import PART_PREFIX, REQUEST_PREFIX
from features.soak_checker import broken_promises
from features.soak_crash_faults import CrashFaults
from features.soak_fleet import (
    ONCE_PREFIX,
    SoakFleet,
    prompt_prefix,
    whole_body,
)
from features.soak_fleet_faults import FleetFaults
from features.soak_history import IN_FORCE_S, Call, History
from features.soak_host_faults import HostFaults
from features.soak_jobs import JobCallers
from features.soak_kept_callers import KeptCallers
from features.soak_schedule import (
    Fault,
    Schedule,
    draw_schedule,
    read_schedule,
    with_moves,
    with_teams,
    with_upgrade,
)
from features.soak_teams import TeamCallers

_ENGINES = 6
_ITEMS = 40
_CALLERS = 6
_LAST_CALLS = 20
_PAUSE_S = 0.04
_PROBE_S = 0.15
_RESULTS_S = 30.0
_ONCE_SHARE = 0.3
_OK = 200
_ONLINE_PARTS = tuple(f'{PART_PREFIX}online-{rank}' for rank in range(1, 5))
_ONLINE_WEIGHTS = (8, 4, 2, 1)
_SCHEDULE_FILE = 'schedule.json'
_REPORT_FILE = 'report.json'


class Soak:
    """One run of a schedule.

    Args:
        schedule: the faults and the number of hosts.
        root: the checkout whose product the hosts run until they are started
            again.
    """

    def __init__(self, schedule: Schedule, root: Path = ROOT) -> None:
        self._schedule = schedule
        self._fleet = SoakFleet(schedule.hosts, root)
        self._host_faults = HostFaults(self._fleet)
        fleet_faults = FleetFaults(self._fleet)
        self._ending = threading.Event()
        self._jobs = JobCallers(self._fleet, schedule, self._ending)
        self._teams = TeamCallers(self._fleet, schedule, self._ending)
        self._crash_faults = CrashFaults(self._fleet, self._jobs, schedule.seed)
        self._begin_by_kind = {
            'killed': self._host_faults.kill,
            'paused': self._host_faults.pause,
            'restarted': self._host_faults.restart,
            'reloaded': self._host_faults.reload,
            'platform_silent': self._host_faults.silence,
            'platform_rejects': self._host_faults.reject,
            'platform_slow': self._host_faults.slow,
            'route_added': fleet_faults.add_route,
            'engine_leaves': fleet_faults.leave,
            'engine_crashes': fleet_faults.crash,
            'odd_entry': fleet_faults.write_odd,
            'part_crashes': self._crash_faults.crash_by_part,
            'request_crashes': self._crash_faults.crash_by_request,
            'item_crashes': self._crash_faults.crash_by_item,
            'engine_wave': self._crash_faults.wave,
        }
        self._numbers = itertools.count()

    @property
    def history(self) -> History:
        """What callers and engines have seen."""
        return self._fleet.history

    @property
    def logs(self) -> dict[str, str]:
        """What each host has logged."""
        return {daemon.name: daemon.log for daemon in self._fleet.daemons}

    def run(self) -> None:
        """Play the schedule."""
        if self._schedule.key_removed_s:
            self._teams.add()
        self._fleet.start(self._schedule.hosts, _ENGINES)
        self._fleet.begin_time()
        self._submit()
        work = [
            functools.partial(self._call_until_end, number)
            for number in range(_CALLERS)
        ]
        kept = KeptCallers(self._fleet, self._schedule, self._ending)
        threads = [
            threading.Thread(target=one)
            for one in (
                *work,
                *kept.work,
                *self._teams.work,
                *self._jobs.work,
                self._probe_until_end,
            )
        ]
        for thread in threads:
            thread.start()
        self._play_faults()
        self._ending.set()
        for thread in threads:
            thread.join()
        self._crash_faults.settle()
        self._host_faults.settle()
        self.history.calm_s = self._fleet.now_s()
        self._call_last()
        self._read_results()
        self._jobs.read_all()

    def close(self) -> None:
        """End all processes."""
        self._ending.set()
        self._fleet.close()

    def _play_faults(self) -> None:
        steps: list[tuple[float, int, Callable[[], object]]] = []
        order = itertools.count()
        for fault in self._schedule.faults:
            begin = functools.partial(self._begin, fault, steps, order)
            heapq.heappush(steps, (fault.at_s, next(order), begin))
        if self._schedule.key_removed_s:
            at_s = self._schedule.key_removed_s
            heapq.heappush(steps, (at_s, next(order), self._teams.remove_key))
        while steps:
            at_s, _order, act = heapq.heappop(steps)
            self._wait_until(at_s)
            act()
        self._wait_until(self._schedule.seconds)

    def _begin(
        self,
        fault: Fault,
        steps: list[tuple[float, int, Callable[[], object]]],
        order: Iterator[int],
    ) -> None:
        end = self._begin_by_kind[fault.kind](fault)
        heapq.heappush(steps, (fault.at_s + fault.for_s, next(order), end))

    def _wait_until(self, at_s: float) -> None:
        time.sleep(max(0, at_s - self._fleet.now_s()))

    def _submit(self) -> None:
        self._fleet.submit(_ITEMS)
        self.history.items = [f'item-{number}' for number in range(_ITEMS)]

    def _call_until_end(self, caller: int) -> None:
        rng = random.Random(f'{self._schedule.seed} {caller}')
        while not self._ending.wait(_PAUSE_S):
            host = rng.randrange(self._schedule.hosts)
            once = rng.random() < _ONCE_SHARE
            kind = 'once' if once else 'stream'
            prefix = ONCE_PREFIX if once else users.STREAM_PREFIX
            part = rng.choices(_ONLINE_PARTS, _ONLINE_WEIGHTS)[0]
            self._call(kind, host, prefix, part)

    def _probe_until_end(self) -> None:
        while not self._ending.wait(_PROBE_S):
            for path in tuple(self.history.routes):
                for host in range(self._schedule.hosts):
                    self._call('probe', host, path)

    def _call_last(self) -> None:
        self._fleet.wait_ready()
        for number in range(_LAST_CALLS):
            host = number % self._schedule.hosts
            self._call('last', host, users.STREAM_PREFIX)

    def _call(self, kind: str, host: int, path: str, part: str = '') -> None:
        request_id = f'{kind}-{next(self._numbers)}'
        sent_s = self._fleet.now_s()
        shared = (part,) if part else ()
        headers = {
            'Request-Id': request_id,
            'Model': 'm',
            'Prompt-Prefix': prompt_prefix(*shared),
        }
        status, body = self._answer(self._fleet.daemons[host], headers, path)
        self.history.calls.append(
            Call(
                kind,
                request_id,
                host,
                path,
                sent_s,
                self._fleet.now_s(),
                status,
                own=body == whole_body(request_id),
            )
        )

    def _answer(
        self, daemon: DaemonProcess, headers: Mapping[str, str], path: str
    ) -> tuple[int, bytes]:
        body = f'{REQUEST_PREFIX}{headers["Request-Id"]}'.encode()
        try:
            answer = daemon.call('POST', f'{path}1', body=body, headers=headers)
        except urllib3.exceptions.HTTPError:
            return 0, b''
        return answer.status, answer.data

    def _read_results(self) -> None:
        wait_until(self._all_listed, _RESULTS_S)

    def _all_listed(self) -> bool:
        listed = [listing['Id'] for listing in results(self._fleet.daemons[0])]
        self.history.results = listed
        return len(listed) >= _ITEMS


def play(
    schedule: Schedule,
    folder: Path | None,
    in_force_s: float = IN_FORCE_S,
    root: Path = ROOT,
) -> list[str]:
    """Play a schedule; return a line for each broken promise.

    Args:
        schedule: what is played.
        folder: gets schedule, report and logs; None writes nothing.
        in_force_s: seconds after which a change has to be in force.
        root: the checkout whose product the hosts run until they are started
            again.
    """
    soak = Soak(schedule, root)
    soak.history.in_force_s = in_force_s
    try:
        soak.run()
        broken = broken_promises(soak.history)
        if folder is not None:
            _write(folder, schedule, soak, broken)
    finally:
        soak.close()
    return broken


def _write(
    folder: Path, schedule: Schedule, soak: Soak, broken: list[str]
) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    schedule.write(folder / _SCHEDULE_FILE)
    report = {
        'broken': broken,
        'history': dataclasses.asdict(soak.history),
    }
    (folder / _REPORT_FILE).write_text(
        json.dumps(report, indent=1, default=sorted), encoding='utf-8'
    )
    for name, log in soak.logs.items():
        (folder / f'{name}.log').write_text(log, encoding='utf-8')


def _drawing_options(command: Callable[..., None]) -> Callable[..., None]:
    """Add the options of which the schedule is drawn."""
    options = (
        click.option('--seed', default=1, help='Draws the faults.'),
        click.option('--seconds', default=30.0, help='Length of the soak.'),
        click.option('--hosts', default=4, help='Number of hosts.'),
        click.option(
            '--teams',
            is_flag=True,
            help='Callers have keys, and one is removed.',
        ),
        click.option(
            '--moves',
            is_flag=True,
            help='Long jobs move between hosts all the time.',
        ),
    )
    return functools.reduce(_decorated, options, command)


def _decorated(
    command: Callable[..., None],
    option: Callable[[Callable[..., None]], Callable[..., None]],
) -> Callable[..., None]:
    return option(command)


@click.command()
@_drawing_options
@click.option('--folder', type=click.Path(path_type=Path))
@click.option('--replay', type=click.Path(exists=True, path_type=Path))
@click.option(
    '--earlier',
    type=click.Path(exists=True, path_type=Path),
    help='Checkout of the version that all hosts run at first.',
)
def main(
    folder: Path | None,
    replay: Path | None,
    earlier: Path | None,
    teams: bool,
    moves: bool,
    **drawn: Any,
) -> None:
    """Play a soak and print each broken promise."""
    schedule = draw_schedule(**drawn)
    if replay is not None:
        schedule = read_schedule(replay / _SCHEDULE_FILE)
    elif earlier is not None:
        schedule = with_upgrade(schedule)
    if teams:
        schedule = with_teams(schedule)
    if moves:
        schedule = with_moves(schedule)
    broken = play(schedule, folder, root=earlier or ROOT)
    for line in broken:
        click.echo(line)
    faults = len(schedule.faults)
    click.echo(f'seed {schedule.seed}: {faults} faults, {len(broken)} broken')
    sys.exit(1 if broken else 0)


if __name__ == '__main__':
    main()
