"""Two hosts that tell each other of ended jobs, without a network."""

from __future__ import annotations

from collections.abc import Callable, Collection

from features import builders_forward as build
from features.builders_batch_platform import MemoryPlatform
from guavadyke.adapters.ports import PeerNotice


class EndingHosts:
    """Hosts of which the second owns a job; also their messenger.

    ``told`` holds the hosts that notices were sent to, in order.
    """

    def __init__(self) -> None:
        platform = MemoryPlatform()
        self.told: list[str] = []
        self._receivers: list[Callable[[str, PeerNotice], None]] = []
        self.first = build.job_host(platform, 'host-1', self)
        self.second = build.job_host(platform, 'host-2', self)
        self.second.job_api.start()
        self.first.store.create(build.job(owner='host-2'))
        for host in (self.first, self.second):
            host.catch_up()

    def send(self, host_id: str, notice: PeerNotice) -> None:
        """Deliver a notice to the second host."""
        self.told.append(host_id)
        for receive in self._receivers:
            receive('host-1', notice)

    def send_all(self, host_ids: Collection[str], notice: PeerNotice) -> None:
        """Deliver a notice to several hosts."""
        for host_id in host_ids:
            self.send(host_id, notice)

    def subscribe(self, receive: Callable[[str, PeerNotice], None]) -> None:
        """Deliver notices to a receiver from now on."""
        self._receivers.append(receive)
