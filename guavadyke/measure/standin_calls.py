"""Calls to the stand-ins' own routes: faults, history, counts."""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Mapping
from typing import Any

from guavadyke.client import Client

_TIMEOUT_S = 60


@dataclasses.dataclass(frozen=True)
class EngineRecord:
    """One completion that an engine took; times in epoch seconds.

    ``ended`` is None while it runs.
    """

    engine: str
    request_id: str
    host_id: str
    prompt: str
    outcome: str
    started: float
    ended: float | None


class StandinControl:
    """Control of one stand-in.

    Args:
        address: IP:PORT.
    """

    def __init__(self, address: str) -> None:
        self._client = Client(f'http://{address}', '', _TIMEOUT_S)

    def put_faults(self, **faults: object) -> None:
        """Set the faults; without any, clear them."""
        body = json.dumps(faults).encode()
        self._client.expect('PUT', '/standin/faults', body)

    def last_sequence(self) -> int:
        """Return the number of the newest record."""
        records = self._history(0)
        return int(records[-1]['sequence']) if records else 0

    def completions(
        self,
        engine: str,
        after: int = 0,
    ) -> tuple[EngineRecord, ...]:
        """Return the completions of an engine after a record's number."""
        return tuple(
            EngineRecord(
                engine=engine,
                request_id=one['request_id'],
                host_id=one['host_id'],
                prompt=one['prompt'],
                outcome=one['outcome'],
                started=one['started'],
                ended=one['ended'],
            )
            for one in self._history(after)
            if one['operation'] == 'completion'
        )

    def counts(self) -> Mapping[str, int]:
        """Return the platform stand-in's calls by operation."""
        counts = self._client.expect('GET', '/standin/counts').document()
        return {str(name): int(count) for name, count in counts.items()}

    def _history(self, after: int) -> list[dict[str, Any]]:
        path = f'/standin/history?after={after}'
        document = self._client.expect('GET', path).document()
        records: list[dict[str, Any]] = document['records']
        return records
