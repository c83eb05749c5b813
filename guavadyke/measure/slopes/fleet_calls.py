"""Platform calls and stored bytes of an embedded fleet, by what it has."""

from __future__ import annotations

import base64
import time
from collections.abc import Callable, Mapping

from guavadyke.client import Client
from guavadyke.embedded import EmbeddedPlan
from guavadyke.measure.batchload import BatchJob, job_line
from guavadyke.measure.embedded_target import embedded_target
from guavadyke.measure.experiment import Engines
from guavadyke.measure.standin_calls import StandinControl
from guavadyke.measure.target import Target
from guavadyke.standins.batching import BatchSpec

HOST_SIZES = (1, 2, 3, 4)
ITEM_SIZES = (500, 1000, 2000, 4000)
JOB_SIZES = (2, 4, 8, 16)
EDIT_SIZES = (5, 10, 20, 40)
_READS = ('read', 'list', 'watch', 'hosts')
_WRITES = ('write', 'delete')
_STORED_KINDS = ('chunk-input', 'chunk-result', 'chunk', 'job')
_WATCHED_S = 8.0
_SETTLE_S = 3.0
_LOOK_INTERVAL_S = 0.2
_LONGEST_S = 90
_TOKENS = 1
_ITEMS_OF_OPEN_JOB = 20
_USUAL_ITEMS = 423
_JOBS = 5
_ZONE = 'cali-norte'
_ENGINE = BatchSpec(slots=64, step_s=0.005, step_growth_s=0)


def _plan(hosts: int) -> EmbeddedPlan:
    return EmbeddedPlan(
        zones=(_ZONE,),
        entry_hosts=hosts,
        engines=1,
        engine=_ENGINE,
    )


def idle_reads(hosts: int, seed: int) -> float:
    """Return the reads a second of a fleet without work."""
    with embedded_target(_plan(hosts)) as target:
        time.sleep(_SETTLE_S)
        return _rate(target, _READS)


def idle_writes(hosts: int, seed: int) -> float:
    """Return the writes a second of a fleet without work."""
    with embedded_target(_plan(hosts)) as target:
        time.sleep(_SETTLE_S)
        return _rate(target, _WRITES)


def open_job_reads(jobs: int, seed: int) -> float:
    """Return the reads a second of one host with jobs that wait.

    Its engine answers nothing, so that the jobs stay open.
    """
    with embedded_target(_plan(1)) as target:
        engines = Engines(target.engines())
        for control in engines.controls.values():
            control.put_faults(silent=True)
        for number in range(jobs):
            BatchJob(
                target, _lines(f'open {number}', _ITEMS_OF_OPEN_JOB)
            ).submit()
        time.sleep(_SETTLE_S)
        return _rate(target, _READS)


def job_reads_of_fleet(hosts: int, seed: int) -> float:
    """Return the reads of all hosts for one job of the usual size."""
    before = idle_reads(hosts, seed)
    with embedded_target(_plan(hosts)) as target:
        engines = Engines(target.engines())
        time.sleep(_SETTLE_S)
        reads, started_at = _calls(target, _READS), time.monotonic()
        for number in range(_JOBS):
            BatchJob(target, _lines(f'fleet {number}', _USUAL_ITEMS)).submit()
        _wait(engines, _JOBS * _USUAL_ITEMS)
        time.sleep(_SETTLE_S)
        idle = before * (time.monotonic() - started_at)
        return (_calls(target, _READS) - reads - idle) / _JOBS


def job_writes(items: int, seed: int) -> float:
    """Return the writes of a job from its submission to its end."""
    return _job_cost(items, lambda target: _calls(target, _WRITES))


def job_reads(items: int, seed: int) -> float:
    """Return the reads of a job from its submission to its end."""
    return _job_cost(items, lambda target: _calls(target, _READS))


def job_bytes(items: int, seed: int) -> float:
    """Return the bytes that the platform holds of a job that ended."""
    return _job_cost(items, _stored_bytes)


def edit_writes(edits: int, seed: int) -> float:
    """Return the writes of edits of the catalogue."""
    with embedded_target(_plan(1)) as target:
        before = _calls(target, _WRITES)
        for number in range(edits):
            target.put_tail_weight(number / edits)
        return _calls(target, _WRITES) - before


def _job_cost(items: int, cost: Callable[[Target], float]) -> float:
    with embedded_target(_plan(1)) as target:
        engines = Engines(target.engines())
        time.sleep(_SETTLE_S)
        before = cost(target)
        BatchJob(target, _lines('slope', items)).submit()
        _wait(engines, items)
        time.sleep(_SETTLE_S)
        return cost(target) - before


def _wait(engines: Engines, items: int) -> None:
    until = time.monotonic() + _LONGEST_S
    while time.monotonic() < until:
        ended = sum(one.outcome == 'completed' for one in engines.records())
        if ended >= items:
            return
        time.sleep(_LOOK_INTERVAL_S)
    raise TimeoutError(f'{items} items were not run in {_LONGEST_S} s')


def _lines(name: str, items: int) -> list[bytes]:
    return [job_line(f'{name} {place}', _TOKENS) for place in range(items)]


def _rate(target: Target, operations: tuple[str, ...]) -> float:
    before = _calls(target, operations)
    started_at = time.monotonic()
    time.sleep(_WATCHED_S)
    calls = _calls(target, operations) - before
    return calls / (time.monotonic() - started_at)


def _calls(target: Target, operations: tuple[str, ...]) -> int:
    counts = StandinControl(target.platform_address).counts()
    return sum(counts.get(operation, 0) for operation in operations)


def _stored_bytes(target: Target) -> int:
    platform = Client(f'http://{target.platform_address}', '')
    return sum(
        len(base64.b64decode(str(one['body'])))
        for kind in _STORED_KINDS
        for one in _objects(platform, kind)
    )


def _objects(platform: Client, kind: str) -> list[Mapping[str, object]]:
    answer = platform.expect('GET', f'/objects/{kind}?limit=1000')
    objects: list[Mapping[str, object]] = answer.document()['objects']
    return objects
