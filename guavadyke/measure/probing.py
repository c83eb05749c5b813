"""What experiments have in common: capacity and short load phases."""

from __future__ import annotations

import dataclasses
import random
import time

from guavadyke.measure.arrivals import Poisson, arrivals
from guavadyke.measure.batchload import direct_batch
from guavadyke.measure.client import Ending, StreamRequest
from guavadyke.measure.experiment import Engines, Setup, count
from guavadyke.measure.loadgen import LoadResult, OpenLoad, run_open
from guavadyke.measure.occupancy import Interval, completed_rate

_SETTLE_S = 1.5
_PREFIXES = 24
_MARGIN = 1.2
_MOST_IN_FLIGHT = 3000


@dataclasses.dataclass(frozen=True)
class RequestShape:
    """Tokens of each answer and its deadline in seconds."""

    tokens: int
    deadline_s: float


def engine_capacity(
    engines: Engines,
    model: str,
    tokens: int,
    seconds: float,
) -> float:
    """Return the requests a second that full engines complete.

    They are called directly, so that no entry host limits it.
    """
    engines.mark()
    with direct_batch(engines.servers, 1, model, tokens):
        time.sleep(_SETTLE_S)
        start = time.time()
        time.sleep(seconds)
        window = Interval(start, time.time())
    return completed_rate(engines.records(), window)


def poisson_load(
    setup: Setup,
    name: str,
    rate_per_s: float,
    request: RequestShape,
) -> LoadResult:
    """Run independent arrivals at a rate for the setup's seconds."""

    def make(number: int) -> StreamRequest:
        return setup.target.request(
            number,
            f'desk {number % _PREFIXES} online {name} {number}',
            request.tokens,
            request.deadline_s,
        )

    drawn = arrivals(
        Poisson(rate_per_s),
        setup.seconds,
        random.Random(setup.seed),
    )
    needed = round(rate_per_s * request.deadline_s * _MARGIN)
    return run_open(OpenLoad(drawn, make, min(needed, _MOST_IN_FLIGHT)))


def goodput(load: LoadResult, seconds: float) -> float:
    """Return the requests a second answered whole within their deadline."""
    return count(load.results, Ending.whole) / seconds
