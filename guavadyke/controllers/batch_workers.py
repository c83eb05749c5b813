"""Thread pool that executes the tasks of held chunks."""

from __future__ import annotations

import threading
from concurrent.futures import ThreadPoolExecutor

from guavadyke.controllers.batch_held_chunks import HeldChunkRegistry, Task
from guavadyke.controllers.batch_step_executor import StepExecutor
from guavadyke.guarded_threads import GuardedThread
from guavadyke.log import EventLogger
from guavadyke.settings import BatchSettings

_BUSY_WAIT_S = 0.05
_IDLE_WAIT_S = 1.0


class WorkerPool:
    """A dispatcher thread and a pool of threads that execute its tasks.

    Args:
        settings: number of threads.
        held_chunks: chunks that this host holds.
        step_executor: executes the tasks.
        logger: logs tasks that raised.
    """

    def __init__(
        self,
        settings: BatchSettings,
        held_chunks: HeldChunkRegistry,
        step_executor: StepExecutor,
        logger: EventLogger,
    ) -> None:
        self._held_chunks = held_chunks
        self._step_executor = step_executor
        self._logger = logger
        self._closed = threading.Event()
        self._idle_threads = threading.BoundedSemaphore(settings.workers)
        self._pool = ThreadPoolExecutor(
            settings.workers,
            thread_name_prefix='batch-worker',
        )
        self._dispatcher = GuardedThread(
            self._dispatch, 'batch-dispatcher', self._closed, self._logger
        )

    def start(self) -> None:
        """Start the dispatcher."""
        self._dispatcher.start()

    def close(self) -> None:
        """Dispatch no more tasks, without waiting for the running ones."""
        self._closed.set()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _dispatch(self) -> None:
        """Submit tasks to idle threads until closed."""
        while not self._closed.is_set():
            if not self._idle_threads.acquire(timeout=_BUSY_WAIT_S):
                continue
            task = self._held_chunks.next_task()
            if task is None:
                self._idle_threads.release()
                self._held_chunks.wait(self._idle_wait_s())
            elif not self._submit_task(task):
                return

    def _submit_task(self, task: Task) -> bool:
        """Submit a task to the pool; return False once it is closed."""
        try:
            self._pool.submit(self._run_task, task)
        except RuntimeError:
            self._idle_threads.release()
            if not self._closed.is_set():
                raise
            return False
        return True

    def _idle_wait_s(self) -> float:
        return _BUSY_WAIT_S if self._held_chunks.chunks else _IDLE_WAIT_S

    def _run_task(self, task: Task) -> None:
        try:
            self._step_executor.execute_task(task)
        except Exception as error:
            self._logger.error(
                'batch_task_failed',
                chunk=task.held.name,
                reason=repr(error),
            )
            self._held_chunks.postpone_write(task.held)
        finally:
            self._idle_threads.release()
