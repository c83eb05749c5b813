"""Experiment on the latency and throughput of one entry host.

Rounds of direct and relayed requests alternate, so that other work on the
machine affects both alike.
"""

from __future__ import annotations

import dataclasses
import itertools
import time

from guavadyke.measure.experiment import (
    Engines,
    ExperimentResult,
    Setup,
    count,
    first_tokens,
    gaps,
)
from guavadyke.measure.load_generator import (
    ClosedLoad,
    RequestFactory,
    run_closed,
)
from guavadyke.measure.process import cpu_s, resident_bytes
from guavadyke.measure.recorder import MEDIAN, P99, LatencyRecorder
from guavadyke.measure.report import Figure, figure, ratio
from guavadyke.measure.stream_client import Ending, StreamRequest, StreamResult
from guavadyke.measure.target import Target, direct_request

_LATENCY_STREAMS = 20
_THROUGHPUT_STREAMS = 200
_ROUNDS = 6
_TOKENS = 32
_LONG_TOKENS = 256
_DEADLINE_S = 60
_SETTLE_S = 2.0
_KIBIBYTE = 1024
_ADDED_TARGETS = ('<= 3', '<= 10')


def run(setup: Setup) -> ExperimentResult:
    """Compare relayed with direct streams, then load one entry host."""
    target = dataclasses.replace(
        setup.target,
        caller_urls=setup.target.caller_urls[:1],
    )
    engines = Engines(target.engines())
    round_s = setup.seconds / _ROUNDS
    direct, relayed = _Rounds(), _Rounds()
    for _ in range(_ROUNDS // 2):
        direct.add(_direct_requests(target, engines), round_s)
        relayed.add(_relayed_requests(target, _TOKENS), round_s)
    return ExperimentResult(
        figures=(
            *_latency_figures(
                'ttft', direct.first_tokens, relayed.first_tokens
            ),
            *_latency_figures('gap', direct.gaps, relayed.gaps),
            *_throughput_figures(target, round_s * 2),
        ),
        policy={'fleet': target.tail_weight()},
    )


class _Rounds:
    """Results of several rounds of direct, or of relayed, requests."""

    def __init__(self) -> None:
        self._results: list[StreamResult] = []

    @property
    def first_tokens(self) -> LatencyRecorder:
        """Latencies to the first token."""
        return first_tokens(self._results)

    @property
    def gaps(self) -> LatencyRecorder:
        """Latencies between consecutive tokens."""
        return gaps(self._results)

    def add(self, make_request: RequestFactory, seconds: float) -> None:
        """Run one round and add its results."""
        load = run_closed(make_request, _LATENCY_STREAMS, seconds)
        self._results.extend(load.results)


def _direct_requests(target: Target, engines: Engines) -> RequestFactory:
    addresses = [server.address for server in engines.servers.values()]

    def make_request(number: int) -> StreamRequest:
        return direct_request(
            addresses[number % len(addresses)],
            target.model,
            _prompt(number),
            _TOKENS,
            _DEADLINE_S,
        )

    return make_request


def _relayed_requests(target: Target, tokens: int) -> RequestFactory:
    def make_request(number: int) -> StreamRequest:
        return target.request(number, _prompt(number), tokens, _DEADLINE_S)

    return make_request


def _prompt(number: int) -> str:
    return f'{number} may be answered'


def _latency_figures(
    name: str,
    direct: LatencyRecorder,
    relayed: LatencyRecorder,
) -> tuple[Figure, ...]:
    targets = _ADDED_TARGETS if name == 'ttft' else (None, None)
    pairs = zip((MEDIAN, P99), ('p50', 'p99'), targets, strict=True)
    return tuple(
        itertools.chain.from_iterable(
            (
                figure(
                    f'direct.{name}_{percentile_name}',
                    direct.percentile_ms(percentile),
                    'ms',
                ),
                figure(
                    f'relayed.{name}_{percentile_name}',
                    relayed.percentile_ms(percentile),
                    'ms',
                ),
                figure(
                    f'added.{name}_{percentile_name}',
                    _difference(
                        relayed.percentile_ms(percentile),
                        direct.percentile_ms(percentile),
                    ),
                    'ms',
                    added_target,
                ),
            )
            for percentile, percentile_name, added_target in pairs
        ),
    )


def _difference(later: float | None, earlier: float | None) -> float | None:
    if later is None or earlier is None:
        return None
    return later - earlier


@dataclasses.dataclass(frozen=True)
class _ResourceUsage:
    """Resource usage of a process; fields are None if unknown."""

    cpu_s: float | None
    resident_bytes: int | None


def _resource_usage(pid: int | None) -> _ResourceUsage:
    if pid is None:
        return _ResourceUsage(None, None)
    return _ResourceUsage(cpu_s(pid), resident_bytes(pid))


def _throughput_figures(target: Target, seconds: float) -> tuple[Figure, ...]:
    """Measure throughput, CPU and memory of a host with many streams.

    Args:
        target: the fleet, with one entry host.
        seconds: length of the measurement, after the load has settled.
    """
    idle = _resource_usage(target.host_pid)
    load = ClosedLoad(
        _relayed_requests(target, _LONG_TOKENS), _THROUGHPUT_STREAMS
    )
    with load:
        time.sleep(_SETTLE_S)
        before, started_at = _resource_usage(target.host_pid), time.monotonic()
        time.sleep(seconds)
        after, ended_at = _resource_usage(target.host_pid), time.monotonic()
    results = load.result().results
    window_s = ended_at - started_at
    tokens = sum(
        sum(
            started_at <= token_at < ended_at for token_at in stream.token_times
        )
        for stream in results
    )
    return (
        figure('streams', _THROUGHPUT_STREAMS, 'streams'),
        figure(
            'not_whole',
            len(results) - count(results, Ending.whole),
            'requests',
        ),
        figure('tokens_rate', tokens / window_s, 'tokens/s', '>= 10000'),
        figure(
            'host_processor',
            ratio(
                _difference(after.cpu_s, before.cpu_s),
                window_s,
            ),
            'cores',
        ),
        figure(
            'memory_per_stream',
            ratio(
                _difference(after.resident_bytes, idle.resident_bytes),
                _THROUGHPUT_STREAMS * _KIBIBYTE,
            ),
            'KiB',
        ),
    )
