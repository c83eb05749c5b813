"""Items of a held chunk: attempts, and outcomes not yet written."""

from __future__ import annotations

import itertools
import json
from collections.abc import Iterable, Iterator, Mapping, Sequence

from guavadyke.decisions.chunk_state import ChunkState, ItemOutcome, Outcome
from guavadyke.decisions.item_retries import OpenItem

_MAX_PARTIAL_CHARACTERS = 65_536
_HOLDER_LOST = 'its holder was lost after it may have begun'
_CRASHED_HOLDERS = 'its runs ended with the loss of their holders'


class ItemTracker:
    """Tracks open items of a chunk and outcomes that are not written yet.

    Some items get their outcome on construction: non-idempotent items that
    an earlier holder may have started, and items whose runs crashed their
    holders as often as ``max_attempts``.

    Args:
        state: the chunk's state when its holder claimed it.
        idempotent: for each item, whether it may be run again.
        max_attempts: number of failed attempts after which an item fails.
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
        for outcome in tuple(self._outcomes_after_loss(state, max_attempts)):
            self.settle(outcome)

    @property
    def outcomes(self) -> tuple[ItemOutcome, ...]:
        """Outcomes that are not written yet, by item index."""
        return tuple(self._outcomes[index] for index in sorted(self._outcomes))

    @property
    def outcome_bytes(self) -> int:
        """Size of the responses that are not written yet, as JSON."""
        return self._outcome_bytes

    def open_item(self, index: int) -> OpenItem:
        """Return the run history of an open item."""
        return self._trials[index]

    def update(self, open_item: OpenItem) -> None:
        """Replace the run history of an open item."""
        self._trials[open_item.index] = open_item

    def open_items(self) -> tuple[OpenItem, ...]:
        """Return the items that have no outcome, by item index."""
        return tuple(
            open_item
            for index, open_item in self._trials.items()
            if index not in self._outcomes
        )

    def settle(self, outcome: ItemOutcome) -> None:
        """Record the final outcome of an open item."""
        self._trials.pop(outcome.index)
        self._outcomes[outcome.index] = outcome
        self._outcome_bytes += len(json.dumps(outcome.response))

    def drop_written(self, indexes: Iterable[int]) -> None:
        """Drop outcomes that are written."""
        for index in indexes:
            outcome = self._outcomes.pop(index, None)
            if outcome is not None:
                self._outcome_bytes -= len(json.dumps(outcome.response))

    def attempts(self) -> Mapping[int, int]:
        """Return the failed attempts of open items, by item index."""
        return {
            open_item.index: open_item.attempts
            for open_item in self.open_items()
            if open_item.attempts
        }

    def partials(self) -> Mapping[int, str]:
        """Return partial texts of preempted items, by item index.

        The chunk's state holds them, so texts beyond a total of
        ``_MAX_PARTIAL_CHARACTERS`` are left out.
        """
        with_partial = [
            open_item for open_item in self.open_items() if open_item.partial
        ]
        total_characters = itertools.accumulate(
            len(open_item.partial) for open_item in with_partial
        )
        return {
            open_item.index: open_item.partial
            for open_item, end in zip(
                with_partial, total_characters, strict=True
            )
            if end <= _MAX_PARTIAL_CHARACTERS
        }

    def _outcomes_after_loss(
        self,
        state: ChunkState,
        max_attempts: int,
    ) -> Iterator[ItemOutcome]:
        begun = frozenset(state.started)
        for index, open_item in self._trials.items():
            if index in begun:
                yield ItemOutcome(index, Outcome.unknown, error=_HOLDER_LOST)
            elif open_item.attempts >= max_attempts:
                yield ItemOutcome(index, Outcome.failed, error=_CRASHED_HOLDERS)
