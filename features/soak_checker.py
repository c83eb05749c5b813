"""Judges a soak by what callers and engines saw."""

from __future__ import annotations

import collections
import dataclasses
import math
from collections.abc import Iterable, Iterator

# Bound of the stand-in fleet on configurations and leaving engines.
IN_FORCE_S = 2.0
# What the clocks of callers and engines may add to a measured time.
_SLACK_S = 0.25
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# A host hears nothing from the platform meanwhile.
_DEAF_KINDS = frozenset((
    'killed',
    'paused',
    'restarted',
    'platform_silent',
    'platform_rejects',
))
# Planned work, which cuts no request.
_PLANNED_KINDS = frozenset((
    'restarted',
    'reloaded',
    'route_added',
    'engine_leaves',
    'odd_entry',
))
_ONCE_KINDS = frozenset(('once', 'kept'))
_NOT_FOUND = 404
_OK = 200


@dataclasses.dataclass(frozen=True)
class Call:
    """A caller's request; ``status`` is 0 if no whole answer came.

    ``own`` is whether the body is the whole answer to this request. ``kind``
    is stream, once (not idempotent), kept (not idempotent, on a connection
    that is used until its host closes it), probe (of an added route) or last
    (after all faults). Times are in seconds of the soak.
    """

    kind: str
    request_id: str
    host: int
    path: str
    sent_s: float
    ended_s: float
    status: int
    own: bool = True


@dataclasses.dataclass(frozen=True)
class Run:
    """A request that an engine began to answer."""

    request_id: str
    engine: str
    at_s: float


@dataclasses.dataclass(frozen=True)
class Trouble:
    """A fault as it took place; ``hosts`` is empty for the whole fleet."""

    kind: str
    began_s: float
    ended_s: float
    hosts: frozenset[int] = frozenset()

    def overlaps(self, from_s: float, to_s: float) -> bool:
        """Return whether the fault was there in a time."""
        return self.began_s <= to_s and from_s <= self.ended_s


@dataclasses.dataclass
class History:
    """All that callers and engines saw, and what was done to the fleet.

    ``routes`` has the time at which each added path was written, ``left`` the
    time at which each engine's entry was removed, ``results`` the ids of
    completed items as they are listed, ``ended`` a line for each process that
    ended by itself or did not stop. A change has to be in force after
    ``in_force_s`` seconds.
    """

    hosts: int
    in_force_s: float = IN_FORCE_S
    calls: list[Call] = dataclasses.field(default_factory=list)
    runs: list[Run] = dataclasses.field(default_factory=list)
    troubles: list[Trouble] = dataclasses.field(default_factory=list)
    routes: dict[str, float] = dataclasses.field(default_factory=dict)
    left: dict[str, float] = dataclasses.field(default_factory=dict)
    items: list[str] = dataclasses.field(default_factory=list)
    results: list[str] = dataclasses.field(default_factory=list)
    ended: list[str] = dataclasses.field(default_factory=list)


def broken_promises(history: History) -> list[str]:
    """Return a line for each broken promise, which begins with its name."""
    checks = (
        _mixed,
        _twice,
        _refused,
        _kept,
        _config,
        _drain,
        _items,
        _exits,
        _last,
    )
    return [line for check in checks for line in check(history)]


def _mixed(history: History) -> Iterator[str]:
    for call in history.calls:
        if call.status == _OK and not call.own:
            yield f'MIXED: {call}'


def _twice(history: History) -> Iterator[str]:
    runs = collections.Counter(run.request_id for run in history.runs)
    for call in history.calls:
        if call.kind in _ONCE_KINDS and runs[call.request_id] > 1:
            yield f'TWICE: {runs[call.request_id]} runs of {call}'


def _refused(history: History) -> Iterator[str]:
    ran = {run.request_id for run in history.runs}
    for call in history.calls:
        refused = call.status in _NOT_RUN_STATUSES
        if call.kind in _ONCE_KINDS and refused and call.request_id in ran:
            yield f'REFUSED: ran all the same: {call}'


def _kept(history: History) -> Iterator[str]:
    """Find requests on kept connections that only planned work has cut."""
    ran = {run.request_id for run in history.runs}
    for call in history.calls:
        if call.kind != 'kept' or call.status or call.request_id not in ran:
            continue
        excuses = [
            trouble
            for trouble in history.troubles
            if trouble.kind not in _PLANNED_KINDS
            and trouble.overlaps(call.sent_s - _SLACK_S, call.ended_s)
            and (not trouble.hosts or call.host in trouble.hosts)
        ]
        if not excuses:
            yield f'LOST: cut on a kept connection: {call}'


def _config(history: History) -> Iterator[str]:
    probes = [call for call in history.calls if call.kind == 'probe']
    served_s = {
        (call.host, call.path): call.ended_s
        for call in sorted(probes, key=_ended, reverse=True)
        if call.status == _OK
    }
    for call in probes:
        if call.status != _NOT_FOUND:
            continue
        written_s = history.routes[call.path]
        first_s = served_s.get((call.host, call.path), math.inf)
        if call.sent_s > first_s:
            yield f'CONFIG: came back older: {call}'
        elif _is_late(history, {call.host}, written_s, call.sent_s):
            yield f'CONFIG: written at {written_s:.2f} s: {call}'


def _ended(call: Call) -> float:
    return call.ended_s


def _drain(history: History) -> Iterator[str]:
    everyone = set(range(history.hosts))
    for run in history.runs:
        left_s = history.left.get(run.engine)
        if left_s is not None and _is_late(history, everyone, left_s, run.at_s):
            yield f'DRAIN: left at {left_s:.2f} s: {run}'


def _is_late(
    history: History, hosts: set[int], since_s: float, at_s: float
) -> bool:
    """Return whether hosts should have known of a change by a time.

    A paused host has its time from when it goes on; nothing is owed while no
    host hears the platform.
    """
    began_s = since_s
    for trouble in history.troubles:
        paused = trouble.kind == 'paused' and trouble.hosts & hosts
        if paused and trouble.overlaps(since_s, at_s):
            began_s = max(began_s, trouble.ended_s)
    deaf = _times_without_platform(history, since_s, at_s)
    return not deaf and at_s > began_s + history.in_force_s + _SLACK_S


def _times_without_platform(
    history: History, from_s: float, to_s: float
) -> list[float]:
    """Return the moments in a time at which a fault left no host hearing."""
    near = [one for one in history.troubles if one.overlaps(from_s, to_s)]
    moments = [from_s, *(one.began_s for one in near if one.began_s > from_s)]
    return [
        moment
        for moment in moments
        if len(_unhearing(near, moment)) == history.hosts
    ]


def _unhearing(troubles: Iterable[Trouble], moment: float) -> frozenset[int]:
    return frozenset().union(
        *(
            trouble.hosts
            for trouble in troubles
            if trouble.kind in _DEAF_KINDS
            and trouble.began_s <= moment <= trouble.ended_s
        )
    )


def _items(history: History) -> Iterator[str]:
    listed = collections.Counter(history.results)
    for item_id in history.items:
        if listed[item_id] != 1:
            yield f'LOST: {item_id} is listed {listed[item_id]} times'


def _exits(history: History) -> Iterator[str]:
    for line in history.ended:
        yield f'EXIT: {line}'


def _last(history: History) -> Iterator[str]:
    for call in history.calls:
        if call.kind == 'last' and call.status != _OK:
            yield f'RECOVER: not served after all faults: {call}'
