"""Scheduler of backend server slots for online requests."""

from __future__ import annotations

import dataclasses
import itertools
import random
from collections.abc import Iterator, Sequence

from guavadyke.adapters.ports import BackendFault, OnlineCount, ReportedLoad
from guavadyke.decisions.batch_admission import BatchAdmission
from guavadyke.decisions.candidates import Candidates, find_candidates
from guavadyke.decisions.request_queue import (
    PendingRequest,
    RequestQueue,
    ServiceTimeEstimator,
)
from guavadyke.decisions.routing import Router, ServerView
from guavadyke.decisions.slot import HostLocation, Slot
from guavadyke.errors import ErrorCode, GuavadykeError
from guavadyke.snapshots import CatalogueSnapshot, FleetSnapshot

_MAX_RETRY_AFTER_S = 30
_UNREACHABLE = frozenset((BackendFault.not_reached, BackendFault.silent))


@dataclasses.dataclass(frozen=True)
class Grant:
    """A slot and the waiting request that gets it."""

    pending_request: PendingRequest
    slot: Slot


class SlotScheduler:
    """Assigns slots of backend servers to requests of this host.

    Online requests without a free slot wait in a bounded queue; ``batch``
    handles batch items. Not thread-safe: the caller holds a lock. Times
    are in seconds of the monotonic clock.

    Args:
        location: this host's id and zone.
        rng: adds jitter to the probes of failing servers.
        queue_length: maximum number of online requests that wait.
    """

    def __init__(
        self,
        location: HostLocation,
        rng: random.Random,
        queue_length: int,
    ) -> None:
        self.router = Router(location.zone, rng)
        self.line = RequestQueue(queue_length)
        self.service_times = ServiceTimeEstimator()
        self.batch = BatchAdmission(location, self.router, self.line)
        self._location = location
        self._catalogue = CatalogueSnapshot()
        self._fleet = FleetSnapshot()
        self._reports: dict[str, ReportedLoad] = {}
        self._candidates = Candidates({}, {})

    @property
    def candidates(self) -> Candidates:
        """Servers that accept new work."""
        return self._candidates

    def refresh(
        self,
        catalogue: CatalogueSnapshot,
        fleet: FleetSnapshot,
    ) -> None:
        """Apply the current snapshots; unchanged ones cost next to nothing."""
        if catalogue is self._catalogue and fleet is self._fleet:
            return
        same = catalogue is self._catalogue and _same_for_routing(
            fleet, self._fleet
        )
        self._catalogue = catalogue
        self._fleet = fleet
        if same:
            return
        self.batch.update_fleet(fleet)
        self.batch.tail_weight = catalogue.policy.tail_weight
        self._rebuild()
        self.router.retain(catalogue.backend_servers)

    def report(self, server_id: str, load: ReportedLoad, now: float) -> None:
        """Record a load report of a server."""
        before = self._reports.get(server_id)
        self._reports[server_id] = load
        self.router.report(server_id, load, now)
        if before is None or _serving_state(before) != _serving_state(load):
            self._rebuild()

    def request(
        self, pending_request: PendingRequest, now: float
    ) -> Slot | None:
        """Return a free slot, or None after queueing the request.

        Raises:
            GuavadykeError: the request is refused and did not run:
                ``no_backend_server`` where no server serves the entry,
                ``overloaded`` where the queue is full or the wait would
                exceed the deadline.
        """
        if not self._candidates.for_entry(pending_request.entry_name):
            raise GuavadykeError(
                ErrorCode.no_backend_server,
                f'no backend server serves {pending_request.entry_name} now',
                retry_after_s=1,
            )
        if not self.line.length_of(pending_request.entry_name):
            slot = self._acquire_slot(pending_request, now)
            if slot is not None:
                return slot
        self._refuse_if_late(pending_request, now)
        self.line.add(pending_request)
        return None

    def reserve(
        self, pending_request: PendingRequest, now: float
    ) -> Slot | None:
        """Return a free slot at a server that is not excluded, or None.

        Servers that are ejected, and slots for which requests wait, are
        left alone.
        """
        if self.line.length_of(pending_request.entry_name):
            return None
        views = self._available_views(
            pending_request.entry_name, pending_request.excluded
        )
        return self._take_slot(views, pending_request, now)

    def report_silence(self, slot: Slot, now: float) -> None:
        """Eject a silent server, unless no other one is available.

        Its call goes on; an answer or a load report readmits it.
        """
        server_id = slot.view.server_id
        if self._available_views(slot.entry_name, frozenset((server_id,))):
            self.router.server(server_id).health.failed(now, unreachable=True)

    def assign_free_slots(self, now: float) -> Iterator[Grant]:
        """Assign free slots to waiting requests; yield each assignment."""
        progress = True
        while progress:
            progress = False
            for pending_request in self.line.earliest_of_each_entry():
                slot = self._acquire_slot(pending_request, now)
                if slot is not None:
                    progress = True
                    self.line.withdraw(pending_request)
                    yield Grant(pending_request, slot)

    def release(
        self,
        slot: Slot,
        now: float,
        fault: BackendFault | None = None,
    ) -> None:
        """Release a slot; ``fault`` is how its call failed, None if not."""
        server = self.router.server(slot.view.server_id)
        if slot.batch:
            self.batch.remove(slot, now)
        else:
            server.add_online(-1, now)
        if fault is not None:
            server.health.failed(now, unreachable=fault in _UNREACHABLE)
        elif not slot.cancellation.cancelled:
            server.health.succeeded(now)
            self._record_service_time(slot, now)

    def _rebuild(self) -> None:
        self._candidates = find_candidates(
            self._catalogue,
            self._fleet,
            self._reports,
            self._location.zone,
        )
        self.batch.update_candidates(self._candidates)

    def _acquire_slot(
        self, pending_request: PendingRequest, now: float
    ) -> Slot | None:
        views = self._candidates.for_entry(pending_request.entry_name)
        left = [
            view
            for view in views
            if view.server_id not in pending_request.excluded
        ]
        return self._take_slot(left or views, pending_request, now)

    def _available_views(
        self, entry_name: str, excluded: frozenset[str]
    ) -> list[ServerView]:
        return [
            view
            for view in self._candidates.for_entry(entry_name)
            if view.server_id not in excluded and self.router.available(view)
        ]

    def _take_slot(
        self,
        views: Sequence[ServerView],
        pending_request: PendingRequest,
        now: float,
    ) -> Slot | None:
        view = self.router.choose(views, pending_request.key, now)
        if view is None:
            return None
        self.router.server(view.server_id).add_online(1, now)
        return Slot(view, pending_request.entry_name, now)

    def _refuse_if_late(
        self, pending_request: PendingRequest, now: float
    ) -> None:
        """Raise an error where a request could not be served in time."""
        entry_name = pending_request.entry_name
        ahead = self.line.length_of(entry_name)
        views = self._candidates.for_entry(entry_name)
        held = sum(self.router.server(view.server_id).online for view in views)
        wait_s = self.service_times.wait_s(entry_name, ahead, held)
        queue = pending_request.queue
        full = self.line.full or (queue is not None and ahead >= queue)
        if full or now + wait_s + self.service_times.mean_s(entry_name) > (
            pending_request.deadline
        ):
            raise GuavadykeError(
                ErrorCode.overloaded,
                'more requests wait than can be served in time',
                retry_after_s=retry_after_s(wait_s),
            )

    def _record_service_time(self, slot: Slot, now: float) -> None:
        if not slot.batch:
            self.service_times.record_duration(
                slot.entry_name, now - slot.taken_at
            )


