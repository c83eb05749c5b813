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
from guavadyke.controllers.host_abilities import HostAbilities
from guavadyke.controllers.server_pool import ServerPool
from guavadyke.controllers.urgent_notices import UrgentNews
from guavadyke.decisions.count_changes import CountChanges
from guavadyke.decisions.forward_job_ownership import batch_hosts
from guavadyke.decisions.host_abilities import able_hosts
from guavadyke.guarded_threads import GuardedThread
from guavadyke.settings import ForwardHostSettings
from guavadyke.snapshots import FleetSnapshot, SnapshotCell

# Bounds the cost of notices in large fleets; each host receives as many as it
# sends, at about 0.1 ms of processor time each.
_MAX_DATAGRAMS_PER_S = 250
_MIN_RECEIVERS = 24
_ALIVE = 'alive'


class LoadNoticeSender:
    """Sends load notices from a thread and receives those of other hosts.

    Args:
        settings: the id of this host and the interval between notices.
        fleet: the hosts that may get notices.
        messenger: sends and receives the notices.
        pool: holds the counts of this host and of the others.
        abilities: which hosts cannot run batch items; told from this thread.
        rng: picks the receivers in a large fleet.
    """

    def __init__(
        self,
        settings: ForwardHostSettings,
        fleet: SnapshotCell[FleetSnapshot],
        messenger: PeerMessenger,
        pool: ServerPool,
        abilities: HostAbilities,
        rng: random.Random,
    ) -> None:
        self._host_id = settings.host_id
        self._interval_s = settings.forward.notice_interval_s
        self._fleet = fleet
        self._messenger = messenger
        self._pool = pool
        self._abilities = abilities
        self._rng = rng
        self._online_changes: CountChanges[int] = CountChanges(_zero)
        self._batch_changes: CountChanges[int] = CountChanges(_zero)
        self._sent_at: float = 0
        self._ranked_hosts: frozenset[str] = frozenset()
        self._batch_hosts: frozenset[str] = frozenset()
        self._stopped = threading.Event()
        self._thread = GuardedThread(self._run, 'load-exchange', self._stopped)

    def start(self) -> None:
        """Start sending and receiving."""
        self._messenger.subscribe(self._pool.record_notice)
        self._abilities.start()
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
        work = {count.backend_id: count.work_ms for count in held.counts}
        batch = self._batch_changes.due(
            {count.backend_id: count.in_flight for count in held.batch_counts},
            now,
        )
        if not online and not batch:
            return
        notice = PeerNotice(
            counts=tuple(
                OnlineCount(name, count, 0, work.get(name))
                for name, count in online.items()
            ),
            batch_counts=tuple(starmap(BatchCount, batch.items())),
        )
        self._messenger.send_all(self._receivers(now), notice)

    def send_urgent(self, news: UrgentNews) -> None:
        """Tell hosts to yield slots, and all hosts of failing servers."""
        for host_id, server_ids in news.contended.items():
            if host_id == self._host_id:
                self._pool.urgent.yield_own()
            else:
                self._messenger.send(
                    host_id, self._pool.online_notice(server_ids)
                )
        if news.faults:
            self._messenger.send_all(
                self._live_hosts(), PeerNotice(faults=news.faults)
            )

    def _run(self) -> None:
        due = time.monotonic()
        while not self._stopped.is_set():
            now = time.monotonic()
            if now >= due:
                self.send_changes(now)
                self._abilities.tell_due()
                due = now + self._interval_s
            self.send_urgent(
                self._pool.urgent.wait(max(0, due - time.monotonic()))
            )

    def _receivers(self, now: float) -> list[str]:
        """Return the hosts that get the next notice.

        In a large fleet they are the hosts that run batch items, which have
        to know the whole load, and others drawn at random, as many as the
        rate of datagrams allows.
        """
        hosts = self._live_hosts()
        since_last_s = min(1, now - self._sent_at)
        allowed = max(_MIN_RECEIVERS, int(_MAX_DATAGRAMS_PER_S * since_last_s))
        self._sent_at = now
        if len(hosts) <= allowed:
            return hosts
        others = self._rng.sample(hosts, allowed)
        return list(self._other_batch_hosts(hosts).union(others))

    def _other_batch_hosts(self, hosts: list[str]) -> frozenset[str]:
        """Return the other hosts that run batch items.

        All hosts are ranked for it, so only when they have changed.
        """
        able = able_hosts((*hosts, self._host_id), self._abilities.unable())
        if able != self._ranked_hosts:
            self._ranked_hosts = able
            chosen = batch_hosts(able)
            self._batch_hosts = frozenset(chosen) - {self._host_id}
        return self._batch_hosts

    def _live_hosts(self) -> list[str]:
        return [
            peer.host_id
            for peer in self._fleet.current.peers
            if peer.state == _ALIVE
        ]


def _zero(_server_id: str) -> int:
    return 0
