"""Platform calls and stored bytes of an embedded fleet, by what it has."""

from __future__ import annotations

import base64
import dataclasses
import functools
import time
from collections.abc import Mapping

from guavadyke.client import Client
from guavadyke.embedded import EmbeddedPlan
from guavadyke.measure.batchload import BatchJob, job_line
from guavadyke.measure.embedded_target import embedded_target
from guavadyke.measure.experiment import Engines
from guavadyke.measure.standin_calls import StandinControl
from guavadyke.measure.target import Target
from guavadyke.standins.continuous_batching import ContinuousBatchSpec

HOST_SIZES = (1, 2, 3, 4)
ITEM_SIZES = (500, 1000, 2000, 4000)
JOB_SIZES = (2, 4, 8, 16)
EDIT_SIZES = (5, 10, 20, 40)
_READS = ('read', 'list', 'watch', 'hosts')
_WRITES = ('write', 'delete')
_STORED_KINDS = ('chunk-input', 'chunk-result', 'chunk', 'job')
_WATCHED_S = 22.0
_SETTLE_S = 3.0
_LOOK_INTERVAL_S = 0.2
_LONGEST_S = 90
_TOKENS = 1
_ITEMS_OF_OPEN_JOB = 20
_USUAL_ITEMS = 423
_JOBS = 5
_ZONE = 'cali-norte'
_ENGINE = ContinuousBatchSpec(slots=64, step_s=0.005, step_growth_s=0)


def _plan(hosts: int) -> EmbeddedPlan:
    return EmbeddedPlan(
        zones=(_ZONE,),
        entry_hosts=hosts,
        engines=1,
        engine=_ENGINE,
    )


def idle_reads(hosts: int, seed: int) -> float:
    """Return the reads a second of a fleet without work."""
    return _idle(hosts).reads


def idle_writes(hosts: int, seed: int) -> float:
    """Return the writes a second of a fleet without work."""
    return _idle(hosts).writes


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
        return _rate(target).reads


def job_reads_of_fleet(hosts: int, seed: int) -> float:
    """Return the reads of all hosts for one job of the usual size."""
    with embedded_target(_plan(hosts)) as target:
        engines = Engines(target.engines())
        time.sleep(_SETTLE_S)
        before, started_at = _calls(target), time.monotonic()
        for number in range(_JOBS):
            BatchJob(target, _lines(f'fleet {number}', _USUAL_ITEMS)).submit()
        _wait(engines, _JOBS * _USUAL_ITEMS)
        time.sleep(_SETTLE_S)
        idle = _idle(hosts).reads * (time.monotonic() - started_at)
        return (_calls(target).reads - before.reads - idle) / _JOBS


def job_writes(items: int, seed: int) -> float:
    """Return the writes of a job from its submission to its end."""
    return _job(items).writes


def job_reads(items: int, seed: int) -> float:
    """Return the reads of a job from its submission to its end."""
    return _job(items).reads


def job_bytes(items: int, seed: int) -> float:
    """Return the bytes that the platform holds of a job that ended."""
    return _job(items).stored_bytes


def edit_writes(edits: int, seed: int) -> float:
    """Return the writes of edits of the catalogue."""
    with embedded_target(_plan(1)) as target:
        before = _calls(target).writes
        for number in range(edits):
            target.put_tail_weight(number / edits)
        return _calls(target).writes - before


@dataclasses.dataclass(frozen=True)
class _Cost:
    """Calls to the platform, or calls a second, and bytes that it holds."""

    reads: float
    writes: float
    stored_bytes: float = 0


@functools.cache
def _idle(hosts: int) -> _Cost:
    """Return the calls a second of a fleet without work."""
    with embedded_target(_plan(hosts)) as target:
        time.sleep(_SETTLE_S)
        return _rate(target)


@functools.cache
def _job(items: int) -> _Cost:
    """Return the cost of a job, without that of an idle fleet."""
    idle = _idle(1)
    with embedded_target(_plan(1)) as target:
        engines = Engines(target.engines())
        time.sleep(_SETTLE_S)
        before, started_at = _calls(target), time.monotonic()
        BatchJob(target, _lines('slope', items)).submit()
        _wait(engines, items)
        time.sleep(_SETTLE_S)
        after, seconds = _calls(target), time.monotonic() - started_at
        return _Cost(
            after.reads - before.reads - idle.reads * seconds,
            after.writes - before.writes - idle.writes * seconds,
            _stored_bytes(target),
        )


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


def _rate(target: Target) -> _Cost:
    """Return the calls a second, over more than a watch's wait."""
    before, started_at = _calls(target), time.monotonic()
    time.sleep(_WATCHED_S)
    after, seconds = _calls(target), time.monotonic() - started_at
    return _Cost(
        (after.reads - before.reads) / seconds,
        (after.writes - before.writes) / seconds,
    )


def _calls(target: Target) -> _Cost:
    counts = StandinControl(target.platform_address).counts()
    return _Cost(
        sum(counts.get(operation, 0) for operation in _READS),
        sum(counts.get(operation, 0) for operation in _WRITES),
    )


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
