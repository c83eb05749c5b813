"""What an experiment gets and gives."""

from __future__ import annotations

import dataclasses
import time
from collections.abc import Iterable, Mapping
from typing import Protocol

from guavadyke.catalogue import BackendServerEntry
from guavadyke.measure.client import Ending, StreamResult
from guavadyke.measure.loadgen import LoadResult
from guavadyke.measure.occupancy import Interval
from guavadyke.measure.plot import Panel
from guavadyke.measure.recorder import LatencyRecorder, recorded
from guavadyke.measure.report import Figure
from guavadyke.measure.standin_calls import EngineRecord, StandinControl
from guavadyke.measure.target import Target


@dataclasses.dataclass(frozen=True)
class Setup:
    """The fleet to measure, the length of a phase, and the seed."""

    target: Target
    seconds: float
    seed: int


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Figures of an experiment, its policies, and what to draw."""

    figures: tuple[Figure, ...]
    policy: Mapping[str, float]
    panels: tuple[Panel, ...] = ()


class Experiment(Protocol):
    """One experiment."""

    def __call__(self, setup: Setup) -> Outcome:
        """Run it."""
        ...


class Engines:
    """Engines of a fleet, with their histories.

    Args:
        servers: the engines by name.
    """

    def __init__(self, servers: Mapping[str, BackendServerEntry]) -> None:
        self.servers = servers
        self.controls = {
            name: StandinControl(server.address)
            for name, server in servers.items()
        }
        self._marks = self._now()

    @property
    def slots(self) -> int:
        """Slots of all engines."""
        return sum(server.slots for server in self.servers.values())

    def mark(self) -> None:
        """Begin to collect records from now on."""
        self._marks = self._now()

    def records(self) -> tuple[EngineRecord, ...]:
        """Return the records since the last mark, the oldest first."""
        found = [
            record
            for name, control in self.controls.items()
            for record in control.completions(name, self._marks[name])
        ]
        return tuple(sorted(found, key=lambda record: record.started))

    def _now(self) -> dict[str, int]:
        return {
            name: control.last_sequence()
            for name, control in self.controls.items()
        }


def first_tokens(results: Iterable[StreamResult]) -> LatencyRecorder:
    """Return the times to the first token of requests answered whole."""
    return recorded(
        result.first_token_s
        for result in results
        if result.ending is Ending.whole and result.first_token_s is not None
    )


def gaps(results: Iterable[StreamResult]) -> LatencyRecorder:
    """Return the times between the tokens of requests."""
    return recorded(
        later - earlier
        for result in results
        for earlier, later in zip(
            result.times,
            result.times[1:],
            strict=False,
        )
    )


def send_lag(results: Iterable[StreamResult]) -> LatencyRecorder:
    """Return how late the generator sent; a large lag spoils the run."""
    return recorded(one.sent_at - one.intended_at for one in results)


def count(results: Iterable[StreamResult], ending: Ending) -> int:
    """Return how many requests ended in a way."""
    return sum(result.ending is ending for result in results)


def epoch(monotonic_s: float) -> float:
    """Return seconds since the epoch of a monotonic time."""
    return monotonic_s + time.time() - time.monotonic()


def window_of(load: LoadResult, seconds: float) -> Interval:
    """Return the first seconds of a load, in epoch seconds."""
    start = epoch(load.started_at)
    return Interval(start, start + seconds)
