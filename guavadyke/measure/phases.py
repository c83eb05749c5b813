"""Phases of online load with and without concurrent batch work.

All phases of a run use the same arrival times.
"""

from __future__ import annotations

import contextlib
import dataclasses
import itertools
import random
import time
from collections.abc import Generator

from guavadyke.measure import occupancy
from guavadyke.measure.arrivals import OnOff, arrivals
from guavadyke.measure.batch_load import BatchJob, direct_batch_load, job_line
from guavadyke.measure.constant_load import engine_capacity
from guavadyke.measure.experiment import Engines, Setup, first_seconds_of
from guavadyke.measure.load_generator import LoadResult, OpenLoad, run_open
from guavadyke.measure.standin_client import EngineRecord
from guavadyke.measure.stream_client import StreamRequest

_TOKENS = 16
_DEADLINE_S = 10
_BURST_S = 1.0
_PAUSE_S = 3.0
_BURST_LOAD_SHARE = 0.7
_PAUSE_LOAD_SHARE = 0.1
_SETTLE_S = 1.5
_JOB_SIZE_FACTOR = 1.5
_MAX_JOB_ITEMS = 20_000
_PROMPT_PREFIXES = 24


@dataclasses.dataclass(frozen=True)
class Phase:
    """Results of one phase.

    ``records`` are the requests that the engines ran. Their times and
    ``window`` are in epoch seconds.
    """

    name: str
    load: LoadResult
    window: occupancy.Interval
    records: tuple[EngineRecord, ...]

    @property
    def batch(self) -> tuple[EngineRecord, ...]:
        """Records of batch items."""
        return tuple(filter(occupancy.is_batch, self.records))

    @property
    def online(self) -> tuple[EngineRecord, ...]:
        """Records of online requests."""
        return tuple(itertools.filterfalse(occupancy.is_batch, self.records))

    @property
    def batch_rate(self) -> float:
        """Completed batch items per second."""
        return occupancy.completed_rate(self.batch, self.window)

    @property
    def online_rate(self) -> float:
        """Completed online requests per second."""
        return occupancy.completed_rate(self.online, self.window)


class PhaseRunner:
    """Measures the engines' capacity and runs phases of load.

    ``capacity`` is in requests per second. The online load of each phase is
    a share of it.

    Args:
        setup: fleet, length of a phase and seed.
    """

    def __init__(self, setup: Setup) -> None:
        self._setup = setup
        self._target = setup.target
        self.engines = Engines(setup.target.engines())
        self.capacity = engine_capacity(
            self.engines,
            setup.target.model,
            _TOKENS,
            max(2, setup.seconds / 4),
        )
        self.pattern = OnOff(
            on_rate_per_s=self.capacity * _BURST_LOAD_SHARE,
            off_rate_per_s=self.capacity * _PAUSE_LOAD_SHARE,
            on_s=_BURST_S,
            off_s=_PAUSE_S,
        )
        self._arrivals_s = arrivals(
            self.pattern,
            setup.seconds,
            random.Random(setup.seed),
        )

    def run_phase(
        self,
        name: str,
        background: contextlib.AbstractContextManager[object],
    ) -> Phase:
        """Run the online load while the background context is open."""
        self.engines.start_recording()
        with background:
            time.sleep(_SETTLE_S)
            load = run_open(
                OpenLoad(
                    self._arrivals_s,
                    lambda number: self._request(name, number),
                ),
            )
        time.sleep(_SETTLE_S)
        return Phase(
            name,
            load,
            first_seconds_of(load, self._setup.seconds),
            self.engines.records(),
        )

    def direct_batch(
        self, share: float
    ) -> contextlib.AbstractContextManager[object]:
        """Return batch work that bypasses the fleet and is not preempted.

        Args:
            share: share of each engine's slots that it keeps busy.
        """
        return direct_batch_load(
            self.engines.servers,
            share,
            self._target.model,
            _TOKENS,
        )

    @contextlib.contextmanager
    def job(self, name: str) -> Generator[None, None, None]:
        """Keep a batch job running on the fleet; cancel it on exit."""
        items_needed = self.capacity * self._setup.seconds * _JOB_SIZE_FACTOR
        items = min(
            _MAX_JOB_ITEMS, round(items_needed) + 2 * self.engines.slots
        )
        lines = (
            job_line(f'{name} {item_number}', _TOKENS)
            for item_number in range(items)
        )
        job = BatchJob(self._target, lines)
        job.submit()
        try:
            yield
        finally:
            job.cancel()

    def _request(self, name: str, number: int) -> StreamRequest:
        prompt = f'desk {number % _PROMPT_PREFIXES} online {name} {number}'
        return self._target.request(number, prompt, _TOKENS, _DEADLINE_S)
