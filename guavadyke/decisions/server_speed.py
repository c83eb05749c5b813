"""Speed of each server relative to its service.

Load: engines of one service that run at 0.7, 0.7 and 1.7 times the usual
speed, servers that become slow and recover, and servers that start again.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Collection

# An observation counts half after this time, so that a server that gets no
# requests is slowly taken for usual again and tried.
_HALF_LIFE_S = 120.0
# Weight that earlier observations keep at each new one. A change of speed is
# half learned after about 5 requests.
_KEPT_PER_OBSERVATION = 0.87
# Observations that the usual speed counts as. With them 3 requests tell
# speeds of 0.7 and 1.7 apart by a ratio of 1.5.
_PRIOR_WEIGHT = 2.0
# A single request changes a speed as if it were at most this much faster or
# slower than usual, so that one pause of a server does not look like a ratio
# of 1.5.
_MAX_RATIO = 2.5
# A speed without new observations is computed again after this time, in which
# it changes by less than a hundredth.
_SPEED_VALID_S = 1.0
# The choice by work ends below this share of the ratio at which it begins.
_LEAVE_SHARE = 0.85


@dataclasses.dataclass
class _Record:
    log_sum: float = 0
    weight: float = 0
    at: float = 0
    speed: float = 1
    speed_until: float = 0

    def factor(self, now: float) -> float:
        return math.exp2(-max(0, now - self.at) / _HALF_LIFE_S)


class ServerSpeeds:
    """Learns the speeds of the servers of one service. Not thread-safe."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def observe(
        self, incarnation: str, expected_s: float, observed_s: float, now: float
    ) -> None:
        """Learn from a request.

        Args:
            incarnation: the server and its start.
            expected_s: how long the request takes at usual speed.
            observed_s: how long it took.
            now: seconds of the monotonic clock.
        """
        if expected_s <= 0 or observed_s <= 0:
            return
        limit = math.log(_MAX_RATIO)
        step = max(-limit, min(limit, math.log(expected_s / observed_s)))
        record = self._records.setdefault(incarnation, _Record())
        kept = record.factor(now) * _KEPT_PER_OBSERVATION
        record.log_sum = record.log_sum * kept + step
        record.weight = record.weight * kept + 1
        record.at = now
        record.speed_until = now

    def speed(self, incarnation: str, now: float) -> float:
        """Return a server's speed; 1 is usual, or not known."""
        record = self._records.get(incarnation)
        if record is None:
            return 1
        if now >= record.speed_until:
            factor = record.factor(now)
            weight = record.weight * factor + _PRIOR_WEIGHT
            record.speed = math.exp(record.log_sum * factor / weight)
            record.speed_until = now + _SPEED_VALID_S
        return record.speed

    def spread(self, now: float) -> float:
        """Return the ratio of the highest speed of servers to the lowest."""
        speeds = [self.speed(one, now) for one in self._records]
        return max(speeds) / min(speeds) if speeds else 1

    def keep(self, incarnations: Collection[str]) -> None:
        """Drop what is known of all other servers."""
        self._records = {
            one: record
            for one, record in self._records.items()
            if one in incarnations
        }


class MethodSwitch:
    """Whether servers are chosen by their work or by counts of requests.

    Between the ratio at which the choice by work begins and the one at which
    it ends the method stays as it is, so that it does not alternate.

    Args:
        speed_spread: ratio of speeds from which work counts; 0 for never.
    """

    def __init__(self, speed_spread: float) -> None:
        self._begins_at = speed_spread
        self.by_work = False
        self.spread: float = 1

    @property
    def may_begin(self) -> bool:
        """Whether speeds differ enough that work is or may soon be used."""
        return bool(self._begins_at) and self.spread >= self._ends_at

    def update(self, spread: float) -> bool:
        """Set the ratio of speeds; return whether the method changes."""
        self.spread = spread
        before = self.by_work
        bound = self._ends_at if before else self._begins_at
        self.by_work = bool(self._begins_at) and spread >= bound
        return self.by_work != before

    @property
    def _ends_at(self) -> float:
        return max(1, self._begins_at * _LEAVE_SHARE)
