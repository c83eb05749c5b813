"""Batch load: jobs submitted to the fleet, or requests sent to engines."""

from __future__ import annotations

import datetime as dt
import itertools
import json
import time
from collections.abc import Iterable, Mapping

from guavadyke.catalogue import BackendServerEntry
from guavadyke.measure.load_generator import ClosedLoad
from guavadyke.measure.occupancy import BATCH_PROMPT_MARKER
from guavadyke.measure.stream_client import StreamRequest
from guavadyke.measure.target import Target, direct_request

JOB_DUE_S = 86_400
_DIRECT_DEADLINE_S = 120


class BatchJob:
    """One batch job that is submitted to a fleet.

    Args:
        target: the fleet.
        lines: one JSON line for each item, see ``job_line``.
    """

    def __init__(self, target: Target, lines: Iterable[bytes]) -> None:
        self._target = target
        self._body = b'\n'.join(lines)
        self._path = ''

    def submit(self) -> float:
        """Submit the job and return how long the call took, in seconds."""
        due = dt.datetime.now(dt.UTC)
        due += dt.timedelta(seconds=JOB_DUE_S)
        due_text = due.strftime('%Y-%m-%dT%H:%M:%SZ')
        started_at = time.monotonic()
        answer = self._target.caller.expect(
            'POST',
            f'/v1/batches?entry={self._target.batch_entry}&due={due_text}',
            self._body,
            {'Content-Type': 'application/x-ndjson'},
        )
        self._path = f'/v1/batches/{answer.document()["id"]}'
        return time.monotonic() - started_at

    def cancel(self) -> None:
        """Cancel the items that have not ended yet."""
        self._target.caller.expect('POST', f'{self._path}/cancel')


def job_line(
    name: str,
    tokens: int,
    metadata: Mapping[str, str] | None = None,
) -> bytes:
    """Return the JSON line of one item.

    Args:
        name: custom id of the item, also part of its prompt.
        tokens: tokens of the answer.
        metadata: metadata of the request body.
    """
    content = f'{BATCH_PROMPT_MARKER} {name}'
    body: dict[str, object] = {
        'messages': [{'role': 'user', 'content': content}],
        'max_tokens': tokens,
    }
    if metadata:
        body['metadata'] = metadata
    return json.dumps({'custom_id': name, 'body': body}).encode()


def direct_batch_load(
    engines: Mapping[str, BackendServerEntry],
    share: float,
    model: str,
    tokens: int,
) -> ClosedLoad:
    """Return a closed load that keeps a share of each engine's slots busy.

    Its requests bypass the entry hosts, so they are not preempted when
    online requests arrive.

    Args:
        engines: engines by name.
        share: share of the slots, from 0 to 1.
        model: name of the model at the engines.
        tokens: tokens of each answer.
    """
    slot_addresses = tuple(
        itertools.chain.from_iterable(
            itertools.repeat(engine.address, round(engine.slots * share))
            for engine in engines.values()
        ),
    )

    def make_request(number: int) -> StreamRequest:
        return direct_request(
            slot_addresses[number % len(slot_addresses)],
            model,
            f'{BATCH_PROMPT_MARKER} direct {number}',
            tokens,
            _DIRECT_DEADLINE_S,
        )

    return ClosedLoad(make_request, len(slot_addresses))
