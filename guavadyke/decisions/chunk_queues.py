"""Lanes in which the items of a held chunk wait for their run."""

from __future__ import annotations

import itertools
from collections.abc import Iterable

from guavadyke.decisions import chunk_state
from guavadyke.decisions.item_retries import ItemRetry, OpenItem


class ItemQueue:
    """Items that wait for their run, each not before a time."""

    def __init__(self) -> None:
        self._not_before: dict[int, float] = {}

    def __len__(self) -> int:
        return len(self._not_before)

    def add(self, index: int, not_before: float = 0) -> None:
        """Let an item wait until ``not_before``, in monotonic seconds."""
        self._not_before[index] = not_before

    def remove(self, index: int) -> None:
        """Take an item out."""
        self._not_before.pop(index)

    def clear(self) -> tuple[int, ...]:
        """Take all items out and return them."""
        indexes = tuple(self._not_before)
        self._not_before.clear()
        return indexes

    def ready(self, now: float) -> tuple[int, ...]:
        """Return the items that may run now."""
        return tuple(
            index
            for index, not_before in self._not_before.items()
            if not_before <= now
        )


class ChunkQueues:
    """The lanes of one chunk.

    ``suspects`` wait to become the ``group``, whose items run together;
    ``crowd`` holds ordinary items; those in ``few`` have failed and run a
    few at a time; those in ``lone`` have one attempt left and run alone.

    Args:
        state: the chunk's state as its holder took it.
        trials: items without an outcome.
        max_attempts: attempts after which an item fails.
    """

    def __init__(
        self,
        state: chunk_state.ChunkState,
        trials: Iterable[OpenItem],
        max_attempts: int,
    ) -> None:
        self._max_attempts = max_attempts
        waiting = {open_item.index: open_item for open_item in trials}
        self.suspects = tuple(one for one in state.suspects if one in waiting)
        self.group = ItemQueue()
        self.crowd = ItemQueue()
        self.few = ItemQueue()
        self.lone = ItemQueue()
        for index in chunk_state.without(waiting, self.suspects):
            self._lane(waiting[index]).add(index)

    def __len__(self) -> int:
        lanes = (self.group, self.crowd, self.few, self.lone)
        return len(self.suspects) + sum(len(lane) for lane in lanes)

    def move_to_group(self, group: tuple[int, ...]) -> None:
        """Move suspects into the group that runs now."""
        self.suspects = chunk_state.without(self.suspects, group)
        for index in group:
            self.group.add(index)

    def requeue(
        self,
        again: ItemRetry,
        running: tuple[int, ...],
        now: float,
    ) -> None:
        """Let an item wait for its next run.

        Args:
            again: the item and how it runs again.
            running: suspects that were let run.
            now: seconds of the monotonic clock.
        """
        lane = self._lane(again.open_item)
        if lane is self.crowd and again.open_item.index in running:
            lane = self.group
        lane.add(again.open_item.index, now + again.delay_s)

    def clear(self) -> tuple[int, ...]:
        """Take all items out and return them."""
        suspects = self.suspects
        self.suspects = ()
        lanes = (self.group, self.crowd, self.few, self.lone)
        cleared = itertools.chain.from_iterable(lane.clear() for lane in lanes)
        return (*suspects, *cleared)

    def _lane(self, open_item: OpenItem) -> ItemQueue:
        """Return the lane of an item by the attempts that failed."""
        if not open_item.attempts:
            return self.crowd
        last = open_item.attempts + 1 >= self._max_attempts
        return self.lone if last else self.few
