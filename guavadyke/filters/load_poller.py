"""Asks backend servers for their load."""

from __future__ import annotations

import threading
import time
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor

from guavadyke.adapters.ports import BackendServerError, BackendServers
from guavadyke.catalogue import BackendServerEntry
from guavadyke.decisions.load_polling import PollScheduler, PollTargets
from guavadyke.filters.slot_pool import SlotPool
from guavadyke.settings import EntrySettings
from guavadyke.snapshots import CatalogueSnapshot, SnapshotCell

_INTERVAL_S = 0.125
_TIMEOUT_S = 0.5
_WORKERS = 4


class LoadPoller:
    """Asks servers for their load, at a rate that the settings bound.

    Args:
        settings: settings of this host.
        catalogue: configuration in force.
        servers: calls to backend servers.
        capacity: takes the reports.
    """

    def __init__(
        self,
        settings: EntrySettings,
        catalogue: SnapshotCell[CatalogueSnapshot],
        servers: BackendServers,
        capacity: SlotPool,
    ) -> None:
        self._zone = settings.zone
        self._catalogue = catalogue
        self._servers = servers
        self._capacity = capacity
        self._asked: set[str] = set()
        self._plan = PollScheduler(
            settings.online.load_polls_per_s,
            time.monotonic(),
        )
        self._stopped = threading.Event()
        self._pool = ThreadPoolExecutor(
            _WORKERS,
            thread_name_prefix='load',
        )
        self._thread = threading.Thread(
            target=self._run,
            name='load-reports',
            daemon=True,
        )

    def start(self) -> None:
        """Ask in the background."""
        self._thread.start()

    def close(self) -> None:
        """Stop asking."""
        self._stopped.set()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _run(self) -> None:
        while not self._stopped.wait(_INTERVAL_S):
            self._ask_due(time.monotonic())
            self._settle()

    def _settle(self) -> None:
        """Let what time has changed take effect."""
        with self._capacity.locked():
            """The table is settled when the block ends."""

    def _ask_due(self, now: float) -> None:
        servers = self._catalogue.current.backend_servers
        for server_id in self._plan.due(self._targets(servers), now):
            if server_id not in self._asked:
                self._submit(server_id, servers[server_id].address)

    def _targets(
        self,
        servers: Mapping[str, BackendServerEntry],
    ) -> PollTargets:
        near = {
            server_id
            for server_id, server in servers.items()
            if server.zone == self._zone
        }
        with self._capacity.locked() as table:
            used = table.router.used()
        return PollTargets(
            near,
            servers.keys() - near,
            used.intersection(servers),
        )

    def _submit(self, server_id: str, address: str) -> None:
        self._asked.add(server_id)
        try:
            self._pool.submit(self._ask, server_id, address)
        except RuntimeError:
            self._stopped.set()

    def _ask(self, server_id: str, address: str) -> None:
        try:
            load = self._servers.load(address, _TIMEOUT_S)
        except BackendServerError:
            return
        else:
            self._capacity.report(server_id, load)
        finally:
            self._asked.discard(server_id)
