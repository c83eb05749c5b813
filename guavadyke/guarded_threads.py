"""Threads that do not end by unexpected errors, and tasks that log them."""

from __future__ import annotations

import functools
import threading
from collections.abc import Callable
from concurrent.futures import Executor, Future

from guavadyke.log import EventLogger
from guavadyke.part_health import PartHealth

_LOOP = 'loop'


class GuardedThread(threading.Thread):
    """Daemon thread that runs a loop again after an unexpected error.

    Each error is logged. The delay before the loop runs again grows with the
    failures in a row.

    Args:
        loop: runs until it is told to stop, and then returns.
        name: name of the thread, also in logs.
        stopped: tells the loop, and this thread, to stop.
        logger: logs failures.
    """

    def __init__(
        self,
        loop: Callable[[], object],
        name: str,
        stopped: threading.Event,
        logger: EventLogger | None = None,
    ) -> None:
        super().__init__(name=name, daemon=True)
        self._loop = loop
        self._stopped_event = stopped
        self._health = PartHealth(name, logger or EventLogger())
        self._begun = False

    @property
    def sound(self) -> bool:
        """Whether the thread does its duty, or has not to do it."""
        idle = not self._begun or self._stopped_event.is_set()
        return idle or (self.is_alive() and not self._health.stuck)

    def run(self) -> None:
        """Run the loop until it returns."""
        self._begun = True
        delay_s = self._run_loop()
        while delay_s is not None and not self._stopped_event.wait(delay_s):
            delay_s = self._run_loop()

    def _run_loop(self) -> float | None:
        """Run the loop; return the delay after which to run it again."""
        try:
            self._loop()
        except Exception as error:
            return self._health.failed(_LOOP, error)
        return None


def submit_logged(
    pool: Executor, task: Callable[..., object], *args: object
) -> None:
    """Run a task in a pool and log the error that ends it, if any.

    Raises:
        RuntimeError: the pool is closed or cannot start a thread.
    """
    future = pool.submit(task, *args)
    future.add_done_callback(
        functools.partial(_log_failure, task.__name__.removeprefix('_'))
    )


def _log_failure(task: str, future: Future[object]) -> None:
    error = None if future.cancelled() else future.exception()
    if error is not None:
        EventLogger().error('task_failed', task=task, reason=repr(error))


class BackgroundTask:
    """Does one task in a thread, again after an unexpected error.

    Args:
        task: what is done.
        name: name of the thread, also in logs.
        logger: logs failures.
    """

    def __init__(
        self, task: Callable[[], object], name: str, logger: EventLogger
    ) -> None:
        self._stopped = threading.Event()
        self._thread = GuardedThread(task, name, self._stopped, logger)

    def start(self) -> None:
        """Start in the background."""
        self._thread.start()

    def wait(self, longest_s: float) -> None:
        """Wait until the task is done, but do not try it again after that.

        Args:
            longest_s: longest wait in seconds.
        """
        self._thread.join(longest_s)
        self._stopped.set()
