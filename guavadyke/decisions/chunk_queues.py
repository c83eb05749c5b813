"""Queues in which the items of a chunk wait, by how they must run."""

from __future__ import annotations

import itertools
from collections.abc import Iterable

from guavadyke.decisions import chunk_state
from guavadyke.decisions.item_retries import ItemRetry, OpenItem


class ItemQueue:
    """Indexes of waiting items, each with its earliest start time."""

    def __init__(self) -> None:
        self._not_before: dict[int, float] = {}

    def __len__(self) -> int:
        return len(self._not_before)

    def add(self, index: int, not_before: float = 0) -> None:
        """Add an item that may start at ``not_before``, monotonic seconds."""
        self._not_before[index] = not_before

    def remove(self, index: int) -> None:
        """Remove an item that starts to run."""
        self._not_before.pop(index)

    def clear(self) -> tuple[int, ...]:
        """Remove all items and return their indexes."""
        indexes = tuple(self._not_before)
        self._not_before.clear()
        return indexes

    def ready(self, now: float) -> tuple[int, ...]:
        """Return the items whose start time has come, in queue order."""
        return tuple(
            index
            for index, not_before in self._not_before.items()
            if not_before <= now
        )


class ChunkQueues:
    """Waiting items of one chunk, in a queue for each way to run.

    ``suspects`` may have caused the loss of the chunk's previous holder;
    they move to ``group`` a part at a time, and the items of a group run
    together. ``ordinary`` holds items without a failed attempt. Items in
    ``failed_before`` run a few at a time; items in ``last_attempt`` have
    one attempt left and run alone.

    Args:
        state: the chunk's state when this host took its lease.
        open_items: items without an outcome.
        max_attempts: number of failed attempts after which an item fails.
    """

    def __init__(
        self,
        state: chunk_state.ChunkState,
        open_items: Iterable[OpenItem],
        max_attempts: int,
    ) -> None:
        self._max_attempts = max_attempts
        waiting = {open_item.index: open_item for open_item in open_items}
        self.suspects = tuple(one for one in state.suspects if one in waiting)
        self.group = ItemQueue()
        self.ordinary = ItemQueue()
        self.failed_before = ItemQueue()
        self.last_attempt = ItemQueue()
        for index in chunk_state.without(waiting, self.suspects):
            self._queue_for(waiting[index]).add(index)

    def __len__(self) -> int:
        queues = (
            self.group,
            self.ordinary,
            self.failed_before,
            self.last_attempt,
        )
        return len(self.suspects) + sum(
            len(item_queue) for item_queue in queues
        )

    def move_to_group(self, group: tuple[int, ...]) -> None:
        """Move suspects into the group that runs next."""
        self.suspects = chunk_state.without(self.suspects, group)
        for index in group:
            self.group.add(index)

    def requeue(
        self,
        retry: ItemRetry,
        running: tuple[int, ...],
        now: float,
    ) -> None:
        """Queue an item for its next attempt.

        Args:
            retry: the item, its failed attempts and the delay in seconds.
            running: items of the group of suspects that runs now.
            now: seconds of the monotonic clock.
        """
        item_queue = self._queue_for(retry.open_item)
        if item_queue is self.ordinary and retry.open_item.index in running:
            item_queue = self.group
        item_queue.add(retry.open_item.index, now + retry.delay_s)

    def clear(self) -> tuple[int, ...]:
        """Remove all items, suspects included, and return their indexes."""
        suspects = self.suspects
        self.suspects = ()
        queues = (
            self.group,
            self.ordinary,
            self.failed_before,
            self.last_attempt,
        )
        cleared = itertools.chain.from_iterable(
            item_queue.clear() for item_queue in queues
        )
        return (*suspects, *cleared)

    def _queue_for(self, open_item: OpenItem) -> ItemQueue:
        """Return the queue of an item by its number of failed attempts."""
        if not open_item.attempts:
            return self.ordinary
        last = open_item.attempts + 1 >= self._max_attempts
        return self.last_attempt if last else self.failed_before
