"""Writes log records from a thread that alone waits for the reader."""

from __future__ import annotations

import collections
import logging
import os
import threading
import time
from collections.abc import Iterator

_MAX_DETAILS = 2000
_MAX_WARNINGS = 1000
# Collects the records of a short time in one write.
_WRITE_INTERVAL_S = 0.05
_FLUSH_INTERVAL_S = 0.01
_FLUSH_TIMEOUT_S = 0.5


class LogWriter(logging.Handler):
    """Queues records and writes them to a file descriptor in the background.

    A thread that logs never waits for the reader of the log. Beyond a bound,
    records are dropped and counted; warnings and errors have a queue of their
    own, so that details never displace them.

    Args:
        descriptor: file descriptor to write to.
        formatter: formats the records.
    """

    def __init__(self, descriptor: int, formatter: logging.Formatter) -> None:
        super().__init__()
        self.setFormatter(formatter)
        self._descriptor = descriptor
        self._queue_lock = threading.Lock()
        self._queued: dict[bool, collections.deque[logging.LogRecord]] = {
            is_warning: collections.deque() for is_warning in (False, True)
        }
        self._dropped: collections.Counter[bool] = collections.Counter()
        self._told: collections.Counter[bool] = collections.Counter()
        self._writing = False
        self._waiting = threading.Event()
        threading.Thread(
            target=self._run, name='log-writer', daemon=True
        ).start()

    @property
    def dropped(self) -> dict[str, int]:
        """Number of records dropped so far, by kind."""
        with self._queue_lock:
            return {
                'details': self._dropped[False],
                'warnings': self._dropped[True],
            }

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record, or count it as dropped."""
        is_warning = record.levelno >= logging.WARNING
        most = _MAX_WARNINGS if is_warning else _MAX_DETAILS
        with self._queue_lock:
            if len(self._queued[is_warning]) >= most:
                self._dropped[is_warning] += 1
                return
            self._queued[is_warning].append(record)
        self._waiting.set()

    def flush(self) -> None:
        """Wait until all records are written, for half a second at the most."""
        until = time.monotonic() + _FLUSH_TIMEOUT_S
        while self._has_unwritten() and time.monotonic() < until:
            self._waiting.set()
            time.sleep(_FLUSH_INTERVAL_S)

    def _has_unwritten(self) -> bool:
        with self._queue_lock:
            return self._writing or any(self._queued.values())

    def _run(self) -> None:
        while self._waiting.wait():
            time.sleep(_WRITE_INTERVAL_S)
            self._waiting.clear()
            text = '\n'.join((*map(self._line, self._take()), ''))
            self._write(text.encode(errors='replace'))
            with self._queue_lock:
                self._writing = False

    def _line(self, record: logging.LogRecord) -> str:
        try:
            return self.format(record)
        except Exception as error:
            return f'event=log_record_unusable reason={type(error).__name__}'

    def _take(self) -> Iterator[logging.LogRecord]:
        """Return all queued records by time, and one about dropped ones."""
        with self._queue_lock:
            records = [*self._queued[False], *self._queued[True]]
            for queue in self._queued.values():
                queue.clear()
            dropped = self._dropped - self._told
            self._told.update(dropped)
            self._writing = True
        yield from sorted(records, key=lambda record: record.created)
        if dropped:
            yield logging.LogRecord(
                __name__,
                logging.WARNING,
                __file__,
                0,
                'event=log_records_dropped details=%d warnings=%d',
                (dropped[False], dropped[True]),
                None,
            )

    def _write(self, text: bytes) -> None:
        """Write a text; a log that nobody can read any more is given up."""
        while text:
            try:
                written = os.write(self._descriptor, text)
            except OSError:
                # There is no other place to tell of it.
                return
            text = text[written:]
