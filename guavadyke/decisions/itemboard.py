"""What the holder of a chunk knows of its items."""

from __future__ import annotations

import itertools
import json
from collections.abc import Iterable, Iterator, Mapping, Sequence

from guavadyke.decisions.chunk_state import ChunkState, ItemOutcome, Outcome
from guavadyke.decisions.item_retries import OpenItem

_PARTIAL_CHARACTERS = 65_536
_LOST = 'its holder was lost after it may have begun'
_ENDED_HOLDERS = 'its runs ended with the loss of their holders'


class ItemBoard:
    """Items without an outcome, and outcomes that are not written yet.

    Items that an earlier holder may have begun and that may not be
    repeated, and items whose runs keep ending their holders, get their
    outcome at once.

    Args:
        state: the chunk's state as its holder took it.
        idempotent: for each item whether it may be repeated.
        max_attempts: attempts after which an item fails.
    """

    def __init__(
        self,
        state: ChunkState,
        idempotent: Sequence[bool],
        max_attempts: int,
    ) -> None:
        self._outcomes: dict[int, ItemOutcome] = {}
        self._outcome_bytes = 0
        settled = frozenset(state.settled)
        self._trials = {
            index: OpenItem(
                index,
                repeatable,
                attempts=state.attempts.get(index, 0),
                partial=state.partials.get(index, ''),
            )
            for index, repeatable in enumerate(idempotent)
            if index not in settled
        }
        for outcome in tuple(self._lost(state, max_attempts)):
            self.settle(outcome)

    @property
    def outcomes(self) -> tuple[ItemOutcome, ...]:
        """Outcomes that are not written yet, in item order."""
        return tuple(self._outcomes[index] for index in sorted(self._outcomes))

    @property
    def outcome_bytes(self) -> int:
        """Size of the responses that are not written yet."""
        return self._outcome_bytes

    def open_item(self, index: int) -> OpenItem:
        """Return what is known of an item."""
        return self._trials[index]

    def put(self, open_item: OpenItem) -> None:
        """Take in what is now known of an item."""
        self._trials[open_item.index] = open_item

    def open_trials(self) -> tuple[OpenItem, ...]:
        """Return the items that have no outcome, in item order."""
        return tuple(
            open_item
            for index, open_item in self._trials.items()
            if index not in self._outcomes
        )

    def settle(self, outcome: ItemOutcome) -> None:
        """Take in the outcome of an item."""
        self._trials.pop(outcome.index)
        self._outcomes[outcome.index] = outcome
        self._outcome_bytes += len(json.dumps(outcome.response))

    def forget(self, indexes: Iterable[int]) -> None:
        """Forget outcomes that are written."""
        for index in indexes:
            outcome = self._outcomes.pop(index, None)
            if outcome is not None:
                self._outcome_bytes -= len(json.dumps(outcome.response))

    def attempts(self) -> Mapping[int, int]:
        """Return the attempts of the items that have no outcome."""
        return {
            open_item.index: open_item.attempts
            for open_item in self.open_trials()
            if open_item.attempts
        }

    def partials(self) -> Mapping[int, str]:
        """Return texts of preempted items, as many as are kept."""
        trials = [
            open_item for open_item in self.open_trials() if open_item.partial
        ]
        ends = itertools.accumulate(
            len(open_item.partial) for open_item in trials
        )
        return {
            open_item.index: open_item.partial
            for open_item, end in zip(trials, ends, strict=True)
            if end <= _PARTIAL_CHARACTERS
        }

    def _lost(
        self,
        state: ChunkState,
        max_attempts: int,
    ) -> Iterator[ItemOutcome]:
        begun = frozenset(state.started)
        for index, open_item in self._trials.items():
            if index in begun:
                yield ItemOutcome(index, Outcome.unknown, error=_LOST)
            elif open_item.attempts >= max_attempts:
                yield ItemOutcome(index, Outcome.failed, error=_ENDED_HOLDERS)
