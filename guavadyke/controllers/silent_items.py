"""Moves batch items from servers that have fallen silent."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Iterable

from guavadyke.adapters.ports import BackendFault
from guavadyke.controllers.item_run import (
    ItemKey,
    ItemRun,
    RunEnd,
    RunOutcome,
)
from guavadyke.controllers.prompt_guard import PromptGuard
from guavadyke.controllers.server_pool import ServerPool
from guavadyke.decisions.common_pause import CommonPause
from guavadyke.decisions.forward_job_items import JobItemTracker
from guavadyke.decisions.server_registry import ServerLease

LeaseForRun = Callable[[ItemRun], ServerLease | None]


class SilentItems:
    """Keeps the slots that are reserved for items of silent servers.

    Silence alone moves no item: its run is left only once a slot at another
    server has been reserved. Not safe for threads.

    Args:
        pool: takes back a slot that is not needed.
        silence_s: seconds without data after which an item may move.
    """

    def __init__(self, pool: ServerPool, silence_s: float) -> None:
        self._pool = pool
        self._silence_s = silence_s
        self._reserved: dict[ItemKey, ServerLease] = {}
        self._pause = CommonPause(silence_s / 2)

    def due(self, runs: Collection[ItemRun], now: float) -> list[ItemRun]:
        """Return the runs to leave as soon as there is another slot.

        There are none while all servers that run items are silent: then the
        whole service may pause, and a move gains nothing.
        """
        silent = [run for run in runs if self._is_silent(run, now)]
        all_silent = any(self._all_pause(run, runs, now) for run in silent)
        return silent if self._pause.is_over(now, all_silent=all_silent) else []

    def leave(self, due: Iterable[ItemRun], lease_for: LeaseForRun) -> None:
        """Reserve a slot for each run, and leave those that have got one."""
        for run in due:
            lease = lease_for(run)
            if lease is not None:
                self._reserved[run.key] = lease
                run.leave_silent()

    def take(self, run: ItemRun) -> ServerLease | None:
        """Return the slot reserved for the item of a run that has ended."""
        return self._reserved.pop(run.key, None)

    def give_back(self, lease: ServerLease) -> None:
        """Release a slot that is not needed."""
        self._pool.release(lease, BackendFault.refused)

    def _is_silent(self, run: ItemRun, now: float) -> bool:
        return (
            not run.cancellation.cancelled
            and run.silent_s(now) >= self._silence_s
        )

    def _all_pause(
        self, run: ItemRun, runs: Iterable[ItemRun], now: float
    ) -> bool:
        server_id = run.lease.server.server_id
        others = [
            other.silent_s(now)
            for other in runs
            if other.lease.server.server_id != server_id
        ]
        return bool(others) and min(others) >= self._silence_s / 2


def may_go_on(
    work: JobItemTracker,
    run: ItemRun,
    outcome: RunOutcome,
    prompts: PromptGuard,
) -> bool:
    """Return whether the item of a run that was left goes on at once."""
    return (
        outcome.end is RunEnd.broken
        and run.item in work.startable_items(math.inf)
        and prompts.check(work.job.suspect_parts(run.item)) is None
    )
