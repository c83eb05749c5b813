"""History of the calls that a stand-in has received."""

from __future__ import annotations

import collections
import threading
import time
from typing import TypeAlias

_MAX_RECORDS = 200_000

Record: TypeAlias = dict[str, object]


class History:
    """Records of calls, in the order of their start.

    Times are seconds since the epoch. The oldest records are dropped.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._sequence = 0
        self._records: collections.deque[Record] = collections.deque(
            maxlen=_MAX_RECORDS,
        )

    def begin(self, **fields: object) -> Record:
        """Add and return a record; its outcome is ``running`` until ``end``."""
        with self._lock:
            self._sequence += 1
            record: Record = {
                'sequence': self._sequence,
                'started': time.time(),
                'ended': None,
                'outcome': 'running',
                **fields,
            }
            self._records.append(record)
        return record

    def end(self, record: Record, outcome: str, **fields: object) -> None:
        """Set the outcome, the end time and further fields of a record."""
        with self._lock:
            record.update(fields)
            record['outcome'] = outcome
            record['ended'] = time.time()

    def records(self, after: int = 0) -> list[Record]:
        """Return copies of the records after a sequence number."""
        with self._lock:
            return [
                dict(record)
                for record in self._records
                if int(str(record['sequence'])) > after
            ]

    def document(self, after: int) -> Record:
        """Return the records as one JSON document.

        ``dropped`` is the number of old records that were removed.
        """
        return {
            'records': self.records(after),
            'dropped': max(0, self._sequence - _MAX_RECORDS),
        }
