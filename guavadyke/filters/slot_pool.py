"""Slots of backend servers for the request threads of this host."""

from __future__ import annotations

import dataclasses
import random
import threading
from collections.abc import Callable, Generator
from contextlib import contextmanager

from guavadyke.adapters.ports import (
    BackendFault,
    Clock,
    ReportedLoad,
)
from guavadyke.decisions.request_queue import PendingRequest
from guavadyke.decisions.slot import HostLocation, Slot
from guavadyke.decisions.slot_scheduler import SlotScheduler, slot_status
from guavadyke.errors import ErrorCode, GuavadykeError
from guavadyke.settings import EntrySettings
from guavadyke.snapshots import (
    CatalogueSnapshot,
    FleetSnapshot,
    SnapshotCell,
)

_LOOK_S = 0.1


@dataclasses.dataclass(eq=False)
class _Waiting(PendingRequest):
    slot: Slot | None = None
    granted: threading.Event = dataclasses.field(
        default_factory=threading.Event,
    )


@dataclasses.dataclass(frozen=True)
class SlotRequest:
    """What a request needs to get a slot.

    ``key`` decides the affinity; ``abandoned`` tells whether the caller
    has left; ``queue`` bounds those of the entry that wait.
    """

    entry_name: str
    key: bytes
    deadline: float
    abandoned: Callable[[], bool]
    excluded: frozenset[str] = frozenset()
    queue: int | None = None


class SlotPool:
    """Grants slots to online requests and to batch items.

    Args:
        settings: settings of this host.
        clock: gives the time.
        rng: spreads probes of failing servers.
        catalogue: configuration in force.
        fleet: peers and leaving servers.
    """

    def __init__(
        self,
        settings: EntrySettings,
        clock: Clock,
        rng: random.Random,
        catalogue: SnapshotCell[CatalogueSnapshot],
        fleet: SnapshotCell[FleetSnapshot],
    ) -> None:
        self._clock = clock
        self._catalogue = catalogue
        self._fleet = fleet
        self._lock = threading.Lock()
        self._table = SlotScheduler(
            HostLocation(settings.host_id, settings.zone),
            rng,
            settings.online.queue_length,
        )
        self._granted_online: Callable[[str], None] = _ignore

    @property
    def waiting(self) -> int:
        """Online requests that wait for a slot."""
        return self._table.line.length

    def status(self) -> dict[str, object]:
        """Return what this host has at each server."""
        with self.locked() as table:
            return slot_status(table, self._clock.monotonic())

    def on_online(self, granted: Callable[[str], None]) -> None:
        """Call ``granted`` with the server's id for each online grant."""
        self._granted_online = granted

    def acquire(self, request: SlotRequest) -> Slot:
        """Wait for a slot for an online request.

        Raises:
            GuavadykeError: there is none in time; the attempt did not run.
        """
        waiting = _Waiting(
            entry_name=request.entry_name,
            key=request.key,
            deadline=request.deadline,
            excluded=request.excluded,
            queue=request.queue,
        )
        with self._lock:
            slot = self._table.request(waiting, self._now())
            self._settle()
        if slot is None:
            slot = self._wait(waiting, request.abandoned)
        self._granted_online(slot.view.server_id)
        return slot

    def release(self, slot: Slot, fault: BackendFault | None = None) -> None:
        """Give a slot back; ``fault`` tells how its call failed."""
        with self._lock:
            self._table.release(slot, self._clock.monotonic(), fault)
            self._settle()

    def take_batch(self, entry_name: str, *, kept: bool) -> Slot | None:
        """Return a slot for a batch item, None where none is idle.

        Args:
            entry_name: entry of the item.
            kept: whether the item must not be preempted.
        """
        with self.locked() as table:
            now = self._clock.monotonic()
            return table.batch.take(entry_name, now, kept=kept)

    def sends_batch(self, entry_name: str) -> bool:
        """Return whether this host sends batch items of an entry."""
        with self.locked() as table:
            return table.batch.sends(entry_name)

    def batch_room(self, entry_name: str) -> int:
        """Return how many more batch items of an entry may start."""
        with self.locked() as table:
            return table.batch.room(entry_name, self._clock.monotonic())

    def report(self, server_id: str, load: ReportedLoad) -> None:
        """Take a server's own report."""
        with self.locked() as table:
            table.report(server_id, load, self._clock.monotonic())

    @contextmanager
    def locked(self) -> Generator[SlotScheduler]:
        """Give the table, up to date, and settle it after the block."""
        with self._lock:
            self._now()
            try:
                yield self._table
            finally:
                self._settle()

    def _now(self) -> float:
        """Bring the table up to date and return the time."""
        self._table.refresh(self._catalogue.current, self._fleet.current)
        return self._clock.monotonic()

    def _settle(self) -> None:
        now = self._now()
        for grant in self._table.assign_free_slots(now):
            if isinstance(grant.pending_request, _Waiting):
                grant.pending_request.slot = grant.slot
                grant.pending_request.granted.set()
        for slot in self._table.batch.yielding(now):
            slot.cancellation.cancel()

    def _wait(self, waiting: _Waiting, abandoned: Callable[[], bool]) -> Slot:
        while waiting.slot is None:
            waiting.granted.wait(_LOOK_S)
            late = self._clock.monotonic() >= waiting.deadline
            if late or abandoned():
                return self._given_up(waiting, late=late)
        return waiting.slot

    def _given_up(self, waiting: _Waiting, *, late: bool) -> Slot:
        with self._lock:
            self._table.line.withdraw(waiting)
        if waiting.slot is not None and late:
            return waiting.slot
        if waiting.slot is not None:
            waiting.slot.cancellation.cancel()
            self.release(waiting.slot)
        raise GuavadykeError(
            ErrorCode.deadline_exceeded,
            'the deadline passed before a backend server was free',
            retry_after_s=1,
        )


def _ignore(_server_id: str) -> None:
    """Take no note of a grant."""
