"""Watch over callers: a call whose caller has left is cancelled."""

from __future__ import annotations

import dataclasses
import itertools
import threading
from collections.abc import Callable, Generator
from contextlib import contextmanager

from guavadyke.adapters.cancellation import CallCancellation

_INTERVAL_S = 0.1


@dataclasses.dataclass(frozen=True)
class _Watched:
    abandoned: Callable[[], bool]
    cancellation: CallCancellation


class CallerWatch:
    """Cancels calls whose result nobody waits for, from one thread."""

    def __init__(self) -> None:
        self._watched: dict[int, _Watched] = {}
        self._numbers = itertools.count()
        self._stopped = threading.Event()
        self._any = threading.Event()
        self._thread = threading.Thread(
            target=self._run,
            name='caller-watch',
            daemon=True,
        )

    def start(self) -> None:
        """Watch in the background."""
        self._thread.start()

    def close(self) -> None:
        """Stop watching."""
        self._stopped.set()
        self._any.set()

    @contextmanager
    def over(
        self,
        abandoned: Callable[[], bool],
        cancellation: CallCancellation,
    ) -> Generator[None]:
        """Watch over a call within the block."""
        number = next(self._numbers)
        self._watched[number] = _Watched(abandoned, cancellation)
        self._any.set()
        try:
            yield
        finally:
            self._watched.pop(number, None)

    def _run(self) -> None:
        while not self._stopped.wait(_INTERVAL_S):
            if not self._watched:
                self._wait_for_one()
            for watched in tuple(self._watched.values()):
                _cancel_abandoned(watched)

    def _wait_for_one(self) -> None:
        """Wait until a call is watched over, or the watch ends."""
        self._any.clear()
        if not self._watched and not self._stopped.is_set():
            self._any.wait()


def _cancel_abandoned(watched: _Watched) -> None:
    if not watched.cancellation.cancelled and watched.abandoned():
        watched.cancellation.cancel()
