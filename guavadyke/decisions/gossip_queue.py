"""Rumours that ride on datagrams until enough hosts have heard them."""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Hashable, Iterator
from typing import Generic, TypeVar

Rumour = TypeVar('Rumour')

_SENDS_PER_DOUBLING = 3


@dataclasses.dataclass
class _Pending(Generic[Rumour]):
    rumour: Rumour
    size_bytes: int
    sends: int = 0


class GossipQueue(Generic[Rumour]):
    """Rumours by key; a new one replaces the old one of its key."""

    def __init__(self) -> None:
        self._pending: dict[Hashable, _Pending[Rumour]] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def put(self, key: Hashable, rumour: Rumour, size_bytes: int) -> None:
        """Spread a rumour from now on."""
        self._pending[key] = _Pending(rumour, size_bytes)

    def take(self, budget_bytes: int, hosts: int) -> tuple[Rumour, ...]:
        """Return the least sent rumours that fit, and count them as sent.

        Args:
            budget_bytes: room in the datagram.
            hosts: size of the fleet; a rumour is sent a number of times
                that grows with its logarithm.
        """
        if not self._pending:
            return ()
        limit = _SENDS_PER_DOUBLING * (hosts + 1).bit_length()
        taken = {key: self._pending[key] for key in self._fitting(budget_bytes)}
        for key, pending in taken.items():
            pending.sends += 1
            if pending.sends >= limit:
                self._pending.pop(key)
        return tuple(one.rumour for one in taken.values())

    def _fitting(self, budget_bytes: int) -> Iterator[Hashable]:
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
