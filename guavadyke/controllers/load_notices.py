"""Tells other hosts what this one has in flight at backend servers."""

from __future__ import annotations

import random
import threading
import time
from itertools import starmap

from guavadyke.adapters.ports import (
    BatchCount,
    OnlineCount,
    PeerMessenger,
    PeerNotice,
)
from guavadyke.controllers.server_pool import ServerPool
from guavadyke.decisions.count_changes import Changes
from guavadyke.settings import ForwardSettings
from guavadyke.snapshots import FleetSnapshot, SnapshotCell

# Hosts that get one notice at the most, so that its cost does not grow with
# the fleet.
_MOST_RECEIVERS = 24
_ALIVE = 'alive'


class LoadNoticeSender:
    """A thread that sends notices of load when counts have changed.

    Args:
        settings: seconds between notices.
        fleet: the other hosts.
        messenger: carries the notices.
        pool: knows what this host has, takes what others have.
        rng: chooses receivers in a large fleet.
    """

    def __init__(
        self,
        settings: ForwardSettings,
        fleet: SnapshotCell[FleetSnapshot],
        messenger: PeerMessenger,
        pool: ServerPool,
        rng: random.Random,
    ) -> None:
        self._interval_s = settings.notice_interval_s
        self._fleet = fleet
        self._messenger = messenger
        self._pool = pool
        self._rng = rng
        self._online: Changes[int] = Changes(_none)
        self._batch: Changes[int] = Changes(_none)
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run,
            name='load-exchange',
            daemon=True,
        )

    def start(self) -> None:
        """Send and receive in the background."""
        self._messenger.subscribe(self._pool.note)
        self._thread.start()

    def close(self) -> None:
        """Stop sending."""
        self._stopped.set()

    def tell(self, now: float) -> None:
        """Send what has changed, or is due again, to the other hosts."""
        held = self._pool.counts()
        online = self._online.due(
            {one.backend_id: one.in_flight for one in held.counts},
            now,
        )
        batch = self._batch.due(
            {one.backend_id: one.in_flight for one in held.batch_counts},
            now,
        )
        if not online and not batch:
            return
        notice = PeerNotice(
            counts=tuple(
                OnlineCount(name, count, 0) for name, count in online.items()
            ),
            batch_counts=tuple(starmap(BatchCount, batch.items())),
        )
        for host_id in self._receivers():
            self._messenger.send(host_id, notice)

    def _run(self) -> None:
        while not self._stopped.wait(self._interval_s):
            self.tell(time.monotonic())

    def _receivers(self) -> list[str]:
        hosts = [
            peer.host_id
            for peer in self._fleet.current.peers
            if peer.state == _ALIVE
        ]
        if len(hosts) <= _MOST_RECEIVERS:
            return hosts
        return self._rng.sample(hosts, _MOST_RECEIVERS)


def _none(_server_id: str) -> int:
    return 0
