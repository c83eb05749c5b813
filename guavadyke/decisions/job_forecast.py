"""When jobs are expected to end, judged from measured throughput."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Iterable, Mapping

_NEW_SHARE = 0.1
_LARGEST_MARGIN = 0.5


@dataclasses.dataclass(frozen=True)
class Throughput:
    """What one host measures: seconds an item takes, items in flight."""

    item_s: float
    in_flight: float

    @property
    def items_per_s(self) -> float:
        """Items that one host ends in a second."""
        return self.in_flight / max(self.item_s, 1e-6)


class ThroughputMeter:
    """Moving averages of one host's items, by entry."""

    def __init__(self) -> None:
        self._measured: dict[str, Throughput] = {}

    def note(self, entry_name: str, item_s: float, in_flight: int) -> None:
        """Take in an item that ended.

        Args:
            entry_name: the item's entry.
            item_s: seconds that it ran.
            in_flight: items of the entry in flight, itself included.
        """
        known = self._measured.get(entry_name)
        if known is None:
            self._measured[entry_name] = Throughput(item_s, in_flight)
            return
        self._measured[entry_name] = Throughput(
            known.item_s + _NEW_SHARE * (item_s - known.item_s),
            known.in_flight + _NEW_SHARE * (in_flight - known.in_flight),
        )

    def of(self, entry_name: str) -> Throughput | None:
        """Return what is known of an entry."""
        return self._measured.get(entry_name)


@dataclasses.dataclass(frozen=True)
class RunKey:
    """Names a run in flight."""

    entry_name: str
    chunk: str
    index: int


class RunTracker:
    """The runs in flight on one host, and what their ends tell."""

    def __init__(self) -> None:
        self._started_at: dict[RunKey, float] = {}
        self._meter = ThroughputMeter()

    def begin(self, key: RunKey, now: float) -> None:
        """Take in that a run begins."""
        self._started_at[key] = now

    def end(self, key: RunKey, now: float) -> None:
        """Take in that a run ended."""
        in_flight = sum(
            other.entry_name == key.entry_name for other in self._started_at
        )
        started_at = self._started_at.pop(key, None)
        if started_at is not None:
            self._meter.note(key.entry_name, now - started_at, in_flight)

    def runs_begun_since(self, entry_name: str, since: float) -> int:
        """Return how many runs in flight of an entry began since then."""
        return sum(
            started_at >= since and key.entry_name == entry_name
            for key, started_at in self._started_at.items()
        )

    def throughput(self, entry_name: str) -> Throughput | None:
        """Return what is known of an entry."""
        return self._meter.of(entry_name)


class Prospect(enum.Enum):
    """Whether a job ends in time.

    A job ``at_risk`` can still end in time if it comes first; one that is
    ``late`` cannot.
    """

    in_time = 'in_time'
    at_risk = 'at_risk'
    late = 'late'


@dataclasses.dataclass(frozen=True)
class JobLoad:
    """What is left of a job; ``due`` is seconds since the epoch."""

    job_id: str
    entry_name: str
    items_left: int
    due: float


@dataclasses.dataclass(frozen=True)
class Forecast:
    """When a job is expected to end, in seconds since the epoch."""

    expected_end: float
    prospect: Prospect


def forecast(
    loads: Iterable[JobLoad],
    rates: Mapping[str, float],
    now: float,
    tail_weight: float,
) -> Mapping[str, Forecast]:
    """Return forecasts of the jobs whose entry's rate is known.

    Args:
        loads: jobs in the order in which they are worked on.
        rates: items per second of all hosts together, by entry.
        now: seconds since the epoch.
        tail_weight: the policy; the less it weighs the online tail, the
            earlier a job counts as at risk.
    """
    ahead: dict[str, float] = {}
    forecasts: dict[str, Forecast] = {}
    for load in loads:
        rate = rates.get(load.entry_name, 0)
        if rate <= 0:
            continue
        alone_s = load.items_left / rate
        ends_s = ahead.get(load.entry_name, 0) + alone_s
        ahead[load.entry_name] = ends_s
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
    margin_s = left_s * _LARGEST_MARGIN * (1 - tail_weight)
    if ends_s > left_s - margin_s:
        return Prospect.at_risk
    return Prospect.in_time
