"""Phases of online load beside batch work, with the same arrivals each."""

from __future__ import annotations

import contextlib
import dataclasses
import itertools
import random
import time
from collections.abc import Generator

from guavadyke.measure import occupancy
from guavadyke.measure.arrivals import OnOff, arrivals
from guavadyke.measure.batchload import BatchJob, direct_batch, job_line
from guavadyke.measure.client import StreamRequest
from guavadyke.measure.experiment import Engines, Setup, window_of
from guavadyke.measure.loadgen import LoadResult, OpenLoad, run_open
from guavadyke.measure.probing import engine_capacity
from guavadyke.measure.standin_calls import EngineRecord

_TOKENS = 16
_DEADLINE_S = 10
_ON_S = 1.0
_OFF_S = 3.0
_ON_SHARE = 0.7
_OFF_SHARE = 0.1
_SETTLE_S = 1.5
_JOB_MARGIN = 1.5
_MOST_ITEMS = 20_000
_PREFIXES = 24


@dataclasses.dataclass(frozen=True)
class Phase:
    """What one phase gave; ``window`` and records in epoch seconds."""

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
        """Batch items completed a second."""
        return occupancy.completed_rate(self.batch, self.window)

    @property
    def online_rate(self) -> float:
        """Online requests completed a second."""
        return occupancy.completed_rate(self.online, self.window)


class PhaseRun:
    """One run of the experiment.

    Args:
        setup: fleet, length and seed.
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
            on_rate_per_s=self.capacity * _ON_SHARE,
            off_rate_per_s=self.capacity * _OFF_SHARE,
            on_s=_ON_S,
            off_s=_OFF_S,
        )
        self._arrivals_s = arrivals(
            self.pattern,
            setup.seconds,
            random.Random(setup.seed),
        )

    def phase(
        self,
        name: str,
        background: contextlib.AbstractContextManager[object],
    ) -> Phase:
        """Run the online load beside a background."""
        self.engines.mark()
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
            window_of(load, self._setup.seconds),
            self.engines.records(),
        )

    def direct(self, share: float) -> contextlib.AbstractContextManager[object]:
        """Return batch work that knows nothing of online requests."""
        return direct_batch(
            self.engines.servers,
            share,
            self._target.model,
            _TOKENS,
        )

    @contextlib.contextmanager
    def job(self, name: str) -> Generator[None, None, None]:
        """Keep a batch job of the fleet under way."""
        needed = self.capacity * self._setup.seconds * _JOB_MARGIN
        items = min(_MOST_ITEMS, round(needed) + 2 * self.engines.slots)
        lines = (job_line(f'{name} {place}', _TOKENS) for place in range(items))
        job = BatchJob(self._target, lines)
        job.submit()
        try:
            yield
        finally:
            job.cancel()

    def _request(self, name: str, number: int) -> StreamRequest:
        prompt = f'desk {number % _PREFIXES} online {name} {number}'
        return self._target.request(number, prompt, _TOKENS, _DEADLINE_S)
