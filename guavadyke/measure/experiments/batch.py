"""Batch throughput, platform calls, takeover, large jobs and poison."""

from __future__ import annotations

import time

from guavadyke.measure.batchload import BatchJob, job_line
from guavadyke.measure.experiment import Engines, Outcome, Setup
from guavadyke.measure.process import peak_bytes
from guavadyke.measure.report import Figure, figure, ratio
from guavadyke.measure.standin_calls import EngineRecord, StandinControl
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
_LONGEST_S = 120
_LOOK_INTERVAL_S = 0.5
_SETTLE_S = 2.0
_IDLE_S = 5.0
_POISON = (('standin', 'crash'),)


def run(setup: Setup) -> Outcome:
    """Run jobs on the fleet, with and without poison, and a large one."""
    target = setup.target
    engines = Engines(target.engines())
    idle_rate = _idle_calls_rate(target)
    plain: list[_JobRun] = []
    poisoned: list[_JobRun] = []
    for number in range(_ROUNDS):
        plain.append(_JobRun(target, engines, f'plain {number}', ()))
        poisoned.append(_JobRun(target, engines, f'poison {number}', _POISON))
    return Outcome(
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
    """One job, run to its end.

    Args:
        target: the fleet.
        engines: its engines.
        name: name of the job.
        poison: metadata of every thousandth item.
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
        calls_before = _calls(target)
        started_at = time.monotonic()
        engines.mark()
        job = BatchJob(target, self._lines(name))
        self.submit_s = job.submit()
        self.ended = self._wait()
        time.sleep(_SETTLE_S)
        self.seconds = time.monotonic() - started_at
        self.calls = _difference(_calls(target), calls_before)

    @property
    def rate(self) -> float | None:
        """Items a second from the first start to the last end."""
        ends = [one.ended for one in self.ended if one.ended is not None]
        if len(ends) < _ITEMS - _ITEMS // _POISON_EVERY:
            return None
        starts = [one.started for one in self.ended]
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

    def _wait(self) -> list[EngineRecord]:
        """Wait at the engines, so that looking costs the platform nothing."""
        wanted = _ITEMS
        if self._poison:
            wanted -= _ITEMS // _POISON_EVERY
        until = time.monotonic() + _LONGEST_S
        completed: list[EngineRecord] = []
        while len(completed) < wanted and time.monotonic() < until:
            time.sleep(_LOOK_INTERVAL_S)
            completed = [
                one
                for one in self._engines.records()
                if one.outcome == 'completed'
            ]
        return completed


def _mean_rate(runs: list[_JobRun]) -> float | None:
    rates = [one.rate for one in runs]
    known = [rate for rate in rates if rate is not None]
    if len(known) < len(rates):
        return None
    return sum(known) / len(known)


def _poison_figures(
    plain: list[_JobRun],
    poisoned: list[_JobRun],
) -> tuple[Figure, ...]:
    share = ratio(_mean_rate(poisoned), _mean_rate(plain))
    slower = None if share is None else 1 - share
    return (
        figure('poisoned.items_rate', _mean_rate(poisoned), 'items/s'),
        figure('poisoned.slower', slower, '1', '<= 0.02'),
    )


def _calls(target: Target) -> int | None:
    if not target.platform_address:
        return None
    return sum(StandinControl(target.platform_address).counts().values())


def _difference(later: float | None, earlier: float | None) -> float | None:
    if later is None or earlier is None:
        return None
    return later - earlier


def _idle_calls_rate(target: Target) -> float | None:
    before = _calls(target)
    time.sleep(_IDLE_S)
    return ratio(_difference(_calls(target), before), _IDLE_S)


def _call_figures(
    plain: list[_JobRun],
    idle_rate: float | None,
) -> tuple[Figure, ...]:
    thousands = len(plain) * _ITEMS / _THOUSAND
    known = [one.calls for one in plain if one.calls is not None]
    calls = sum(known) if len(known) == len(plain) else None
    seconds = sum(one.seconds for one in plain)
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
    """Submit the largest job that is allowed, and cancel it."""
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
    """Lose a host that runs items and wait until others run them."""
    return (
        figure(
            'takeover',
            _takeover_s(target, engines),
            's',
            '<= 20',
        ),
    )


def _takeover_s(target: Target, engines: Engines) -> float | None:
    if target.lose_host is None:
        return None
    lines = [
        job_line(f'taken {number}', _LONG_TOKENS)
        for number in range(_LONG_ITEMS)
    ]
    engines.mark()
    BatchJob(target, lines).submit()
    time.sleep(_SETTLE_S)
    running = [one for one in engines.records() if one.outcome == 'running']
    if not running:
        return None
    host_id = running[-1].host_id
    target.lose_host(host_id)
    return _taken_over_s(engines, host_id, time.time())


def _taken_over_s(
    engines: Engines,
    host_id: str,
    lost_at: float,
) -> float | None:
    """Wait until other hosts have started each item that was cut off."""
    time.sleep(_LOOK_INTERVAL_S)
    cut_off = {
        one.prompt
        for one in engines.records()
        if one.host_id == host_id and one.outcome == 'cancelled'
    }
    while cut_off and time.time() < lost_at + _LONGEST_S:
        time.sleep(_LOOK_INTERVAL_S)
        again = {
            one.prompt: one.started
            for one in engines.records()
            if one.host_id != host_id and one.prompt in cut_off
        }
        if len(again) == len(cut_off):
            return max(again.values()) - lost_at
    return None
