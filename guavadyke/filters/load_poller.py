"""Polls backend servers for their load."""

from __future__ import annotations

import threading
import time
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor

from guavadyke.adapters.ports import BackendServerError, BackendServers
from guavadyke.catalogue import BackendServerEntry
from guavadyke.decisions.load_polling import PollScheduler, PollTargets
from guavadyke.filters.slot_pool import SlotPool
from guavadyke.guarded_threads import GuardedThread, submit_logged
from guavadyke.settings import EntrySettings
from guavadyke.snapshots import CatalogueSnapshot, SnapshotCell

_POLL_INTERVAL_S = 0.125
_CALL_TIMEOUT_S = 0.5
_POLL_THREADS = 4


class LoadPoller:
    """Polls backend servers for their load, at a rate set in the settings.

    Args:
        settings: settings of this host.
        catalogue: current configuration.
        servers: client of the backend servers.
        slot_pool: receives the reports.
    """

    def __init__(
        self,
        settings: EntrySettings,
        catalogue: SnapshotCell[CatalogueSnapshot],
        servers: BackendServers,
        slot_pool: SlotPool,
    ) -> None:
        self._zone = settings.zone
        self._catalogue = catalogue
        self._servers = servers
        self._slot_pool = slot_pool
        self._running_polls: set[str] = set()
        self._poll_scheduler = PollScheduler(
            settings.online.load_polls_per_s,
            time.monotonic(),
        )
        self._stopped = threading.Event()
        self._pool = ThreadPoolExecutor(
            _POLL_THREADS,
            thread_name_prefix='load',
        )
        self._thread = GuardedThread(self._run, 'load-reports', self._stopped)

    def start(self) -> None:
        """Start polling in the background."""
        self._thread.start()

    def close(self) -> None:
        """Stop polling."""
        self._stopped.set()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _run(self) -> None:
        while not self._stopped.wait(_POLL_INTERVAL_S):
            self._poll_due_servers(time.monotonic())
            self._apply_elapsed_time()

    def _apply_elapsed_time(self) -> None:
        """Let changes that depend on the time take effect.

        Slots are granted and items preempted when the lock is released.
        """
        with self._slot_pool.locked():
            """Leaving the block applies the changes."""

    def _poll_due_servers(self, now: float) -> None:
        servers = self._catalogue.current.backend_servers
        for server_id in self._poll_scheduler.servers_to_poll(
            self._targets(servers), now
        ):
            if server_id not in self._running_polls:
                self._submit(server_id, servers[server_id].address)

    def _targets(
        self,
        servers: Mapping[str, BackendServerEntry],
    ) -> PollTargets:
        own_zone = {
            server_id
            for server_id, server in servers.items()
            if server.zone == self._zone
        }
        with self._slot_pool.locked() as scheduler:
            used = scheduler.router.in_use_or_ejected()
        return PollTargets(
            own_zone,
            servers.keys() - own_zone,
            used.intersection(servers),
        )

    def _submit(self, server_id: str, address: str) -> None:
        self._running_polls.add(server_id)
        try:
            submit_logged(self._pool, self._poll, server_id, address)
        except RuntimeError:
            self._running_polls.discard(server_id)
            if not self._stopped.is_set():
                raise

    def _poll(self, server_id: str, address: str) -> None:
        try:
            load = self._servers.load(address, _CALL_TIMEOUT_S)
        except BackendServerError:
            return
        else:
            self._slot_pool.report(server_id, load)
        finally:
            self._running_polls.discard(server_id)
