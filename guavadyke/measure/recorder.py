"""Latency histograms."""

from __future__ import annotations

from collections.abc import Iterable

from hdrh.histogram import HdrHistogram

_MIN_US = 1
_MAX_US = 600_000_000
_SIGNIFICANT_DIGITS = 3
_US_PER_S = 1_000_000
_US_PER_MS = 1000
MEDIAN = 50.0
P95 = 95.0
P99 = 99.0


class LatencyRecorder:
    """Histogram of durations from 1 us to ten minutes.

    Durations are stored with three significant digits.
    """

    def __init__(self) -> None:
        self._histogram = HdrHistogram(
            _MIN_US,
            _MAX_US,
            _SIGNIFICANT_DIGITS,
        )

    @property
    def count(self) -> int:
        """Number of recorded durations."""
        return int(self._histogram.get_total_count())

    def add(self, seconds: float) -> None:
        """Record a duration in seconds, clamped to the histogram's range."""
        microseconds = round(seconds * _US_PER_S)
        self._histogram.record_value(
            min(max(microseconds, _MIN_US), _MAX_US),
        )

    def percentile_ms(self, percentile: float) -> float | None:
        """Return a percentile in milliseconds, None if nothing is recorded.

        Args:
            percentile: from 0 to 100.
        """
        if not self.count:
            return None
        microseconds = self._histogram.get_value_at_percentile(percentile)
        return float(microseconds) / _US_PER_MS


def record_latencies(durations_s: Iterable[float]) -> LatencyRecorder:
    """Return a recorder with the given durations, in seconds."""
    recorder = LatencyRecorder()
    for seconds in durations_s:
        recorder.add(seconds)
    return recorder
