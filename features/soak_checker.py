"""Judges a soak by what callers and engines saw."""

from __future__ import annotations

import collections
import math
from collections.abc import Iterator

from features import soak_item_checks, soak_team_checks
from features.soak_history import SLACK_S, Call, History, is_late
from features.soak_schedule import CRASH_FAULTS

_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Planned work cuts no request, and engines that end cut only their own.
_UNEXCUSING_KINDS = frozenset((
    'restarted',
    'reloaded',
    'route_added',
    'engine_leaves',
    'odd_entry',
    *CRASH_FAULTS,
))
_ONCE_KINDS = frozenset(('once', 'kept'))
_NOT_FOUND = 404
_OK = 200


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
        *soak_team_checks.CHECKS,
        *soak_item_checks.CHECKS,
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
    ran -= frozenset().union(*(end.requests for end in history.ends))
    for call in history.calls:
        if call.kind != 'kept' or call.status or call.request_id not in ran:
            continue
        excuses = [
            trouble
            for trouble in history.troubles
            if trouble.kind not in _UNEXCUSING_KINDS
            and trouble.overlaps(call.sent_s - SLACK_S, call.ended_s)
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
        elif is_late(history, {call.host}, written_s, call.sent_s):
            yield f'CONFIG: written at {written_s:.2f} s: {call}'


def _ended(call: Call) -> float:
    return call.ended_s


def _drain(history: History) -> Iterator[str]:
    everyone = set(range(history.hosts))
    for run in history.runs:
        left_s = history.left.get(run.engine)
        if left_s is not None and is_late(history, everyone, left_s, run.at_s):
            yield f'DRAIN: left at {left_s:.2f} s: {run}'


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
