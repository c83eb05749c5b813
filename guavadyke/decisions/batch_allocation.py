"""Allocation of free batch slots of backend servers to hosts.

When there are more items than slots, the items whose job is due first
start first, on whichever host, so that jobs end one after the other and in
time instead of all of them late. Items that would be late anyway follow.
Every host computes the same allocation from the item counts that the hosts
exchange, without any coordination.
"""

from __future__ import annotations

import dataclasses
import hashlib
from collections.abc import Mapping, Sequence


@dataclasses.dataclass(frozen=True)
class HostBacklog:
    """Batch items of one host.

    ``waiting`` counts items that have not started; ``held`` gives the items
    in flight at each server, by server id.
    """

    waiting: int
    held: Mapping[str, int]

    def starts_by_server(
        self,
        host_id: str,
        server_ids: Sequence[str],
    ) -> dict[str, int]:
        """Return how many items to start at each server.

        Waiting and in-flight items together are spread evenly over
        ``server_ids``. Where they don't divide evenly, the host id decides
        which servers get one more, so that hosts don't all pick the same.
        """
        held = [self.held.get(name, 0) for name in server_ids]
        items_per_server, rest = divmod(
            self.waiting + sum(held), len(server_ids)
        )
        offset = _remainder_offset(host_id, len(server_ids))
        targets = (
            items_per_server + ((index + offset) % len(server_ids) < rest)
            for index in range(len(server_ids))
        )
        return {
            name: max(0, target - in_flight_here)
            for name, target, in_flight_here in zip(
                server_ids,
                targets,
                held,
                strict=True,
            )
        }


def allocate_batch_slots(
    free: Mapping[str, int],
    demands: Mapping[str, HostBacklog],
    me: str,
) -> dict[str, int]:
    """Return how many items a host may start at each server, by server id.

    Hosts are served in the order of ``demands``; each takes its even spread
    out of what the hosts before it have left.

    Args:
        free: slots by server id that batch may use now, each 1 or more.
        demands: backlog by host id, the host with the earliest due items
            first.
        me: id of the host to return the allocation of.
    """
    left = dict(sorted(free.items()))
    for host_id, demand in demands.items():
        if not left:
            break
        starts = demand.starts_by_server(host_id, tuple(left))
        if host_id == me:
            return {name: min(left[name], starts[name]) for name in left}
        left = {
            name: slots - starts[name]
            for name, slots in left.items()
            if slots > starts[name]
        }
    return {}


def waiting_by_turn(
    waiting: Mapping[str, int], late: Mapping[str, int], ordered: Sequence[str]
) -> dict[str, int]:
    """Return the items that hosts may start next, in the order of their turns.

    Hosts with items that can be in time go first, with these alone; those
    whose items are all late follow.

    Args:
        waiting: items that wait, by host id.
        late: how many of them would be late; hosts that do not tell count
            as having none.
        ordered: the host ids in the order in which jobs go first.
    """
    in_time = {host: waiting[host] - late.get(host, 0) for host in ordered}
    first = {host: count for host, count in in_time.items() if count > 0}
    return first | {
        host: waiting[host] for host in ordered if host not in first
    }


def _remainder_offset(host_id: str, count: int) -> int:
    """Return the index of the server that gets a host's first extra item."""
    digest = hashlib.blake2b(host_id.encode(), digest_size=4).digest()
    return int.from_bytes(digest) % count
