"""Builders for the notices of load that a host sends."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection

from features import builders_forward as build
from features.builders_forward_runner import ME, host_settings
from guavadyke.adapters.ports import PeerNotice
from guavadyke.controllers.load_notices import LoadNoticeSender
from guavadyke.snapshots import FleetSnapshot, PeerView, SnapshotCell

_INTERVAL_S = 0.1


class NoticeSending:
    """A host that sends notices of its requests to the others of its fleet.

    Args:
        hosts: number of hosts of the fleet.
    """

    def __init__(self, hosts: int) -> None:
        self.others = {f'host-{number}' for number in range(2, hosts + 1)}
        self.receivers: set[str] = set()
        self._fleet = SnapshotCell(FleetSnapshot())
        self._now = build.NOW
        self._pool = build.pool((build.server('s1'),))
        self._sender = LoadNoticeSender(
            host_settings(1),
            self._fleet,
            self,
            self._pool,
            build.host_abilities(ME, self._fleet),
            random.Random(1),
        )
        self.remove(0)
        self.send()

    def remove(self, count: int) -> None:
        """Let hosts leave the fleet, beginning with the last one."""
        self.others = set(sorted(self.others)[: len(self.others) - count])
        self._fleet.publish(
            FleetSnapshot(peers=tuple(map(_peer, sorted(self.others))))
        )

    def send(self) -> None:
        """Start a request and send the counts to ``receivers``."""
        self.receivers = set()
        self._pool.acquire_online(build.SERVICE, frozenset(), 'key')
        self._now += _INTERVAL_S
        self._sender.send_changes(self._now)

    def send_all(self, host_ids: Collection[str], notice: PeerNotice) -> None:
        """Record the receivers, in place of the messenger."""
        self.receivers = set(host_ids)

    def subscribe(self, receive: Callable[[str, PeerNotice], None]) -> None:
        """Ignore the subscriber, as no notices are received."""


def _peer(host_id: str) -> PeerView:
    return PeerView(host_id, build.ZONE, 'region', '', 'alive', 1, 0)
