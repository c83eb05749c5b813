"""Judges how a soak's hosts served the keys of teams."""

from __future__ import annotations

from collections.abc import Iterator

from features.soak_history import SLACK_S, History

# Bound of the stand-in fleet on removed keys.
_REVOKE_S = 5.0
_REJECTED = 401
_KEPT = 'kept'
_REMOVED = 'removed'


def _seen(history: History) -> Iterator[str]:
    for run in history.runs:
        if run.key_seen:
            yield f'KEY: seen by an engine: {run}'


def _teams(history: History) -> Iterator[str]:
    """Find runs for a team that is not that of their key.

    Items and requests that name no key are sent under the key that is kept.
    """
    keys = {call.request_id: call.key for call in history.calls}
    for run in history.runs:
        key = keys.get(run.request_id) or _KEPT
        if run.team != history.teams.get(key, ''):
            yield f'KEY: run for another team than that of {key}: {run}'


def _late(history: History) -> Iterator[str]:
    ran = {run.request_id for run in history.runs}
    until_s = history.key_removed_s + _REVOKE_S + SLACK_S
    for call in history.calls:
        is_late = call.key == _REMOVED and call.sent_s > until_s
        if is_late and call.request_id in ran:
            yield f'KEY: removed at {history.key_removed_s:.2f} s: {call}'


def _rejected(history: History) -> Iterator[str]:
    for call in history.calls:
        too_early = call.sent_s < history.key_removed_s - SLACK_S
        if call.status == _REJECTED and (call.key != _REMOVED or too_early):
            yield f'KEY: rejected: {call}'


CHECKS = (_seen, _teams, _late, _rejected)
