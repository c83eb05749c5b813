"""Estimates of when batch jobs end, from measured throughput."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Iterable, Mapping

_NEW_SAMPLE_WEIGHT = 0.1
_MAX_MARGIN_SHARE = 0.5


@dataclasses.dataclass(frozen=True)
class Throughput:
    """Average seconds per item and items in flight on one host."""

    item_s: float
    in_flight: float

    @property
    def items_per_s(self) -> float:
        """Items that one host completes per second."""
        return self.in_flight / max(self.item_s, 1e-6)


class ThroughputMeter:
    """Moving averages of one host's throughput, by catalogue entry."""

    def __init__(self) -> None:
        self._averages: dict[str, Throughput] = {}

    def add_sample(
        self, entry_name: str, item_s: float, in_flight: int
    ) -> None:
        """Add the measurement of an item that ended.

        Args:
            entry_name: the catalogue entry that the item ran on.
            item_s: seconds that the item ran.
            in_flight: items of the entry in flight, including this one.
        """
        known = self._averages.get(entry_name)
        if known is None:
            self._averages[entry_name] = Throughput(item_s, in_flight)
            return
        self._averages[entry_name] = Throughput(
            known.item_s + _NEW_SAMPLE_WEIGHT * (item_s - known.item_s),
            known.in_flight
            + _NEW_SAMPLE_WEIGHT * (in_flight - known.in_flight),
        )

    def average(self, entry_name: str) -> Throughput | None:
        """Return the averages of an entry; None before the first item."""
        return self._averages.get(entry_name)


@dataclasses.dataclass(frozen=True)
class RunKey:
    """Identifies a run in flight by entry, chunk and item index."""

    entry_name: str
    chunk: str
    index: int


class RunTracker:
    """Tracks the runs in flight on one host and measures throughput."""

    def __init__(self) -> None:
        self._started_at: dict[RunKey, float] = {}
        self._meter = ThroughputMeter()

    def begin(self, key: RunKey, now: float) -> None:
        """Record the start of a run."""
        self._started_at[key] = now

    def end(self, key: RunKey, now: float) -> None:
        """Record the end of a run; an unknown run is ignored."""
        in_flight = sum(
            other.entry_name == key.entry_name for other in self._started_at
        )
        started_at = self._started_at.pop(key, None)
        if started_at is not None:
            self._meter.add_sample(key.entry_name, now - started_at, in_flight)

    def runs_begun_since(self, entry_name: str, since: float) -> int:
        """Return how many of an entry's runs in flight began since then."""
        return sum(
            started_at >= since and key.entry_name == entry_name
            for key, started_at in self._started_at.items()
        )

    def throughput(self, entry_name: str) -> Throughput | None:
        """Return the averages of an entry; None before the first item."""
        return self._meter.average(entry_name)


class Prospect(enum.Enum):
    """Whether a job is expected to end before it is due.

    A job ``at_risk`` can still end in time if it runs before the others; a
    job that is ``late`` cannot.
    """

    in_time = 'in_time'
    at_risk = 'at_risk'
    late = 'late'


@dataclasses.dataclass(frozen=True)
class JobLoad:
    """Remaining items of a job; ``due`` is seconds since the epoch."""

    job_id: str
    entry_name: str
    items_left: int
    due: float


@dataclasses.dataclass(frozen=True)
class Forecast:
    """Expected end of a job, in seconds since the epoch."""

    expected_end: float
    prospect: Prospect


def forecast(
    loads: Iterable[JobLoad],
    rates: Mapping[str, float],
    now: float,
    tail_weight: float,
) -> Mapping[str, Forecast]:
    """Return forecasts by job id; jobs without a known rate are left out.

    Args:
        loads: jobs in the order in which they are run.
        rates: items per second of all hosts together, by entry name.
        now: seconds since the epoch.
        tail_weight: weight of the online tail latency in the policy, from 0
            to 1; the lower it is, the earlier a job counts as at risk.
    """
    queued_s: dict[str, float] = {}
    forecasts: dict[str, Forecast] = {}
    for load in loads:
        rate = rates.get(load.entry_name, 0)
        if rate <= 0:
            continue
        alone_s = load.items_left / rate
        ends_s = queued_s.get(load.entry_name, 0) + alone_s
        queued_s[load.entry_name] = ends_s
        forecasts[load.job_id] = Forecast(
            now + ends_s,
            _prospect(load.due - now, alone_s, ends_s, tail_weight),
        )
    return forecasts


def _prospect(
    left_s: float,
    alone_s: float,
    ends_s: float,
    tail_weight: float,
) -> Prospect:
    if alone_s > left_s:
        return Prospect.late
    margin_s = left_s * _MAX_MARGIN_SHARE * (1 - tail_weight)
    if ends_s > left_s - margin_s:
        return Prospect.at_risk
    return Prospect.in_time
