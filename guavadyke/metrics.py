"""Counters and latency histograms of one entry host."""

from __future__ import annotations

import collections
import threading
from collections.abc import Iterator

from hdrh.histogram import HdrHistogram

from guavadyke.filters.base import Answer, Exchange
from guavadyke.http_application import Route

_LOWEST_US = 1
_HIGHEST_US = 600_000_000
_DIGITS = 2
_US_PER_S = 1_000_000
_PERCENTILES = (50.0, 90.0, 99.0, 99.9)
_TEXT_TYPE = 'text/plain; version=0.0.4'


class HostMetrics:
    """Counters by name and histograms of seconds by name.

    Safe for threads. Histograms hold microseconds.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counters: collections.Counter[str] = collections.Counter()
        self._histograms: dict[str, HdrHistogram] = {}

    def count(self, name: str, change: int = 1) -> None:
        """Add to a counter."""
        with self._lock:
            self._counters[name] += change

    def record(self, name: str, seconds: float, times: int = 1) -> None:
        """Add a duration to a histogram."""
        elapsed_us = int(max(_LOWEST_US, seconds * _US_PER_S))
        with self._lock:
            found = self._histograms.get(name)
            if found is None:
                found = HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)
                self._histograms[name] = found
            found.record_value(elapsed_us, times)

    def counters(self) -> dict[str, int]:
        """Return the counters."""
        with self._lock:
            return dict(self._counters)

    def latencies(self) -> dict[str, dict[str, float]]:
        """Return percentiles in seconds of each histogram."""
        with self._lock:
            return {
                name: _summary(histogram)
                for name, histogram in self._histograms.items()
            }

    def text(self) -> str:
        """Return all values in the text format of Prometheus."""
        return ''.join(f'{line}\n' for line in self._lines())

    def _lines(self) -> Iterator[str]:
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
    """Return the route that gives the metrics as text."""

    def show(_exchange: Exchange) -> Answer:
        return Answer(200, metrics.text().encode(), _TEXT_TYPE)

    return [Route('/operator/metrics', {'GET': show})]
