"""Exchange of slot counts between hosts that share backend servers."""

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
from guavadyke.decisions.count_changes import CountChanges
from guavadyke.decisions.slot_scheduler import online_counts_to_announce
from guavadyke.filters.slot_pool import SlotPool
from guavadyke.guarded_threads import GuardedThread
from guavadyke.settings import EntrySettings
from guavadyke.snapshots import FleetSnapshot, SnapshotCell

_INTERVAL_S = 0.05
_MIN_PAUSE_S = 0.01


class SlotCountNotices:
    """Exchanges counts of online requests and batch items among hosts.

    Counts of online requests go to the hosts that have batch items at the
    same server, which preempt items in favour of them. Counts of batch
    items go to all hosts of the zone.

    Args:
        settings: settings of this host.
        fleet: peers.
        messenger: sends notices to other entry hosts.
        slot_pool: provides this host's counts and uses those of others.
    """

    def __init__(
        self,
        settings: EntrySettings,
        fleet: SnapshotCell[FleetSnapshot],
        messenger: PeerMessenger,
        slot_pool: SlotPool,
    ) -> None:
        self._zone = settings.zone
        self._fleet = fleet
        self._messenger = messenger
        self._slot_pool = slot_pool
        self._online_changes: CountChanges[OnlineCount] = CountChanges(
            _zero_online
        )
        self._batch_changes: CountChanges[int] = CountChanges(_zero_batch)
        self._wake = threading.Event()
        self._stopped = threading.Event()
        self._thread = GuardedThread(self._run, 'yield-notices', self._stopped)

    def start(self) -> None:
        """Start sending and receiving in the background."""
        self._messenger.subscribe(self._receive)
        self._slot_pool.set_online_grant_callback(self._notify_batch_hosts)
        self._thread.start()

    def close(self) -> None:
        """Stop sending."""
        self._stopped.set()
        self._wake.set()

    def _notify_batch_hosts(self, server_id: str) -> None:
        """Send notices at once if another host has batch items there."""
        if self._batch_hosts(server_id):
            self._wake.set()

    def _receive(self, host_id: str, notice: PeerNotice) -> None:
        """Record another host's online and batch counts."""
        now = time.monotonic()
        with self._slot_pool.locked() as scheduler:
            for count in notice.counts:
                online_requests = count.in_flight + count.queued
                online = scheduler.batch.online_elsewhere
                online.record_count(
                    host_id, count.backend_id, online_requests, now
                )
            for held in notice.batch_counts:
                batch = scheduler.router.remote_batch
                batch.record_count(
                    host_id, held.backend_id, held.in_flight, now
                )

    def _batch_hosts(self, server_id: str) -> tuple[str, ...]:
        """Return the hosts that have batch items at a server."""
        with self._slot_pool.locked() as scheduler:
            remote_batch = scheduler.router.remote_batch
            return remote_batch.hosts(server_id, time.monotonic())

    def _run(self) -> None:
        while not self._stopped.is_set():
            self._wake.wait(_INTERVAL_S)
            self._wake.clear()
            self._announce_online(time.monotonic())
            self._announce_batch(time.monotonic())
            self._stopped.wait(_MIN_PAUSE_S)

    def _announce_online(self, now: float) -> None:
        with self._slot_pool.locked() as scheduler:
            counts = online_counts_to_announce(scheduler, now)
        due_counts = self._online_changes.due(counts, now)
        by_host: dict[str, list[OnlineCount]] = collections.defaultdict(list)
        for server_id, count in due_counts.items():
            for host_id in self._batch_hosts(server_id):
                by_host[host_id].append(count)
        for host_id, host_counts in by_host.items():
            self._messenger.send(host_id, PeerNotice(counts=tuple(host_counts)))

    def _announce_batch(self, now: float) -> None:
        with self._slot_pool.locked() as scheduler:
            held = scheduler.batch.counts()
        due_counts = self._batch_changes.due(held, now)
        if not due_counts:
            return
        counts = tuple(starmap(BatchCount, due_counts.items()))
        notice = PeerNotice(batch_counts=counts)
        for peer in self._fleet.current.peers:
            if peer.zone == self._zone:
                self._messenger.send(peer.host_id, notice)


def _zero_online(server_id: str) -> OnlineCount:
    return OnlineCount(server_id, 0, 0)


def _zero_batch(_server_id: str) -> int:
    return 0
