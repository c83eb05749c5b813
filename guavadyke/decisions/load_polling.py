"""Rate-limited selection of backend servers to poll for their load."""

from __future__ import annotations

import collections
import dataclasses
import itertools
from collections.abc import Collection, Iterator

_USED_POLL_INTERVAL_S = 0.25
_UNUSED_POLL_INTERVAL_S = 2.0
_MAX_REFILL_STEP_S = 1.0
_MAX_FIRST_POLLS = 64


@dataclasses.dataclass(frozen=True)
class PollTargets:
    """Ids of the servers that may be polled.

    ``near`` are in this host's availability zone, ``far`` in others;
    ``used`` have requests of this host in flight.
    """

    near: Collection[str]
    far: Collection[str]
    used: Collection[str]


class PollScheduler:
    """Selects servers to poll: used ones first, then the others in turn.

    A server of this host's zone that was never polled is polled regardless
    of the rate limit, so that a new host soon knows its zone.

    Args:
        rate_per_s: maximum polls per second, independent of fleet size.
        now: seconds of the monotonic clock.
    """

    def __init__(self, rate_per_s: float, now: float) -> None:
        self._rate_per_s = rate_per_s
        self._tokens = rate_per_s
        self._refilled_at = now
        self._polled_at: dict[str, float] = {}
        self._poll_queue: collections.deque[str] = collections.deque()

    def servers_to_poll(self, targets: PollTargets, now: float) -> list[str]:
        """Return the ids of the servers to poll now and mark them polled."""
        self._refill_tokens(now)
        self._sync_queue(targets)
        chosen = self._never_polled(targets)
        chosen.extend(
            self._within_rate(self._due_servers(targets, now, chosen))
        )
        self._polled_at.update(dict.fromkeys(chosen, now))
        return chosen

    def _refill_tokens(self, now: float) -> None:
        step_s = min(_MAX_REFILL_STEP_S, now - self._refilled_at)
        refilled = self._tokens + step_s * self._rate_per_s
        self._tokens = min(self._rate_per_s, refilled)
        self._refilled_at = now

    def _sync_queue(self, targets: PollTargets) -> None:
        """Drop servers that are gone and queue new ones first."""
        if len(self._poll_queue) == len(targets.near) + len(targets.far):
            return
        names = {*targets.near, *targets.far}
        self._polled_at = {
            name: at for name, at in self._polled_at.items() if name in names
        }
        kept = [name for name in self._poll_queue if name in names]
        added = sorted(names.difference(kept))
        self._poll_queue = collections.deque(itertools.chain(added, kept))

    def _never_polled(self, targets: PollTargets) -> list[str]:
        if len(self._polled_at) >= len(self._poll_queue):
            return []
        unknown = (one for one in targets.near if one not in self._polled_at)
        return list(itertools.islice(unknown, _MAX_FIRST_POLLS))

    def _due_servers(
        self,
        targets: PollTargets,
        now: float,
        chosen: list[str],
    ) -> Iterator[str]:
        """Yield the servers that are due for a poll, used ones first."""
        used = [
            name
            for name in targets.used
            if self._age_s(name, now) >= _USED_POLL_INTERVAL_S
        ]
        yield from sorted(used, key=lambda name: self._polled_at.get(name, 0))
        selected = {*used, *chosen}
        due_unused = itertools.takewhile(
            lambda name: self._age_s(name, now) >= _UNUSED_POLL_INTERVAL_S,
            tuple(self._poll_queue),
        )
        for name in due_unused:
            self._poll_queue.rotate(-1)
            if name not in selected:
                yield name

    def _within_rate(self, names: Iterator[str]) -> Iterator[str]:
        while self._tokens >= 1:
            name = next(names, None)
            if name is None:
                return
            self._tokens -= 1
            yield name

    def _age_s(self, name: str, now: float) -> float:
        return now - self._polled_at.get(name, float('-inf'))
