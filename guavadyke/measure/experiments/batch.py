"""Experiment on batch jobs.

It measures throughput with and without items that crash the engine, calls
to the platform, submission of the largest job, and takeover after the loss
of an entry host.
"""

from __future__ import annotations

import time

from guavadyke.measure.batch_load import BatchJob, job_line
from guavadyke.measure.experiment import Engines, ExperimentResult, Setup
from guavadyke.measure.process import peak_bytes
from guavadyke.measure.report import Figure, figure, ratio
from guavadyke.measure.standin_client import EngineRecord, StandinControl
from guavadyke.measure.target import Target

_ITEMS = 2000
_TOKENS = 1
_POISON_EVERY = 1000
_ROUNDS = 2
_LONG_ITEMS = 600
_LONG_TOKENS = 24
_LARGE_ITEMS = 51_000
_THOUSAND = 1000
_MEBIBYTE = 1_048_576
_MAX_WAIT_S = 120
_POLL_INTERVAL_S = 0.5
_SETTLE_S = 2.0
_IDLE_S = 5.0
_POISON = (('standin', 'crash'),)


def run(setup: Setup) -> ExperimentResult:
    """Run jobs with and without poison items, a large job and a takeover."""
    target = setup.target
    engines = Engines(target.engines())
    idle_rate = _idle_calls_rate(target)
    plain: list[_JobRun] = []
    poisoned: list[_JobRun] = []
    for number in range(_ROUNDS):
        plain.append(_JobRun(target, engines, f'plain {number}', ()))
        poisoned.append(_JobRun(target, engines, f'poison {number}', _POISON))
    return ExperimentResult(
        figures=(
            figure('hosts', len(target.caller_urls), 'entry hosts'),
            figure('items_rate', _mean_rate(plain), 'items/s'),
            *_poison_figures(plain, poisoned),
            *_call_figures(plain, idle_rate),
            *_large_figures(target),
            *_takeover_figures(target, engines),
        ),
        policy={'fleet': target.tail_weight()},
    )


class _JobRun:
    """One job, which the constructor submits and waits for.

    ``ended`` holds the completed items, ``seconds`` the time of the run and
    ``calls`` the calls to the platform during the run, None if unknown.

    Args:
        target: the fleet.
        engines: its engines.
        name: name of the job.
        poison: metadata that makes every thousandth item crash its engine;
            empty for a job without such items.
    """

    def __init__(
        self,
        target: Target,
        engines: Engines,
        name: str,
        poison: tuple[tuple[str, str], ...],
    ) -> None:
        self._target = target
        self._engines = engines
        self._poison = poison
        calls_before = _platform_calls(target)
        started_at = time.monotonic()
        engines.start_recording()
        job = BatchJob(target, self._lines(name))
        self.submit_s = job.submit()
        self.ended = self._wait_until_completed()
        time.sleep(_SETTLE_S)
        self.seconds = time.monotonic() - started_at
        self.calls = _difference(_platform_calls(target), calls_before)

    @property
    def rate(self) -> float | None:
        """Items per second between the first start and the last end.

        It is None if items are missing.
        """
        ends = [
            record.ended for record in self.ended if record.ended is not None
        ]
        if len(ends) < _ITEMS - _ITEMS // _POISON_EVERY:
            return None
        starts = [record.started for record in self.ended]
        return len(ends) / (max(ends) - min(starts))

    def _lines(self, name: str) -> list[bytes]:
        return [
            job_line(
                f'{name} {number}',
                _TOKENS,
                None if number % _POISON_EVERY else dict(self._poison),
            )
            for number in range(_ITEMS)
        ]

    def _wait_until_completed(self) -> list[EngineRecord]:
        """Wait until the items have completed, and return their records.

        It polls the engines and not the job, so that it adds no calls to
        the platform.
        """
        expected = _ITEMS
        if self._poison:
            expected -= _ITEMS // _POISON_EVERY
        until = time.monotonic() + _MAX_WAIT_S
        completed: list[EngineRecord] = []
        while len(completed) < expected and time.monotonic() < until:
            time.sleep(_POLL_INTERVAL_S)
            completed = [
                record
                for record in self._engines.records()
                if record.outcome == 'completed'
            ]
        return completed


