"""Which host may start how many batch items at which server.

Answers a load of more items than slots: the items whose job is due first
start first, on whichever host, so that jobs end one after the other and in
time, not all of them late. All hosts come to the same division without
asking each other, from what each has told of its items.
"""

from __future__ import annotations

import dataclasses
import hashlib
from collections.abc import Mapping, Sequence


@dataclasses.dataclass(frozen=True)
class BatchDemand:
    """Items of one host: those that wait, and those it has at servers."""

    waiting: int
    held: Mapping[str, int]

    def starts(self, host_id: str, open_ids: Sequence[str]) -> dict[str, int]:
        """Return the items to start at each server, spread evenly."""
        held = [self.held.get(name, 0) for name in open_ids]
        even, rest = divmod(self.waiting + sum(held), len(open_ids))
        offset = _offset(host_id, len(open_ids))
        targets = (
            even + ((index + offset) % len(open_ids) < rest)
            for index in range(len(open_ids))
        )
        return {
            name: max(0, target - here)
            for name, target, here in zip(open_ids, targets, held, strict=True)
        }


def batch_rooms(
    free: Mapping[str, int],
    demands: Mapping[str, BatchDemand],
    me: str,
) -> dict[str, int]:
    """Return how many items a host may start at each server.

    Args:
        free: slots by server that batch may take now, 1 or more.
        demands: by host, the one whose items are due first coming first.
        me: the host.
    """
    left = dict(sorted(free.items()))
    for host_id, demand in demands.items():
        if not left:
            break
        starts = demand.starts(host_id, tuple(left))
        if host_id == me:
            return {name: min(left[name], starts[name]) for name in left}
        left = {
            name: slots - starts[name]
            for name, slots in left.items()
            if slots > starts[name]
        }
    return {}


def _offset(host_id: str, count: int) -> int:
    """Return at which server a host's uneven rest begins."""
    digest = hashlib.blake2b(host_id.encode(), digest_size=4).digest()
    return int.from_bytes(digest) % count
