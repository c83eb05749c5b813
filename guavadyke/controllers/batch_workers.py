"""Threads that carry out the tasks of held chunks."""

from __future__ import annotations

import threading
from concurrent.futures import ThreadPoolExecutor

from guavadyke.controllers.batch_held_chunks import HeldChunkRegistry, Task
from guavadyke.controllers.batch_step_executor import StepExecutor
from guavadyke.log import EventLogger
from guavadyke.settings import BatchSettings

_BUSY_WAIT_S = 0.05
_IDLE_WAIT_S = 1.0


class WorkerPool:
    """One thread that hands out tasks and many that carry them out.

    Args:
        settings: number of threads.
        held_chunks: chunks of this host.
        performer: carries out the steps.
        logger: told of faults.
    """

    def __init__(
        self,
        settings: BatchSettings,
        held_chunks: HeldChunkRegistry,
        performer: StepExecutor,
        logger: EventLogger,
    ) -> None:
        self._held_chunks = held_chunks
        self._step_executor = performer
        self._logger = logger
        self._closed = threading.Event()
        self._idle = threading.BoundedSemaphore(settings.workers)
        self._pool = ThreadPoolExecutor(
            settings.workers,
            thread_name_prefix='batch-worker',
        )
        self._dispatcher = threading.Thread(
            target=self._dispatch,
            name='batch-dispatcher',
            daemon=True,
        )

    def start(self) -> None:
        """Start to hand tasks to the threads."""
        self._dispatcher.start()

    def close(self) -> None:
        """Hand out no more tasks; those in hand end by themselves."""
        self._closed.set()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _dispatch(self) -> None:
        """Hand tasks to idle threads until closed."""
        while not self._closed.is_set():
            if not self._idle.acquire(timeout=_BUSY_WAIT_S):
                continue
            task = self._held_chunks.next_task()
            if task is None:
                self._idle.release()
                self._held_chunks.wait(self._idle_wait_s())
            elif not self._submitted(task):
                return

    def _submitted(self, task: Task) -> bool:
        """Give a task to a thread; return False after the close."""
        try:
            self._pool.submit(self._carry_out, task)
        except RuntimeError:
            return False
        return True

    def _idle_wait_s(self) -> float:
        return _BUSY_WAIT_S if self._held_chunks.chunks else _IDLE_WAIT_S

    def _carry_out(self, task: Task) -> None:
        try:
            self._step_executor.perform(task)
        except Exception as error:
            self._logger.error(
                'batch_task_failed',
                chunk=task.held.name,
                reason=repr(error),
            )
            self._held_chunks.postpone(task.held)
        finally:
            self._idle.release()
