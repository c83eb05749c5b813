"""Sends ticks to the actor that runs the items of a host."""

from __future__ import annotations

import threading
from collections.abc import Callable

from guavadyke.controllers.forward_job_runner import Tick
from guavadyke.guarded_threads import GuardedThread
from guavadyke.snapshots import SnapshotCell

# Interval at which a host with jobs looks for free slots and for items whose
# retry delay has passed.
_TICK_S = 0.05
# Interval of a host without jobs; new jobs wake it at once.
_IDLE_TICK_S = 0.5


class RunnerTicker:
    """Sends ticks to a runner, periodically and after each change.

    Args:
        tell: sends a message to the runner.
        busy: whether the runner has jobs, which shortens the interval.
    """

    def __init__(
        self,
        tell: Callable[[object], None],
        busy: SnapshotCell[bool],
    ) -> None:
        self._tell = tell
        self._busy = busy
        self._stopped = threading.Event()
        self._changed = threading.Event()
        self._thread = GuardedThread(self._run, 'job-ticker', self._stopped)

    @property
    def sound(self) -> bool:
        """Whether ticks are sent, or need not be."""
        return self._thread.sound

    def start(self) -> None:
        """Start ticking in the background."""
        self._thread.start()

    def close(self) -> None:
        """Stop ticking, without waiting for the thread."""
        self._stopped.set()
        self._changed.set()

    def wake(self) -> None:
        """Send a tick at once."""
        self._changed.set()

    def _run(self) -> None:
        while not self._stopped.is_set():
            busy = self._busy.current
            self._changed.wait(_TICK_S if busy else _IDLE_TICK_S)
            self._changed.clear()
            self._tell(Tick())
