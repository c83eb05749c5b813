"""Asks backend servers for their load."""

from __future__ import annotations

import threading
import time
from concurrent.futures import ThreadPoolExecutor

from guavadyke.adapters.ports import BackendServerError, BackendServers
from guavadyke.filters.capacity import Capacity
from guavadyke.settings import EntrySettings
from guavadyke.snapshots import CatalogueSnapshot, SnapshotCell

_INTERVAL_S = 0.25
_FAR_INTERVAL_S = 2.0
_TIMEOUT_S = 0.5
_WORKERS = 4


class LoadReports:
    """Asks for the load of servers, those of the own zone more often.

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
        capacity: Capacity,
    ) -> None:
        self._zone = settings.zone
        self._catalogue = catalogue
        self._servers = servers
        self._capacity = capacity
        self._asked: set[str] = set()
        self._due: dict[str, float] = {}
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
        while not self._stopped.wait(_INTERVAL_S / 2):
            self._ask_due(time.monotonic())
            self._settle()

    def _settle(self) -> None:
        """Let what time has changed take effect."""
        with self._capacity.locked():
            """The table is settled when the block ends."""

    def _ask_due(self, now: float) -> None:
        servers = self._catalogue.current.backend_servers
        for server_id, server in servers.items():
            due = now >= self._due.get(server_id, 0)
            if not due or server_id in self._asked:
                continue
            near = server.zone == self._zone
            interval_s = _INTERVAL_S if near else _FAR_INTERVAL_S
            self._due[server_id] = now + interval_s
            self._submit(server_id, server.address)

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