def online_counts_to_announce(
    scheduler: SlotScheduler, now: float
) -> dict[str, OnlineCount]:
    """Return this host's online load of servers with others' batch items.

    The other hosts need it to preempt their batch items in time.
    """
    return {
        server_id: OnlineCount(
            backend_id=server_id,
            in_flight=scheduler.router.server(server_id).online,
            queued=scheduler.batch.waiting_share(view),
        )
        for server_id, view in _remote_batch_views(scheduler, now)
    }


def _remote_batch_views(
    scheduler: SlotScheduler,
    now: float,
) -> Iterator[tuple[str, ServerView]]:
    views = scheduler.candidates.views
    for server_id in scheduler.router.remote_batch.backends(now):
        view = views.get(server_id)
        if view is not None:
            yield server_id, view


def slot_status(scheduler: SlotScheduler, now: float) -> dict[str, object]:
    """Return the load and state of each server, for the operator API."""
    return {
        server_id: {
            'online': scheduler.router.server(server_id).online,
            'batch': scheduler.router.server(server_id).batch,
            'online_elsewhere': scheduler.router.other_hosts_online(
                server_id, now
            ),
            'available': scheduler.router.available(view),
            'batch_sender': scheduler.batch.sender(view),
        }
        for server_id, view in scheduler.candidates.views.items()
    }


def retry_after_s(wait_s: float) -> int:
    """Return the whole seconds for the ``Retry-After`` header."""
    return max(1, min(_MAX_RETRY_AFTER_S, round(wait_s)))


def _same_for_routing(fleet: FleetSnapshot, other: FleetSnapshot) -> bool:
    """Return whether two fleet snapshots are the same to the router."""
    return fleet.leaving == other.leaving and _hosts(fleet) == _hosts(other)


def _hosts(fleet: FleetSnapshot) -> list[tuple[str, str, str]]:
    return [(peer.host_id, peer.zone, peer.state) for peer in fleet.peers]


def _serving_state(load: ReportedLoad) -> tuple[bool, tuple[str, ...]]:
    return load.leaving, tuple(itertools.chain(load.serves))
