"""Finds requests that crash the backend servers that answer them.

A retry of such a request, and each further one, would take another server and
all other requests on it. What crashes servers is either a part of prompts that
several requests share, or one request as a whole, which may come again under
another id. Requests that only share other parts are not affected.
"""

from __future__ import annotations

import collections
import dataclasses
import itertools
from collections.abc import Iterable, Mapping, Sequence, Set
from typing import TypeAlias

# Servers that have to end under requests with a part before it is blamed.
# Fewer may end by chance under the same rare part.
MIN_CRASHES = 3
# A part is not suspected for this time after a request with it has completed.
# It is longer than all servers of a service take to start again.
_TRUSTED_S = 30.0
# Time after which one request with a quarantined part is let through. It
# doubles with each server that ends under such a request.
_FIRST_TRIAL_S = 5.0
# A whole request waits longer: only its own caller is refused meanwhile, and a
# trial may cost a server. An item is owed a result, which nobody else asks for.
_FIRST_REQUEST_TRIAL_S = 600.0
_FIRST_ITEM_TRIAL_S = 10.0
_LONGEST_TRIAL_S = 1800.0
_MAX_CRASHES = 256
_MAX_TRUSTED = 8192
_MAX_SUSPECTS = 64
# A part that is shared by requests is not blamed for one request alone.
_MIN_CASES = 2
_REQUEST_PREFIX = 'request/'
_ITEM_PREFIX = 'item/'
# No request shares more of its prompt than itself.
_WHOLE_DEPTH = 1_000_000


_TrustedUntil: TypeAlias = collections.OrderedDict[str, float]


def whole_request(request_fingerprint: str) -> str:
    """Return the name of the part that stands for a whole request.

    Args:
        request_fingerprint: the same whenever the request comes again.
    """
    return f'{_REQUEST_PREFIX}{request_fingerprint}'


def whole_item(item_fingerprint: str) -> str:
    """Return the name of the part that stands for a whole item of a job.

    Args:
        item_fingerprint: the same whenever the item is sent.
    """
    return f'{_ITEM_PREFIX}{item_fingerprint}'


