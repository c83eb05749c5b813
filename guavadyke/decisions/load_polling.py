"""Which backend servers are asked for their load, within a rate."""

from __future__ import annotations

import collections
import dataclasses
import itertools
from collections.abc import Collection, Iterator

_USED_INTERVAL_S = 0.25
_REST_INTERVAL_S = 2.0
_LONGEST_STEP_S = 1.0
_FIRST_AT_ONCE = 64


@dataclasses.dataclass(frozen=True)
class PollTargets:
    """Servers that may be asked.

    ``near`` are those of the own zone, ``far`` the others; ``used`` have
    requests of this host.
    """

    near: Collection[str]
    far: Collection[str]
    used: Collection[str]


class PollScheduler:
    """Chooses whom to ask: used servers first, the others in turn.

    A server of the own zone that has not been asked yet is asked without
    regard to the rate, so that a new host knows its zone soon.

    Args:
        rate_per_s: servers asked a second, whatever the fleet's size.
        now: seconds of the monotonic clock.
    """

    def __init__(self, rate_per_s: float, now: float) -> None:
        self._rate_per_s = rate_per_s
        self._tokens = rate_per_s
        self._filled_at = now
        self._asked_at: dict[str, float] = {}
        self._turn: collections.deque[str] = collections.deque()

    def due(self, targets: PollTargets, now: float) -> list[str]:
        """Return the servers to ask now."""
        self._fill(now)
        self._keep(targets)
        chosen = self._new(targets)
        chosen.extend(self._within_rate(self._ripe(targets, now, chosen)))
        self._asked_at.update(dict.fromkeys(chosen, now))
        return chosen

    def _fill(self, now: float) -> None:
        step_s = min(_LONGEST_STEP_S, now - self._filled_at)
        filled = self._tokens + step_s * self._rate_per_s
        self._tokens = min(self._rate_per_s, filled)
        self._filled_at = now

    def _keep(self, targets: PollTargets) -> None:
        """Forget servers that are gone and queue those that are new."""
        if len(self._turn) == len(targets.near) + len(targets.far):
            return
        names = {*targets.near, *targets.far}
        self._asked_at = {
            name: at for name, at in self._asked_at.items() if name in names
        }
        kept = [name for name in self._turn if name in names]
        added = sorted(names.difference(kept))
        self._turn = collections.deque(itertools.chain(added, kept))

    def _new(self, targets: PollTargets) -> list[str]:
        if len(self._asked_at) >= len(self._turn):
            return []
        unknown = (one for one in targets.near if one not in self._asked_at)
        return list(itertools.islice(unknown, _FIRST_AT_ONCE))

    def _ripe(
        self,
        targets: PollTargets,
        now: float,
        chosen: list[str],
    ) -> Iterator[str]:
        """Yield the servers whose turn it is, the used ones first."""
        used = [
            name
            for name in targets.used
            if self._age_s(name, now) >= _USED_INTERVAL_S
        ]
        yield from sorted(used, key=lambda name: self._asked_at.get(name, 0))
        taken = {*used, *chosen}
        ripe = itertools.takewhile(
            lambda name: self._age_s(name, now) >= _REST_INTERVAL_S,
            tuple(self._turn),
        )
        for name in ripe:
            self._turn.rotate(-1)
            if name not in taken:
                yield name

    def _within_rate(self, names: Iterator[str]) -> Iterator[str]:
        while self._tokens >= 1:
            name = next(names, None)
            if name is None:
                return
            self._tokens -= 1
            yield name

    def _age_s(self, name: str, now: float) -> float:
        return now - self._asked_at.get(name, float('-inf'))