def _mean_rate(runs: list[_JobRun]) -> float | None:
    rates = [run.rate for run in runs]
    known_values = [rate for rate in rates if rate is not None]
    if len(known_values) < len(rates):
        return None
    return sum(known_values) / len(known_values)


def _poison_figures(
    plain: list[_JobRun],
    poisoned: list[_JobRun],
) -> tuple[Figure, ...]:
    speed_ratio = ratio(_mean_rate(poisoned), _mean_rate(plain))
    slowdown = None if speed_ratio is None else 1 - speed_ratio
    return (
        figure('poisoned.items_rate', _mean_rate(poisoned), 'items/s'),
        figure('poisoned.slower', slowdown, '1', '<= 0.02'),
    )


def _platform_calls(target: Target) -> int | None:
    if not target.platform_address:
        return None
    return sum(StandinControl(target.platform_address).counts().values())


def _difference(later: float | None, earlier: float | None) -> float | None:
    if later is None or earlier is None:
        return None
    return later - earlier


def _idle_calls_rate(target: Target) -> float | None:
    before = _platform_calls(target)
    time.sleep(_IDLE_S)
    return ratio(_difference(_platform_calls(target), before), _IDLE_S)


def _call_figures(
    plain: list[_JobRun],
    idle_rate: float | None,
) -> tuple[Figure, ...]:
    thousands = len(plain) * _ITEMS / _THOUSAND
    known_values = [run.calls for run in plain if run.calls is not None]
    calls = sum(known_values) if len(known_values) == len(plain) else None
    seconds = sum(run.seconds for run in plain)
    idle = None if idle_rate is None else idle_rate * seconds
    return (
        figure('idle.platform_calls_rate', idle_rate, 'calls/s'),
        figure(
            'platform_calls_per_1000_items',
            ratio(_difference(calls, idle), thousands),
            'calls',
            '<= 12',
        ),
        figure(
            'platform_calls_per_1000_items_with_idle',
            ratio(calls, thousands),
            'calls',
        ),
    )


def _large_figures(target: Target) -> tuple[Figure, ...]:
    """Measure the submission of the largest allowed job, and cancel it."""
    lines = [
        job_line(f'large {number}', _TOKENS) for number in range(_LARGE_ITEMS)
    ]
    job = BatchJob(target, lines)
    submit_s = job.submit()
    peak = None if target.host_pid is None else peak_bytes(target.host_pid)
    job.cancel()
    return (
        figure('large.submit', submit_s, 's', '<= 10'),
        figure(
            'large.host_peak_memory',
            ratio(peak, _MEBIBYTE),
            'MiB',
            '<= 200',
        ),
    )


def _takeover_figures(target: Target, engines: Engines) -> tuple[Figure, ...]:
    """Kill a host that runs items and measure how long takeover takes."""
    return (
        figure(
            'takeover',
            _takeover_s(target, engines),
            's',
            '<= 20',
        ),
    )


def _takeover_s(target: Target, engines: Engines) -> float | None:
    if target.kill_host is None:
        return None
    lines = [
        job_line(f'taken {number}', _LONG_TOKENS)
        for number in range(_LONG_ITEMS)
    ]
    engines.start_recording()
    BatchJob(target, lines).submit()
    time.sleep(_SETTLE_S)
    running = [
        record for record in engines.records() if record.outcome == 'running'
    ]
    if not running:
        return None
    host_id = running[-1].host_id
    lost_prompts = {
        record.prompt for record in running if record.host_id == host_id
    }
    target.kill_host(host_id)
    return _wait_for_takeover_s(engines, lost_prompts, host_id, time.time())


def _wait_for_takeover_s(
    engines: Engines,
    lost_prompts: set[str],
    host_id: str,
    lost_at: float,
) -> float | None:
    """Wait until other hosts have started every item of the killed host.

    It returns the seconds from the loss to the last start, or None if items
    were not started in time.
    """
    while time.time() < lost_at + _MAX_WAIT_S:
        time.sleep(_POLL_INTERVAL_S)
        restarted = {
            record.prompt: record.started
            for record in engines.records()
            if record.host_id != host_id and record.prompt in lost_prompts
        }
        if len(restarted) == len(lost_prompts):
            return max(restarted.values()) - lost_at
    return None
