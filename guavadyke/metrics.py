"""Counters and latency histograms of one entry host."""

from __future__ import annotations

import collections
import threading
from collections.abc import Iterator

from hdrh.histogram import HdrHistogram

from guavadyke import log
from guavadyke.filters.base import Answer, Exchange
from guavadyke.http_application import Route

_MIN_DURATION_US = 1
_MAX_DURATION_US = 600_000_000
_SIGNIFICANT_DIGITS = 2
_US_PER_S = 1_000_000
_PERCENTILES = (50.0, 90.0, 99.0, 99.9)
_PROMETHEUS_CONTENT_TYPE = 'text/plain; version=0.0.4'


class HostMetrics:
    """Named counters and duration histograms; thread-safe.

    Durations are passed and returned in seconds and stored in microseconds.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counters: collections.Counter[str] = collections.Counter()
        self._histograms: dict[str, HdrHistogram] = {}

    def increment(self, name: str, change: int = 1) -> None:
        """Add ``change`` to a counter, which starts at 0."""
        with self._lock:
            self._counters[name] += change

    def record(self, name: str, seconds: float, times: int = 1) -> None:
        """Add a duration to a histogram, ``times`` times."""
        elapsed_us = int(max(_MIN_DURATION_US, seconds * _US_PER_S))
        with self._lock:
            histogram = self._histograms.get(name)
            if histogram is None:
                histogram = HdrHistogram(
                    _MIN_DURATION_US, _MAX_DURATION_US, _SIGNIFICANT_DIGITS
                )
                self._histograms[name] = histogram
            histogram.record_value(elapsed_us, times)

    def counters(self) -> dict[str, int]:
        """Return the counters by name, with the dropped records of the log."""
        dropped = {
            f'log_dropped_{kind}': count
            for kind, count in log.dropped_records().items()
        }
        with self._lock:
            return {**self._counters, **dropped}

    def latencies(self) -> dict[str, dict[str, float]]:
        """Return each histogram's percentiles in seconds and its count."""
        with self._lock:
            return {
                name: _summary(histogram)
                for name, histogram in self._histograms.items()
            }

    def text(self) -> str:
        """Return all values in the Prometheus text format."""
        return ''.join(f'{line}\n' for line in self._text_lines())

    def _text_lines(self) -> Iterator[str]:
        for name, value in sorted(self.counters().items()):
            yield f'guavadyke_{name}_total {value}'
        for name, summary in sorted(self.latencies().items()):
            for quantile, seconds in summary.items():
                label = f'{{quantile="{quantile}"}}'
                yield f'guavadyke_{name}_seconds{label} {seconds}'


def _summary(histogram: HdrHistogram) -> dict[str, float]:
    summary = {
        f'p{percentile:g}': (
            histogram.get_value_at_percentile(percentile) / _US_PER_S
        )
        for percentile in _PERCENTILES
    }
    return {**summary, 'count': histogram.get_total_count()}


def metrics_routes(metrics: HostMetrics) -> list[Route]:
    """Return the route that serves the metrics in the Prometheus format."""

    def show(_exchange: Exchange) -> Answer:
        return Answer(200, metrics.text().encode(), _PROMETHEUS_CONTENT_TYPE)

    return [Route('/operator/metrics', {'GET': show})]
