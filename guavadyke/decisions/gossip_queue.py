"""Queue of gossip updates, sent a limited number of times each."""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Hashable, Iterator
from typing import Generic, TypeVar

Rumour = TypeVar('Rumour')

_SENDS_PER_DOUBLING = 3


@dataclasses.dataclass
class _QueuedUpdate(Generic[Rumour]):
    gossip_update: Rumour
    size_bytes: int
    sends: int = 0


class GossipQueue(Generic[Rumour]):
    """Gossip updates to send; a new one replaces the old one of its key."""

    def __init__(self) -> None:
        self._pending: dict[Hashable, _QueuedUpdate[Rumour]] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def put(
        self, key: Hashable, gossip_update: Rumour, size_bytes: int
    ) -> None:
        """Add an update.

        Args:
            key: what the update is about.
            gossip_update: the update.
            size_bytes: its size in a datagram.
        """
        self._pending[key] = _QueuedUpdate(gossip_update, size_bytes)

    def take_for_datagram(
        self, budget_bytes: int, hosts: int
    ) -> tuple[Rumour, ...]:
        """Return the updates for one datagram, and count them as sent.

        Those that were sent least often come first. An update leaves the
        queue once it has been sent often enough to reach the fleet.

        Args:
            budget_bytes: space left in the datagram.
            hosts: size of the fleet; the number of sends of an update
                grows with its logarithm.
        """
        if not self._pending:
            return ()
        limit = _SENDS_PER_DOUBLING * (hosts + 1).bit_length()
        taken = {
            key: self._pending[key] for key in self._keys_that_fit(budget_bytes)
        }
        for key, pending in taken.items():
            pending.sends += 1
            if pending.sends >= limit:
                self._pending.pop(key)
        return tuple(
            sent_update.gossip_update for sent_update in taken.values()
        )

    def _keys_that_fit(self, budget_bytes: int) -> Iterator[Hashable]:
        ordered = sorted(self._pending, key=self._sends)
        used = itertools.accumulate(
            self._pending[key].size_bytes for key in ordered
        )
        return (
            key
            for key, total_bytes in zip(ordered, used, strict=True)
            if total_bytes <= budget_bytes
        )

    def _sends(self, key: Hashable) -> int:
        return self._pending[key].sends
