"""Latency histograms of a run."""

from __future__ import annotations

from collections.abc import Iterable

from hdrh.histogram import HdrHistogram

_LOWEST_US = 1
_HIGHEST_US = 600_000_000
_SIGNIFICANT_DIGITS = 3
_US_PER_S = 1_000_000
_US_PER_MS = 1000
MEDIAN = 50.0
P95 = 95.0
P99 = 99.0


class LatencyRecorder:
    """Durations, kept to three significant digits up to ten minutes."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(
            _LOWEST_US,
            _HIGHEST_US,
            _SIGNIFICANT_DIGITS,
        )

    @property
    def count(self) -> int:
        """Number of durations."""
        return int(self._histogram.get_total_count())

    def add(self, seconds: float) -> None:
        """Record one duration in seconds; a longer one counts as longest."""
        microseconds = round(seconds * _US_PER_S)
        self._histogram.record_value(
            min(max(microseconds, _LOWEST_US), _HIGHEST_US),
        )

    def percentile_ms(self, percentile: float) -> float | None:
        """Return a percentile in milliseconds, None without durations."""
        if not self.count:
            return None
        microseconds = self._histogram.get_value_at_percentile(percentile)
        return float(microseconds) / _US_PER_MS


def recorded(durations_s: Iterable[float]) -> LatencyRecorder:
    """Return a recorder that holds the durations, given in seconds."""
    recorder = LatencyRecorder()
    for seconds in durations_s:
        recorder.add(seconds)
    return recorder
