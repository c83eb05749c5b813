"""Platform calls and stored bytes of an embedded fleet.

They are measured by number of hosts, jobs, items or edits.
"""

from __future__ import annotations

import base64
import dataclasses
import functools
import time
from collections.abc import Mapping

from guavadyke.client import Client
from guavadyke.embedded_fleet import EmbeddedPlan
from guavadyke.measure.batch_load import BatchJob, job_line
from guavadyke.measure.embedded_target import embedded_target
from guavadyke.measure.experiment import Engines
from guavadyke.measure.standin_client import StandinControl
from guavadyke.measure.target import Target
from guavadyke.standins.continuous_batching import ContinuousBatchSpec

HOST_SIZES = (1, 2, 3, 4)
ITEM_SIZES = (500, 1000, 2000, 4000)
JOB_SIZES = (2, 4, 8, 16)
EDIT_SIZES = (5, 10, 20, 40)
_READS = ('read', 'list', 'watch', 'hosts')
_WRITES = ('write', 'delete')
_STORED_KINDS = ('chunk-input', 'chunk-result', 'chunk', 'job')
_OBSERVATION_S = 22.0
_SETTLE_S = 3.0
_POLL_INTERVAL_S = 0.2
_MAX_WAIT_S = 90
_TOKENS = 1
_ITEMS_OF_OPEN_JOB = 20
_TYPICAL_JOB_ITEMS = 423
_JOB_COUNT = 5
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
    """Return the reads per second of an idle fleet."""
    return _idle_call_rate(hosts).reads


def idle_writes(hosts: int, seed: int) -> float:
    """Return the writes per second of an idle fleet."""
    return _idle_call_rate(hosts).writes


def open_job_reads(jobs: int, seed: int) -> float:
    """Return the reads per second of one host with open jobs.

    Its engine never answers, so that the jobs stay open.
    """
    with embedded_target(_plan(1)) as target:
        engines = Engines(target.engines())
        for control in engines.controls.values():
            control.set_faults(silent=True)
        for number in range(jobs):
            BatchJob(
                target, _item_lines(f'open {number}', _ITEMS_OF_OPEN_JOB)
            ).submit()
        time.sleep(_SETTLE_S)
        return _call_rate(target).reads


def fleet_job_reads(hosts: int, seed: int) -> float:
    """Return the reads of all hosts for one job of typical size.

    The reads of an idle fleet are subtracted.
    """
    with embedded_target(_plan(hosts)) as target:
        engines = Engines(target.engines())
        time.sleep(_SETTLE_S)
        before, started_at = _platform_calls(target), time.monotonic()
        for number in range(_JOB_COUNT):
            BatchJob(
                target, _item_lines(f'fleet {number}', _TYPICAL_JOB_ITEMS)
            ).submit()
        _wait_until_completed(engines, _JOB_COUNT * _TYPICAL_JOB_ITEMS)
        time.sleep(_SETTLE_S)
        idle = _idle_call_rate(hosts).reads * (time.monotonic() - started_at)
        return (
            _platform_calls(target).reads - before.reads - idle
        ) / _JOB_COUNT


def job_writes(items: int, seed: int) -> float:
    """Return the writes of a job from its submission to its end."""
    return _job_cost(items).writes


def job_reads(items: int, seed: int) -> float:
    """Return the reads of a job from its submission to its end."""
    return _job_cost(items).reads


def job_bytes(items: int, seed: int) -> float:
    """Return the bytes that the platform stores for an ended job."""
    return _job_cost(items).stored_bytes


def edit_writes(edits: int, seed: int) -> float:
    """Return the writes of a number of catalogue edits."""
    with embedded_target(_plan(1)) as target:
        before = _platform_calls(target).writes
        for number in range(edits):
            target.set_tail_weight(number / edits)
        return _platform_calls(target).writes - before


@dataclasses.dataclass(frozen=True)
class _PlatformCost:
    """Platform calls, or calls per second, and stored bytes."""

    reads: float
    writes: float
    stored_bytes: float = 0


@functools.cache
def _idle_call_rate(hosts: int) -> _PlatformCost:
    """Return the calls per second of an idle fleet."""
    with embedded_target(_plan(hosts)) as target:
        time.sleep(_SETTLE_S)
        return _call_rate(target)


@functools.cache
def _job_cost(items: int) -> _PlatformCost:
    """Return the cost of a job; that of an idle fleet is subtracted."""
    idle = _idle_call_rate(1)
    with embedded_target(_plan(1)) as target:
        engines = Engines(target.engines())
        time.sleep(_SETTLE_S)
        before, started_at = _platform_calls(target), time.monotonic()
        BatchJob(target, _item_lines('slope', items)).submit()
        _wait_until_completed(engines, items)
        time.sleep(_SETTLE_S)
        after, seconds = _platform_calls(target), time.monotonic() - started_at
        return _PlatformCost(
            after.reads - before.reads - idle.reads * seconds,
            after.writes - before.writes - idle.writes * seconds,
            _stored_bytes(target),
        )


def _wait_until_completed(engines: Engines, items: int) -> None:
    timeout_at = time.monotonic() + _MAX_WAIT_S
    while time.monotonic() < timeout_at:
        ended = sum(
            record.outcome == 'completed' for record in engines.records()
        )
        if ended >= items:
            return
        time.sleep(_POLL_INTERVAL_S)
    raise TimeoutError(f'{items} items were not run within {_MAX_WAIT_S} s')


def _item_lines(name: str, items: int) -> list[bytes]:
    return [
        job_line(f'{name} {item_number}', _TOKENS)
        for item_number in range(items)
    ]


def _call_rate(target: Target) -> _PlatformCost:
    """Return the calls per second.

    The time of observation is longer than the wait of one watch call, so
    that each watch is counted.
    """
    before, started_at = _platform_calls(target), time.monotonic()
    time.sleep(_OBSERVATION_S)
    after, seconds = _platform_calls(target), time.monotonic() - started_at
    return _PlatformCost(
        (after.reads - before.reads) / seconds,
        (after.writes - before.writes) / seconds,
    )


def _platform_calls(target: Target) -> _PlatformCost:
    counts = StandinControl(target.platform_address).counts()
    return _PlatformCost(
        sum(counts.get(operation, 0) for operation in _READS),
        sum(counts.get(operation, 0) for operation in _WRITES),
    )


def _stored_bytes(target: Target) -> int:
    platform = Client(f'http://{target.platform_address}', '')
    return sum(
        len(base64.b64decode(str(stored_object['body'])))
        for kind in _STORED_KINDS
        for stored_object in _objects(platform, kind)
    )


def _objects(platform: Client, kind: str) -> list[Mapping[str, object]]:
    answer = platform.expect('GET', f'/objects/{kind}?limit=1000')
    objects: list[Mapping[str, object]] = answer.document()['objects']
    return objects
