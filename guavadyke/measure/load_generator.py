"""Open-loop and closed-loop load generators for streamed requests.

An open load sends each request at a time fixed in advance, whether or not
earlier ones have been answered, and counts latency from that time. A closed
load keeps a fixed number of requests in flight.
"""

from __future__ import annotations

import dataclasses
import itertools
import threading
import time
from collections.abc import Callable, Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from typing import TypeAlias

from guavadyke.measure.stream_client import StreamRequest, StreamResult, stream

MAX_REQUESTS = 200_000
MAX_LOAD_S = 600
_START_DELAY_S = 0.05

RequestFactory: TypeAlias = Callable[[int], StreamRequest]


@dataclasses.dataclass(frozen=True)
class OpenLoad:
    """Requests that are sent at given times.

    ``arrivals_s`` are seconds from the start, in ascending order.
    ``make_request`` returns the request with the given number. At most
    ``in_flight`` requests are in flight; the latency of a request that is
    delayed by this limit still counts from its intended arrival.
    """

    arrivals_s: Sequence[float]
    make_request: RequestFactory
    in_flight: int = 512


@dataclasses.dataclass(frozen=True)
class LoadResult:
    """Results of a load.

    Times are seconds of the monotonic clock. Results of an open load are
    in order of arrival, those of a closed load in order of completion.
    """

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
        ValueError: the load has more than ``MAX_REQUESTS`` requests or is
            longer than ``MAX_LOAD_S``.
    """
    _check_limits(load)
    started_at = time.monotonic() + _START_DELAY_S
    workers = max(1, min(load.in_flight, len(load.arrivals_s)))
    with ThreadPoolExecutor(workers) as pool:
        pending = [
            _submit_at(pool, load.make_request(number), started_at + arrival_s)
            for number, arrival_s in enumerate(load.arrivals_s)
        ]
        results = tuple(future.result() for future in pending)
    return LoadResult(started_at, time.monotonic(), results)


def run_closed(
    make_request: RequestFactory,
    concurrency: int,
    seconds: float,
) -> LoadResult:
    """Keep ``concurrency`` requests in flight for ``seconds``.

    The time is capped at ``MAX_LOAD_S``.
    """
    load = ClosedLoad(make_request, concurrency)
    with load:
        time.sleep(min(seconds, MAX_LOAD_S))
    return load.result()


class ClosedLoad:
    """Context manager that keeps a fixed number of requests in flight.

    Args:
        make_request: returns the request with the given number; the number
            modulo ``concurrency`` is the index of the sending thread.
        concurrency: number of requests in flight, one thread each.
    """

    def __init__(self, make_request: RequestFactory, concurrency: int) -> None:
        self._make_request = make_request
        self._concurrency = concurrency
        self._stop = threading.Event()
        self._results: list[StreamResult] = []
        self._started_at: float = 0
        self._ended_at: float = 0
        self._threads = [
            threading.Thread(
                target=self._send_until_stopped,
                args=(thread_index,),
                daemon=True,
            )
            for thread_index in range(concurrency)
        ]

    def __enter__(self) -> ClosedLoad:
        """Start the load."""
        self._started_at = time.monotonic()
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_exception: object) -> None:
        """Stop sending and wait for the requests in flight."""
        self._stop.set()
        for thread in self._threads:
            thread.join()
        self._ended_at = time.monotonic()

    def result(self) -> LoadResult:
        """Return the results of the requests that have ended."""
        return LoadResult(
            self._started_at,
            self._ended_at,
            tuple(self._results),
        )

    def _send_until_stopped(self, thread_index: int) -> None:
        for number in itertools.count(thread_index, self._concurrency):
            if self._stop.is_set():
                return
            request = self._make_request(number)
            self._results.append(stream(request, time.monotonic()))


def _submit_at(
    pool: ThreadPoolExecutor,
    request: StreamRequest,
    intended_at: float,
) -> Future[StreamResult]:
    wait_s = intended_at - time.monotonic()
    if wait_s > 0:
        time.sleep(wait_s)
    return pool.submit(stream, request, intended_at)


def _check_limits(load: OpenLoad) -> None:
    if len(load.arrivals_s) > MAX_REQUESTS:
        raise ValueError(f'more than {MAX_REQUESTS} requests are scheduled')
    if load.arrivals_s and load.arrivals_s[-1] > MAX_LOAD_S:
        raise ValueError(f'arrivals last longer than {MAX_LOAD_S} seconds')
