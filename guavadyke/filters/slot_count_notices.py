"""Notices by which hosts share engines between online and batch."""

from __future__ import annotations

import collections
import threading
import time
from itertools import starmap

from guavadyke.adapters.ports import (
    BatchCount,
    OnlineCount,
    PeerMessenger,
    PeerNotice,
)
from guavadyke.decisions.count_changes import Changes
from guavadyke.decisions.slot_scheduler import online_counts_to_announce
from guavadyke.filters.slot_pool import SlotPool
from guavadyke.settings import EntrySettings
from guavadyke.snapshots import FleetSnapshot, SnapshotCell

_INTERVAL_S = 0.05
_LEAST_SPACING_S = 0.01


class SlotCountNotices:
    """Tells batch senders of online requests, and hosts of batch items.

    Args:
        settings: settings of this host.
        fleet: peers.
        messenger: notices between entry hosts.
        capacity: knows what this host has, takes what others have.
    """

    def __init__(
        self,
        settings: EntrySettings,
        fleet: SnapshotCell[FleetSnapshot],
        messenger: PeerMessenger,
        capacity: SlotPool,
    ) -> None:
        self._zone = settings.zone
        self._fleet = fleet
        self._messenger = messenger
        self._capacity = capacity
        self._online: Changes[OnlineCount] = Changes(_no_online)
        self._batch: Changes[int] = Changes(_no_batch)
        self._urgent = threading.Event()
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run,
            name='yield-notices',
            daemon=True,
        )

    def start(self) -> None:
        """Send and receive in the background."""
        self._messenger.subscribe(self._receive)
        self._capacity.on_online(self._granted)
        self._thread.start()

    def close(self) -> None:
        """Stop sending."""
        self._stopped.set()
        self._urgent.set()

    def _granted(self, server_id: str) -> None:
        """Tell at once of a request where another host has batch items."""
        if self._batch_hosts(server_id):
            self._urgent.set()

    def _receive(self, host_id: str, notice: PeerNotice) -> None:
        """Take what another host has at engines, online and batch."""
        now = time.monotonic()
        with self._capacity.locked() as table:
            for count in notice.counts:
                wanted = count.in_flight + count.queued
                online = table.batch.online_elsewhere
                online.note(host_id, count.backend_id, wanted, now)
            for held in notice.batch_counts:
                batch = table.router.remote_batch
                batch.note(host_id, held.backend_id, held.in_flight, now)

    def _batch_hosts(self, server_id: str) -> tuple[str, ...]:
        """Return the hosts that have batch items at a server."""
        with self._capacity.locked() as table:
            foreign = table.router.remote_batch
            return foreign.hosts(server_id, time.monotonic())

    def _run(self) -> None:
        while not self._stopped.is_set():
            self._urgent.wait(_INTERVAL_S)
            self._urgent.clear()
            self._tell_online(time.monotonic())
            self._tell_batch(time.monotonic())
            self._stopped.wait(_LEAST_SPACING_S)

    def _tell_online(self, now: float) -> None:
        with self._capacity.locked() as table:
            counts = online_counts_to_announce(table, now)
        told = self._online.due(counts, now)
        by_host: dict[str, list[OnlineCount]] = collections.defaultdict(list)
        for server_id, count in told.items():
            for host_id in self._batch_hosts(server_id):
                by_host[host_id].append(count)
        for host_id, owed in by_host.items():
            self._messenger.send(host_id, PeerNotice(counts=tuple(owed)))

    def _tell_batch(self, now: float) -> None:
        with self._capacity.locked() as table:
            held = table.batch.counts()
        told = self._batch.due(held, now)
        if not told:
            return
        counts = tuple(starmap(BatchCount, told.items()))
        notice = PeerNotice(batch_counts=counts)
        for peer in self._fleet.current.peers:
            if peer.zone == self._zone:
                self._messenger.send(peer.host_id, notice)


def _no_online(server_id: str) -> OnlineCount:
    return OnlineCount(server_id, 0, 0)


def _no_batch(_server_id: str) -> int:
    return 0
