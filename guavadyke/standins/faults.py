"""Faults that the stand-ins can be told to have."""

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
    """Faults whose random draws follow from a seed."""

    seed: int = 0


class PlatformFaults(SeededFaults):
    """Faults of the platform stand-in; the default is none.

    ``outage`` refuses with 503, resets connections, or never answers.
    ``lost_answers`` is the probability that a write takes effect and its
    answer is lost, ``lost_answers_next`` how many writes come to that for
    certain; ``lost_requests`` likewise before the write takes effect.
    ``stale_s`` is how old the state is that reads and lists show.
    ``watches`` may show no event or never answer. ``cut_hosts`` are the
    host ids that do not reach the platform.
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

    ``reset`` resets connections and ``silent`` answers nothing, both also
    where an answer has begun. ``cut_hosts`` are the host ids of callers
    that are cut off likewise. ``refuse`` answers 503 with proof that
    nothing ran, ``error`` answers with this HTTP status and no proof.
    ``delay_s`` comes before each answer and ``slow`` divides the speed.

    The others hit a request with ``probability``, and at most ``limit``
    requests: ``silent_after`` and ``broken_after`` stop or break an answer
    after so many tokens (pieces of a plain service's answer),
    ``ended_after`` ends it as if it were whole but without its end mark,
    ``crossed_after`` goes on with another request's answer from that
    token; ``crossed`` answers with another request's answer from the
    start, ``doubled`` sends the answer twice.
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


class FaultBoard(Generic[Faults]):
    """The faults in force and the random draws that they need.

    Args:
        faults: faults from the start.
    """

    def __init__(self, faults: Faults) -> None:
        self._lock = threading.Lock()
        self._faults = faults
        self._rng = random.Random(faults.seed)
        self._hits = 0

    @property
    def current(self) -> Faults:
        """The faults in force."""
        return self._faults

    def put(self, faults: Faults) -> None:
        """Replace the faults in force."""
        with self._lock:
            self._faults = faults
            self._rng = random.Random(faults.seed)
            self._hits = 0

    def draw(self, probability: float, limit: int | None = None) -> bool:
        """Return whether a fault hits, at most ``limit`` times."""
        with self._lock:
            if limit is not None and self._hits >= limit:
                return False
            hit = self._rng.random() < probability
            self._hits += hit
        return hit

    def take(self, field: str) -> bool:
        """Count a field that says how many calls are hit down by one."""
        with self._lock:
            left = int(getattr(self._faults, field))
            if left:
                self._faults = self._faults.model_copy(
                    update={field: left - 1},
                )
        return left > 0
