"""Measures engine capacity and runs load at a constant rate."""

from __future__ import annotations

import dataclasses
import random
import time

from guavadyke.measure.arrivals import Poisson, arrivals
from guavadyke.measure.batch_load import direct_batch_load
from guavadyke.measure.experiment import Engines, Setup, count
from guavadyke.measure.load_generator import LoadResult, OpenLoad, run_open
from guavadyke.measure.occupancy import Interval, completed_rate
from guavadyke.measure.stream_client import Ending, StreamRequest

_SETTLE_S = 1.5
_PROMPT_PREFIXES = 24
_IN_FLIGHT_MARGIN = 1.2
_MAX_IN_FLIGHT = 3000


@dataclasses.dataclass(frozen=True)
class RequestShape:
    """Tokens of each answer, and deadline of each request in seconds."""

    tokens: int
    deadline_s: float


def engine_capacity(
    engines: Engines,
    model: str,
    tokens: int,
    seconds: float,
) -> float:
    """Measure the requests per second that saturated engines complete.

    They are called directly, so that no entry host limits the rate.
    """
    engines.start_recording()
    with direct_batch_load(engines.servers, 1, model, tokens):
        time.sleep(_SETTLE_S)
        start = time.time()
        time.sleep(seconds)
        window = Interval(start, time.time())
    return completed_rate(engines.records(), window)


def poisson_load(
    setup: Setup,
    name: str,
    rate_per_s: float,
    shape: RequestShape,
) -> LoadResult:
    """Run an open load with Poisson arrivals for one phase.

    Args:
        setup: fleet, length of the phase and seed.
        name: name of the load, part of each prompt.
        rate_per_s: mean rate of arrivals.
        shape: size and deadline of the requests.
    """

    def make_request(number: int) -> StreamRequest:
        return setup.target.request(
            number,
            f'desk {number % _PROMPT_PREFIXES} online {name} {number}',
            shape.tokens,
            shape.deadline_s,
        )

    arrivals_s = arrivals(
        Poisson(rate_per_s),
        setup.seconds,
        random.Random(setup.seed),
    )
    needed = round(rate_per_s * shape.deadline_s * _IN_FLIGHT_MARGIN)
    return run_open(
        OpenLoad(arrivals_s, make_request, min(needed, _MAX_IN_FLIGHT))
    )


def goodput(load: LoadResult, seconds: float) -> float:
    """Return the rate of requests answered whole within their deadline."""
    return count(load.results, Ending.whole) / seconds
