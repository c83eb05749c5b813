"""Thread-safe allocation of backend server slots on one host."""

from __future__ import annotations

import dataclasses
import random
import threading
from collections.abc import Callable, Collection, Generator
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

_POLL_INTERVAL_S = 0.1


@dataclasses.dataclass(eq=False)
class _WaitingRequest(PendingRequest):
    slot: Slot | None = None
    granted: threading.Event = dataclasses.field(
        default_factory=threading.Event,
    )


@dataclasses.dataclass(frozen=True)
class SlotRequest:
    """An online request's need for a slot.

    ``key`` selects the preferred server, so that requests with a common
    prompt prefix reach the same one. ``deadline`` is seconds of the
    monotonic clock. ``abandoned`` returns whether the caller has left.
    ``queue`` is the maximum number of requests of the entry that may
    wait, None for no limit of the entry's own.
    """

    entry_name: str
    key: bytes
    deadline: float
    abandoned: Callable[[], bool]
    excluded: frozenset[str] = frozenset()
    queue: int | None = None


def _waiting_request(request: SlotRequest) -> _WaitingRequest:
    return _WaitingRequest(
        entry_name=request.entry_name,
        key=request.key,
        deadline=request.deadline,
        excluded=request.excluded,
        queue=request.queue,
    )


class SlotPool:
    """Allocates slots to online requests and to batch items.

    Args:
        settings: settings of this host.
        clock: source of the time.
        rng: randomizes the probes of failing servers.
        catalogue: current configuration.
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
        self._scheduler = SlotScheduler(
            HostLocation(settings.host_id, settings.zone),
            rng,
            settings.online.queue_length,
        )
        self._on_online_grant: Callable[[str], None] = _ignore

    @property
    def waiting(self) -> int:
        """Number of online requests that wait for a slot."""
        return self._scheduler.line.length

    def status(self) -> dict[str, object]:
        """Return the state of this host's slots at each server."""
        with self.locked() as scheduler:
            return slot_status(scheduler, self._clock.monotonic())

    def set_online_grant_callback(self, granted: Callable[[str], None]) -> None:
        """Call ``granted`` with the server id at each online grant."""
        self._on_online_grant = granted

    def acquire(self, request: SlotRequest) -> Slot:
        """Wait for a slot for an online request.

        Raises:
            GuavadykeError: no slot became free before the deadline, or the
                queue is full; the attempt was not sent.
        """
        waiting = _waiting_request(request)
        with self._lock:
            slot = self._scheduler.request(waiting, self._refresh_scheduler())
            self._grant_and_preempt()
        if slot is None:
            slot = self._wait_for_slot(waiting, request.abandoned)
        self._on_online_grant(slot.view.server_id)
        return slot

    def try_acquire(self, request: SlotRequest) -> Slot | None:
        """Return a free slot at a server that is not excluded, or None.

        It doesn't wait, and takes no slot that a waiting request needs.
        """
        wanted = _waiting_request(request)
        with self._lock:
            slot = self._scheduler.reserve(wanted, self._refresh_scheduler())
            self._grant_and_preempt()
        if slot is not None:
            self._on_online_grant(slot.view.server_id)
        return slot

    def release(self, slot: Slot, fault: BackendFault | None = None) -> None:
        """Release a slot; ``fault`` is how its call failed, if it did."""
        with self._lock:
            self._scheduler.release(slot, self._clock.monotonic(), fault)
            self._grant_and_preempt()

    def acquire_batch(
        self,
        entry_name: str,
        *,
        non_preemptible: bool,
        excluded: Collection[str] = (),
    ) -> Slot | None:
        """Return a slot for a batch item, None if no slot is idle.

        Args:
            entry_name: catalogue entry of the item.
            non_preemptible: whether the item must not be preempted.
            excluded: ids of servers that must not be used.
        """
        with self.locked() as scheduler:
            now = self._clock.monotonic()
            return scheduler.batch.acquire_slot(
                entry_name,
                now,
                non_preemptible=non_preemptible,
                excluded=excluded,
            )

    def sends_batch(self, entry_name: str) -> bool:
        """Return whether this host may send batch items of an entry."""
        with self.locked() as scheduler:
            return scheduler.batch.sends_batch_items(entry_name)

    def idle_batch_slots(self, entry_name: str) -> int:
        """Return how many more batch items of an entry may start."""
        with self.locked() as scheduler:
            return scheduler.batch.free_batch_slots(
                entry_name, self._clock.monotonic()
            )

    def report(self, server_id: str, load: ReportedLoad) -> None:
        """Record the load that a server reported."""
        with self.locked() as scheduler:
            scheduler.report(server_id, load, self._clock.monotonic())

    @contextmanager
    def locked(self) -> Generator[SlotScheduler]:
        """Lock the refreshed slot scheduler for the block.

        Afterwards free slots are granted and batch items preempted.
        """
        with self._lock:
            self._refresh_scheduler()
            try:
                yield self._scheduler
            finally:
                self._grant_and_preempt()

    def _refresh_scheduler(self) -> float:
        """Apply the current snapshots and return the time."""
        self._scheduler.refresh(self._catalogue.current, self._fleet.current)
        return self._clock.monotonic()

    def _grant_and_preempt(self) -> None:
        now = self._refresh_scheduler()
        for grant in self._scheduler.assign_free_slots(now):
            if isinstance(grant.pending_request, _WaitingRequest):
                grant.pending_request.slot = grant.slot
                grant.pending_request.granted.set()
        for slot in self._scheduler.batch.preempt_items(now):
            slot.cancellation.cancel()

    def _wait_for_slot(
        self,
        waiting: _WaitingRequest,
        abandoned: Callable[[], bool],
    ) -> Slot:
        while waiting.slot is None:
            waiting.granted.wait(_POLL_INTERVAL_S)
            late = self._clock.monotonic() >= waiting.deadline
            if late or abandoned():
                return self._stop_waiting(waiting, late=late)
        return waiting.slot

    def _stop_waiting(self, waiting: _WaitingRequest, *, late: bool) -> Slot:
        with self._lock:
            self._scheduler.line.withdraw(waiting)
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
    """Do nothing at a grant."""