def is_whole_request(part: str) -> bool:
    """Return whether a part stands for a whole request or item."""
    return part.startswith((_REQUEST_PREFIX, _ITEM_PREFIX))


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

    ``trial_in_s`` is the time until one of them may be let through; it is 0
    once that has been due for ``overdue_s``.
    """

    part: str
    crashes: int
    trial_in_s: float
    overdue_s: float = 0


@dataclasses.dataclass
class _Crash:
    """The parts under which one incarnation of a server has ended."""

    at: float
    depths: dict[str, int]


@dataclasses.dataclass(frozen=True)
class _Case:
    """Crashes that have one cause; ``depths`` are the parts they share."""

    depths: Mapping[str, int]
    crashes: int = 1


class PromptQuarantine:
    """Which parts of prompts not to send to servers.

    A part is quarantined once several incarnations of servers have ended
    under requests with it while no request with it completed, unless
    another quarantined part explains these crashes. Of several parts that do,
    the deepest is chosen, since the fewest requests share it; a whole request
    goes before the parts of its prompt. Hosts with the same knowledge
    quarantine the same parts, in whatever order they got it.
    All times are in seconds of the monotonic clock. Not safe for threads.
    """

    def __init__(self) -> None:
        self._crashes: dict[str, _Crash] = {}
        # Apart, because each request adds one and many share the others.
        self._trusted_parts: _TrustedUntil = collections.OrderedDict()
        self._trusted_requests: _TrustedUntil = collections.OrderedDict()
        self._counts: collections.Counter[str] = collections.Counter()
        self._quarantined: frozenset[str] = frozenset()
        self._trial_due: dict[str, float] = {}

    @property
    def quarantined(self) -> frozenset[str]:
        """The quarantined parts."""
        return self._quarantined

    def nears_blame(self, suspects: Iterable[Suspect]) -> bool:
        """Return whether hosts need to know at once that these are suspected.

        That is so if a whole request among them has crashed repeatedly, or if
        a part is in quarantine, whose next trial has to wait longer.
        """
        return any(
            suspect.part in self._quarantined
            or (
                self._counts[suspect.part] > 1
                and is_whole_request(suspect.part)
            )
            for suspect in suspects
        )

    def trusts(self, part: str, at: float) -> bool:
        """Return whether a request with a part has completed lately."""
        return self._trusted_until(part).get(part, 0) > at

    def completed_at(self, part: str) -> float:
        """Return when a request with a trusted part completed last."""
        return self._trusted_until(part)[part] - _TRUSTED_S

    def suspects(self, parts: Sequence[str], at: float) -> tuple[Suspect, ...]:
        """Return those of a prompt's parts that may crash a server.

        Of a prompt with very many parts these are the last ones.
        """
        found = tuple(
            Suspect(part, _WHOLE_DEPTH if is_whole_request(part) else depth)
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
        added = depths.keys() - crash.depths.keys()
        crash.depths.update(depths)
        self._counts.update(added)
        self._drop_surplus()
        if any(self._counts[part] >= MIN_CRASHES for part in added):
            self._blame_parts()

    def completed(self, parts: Iterable[str], at: float) -> tuple[str, ...]:
        """Record that a request with these parts has completed.

        Args:
            parts: the parts.
            at: when it completed. Crashes before are forgotten, and those
                that come soon after do not count.

        Returns:
            Those of the parts that other hosts may suspect enough to blame
            them soon.
        """
        cleared = []
        for part in parts:
            trusted = self._trusted_until(part)
            trusted[part] = max(trusted.get(part, 0), at + _TRUSTED_S)
            trusted.move_to_end(part)
            if len(trusted) > _MAX_TRUSTED:
                trusted.popitem(last=False)
            if part in self._counts:
                cleared.append(part)
        doubtful = tuple(filter(self._is_doubtful, cleared))
        if cleared:
            self._clear(cleared)
        return doubtful

    def find(self, parts: Iterable[str], now: float) -> Quarantine | None:
        """Return the quarantine of a request with some parts.

        If several of them are in quarantine, it is the one that is tried last.
        """
        due_by_part = {
            part: self._trial_due[part]
            for part in parts
            if part in self._trial_due
        }
        if not due_by_part:
            return None
        last = max(due_by_part, key=due_by_part.__getitem__)
        due_in_s = due_by_part[last] - now
        return Quarantine(
            last, self._counts[last], max(0, due_in_s), max(0, -due_in_s)
        )

    def expect(
        self, parts: Iterable[str], ended: Set[str]
    ) -> Quarantine | None:
        """Return the quarantine that a whole request will soon be in.

        Args:
            parts: the parts of the request.
            ended: incarnations of servers that have just ended under it.
        """
        for part in filter(is_whole_request, parts):
            crashes = self._counts[part] + len(ended - self._crashes.keys())
            if ended and crashes >= MIN_CRASHES:
                return Quarantine(part, crashes, _first_wait_s(part))
        return None

    def _trusted_until(self, part: str) -> _TrustedUntil:
        """Return the names of the same kind, with the time of each."""
        if is_whole_request(part):
            return self._trusted_requests
        return self._trusted_parts

    def _crash_times(self, part: str) -> list[float]:
        return sorted(
            crash.at for crash in self._crashes.values() if part in crash.depths
        )

    def _is_doubtful(self, part: str) -> bool:
        """Return whether one more crash or none may make hosts blame a part."""
        return not is_whole_request(part) or self._counts[part] > 1

    def _clear(self, parts: Iterable[str]) -> None:
        """Take trusted parts off crashes, which others have to explain."""
        cleared = frozenset(parts)
        blamable = any(self._counts[part] >= MIN_CRASHES for part in cleared)
        for crash in self._crashes.values():
            for part in cleared & crash.depths.keys():
                if self.trusts(part, crash.at):
                    crash.depths.pop(part)
                    self._counts[part] -= 1
        self._counts = +self._counts
        self._crashes = {
            incarnation: left
            for incarnation, left in self._crashes.items()
            if left.depths
        }
        if blamable:
            self._blame_parts()

    def _blame_parts(self) -> None:
        """Quarantine the parts that explain all repeated crashes.

        The crashes under a request that is blamed as a whole are one case
        beside the others: a part of its prompt is blamed only if it explains
        another case too.
        """
        cases = [_Case(crash.depths) for crash in self._crashes.values()]
        blamed: frozenset[str] = frozenset()
        while requests := _most_crashing_requests(cases):
            blamed |= requests
            cases = _merged_case(cases, requests)
        while parts := _most_suspicious(cases):
            blamed |= parts
            cases = [case for case in cases if parts.isdisjoint(case.depths)]
        self._quarantined = blamed
        self._trial_due = {
            part: _trial_due(self._crash_times(part), _first_wait_s(part))
            for part in blamed
        }

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
            forgotten = self._crashes.pop(surplus).depths.keys()
            self._counts.subtract(forgotten)
            self._counts = +self._counts
            if not self._quarantined.isdisjoint(forgotten):
                self._blame_parts()


def _most_crashing_requests(cases: Sequence[_Case]) -> frozenset[str]:
    """Return the whole requests with the most crashes, none if these are few.

    Args:
        cases: the crashes that no request explains yet.
    """
    names = itertools.chain.from_iterable(case.depths for case in cases)
    counts = collections.Counter(filter(is_whole_request, names))
    most = max(counts.values(), default=0)
    if most < MIN_CRASHES:
        return frozenset()
    return frozenset(name for name, count in counts.items() if count == most)


def _merged_case(
    cases: Sequence[_Case], requests: frozenset[str]
) -> list[_Case]:
    """Return the cases with those of some whole requests made one."""
    own = [case for case in cases if not requests.isdisjoint(case.depths)]
    common = frozenset.intersection(*(frozenset(case.depths) for case in own))
    depths = {
        part: depth
        for part, depth in own[0].depths.items()
        if part in common and not is_whole_request(part)
    }
    others = [case for case in cases if requests.isdisjoint(case.depths)]
    return [*others, _Case(depths, len(own))]


def _most_suspicious(cases: Sequence[_Case]) -> frozenset[str]:
    """Return the parts to blame first for cases, none if these are few.

    Of the parts under which enough servers have ended these are the deepest,
    and of the deepest those with the most crashes.
    """
    names = itertools.chain.from_iterable(case.depths for case in cases)
    in_cases = collections.Counter(names)
    ranks = {
        part: (depth, _crashes_under(part, cases))
        for part, depth in itertools.chain.from_iterable(
            case.depths.items() for case in cases
        )
        if in_cases[part] >= _MIN_CASES
    }
    enough = {
        part: rank for part, rank in ranks.items() if rank[1] >= MIN_CRASHES
    }
    first = max(enough.values(), default=None)
    return frozenset(part for part, rank in enough.items() if rank == first)


def _crashes_under(part: str, cases: Iterable[_Case]) -> int:
    return sum(case.crashes for case in cases if part in case.depths)


def _first_wait_s(part: str) -> float:
    if part.startswith(_REQUEST_PREFIX):
        return _FIRST_REQUEST_TRIAL_S
    return _FIRST_ITEM_TRIAL_S if is_whole_request(part) else _FIRST_TRIAL_S


def _trial_due(crash_times: Iterable[float], first_wait_s: float) -> float:
    """Return when to let a request through, from ascending crash times.

    The time from the last crash doubles with each crash that came after an
    earlier trial was due.
    """
    wait_s = first_wait_s
    due: float = 0
    for at in crash_times:
        if 0 < due <= at:
            wait_s = min(_LONGEST_TRIAL_S, 2 * wait_s)
        due = at + wait_s
    return due
