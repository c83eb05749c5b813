"""Finds the parts of prompts that crash the backend servers that answer them.

A retry of such a request, and each further one, would take another server and
all other requests on it. Requests that only share other parts of their
prompts are not affected.
"""

from __future__ import annotations

import collections
import dataclasses
import itertools
from collections.abc import Iterable, Mapping, Sequence

# Servers that have to end under requests with a part before it is blamed.
# Fewer may end by chance under the same rare part.
MIN_CRASHES = 3
# A part is not suspected for this time after a request with it has completed.
# It is longer than all servers of a service take to start again.
_TRUSTED_S = 30.0
# Time after which one request with a quarantined part is let through. It
# doubles with each server that ends under such a request.
_FIRST_TRIAL_S = 30.0
_LONGEST_TRIAL_S = 1800.0
_MAX_CRASHES = 256
_MAX_TRUSTED = 8192
_MAX_SUSPECTS = 64


@dataclasses.dataclass(frozen=True)
class Suspect:
    """A part of a prompt that may have crashed a server.

    ``depth`` is its position in the prompt. Parts that come first are shared
    by the most requests.
    """

    part: str
    depth: int


@dataclasses.dataclass(frozen=True)
class Quarantine:
    """Why requests with a part are refused.

    ``trial_in_s`` is the time until one of them is let through; 0 if it is
    due.
    """

    part: str
    crashes: int
    trial_in_s: float


@dataclasses.dataclass
class _Crash:
    """The parts under which one incarnation of a server has ended."""

    at: float
    depths: dict[str, int]


class PromptQuarantine:
    """Which parts of prompts not to send to servers.

    A part is quarantined once several incarnations of servers have ended
    under requests with it while no request with it completed, unless
    another quarantined part explains these crashes. Of several parts that do,
    the deepest is chosen, since the fewest requests share it. Hosts with the
    same knowledge quarantine the same parts, in whatever order they got it.
    All times are in seconds of the monotonic clock. Not safe for threads.
    """

    def __init__(self) -> None:
        self._crashes: dict[str, _Crash] = {}
        self._trusted_until: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._suspected: frozenset[str] = frozenset()
        self._quarantined: frozenset[str] = frozenset()

    @property
    def quarantined(self) -> frozenset[str]:
        """The quarantined parts."""
        return self._quarantined

    def trusts(self, part: str, at: float) -> bool:
        """Return whether a request with a part has completed lately."""
        return self._trusted_until.get(part, 0) > at

    def completed_at(self, part: str) -> float:
        """Return when a request with a trusted part completed last."""
        return self._trusted_until[part] - _TRUSTED_S

    def suspects(self, parts: Sequence[str], at: float) -> tuple[Suspect, ...]:
        """Return those of a prompt's parts that may crash a server.

        Of a prompt with very many parts these are the last ones.
        """
        found = tuple(
            Suspect(part, depth)
            for depth, part in enumerate(parts)
            if not self.trusts(part, at)
        )
        return found[-_MAX_SUSPECTS:]

    def crashed(
        self, incarnation: str, suspects: Iterable[Suspect], at: float
    ) -> None:
        """Record that a server has ended under requests with some parts.

        Args:
            incarnation: the server's id and start.
            suspects: the parts; trusted ones are ignored.
            at: when the server ended.
        """
        depths = {
            suspect.part: suspect.depth
            for suspect in suspects
            if not self.trusts(suspect.part, at)
        }
        if not depths:
            return
        crash = self._crashes.setdefault(incarnation, _Crash(at, {}))
        crash.depths.update(depths)
        self._drop_surplus()
        self._blame_parts()

    def completed(self, parts: Iterable[str], at: float) -> tuple[str, ...]:
        """Record that a request with these parts has completed.

        Args:
            parts: the parts.
            at: when it completed. Crashes before are forgotten, and those
                that come soon after do not count.

        Returns:
            Those of the parts that were suspected.
        """
        cleared = []
        for part in parts:
            known = self._trusted_until.get(part, 0)
            self._trusted_until[part] = max(known, at + _TRUSTED_S)
            self._trusted_until.move_to_end(part)
            if part in self._suspected:
                cleared.append(part)
        while len(self._trusted_until) > _MAX_TRUSTED:
            self._trusted_until.popitem(last=False)
        if cleared:
            self._clear(cleared)
        return tuple(cleared)

    def find(self, parts: Iterable[str], now: float) -> Quarantine | None:
        """Return the quarantine of the first of some parts that is in one."""
        found = next((one for one in parts if one in self._quarantined), None)
        if found is None:
            return None
        times = sorted(
            crash.at
            for crash in self._crashes.values()
            if found in crash.depths
        )
        return Quarantine(found, len(times), max(0, _trial_due(times) - now))

    def _clear(self, parts: Iterable[str]) -> None:
        """Take trusted parts off crashes, which others have to explain."""
        cleared = frozenset(parts)
        for crash in self._crashes.values():
            for part in cleared & crash.depths.keys():
                if self.trusts(part, crash.at):
                    crash.depths.pop(part)
        self._crashes = {
            incarnation: left
            for incarnation, left in self._crashes.items()
            if left.depths
        }
        self._blame_parts()

    def _blame_parts(self) -> None:
        """Quarantine the parts that explain all repeated crashes."""
        unexplained = [crash.depths for crash in self._crashes.values()]
        self._suspected = frozenset().union(*unexplained)
        blamed: frozenset[str] = frozenset()
        found = _most_suspicious(unexplained)
        while found:
            blamed |= found
            unexplained = [
                depths for depths in unexplained if blamed.isdisjoint(depths)
            ]
            found = _most_suspicious(unexplained)
        self._quarantined = blamed

    def _drop_surplus(self) -> None:
        """Forget the oldest crash that explains no quarantine."""
        if len(self._crashes) > _MAX_CRASHES:
            surplus = next(
                (
                    incarnation
                    for incarnation, crash in self._crashes.items()
                    if self._quarantined.isdisjoint(crash.depths)
                ),
                next(iter(self._crashes)),
            )
            self._crashes.pop(surplus)


def _most_suspicious(crashes: Sequence[Mapping[str, int]]) -> frozenset[str]:
    """Return the parts to blame first for crashes, none if these are few.

    Of the parts under which enough servers have ended these are the deepest,
    and of the deepest those with the most crashes.

    Args:
        crashes: for each crash the depths of its parts.
    """
    counts = collections.Counter(itertools.chain.from_iterable(crashes))
    ranks = {
        part: (depth, counts[part])
        for depths in crashes
        for part, depth in depths.items()
        if counts[part] >= MIN_CRASHES
    }
    first = max(ranks.values(), default=None)
    return frozenset(part for part, rank in ranks.items() if rank == first)


def _trial_due(crash_times: Iterable[float]) -> float:
    """Return when to let a request through, from ascending crash times.

    The time from the last crash doubles with each crash that came after an
    earlier trial was due.
    """
    wait_s = _FIRST_TRIAL_S
    due: float = 0
    for at in crash_times:
        if 0 < due <= at:
            wait_s = min(_LONGEST_TRIAL_S, 2 * wait_s)
        due = at + wait_s
    return due
