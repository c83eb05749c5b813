"""Fault settings of the stand-ins."""

from __future__ import annotations

import random
import threading
from typing import Annotated, Generic, Literal, TypeVar

import pydantic

from guavadyke.settings import SettingsModel

Probability = Annotated[float, pydantic.Field(ge=0, le=1)]
Seconds = Annotated[float, pydantic.Field(ge=0)]
Count = Annotated[int, pydantic.Field(ge=0)]


class SeededFaults(SettingsModel):
    """Fault settings with the seed of their random draws."""

    seed: int = 0


class PlatformFaults(SeededFaults):
    """Faults of the platform stand-in; the default is none.

    ``outage`` answers all calls with 503, resets their connections, or
    leaves them without an answer. ``lost_answers`` is the probability that
    a write takes effect but its answer is lost; ``lost_answers_next`` is
    the number of upcoming writes for which this is certain.
    ``lost_requests`` and ``lost_requests_next`` are the same for writes
    that take no effect. Reads and lists show the state of ``stale_s``
    seconds ago, the host list that of ``hosts_lag_s`` seconds ago.
    ``watches`` may show no event or never answer. ``cut_hosts`` are the ids
    of the hosts that cannot reach the platform; ``cut`` says whether their
    calls are reset or get no answer.
    """

    outage: Literal['none', 'refuse', 'reset', 'silent'] = 'none'
    delay_s: Seconds = 0
    lost_answers: Probability = 0
    lost_answers_next: Count = 0
    lost_requests: Probability = 0
    lost_requests_next: Count = 0
    stale_s: Seconds = 0
    watches: Literal['live', 'stale', 'silent'] = 'live'
    cut_hosts: tuple[str, ...] = ()
    cut: Literal['reset', 'silent'] = 'reset'
    hosts_lag_s: Seconds = 0


class BackendFaults(SeededFaults):
    """Faults of an engine or service stand-in; the default is none.

    ``reset`` resets connections and ``silent`` sends nothing, also in the
    middle of an answer. ``cut_hosts`` are the ids of the calling hosts to
    which the same happens; ``cut`` says which of the two. ``refuse``
    answers 503 with a header that states that nothing ran; ``error``
    answers with this HTTP status and without that header. ``delay_s`` is
    a delay before each answer; ``slow`` multiplies the run time.

    ``error`` and the faults below affect a request with ``probability``,
    and at most ``limit`` requests. After so many tokens (pieces of a plain
    service's answer), ``silent_after`` sends nothing more,
    ``broken_after`` drops the connection, ``ended_after`` ends the answer
    without its end mark, and ``crossed_after`` continues with the answer
    of another request. ``crossed`` sends the answer of another request
    from the first token; ``doubled`` sends the answer twice.
    """

    reset: bool = False
    silent: bool = False
    cut_hosts: tuple[str, ...] = ()
    cut: Literal['reset', 'silent'] = 'silent'
    refuse: bool = False
    error: Annotated[int, pydantic.Field(ge=400, le=599)] | None = None
    delay_s: Seconds = 0
    slow: Annotated[float, pydantic.Field(ge=1)] = 1
    silent_after: Count | None = None
    broken_after: Count | None = None
    ended_after: Count | None = None
    crossed_after: Count | None = None
    crossed: bool = False
    doubled: bool = False
    probability: Probability = 1
    limit: Count | None = None


Faults = TypeVar('Faults', bound=SeededFaults)


class FaultInjector(Generic[Faults]):
    """Holds the current fault settings and decides which calls they affect.

    Args:
        faults: faults to begin with.
    """

    def __init__(self, faults: Faults) -> None:
        self._lock = threading.Lock()
        self._faults = faults
        self._rng = random.Random(faults.seed)
        self._hits = 0

    @property
    def current(self) -> Faults:
        """The current fault settings."""
        return self._faults

    def replace_faults(self, faults: Faults) -> None:
        """Replace the settings; the seed and the hit count start anew."""
        with self._lock:
            self._faults = faults
            self._rng = random.Random(faults.seed)
            self._hits = 0

    def draw(self, probability: float, limit: int | None = None) -> bool:
        """Decide at random whether a fault occurs, at most ``limit`` times."""
        with self._lock:
            if limit is not None and self._hits >= limit:
                return False
            hit = self._rng.random() < probability
            self._hits += hit
        return hit

    def try_consume(self, field: str) -> bool:
        """Decrement a counter field; return whether it was above zero."""
        with self._lock:
            left = int(getattr(self._faults, field))
            if left:
                self._faults = self._faults.model_copy(
                    update={field: left - 1},
                )
        return left > 0
