"""Hosts that look for slots for their batch items, on a clock of their own."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence

from features import builders_forward as build
from guavadyke.decisions.load_balancing import LoadBalancer

TICK_S = 0.05
# Hosts tell each other of their items at this distance at most.
_NOTICE_S = 0.1
SLOTS = 8


class WaitingHost:
    """A host whose items start as soon as it may take a slot.

    Args:
        host_id: its id.
        waiting: its items that wait.
        due_order: the hosts with open jobs, as it knows them.
    """

    def __init__(
        self, host_id: str, waiting: int, due_order: Sequence[str]
    ) -> None:
        self.host_id = host_id
        self.balancer: LoadBalancer = build.load_balancer(host_id, seed=1)
        self.balancer.due_order = tuple(due_order)
        self.balancer.own_waiting = waiting
        self.started = 0

    def look(self, servers: int, now: float) -> None:
        """Start the items that may start at servers ``s0`` and on."""
        while self.balancer.own_waiting:
            chosen = self.balancer.choose_batch(
                [build.server(f's{n}', slots=SLOTS) for n in range(servers)],
                frozenset(),
                now,
            )
            if chosen is None:
                return
            self.balancer.own_batch[chosen.server_id] += 1
            self.balancer.own_waiting -= 1
            self.started += 1

    def hear(self, host_id: str, counts: dict[str, int], now: float) -> None:
        """Learn the items in flight and waiting of another host."""
        for name, count in counts.items():
            self.balancer.batch_elsewhere.record_count(
                host_id, name, count, now
            )


def run_hosts(
    hosts: Sequence[WaitingHost],
    servers: int,
    seconds: float,
    at_tick: Callable[[float], object] = float,
) -> int:
    """Let hosts look for slots, and tell each other of their items.

    Args:
        hosts: the hosts.
        servers: number of servers.
        seconds: for how long.
        at_tick: called with the time before each look.

    Returns:
        The most items of all hosts that any server has had.
    """
    most = 0
    ticks = round(seconds / TICK_S)
    for tick in range(ticks):
        now = build.NOW + tick * TICK_S
        at_tick(now)
        if tick % round(_NOTICE_S / TICK_S) == 0:
            _exchange(hosts, now)
        for host in hosts:
            host.look(servers, now)
        most = max(most, *_items_by_server(hosts).values(), 0)
    return most


def _items_by_server(hosts: Sequence[WaitingHost]) -> Counter[str]:
    return sum((host.balancer.own_batch for host in hosts), Counter())


def _exchange(hosts: Sequence[WaitingHost], now: float) -> None:
    for host in hosts:
        for other in hosts:
            if other is not host:
                host.hear(other.host_id, other.balancer.batch_counts(), now)
