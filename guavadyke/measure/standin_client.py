"""Client of the stand-ins' control routes: faults, history, call counts."""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Mapping
from typing import Any

from guavadyke.client import Client

_TIMEOUT_S = 60


@dataclasses.dataclass(frozen=True)
class EngineRecord:
    """One completion request that an engine ran.

    ``started`` and ``ended`` are in epoch seconds; ``ended`` is None while
    the request is running.
    """

    engine: str
    request_id: str
    host_id: str
    prompt: str
    outcome: str
    started: float
    ended: float | None


class StandinControl:
    """Client of one stand-in's control routes.

    Args:
        address: address of the stand-in, ``IP:PORT``.
    """

    def __init__(self, address: str) -> None:
        self._client = Client(f'http://{address}', '', _TIMEOUT_S)

    def set_faults(self, **faults: object) -> None:
        """Replace the injected faults; without arguments, clear them."""
        body = json.dumps(faults).encode()
        self._client.expect('PUT', '/standin/faults', body)

    def last_sequence(self) -> int:
        """Return the sequence number of the newest record, 0 if none."""
        records = self._history(0)
        return int(records[-1]['sequence']) if records else 0

    def completions(
        self,
        engine: str,
        after: int = 0,
    ) -> tuple[EngineRecord, ...]:
        """Return the completions after a record.

        Args:
            engine: name of the engine, copied to the records.
            after: sequence number of the last record to leave out.
        """
        return tuple(
            EngineRecord(
                engine=engine,
                request_id=record['request_id'],
                host_id=record['host_id'],
                prompt=record['prompt'],
                outcome=record['outcome'],
                started=record['started'],
                ended=record['ended'],
            )
            for record in self._history(after)
            if record['operation'] == 'completion'
        )

    def counts(self) -> Mapping[str, int]:
        """Return the number of calls to the platform, by operation."""
        counts = self._client.expect('GET', '/standin/counts').document()
        return {str(name): int(count) for name, count in counts.items()}

    def _history(self, after: int) -> list[dict[str, Any]]:
        path = f'/standin/history?after={after}'
        document = self._client.expect('GET', path).document()
        records: list[dict[str, Any]] = document['records']
        return records
