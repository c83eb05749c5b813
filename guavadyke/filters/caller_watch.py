"""Cancels calls to backend servers whose caller has left."""

from __future__ import annotations

import dataclasses
import itertools
import threading
from collections.abc import Callable, Generator
from contextlib import contextmanager

from guavadyke.adapters.cancellation import CallCancellation
from guavadyke.guarded_threads import GuardedThread
from guavadyke.log import EventLogger
from guavadyke.part_health import PartHealth

_CHECK_INTERVAL_S = 0.1


@dataclasses.dataclass(frozen=True)
class _WatchedCall:
    abandoned: Callable[[], bool]
    cancellation: CallCancellation
    check_silence: Callable[[], object]


def _ignore_silence() -> None:
    """Do nothing about a call that cannot move to another server."""


class CallerWatch:
    """Checks all running calls from one thread and cancels abandoned ones.

    Each check also lets a call see whether its server has fallen silent.
    """

    def __init__(self) -> None:
        self._watched_calls: dict[int, _WatchedCall] = {}
        self._call_ids = itertools.count()
        self._stopped = threading.Event()
        self._call_added = threading.Event()
        self._health = PartHealth('caller-watch', EventLogger())
        self._thread = GuardedThread(self._run, 'caller-watch', self._stopped)

    def start(self) -> None:
        """Start checking in a background thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop checking."""
        self._stopped.set()
        self._call_added.set()

    @contextmanager
    def cancel_when_abandoned(
        self,
        abandoned: Callable[[], bool],
        cancellation: CallCancellation,
        check_silence: Callable[[], object] = _ignore_silence,
    ) -> Generator[None]:
        """Cancel a call if it is abandoned while the block runs.

        Args:
            abandoned: returns whether nobody waits for the result.
            cancellation: cancels the call.
            check_silence: called at each check; errors are logged.
        """
        number = next(self._call_ids)
        self._watched_calls[number] = _WatchedCall(
            abandoned, cancellation, check_silence
        )
        self._call_added.set()
        try:
            yield
        finally:
            self._watched_calls.pop(number, None)

    def _run(self) -> None:
        while not self._stopped.wait(_CHECK_INTERVAL_S):
            if not self._watched_calls:
                self._wait_for_call()
            for watched in tuple(self._watched_calls.values()):
                self._check_logged(watched)

    def _check_logged(self, watched: _WatchedCall) -> None:
        try:
            _check(watched)
        except Exception as error:
            self._health.failed('check', error)

    def _wait_for_call(self) -> None:
        """Wait until there is a call to check, or until ``close``."""
        self._call_added.clear()
        if not self._watched_calls and not self._stopped.is_set():
            self._call_added.wait()


def _check(watched: _WatchedCall) -> None:
    if watched.cancellation.cancelled:
        return
    if watched.abandoned():
        watched.cancellation.cancel()
    else:
        watched.check_silence()
