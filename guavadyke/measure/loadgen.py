"""Open and closed load on streamed requests.

An open load sends each request at a time fixed in advance, whether or not
earlier ones have been answered, and counts latency from that time.
"""

from __future__ import annotations

import dataclasses
import itertools
import threading
import time
from collections.abc import Callable, Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from typing import TypeAlias

from guavadyke.measure.client import StreamRequest, StreamResult, stream

MAX_REQUESTS = 200_000
MAX_SECONDS = 600
_START_DELAY_S = 0.05

RequestMaker: TypeAlias = Callable[[int], StreamRequest]


@dataclasses.dataclass(frozen=True)
class OpenLoad:
    """Requests that are sent at given times.

    ``arrivals_s`` are seconds from the start. ``make`` returns the request
    of each number. ``in_flight`` bounds the requests under way; one that
    has to wait for its turn is still counted from its intended arrival.
    """

    arrivals_s: Sequence[float]
    make: RequestMaker
    in_flight: int = 512


@dataclasses.dataclass(frozen=True)
class LoadResult:
    """Results of a load in the order in which the requests arrived."""

    started_at: float
    ended_at: float
    results: tuple[StreamResult, ...]

    @property
    def seconds(self) -> float:
        """Seconds from the start to the end of the last request."""
        return self.ended_at - self.started_at


def run_open(load: OpenLoad) -> LoadResult:
    """Run an open load to the end of its last request.

    Raises:
        ValueError: the load is larger or longer than is allowed.
    """
    _check(load)
    started_at = time.monotonic() + _START_DELAY_S
    workers = max(1, min(load.in_flight, len(load.arrivals_s)))
    with ThreadPoolExecutor(workers) as pool:
        pending = [
            _sent(pool, load.make(number), started_at + arrival_s)
            for number, arrival_s in enumerate(load.arrivals_s)
        ]
        results = tuple(future.result() for future in pending)
    return LoadResult(started_at, time.monotonic(), results)


def run_closed(
    make: RequestMaker,
    concurrency: int,
    seconds: float,
) -> LoadResult:
    """Keep ``concurrency`` requests under way until the time is up."""
    load = ClosedLoad(make, concurrency)
    with load:
        time.sleep(min(seconds, MAX_SECONDS))
    return load.result()


class ClosedLoad:
    """Keeps a number of requests under way from start to close.

    Args:
        make: returns the request of each number; a number modulo the
            concurrency tells which of the places sends it.
        concurrency: requests under way.
    """

    def __init__(self, make: RequestMaker, concurrency: int) -> None:
        self._make = make
        self._concurrency = concurrency
        self._stop = threading.Event()
        self._results: list[StreamResult] = []
        self._started_at: float = 0
        self._ended_at: float = 0
        self._threads = [
            threading.Thread(
                target=self._send_on,
                args=(place,),
                daemon=True,
            )
            for place in range(concurrency)
        ]

    def __enter__(self) -> ClosedLoad:
        """Start the load."""
        self._started_at = time.monotonic()
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_exception: object) -> None:
        """Send nothing more and wait for what is under way."""
        self._stop.set()
        for thread in self._threads:
            thread.join()
        self._ended_at = time.monotonic()

    def result(self) -> LoadResult:
        """Return the results so far."""
        return LoadResult(
            self._started_at,
            self._ended_at,
            tuple(self._results),
        )

    def _send_on(self, place: int) -> None:
        for number in itertools.count(place, self._concurrency):
            if self._stop.is_set():
                return
            request = self._make(number)
            self._results.append(stream(request, time.monotonic()))


def _sent(
    pool: ThreadPoolExecutor,
    request: StreamRequest,
    intended_at: float,
) -> Future[StreamResult]:
    wait_s = intended_at - time.monotonic()
    if wait_s > 0:
        time.sleep(wait_s)
    return pool.submit(stream, request, intended_at)


def _check(load: OpenLoad) -> None:
    if len(load.arrivals_s) > MAX_REQUESTS:
        raise ValueError(f'more than {MAX_REQUESTS} requests')
    if load.arrivals_s and load.arrivals_s[-1] > MAX_SECONDS:
        raise ValueError(f'longer than {MAX_SECONDS} seconds')
