"""Finds the batch items of this host that must yield to online requests."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

from guavadyke.decisions.load_balancing import LoadBalancer
from guavadyke.decisions.server_registry import ListedServer


class PreemptionCheck:
    """Counts the items to preempt, and samples the peaks of the load.

    Not safe for threads: the server pool calls it with its lock held.

    Args:
        load_balancer: knows the requests in flight at each server.
    """

    def __init__(self, load_balancer: LoadBalancer) -> None:
        self._load_balancer = load_balancer
        self._by_id: Mapping[str, ListedServer] = {}

    def list_servers(self, servers: Iterable[ListedServer]) -> None:
        """Replace the servers that items may run at."""
        self._by_id = {server.server_id: server for server in servers}

    def sample_peaks(
        self, services: Iterable[tuple[ListedServer, ...]], now: float
    ) -> None:
        """Sample the online load of each service's servers, if due."""

        def online(server_id: str) -> int:
            return self._load_balancer.load(server_id, now).online

        for servers in services:
            self._load_balancer.online_peaks.sample(servers, online, now)

    def items_due(
        self, now: float, server_ids: Collection[str] | None = None
    ) -> dict[str, int]:
        """Return how many items to preempt, by server id.

        Args:
            now: seconds of the monotonic clock.
            server_ids: the servers to look at, None for all.
        """
        own_batch = self._load_balancer.own_batch
        wanted = own_batch if server_ids is None else server_ids
        due = {
            server_id: self._load_balancer.preemptions_due(
                self._by_id[server_id], now
            )
            for server_id in wanted
            if server_id in own_batch and server_id in self._by_id
        }
        return {name: count for name, count in due.items() if count}
