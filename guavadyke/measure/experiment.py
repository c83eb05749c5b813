"""Interface of an experiment, and helpers that experiments share."""

from __future__ import annotations

import dataclasses
import time
from collections.abc import Iterable, Mapping
from typing import Protocol

from guavadyke.catalogue import BackendServerEntry
from guavadyke.measure.load_generator import LoadResult
from guavadyke.measure.occupancy import Interval
from guavadyke.measure.plot import Panel
from guavadyke.measure.recorder import LatencyRecorder, record_latencies
from guavadyke.measure.report import Figure
from guavadyke.measure.standin_client import EngineRecord, StandinControl
from guavadyke.measure.stream_client import Ending, StreamResult
from guavadyke.measure.target import Target


@dataclasses.dataclass(frozen=True)
class Setup:
    """Input of an experiment.

    ``seconds`` is the length of each phase of load.
    """

    target: Target
    seconds: float
    seed: int


@dataclasses.dataclass(frozen=True)
class ExperimentResult:
    """Result of an experiment.

    ``policy`` maps the name of each policy to its tail weight, ``panels``
    holds the plots.
    """

    figures: tuple[Figure, ...]
    policy: Mapping[str, float]
    panels: tuple[Panel, ...] = ()


class Experiment(Protocol):
    """A callable that runs one experiment."""

    def __call__(self, setup: Setup) -> ExperimentResult:
        """Run the experiment."""
        ...


class Engines:
    """Engine stand-ins of a fleet and the requests that they ran.

    Args:
        servers: the engines by name.
    """

    def __init__(self, servers: Mapping[str, BackendServerEntry]) -> None:
        self.servers = servers
        self.controls = {
            name: StandinControl(server.address)
            for name, server in servers.items()
        }
        self._start_sequences = self._last_sequences()

    @property
    def slots(self) -> int:
        """Total number of slots of the engines."""
        return sum(server.slots for server in self.servers.values())

    def start_recording(self) -> None:
        """Exclude earlier requests from ``records``."""
        self._start_sequences = self._last_sequences()

    def records(self) -> tuple[EngineRecord, ...]:
        """Return the records since ``start_recording``, by start time."""
        collected = [
            record
            for name, control in self.controls.items()
            for record in control.completions(name, self._start_sequences[name])
        ]
        return tuple(sorted(collected, key=lambda record: record.started))

    def _last_sequences(self) -> dict[str, int]:
        return {
            name: control.last_sequence()
            for name, control in self.controls.items()
        }


def first_tokens(results: Iterable[StreamResult]) -> LatencyRecorder:
    """Record the times to first token of requests answered whole."""
    return record_latencies(
        result.first_token_s
        for result in results
        if result.ending is Ending.whole and result.first_token_s is not None
    )


def gaps(results: Iterable[StreamResult]) -> LatencyRecorder:
    """Record the times between consecutive tokens of each request."""
    return record_latencies(
        later - earlier
        for result in results
        for earlier, later in zip(
            result.token_times,
            result.token_times[1:],
            strict=False,
        )
    )


def send_lag(results: Iterable[StreamResult]) -> LatencyRecorder:
    """Record how late the generator sent the requests.

    A large lag means that the generator was overloaded and that the run
    isn't valid.
    """
    return record_latencies(
        result.sent_at - result.intended_at for result in results
    )


def count(results: Iterable[StreamResult], ending: Ending) -> int:
    """Return the number of requests with the given ending."""
    return sum(result.ending is ending for result in results)


def epoch_time(monotonic_s: float) -> float:
    """Convert a time of the monotonic clock to seconds since the epoch."""
    return monotonic_s + time.time() - time.monotonic()


def first_seconds_of(load: LoadResult, seconds: float) -> Interval:
    """Return the interval of a load's first ``seconds``, in epoch time."""
    start = epoch_time(load.started_at)
    return Interval(start, start + seconds)
