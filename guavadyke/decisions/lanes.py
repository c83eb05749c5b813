"""Lanes in which the items of a held chunk wait for their run."""

from __future__ import annotations

import itertools
from collections.abc import Iterable

from guavadyke.decisions import ledger
from guavadyke.decisions.outcomes import Again, ItemTrial


class Lane:
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


class Lanes:
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
        state: ledger.ChunkState,
        trials: Iterable[ItemTrial],
        max_attempts: int,
    ) -> None:
        self._max_attempts = max_attempts
        waiting = {trial.index: trial for trial in trials}
        self.suspects = tuple(one for one in state.suspects if one in waiting)
        self.group = Lane()
        self.crowd = Lane()
        self.few = Lane()
        self.lone = Lane()
        for index in ledger.without(waiting, self.suspects):
            self._lane(waiting[index]).add(index)

    def __len__(self) -> int:
        lanes = (self.group, self.crowd, self.few, self.lone)
        return len(self.suspects) + sum(len(lane) for lane in lanes)

    def begin_group(self, group: tuple[int, ...]) -> None:
        """Move suspects into the group that runs now."""
        self.suspects = ledger.without(self.suspects, group)
        for index in group:
            self.group.add(index)

    def put_back(
        self,
        again: Again,
        running: tuple[int, ...],
        now: float,
    ) -> None:
        """Let an item wait for its next run.

        Args:
            again: the item and how it runs again.
            running: suspects that were let run.
            now: seconds of the monotonic clock.
        """
        lane = self._lane(again.trial)
        if lane is self.crowd and again.trial.index in running:
            lane = self.group
        lane.add(again.trial.index, now + again.delay_s)

    def clear(self) -> tuple[int, ...]:
        """Take all items out and return them."""
        suspects = self.suspects
        self.suspects = ()
        lanes = (self.group, self.crowd, self.few, self.lone)
        cleared = itertools.chain.from_iterable(lane.clear() for lane in lanes)
        return (*suspects, *cleared)

    def _lane(self, trial: ItemTrial) -> Lane:
        """Return the lane of an item by the attempts that failed."""
        if not trial.attempts:
            return self.crowd
        last = trial.attempts + 1 >= self._max_attempts
        return self.lone if last else self.few
