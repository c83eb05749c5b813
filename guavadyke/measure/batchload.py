"""Batch load: jobs through the fleet, or straight to the engines."""

from __future__ import annotations

import datetime as dt
import itertools
import json
import time
from collections.abc import Iterable, Mapping

from guavadyke.catalogue import BackendServerEntry
from guavadyke.measure.client import StreamRequest
from guavadyke.measure.loadgen import ClosedLoad
from guavadyke.measure.occupancy import BATCH_MARK
from guavadyke.measure.target import Target, direct_request

DUE_S = 86_400
_DIRECT_DEADLINE_S = 120


class BatchJob:
    """One batch job of the fleet.

    Args:
        target: the fleet.
        lines: its items, see ``job_line``.
    """

    def __init__(self, target: Target, lines: Iterable[bytes]) -> None:
        self._target = target
        self._body = b'\n'.join(lines)
        self._path = ''

    def submit(self) -> float:
        """Submit the job and return the seconds until it was accepted."""
        due = dt.datetime.now(dt.UTC)
        due += dt.timedelta(seconds=DUE_S)
        shown = due.strftime('%Y-%m-%dT%H:%M:%SZ')
        started_at = time.monotonic()
        answer = self._target.caller.expect(
            'POST',
            f'/v1/batches?entry={self._target.batch_entry}&due={shown}',
            self._body,
            {'Content-Type': 'application/x-ndjson'},
        )
        self._path = f'/v1/batches/{answer.document()["id"]}'
        return time.monotonic() - started_at

    def cancel(self) -> None:
        """Cancel what has not ended."""
        self._target.caller.expect('POST', f'{self._path}/cancel')


def job_line(
    name: str,
    tokens: int,
    metadata: Mapping[str, str] | None = None,
) -> bytes:
    """Return one line of a job; the name is its custom id."""
    content = f'{BATCH_MARK} {name}'
    body: dict[str, object] = {
        'messages': [{'role': 'user', 'content': content}],
        'max_tokens': tokens,
    }
    if metadata:
        body['metadata'] = metadata
    return json.dumps({'custom_id': name, 'body': body}).encode()


def direct_batch(
    engines: Mapping[str, BackendServerEntry],
    share: float,
    model: str,
    tokens: int,
) -> ClosedLoad:
    """Return a load that keeps a share of each engine's slots busy.

    It goes to the engines without an entry host: batch work that neither
    knows of online requests nor yields to them.
    """
    places = tuple(
        itertools.chain.from_iterable(
            itertools.repeat(server.address, round(server.slots * share))
            for server in engines.values()
        ),
    )

    def make(number: int) -> StreamRequest:
        return direct_request(
            places[number % len(places)],
            model,
            f'{BATCH_MARK} direct {number}',
            tokens,
            _DIRECT_DEADLINE_S,
        )

    return ClosedLoad(make, len(places))
