"""What one entry host adds to a stream, and how much it relays.

Direct and relayed requests take turns in short rounds, so that what else
the machine does meets both alike.
"""

from __future__ import annotations

import dataclasses
import itertools
import time

from guavadyke.measure.client import Ending, StreamRequest, StreamResult
from guavadyke.measure.experiment import (
    Engines,
    Outcome,
    Setup,
    count,
    first_tokens,
    gaps,
)
from guavadyke.measure.loadgen import (
    ClosedLoad,
    RequestMaker,
    run_closed,
)
from guavadyke.measure.process import processor_s, resident_bytes
from guavadyke.measure.recorder import MEDIAN, P99, LatencyRecorder
from guavadyke.measure.report import Figure, figure, ratio
from guavadyke.measure.target import Target, direct_request

_FEW_STREAMS = 20
_MANY_STREAMS = 200
_ROUNDS = 6
_TOKENS = 32
_LONG_TOKENS = 256
_DEADLINE_S = 60
_SETTLE_S = 2.0
_KIBIBYTE = 1024
_ADDED_TARGETS = ('<= 3', '<= 10')


def run(setup: Setup) -> Outcome:
    """Compare relayed streams with direct ones, then fill one host."""
    target = dataclasses.replace(
        setup.target,
        caller_urls=setup.target.caller_urls[:1],
    )
    engines = Engines(target.engines())
    round_s = setup.seconds / _ROUNDS
    direct, relayed = _Rounds(), _Rounds()
    for _ in range(_ROUNDS // 2):
        direct.add(_direct(target, engines), round_s)
        relayed.add(_relayed(target, _TOKENS), round_s)
    return Outcome(
        figures=(
            *_latency_figures(
                'ttft', direct.first_tokens, relayed.first_tokens
            ),
            *_latency_figures('gap', direct.gaps, relayed.gaps),
            *_volume_figures(target, round_s * 2),
        ),
        policy={'fleet': target.tail_weight()},
    )


class _Rounds:
    """Results of several rounds of the same kind."""

    def __init__(self) -> None:
        self._results: list[StreamResult] = []

    @property
    def first_tokens(self) -> LatencyRecorder:
        """Times to the first token."""
        return first_tokens(self._results)

    @property
    def gaps(self) -> LatencyRecorder:
        """Times between tokens."""
        return gaps(self._results)

    def add(self, make: RequestMaker, seconds: float) -> None:
        """Run one round."""
        load = run_closed(make, _FEW_STREAMS, seconds)
        self._results.extend(load.results)


def _direct(target: Target, engines: Engines) -> RequestMaker:
    addresses = [server.address for server in engines.servers.values()]

    def make(number: int) -> StreamRequest:
        return direct_request(
            addresses[number % len(addresses)],
            target.model,
            _prompt(number),
            _TOKENS,
            _DEADLINE_S,
        )

    return make


def _relayed(target: Target, tokens: int) -> RequestMaker:
    def make(number: int) -> StreamRequest:
        return target.request(number, _prompt(number), tokens, _DEADLINE_S)

    return make


def _prompt(number: int) -> str:
    return f'{number} may be answered'


def _latency_figures(
    name: str,
    direct: LatencyRecorder,
    relayed: LatencyRecorder,
) -> tuple[Figure, ...]:
    bounds = _ADDED_TARGETS if name == 'ttft' else (None, None)
    pairs = zip((MEDIAN, P99), ('p50', 'p99'), bounds, strict=True)
    return tuple(
        itertools.chain.from_iterable(
            (
                figure(
                    f'direct.{name}_{shown}',
                    direct.percentile_ms(percentile),
                    'ms',
                ),
                figure(
                    f'relayed.{name}_{shown}',
                    relayed.percentile_ms(percentile),
                    'ms',
                ),
                figure(
                    f'added.{name}_{shown}',
                    _difference(
                        relayed.percentile_ms(percentile),
                        direct.percentile_ms(percentile),
                    ),
                    'ms',
                    bound,
                ),
            )
            for percentile, shown, bound in pairs
        ),
    )


def _difference(later: float | None, earlier: float | None) -> float | None:
    if later is None or earlier is None:
        return None
    return later - earlier


@dataclasses.dataclass(frozen=True)
class _Use:
    """What the host's process has used so far."""

    processor_s: float | None
    resident_bytes: int | None


def _use(pid: int | None) -> _Use:
    if pid is None:
        return _Use(None, None)
    return _Use(processor_s(pid), resident_bytes(pid))


def _volume_figures(target: Target, seconds: float) -> tuple[Figure, ...]:
    """Keep many streams under way through one host."""
    idle = _use(target.host_pid)
    load = ClosedLoad(_relayed(target, _LONG_TOKENS), _MANY_STREAMS)
    with load:
        time.sleep(_SETTLE_S)
        before, started_at = _use(target.host_pid), time.monotonic()
        time.sleep(seconds)
        after, ended_at = _use(target.host_pid), time.monotonic()
    results = load.result().results
    window_s = ended_at - started_at
    tokens = sum(
        sum(started_at <= moment < ended_at for moment in one.times)
        for one in results
    )
    return (
        figure('streams', _MANY_STREAMS, 'streams'),
        figure(
            'not_whole',
            len(results) - count(results, Ending.whole),
            'requests',
        ),
        figure('tokens_rate', tokens / window_s, 'tokens/s', '>= 10000'),
        figure(
            'host_processor',
            ratio(
                _difference(after.processor_s, before.processor_s),
                window_s,
            ),
            'cores',
        ),
        figure(
            'memory_per_stream',
            ratio(
                _difference(after.resident_bytes, idle.resident_bytes),
                _MANY_STREAMS * _KIBIBYTE,
            ),
            'KiB',
        ),
    )
