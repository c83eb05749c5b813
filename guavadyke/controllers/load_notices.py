"""Sends this host's in-flight counts per backend server to other hosts."""

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
from guavadyke.decisions.count_changes import CountChanges
from guavadyke.settings import ForwardSettings
from guavadyke.snapshots import FleetSnapshot, SnapshotCell

# Bounds the cost of a notice in large fleets.
_MAX_RECEIVERS = 24
_ALIVE = 'alive'


class LoadNoticeSender:
    """Sends load notices from a thread and receives those of other hosts.

    Args:
        settings: the interval between notices.
        fleet: the hosts that may get notices.
        messenger: sends and receives the notices.
        pool: holds the counts of this host and of the others.
        rng: picks the receivers in a large fleet.
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
        self._online_changes: CountChanges[int] = CountChanges(_zero)
        self._batch_changes: CountChanges[int] = CountChanges(_zero)
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run,
            name='load-exchange',
            daemon=True,
        )

    def start(self) -> None:
        """Start sending and receiving."""
        self._messenger.subscribe(self._pool.record_notice)
        self._thread.start()

    def close(self) -> None:
        """Stop sending; does not wait for the thread."""
        self._stopped.set()

    def send_changes(self, now: float) -> None:
        """Send the counts that have changed or are due for a repeat.

        Args:
            now: seconds of the monotonic clock.
        """
        held = self._pool.load_notice()
        online = self._online_changes.due(
            {count.backend_id: count.in_flight for count in held.counts},
            now,
        )
        batch = self._batch_changes.due(
            {count.backend_id: count.in_flight for count in held.batch_counts},
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
            self.send_changes(time.monotonic())

    def _receivers(self) -> list[str]:
        hosts = [
            peer.host_id
            for peer in self._fleet.current.peers
            if peer.state == _ALIVE
        ]
        if len(hosts) <= _MAX_RECEIVERS:
            return hosts
        return self._rng.sample(hosts, _MAX_RECEIVERS)


def _zero(_server_id: str) -> int:
    return 0
