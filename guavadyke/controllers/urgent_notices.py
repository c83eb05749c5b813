"""What this host has to tell other hosts at once."""

from __future__ import annotations

import dataclasses
import threading
from collections.abc import Callable, Collection, Mapping

from guavadyke.decisions.fault_reports import ServerFault


@dataclasses.dataclass(frozen=True)
class UrgentNews:
    """What to tell before the next regular load notice.

    ``contended`` holds the ids of servers without a free slot by the id of a
    host that has batch items there.
    """

    contended: Mapping[str, Collection[str]]
    faults: tuple[ServerFault, ...] = ()


class UrgentNotices:
    """Collects what must not wait for the next load notice.

    Regular notices arrive after up to two intervals, which is a large part
    of a caller's latency objective. Thread-safe.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._found = threading.Event()
        self._servers_by_host: dict[str, set[str]] = {}
        self._faults: list[ServerFault] = []
        self._wake_runner: Callable[[], object] = _ignore

    def on_own_items(self, wake_runner: Callable[[], object]) -> None:
        """Call ``wake_runner`` when items of this host have to yield."""
        self._wake_runner = wake_runner

    def add_contention(self, server_id: str, holders: Collection[str]) -> None:
        """Record that a request was sent to a server without a free slot.

        Args:
            server_id: the server.
            holders: ids of the hosts that have batch items there.
        """
        with self._lock:
            for host_id in holders:
                self._servers_by_host.setdefault(host_id, set()).add(server_id)
        self._found.set()

    def add_fault(self, fault: ServerFault) -> None:
        """Record that a server has begun or ceased to fail."""
        with self._lock:
            self._faults.append(fault)
        self._found.set()

    def yield_own(self) -> None:
        """Have the items of this host yield where they have to."""
        self._wake_runner()

    def wait(self, timeout_s: float) -> UrgentNews:
        """Wait for news; they may be empty after ``timeout_s`` seconds."""
        self._found.wait(timeout_s)
        with self._lock:
            self._found.clear()
            news = UrgentNews(self._servers_by_host, tuple(self._faults))
            self._servers_by_host = {}
            self._faults = []
            return news


def _ignore() -> None:
    """Do nothing before a runner of batch items is set."""
