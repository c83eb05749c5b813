"""Admission and preemption of batch items beside online requests."""

from __future__ import annotations

import collections
import math
from collections.abc import Collection, Iterator

from guavadyke.decisions.candidates import Candidates
from guavadyke.decisions.remote_counts import RemoteCounts
from guavadyke.decisions.request_queue import RequestQueue
from guavadyke.decisions.routing import Router, ServerView
from guavadyke.decisions.slot import HostLocation, Slot
from guavadyke.decisions.slot_shares import (
    batch_sender,
    batch_slots,
    refill_delay_s,
)
from guavadyke.snapshots import FleetSnapshot

_NON_PREEMPTIBLE_SHARE = 0.25


class BatchAdmission:
    """Assigns slots to batch items and selects the ones to preempt.

    One host of the fleet sends batch items to a given server. Times are
    in seconds of the monotonic clock.

    Args:
        location: this host's id and zone.
        router: holds the load and health of each server.
        online_queue: queue of online requests.
    """

    def __init__(
        self,
        location: HostLocation,
        router: Router,
        online_queue: RequestQueue,
    ) -> None:
        self.online_elsewhere = RemoteCounts()
        self.candidates = Candidates({}, {})
        self.tail_weight: float = 1
        self._location = location
        self._router = router
        self._online_queue = online_queue
        self._batch: dict[str, list[Slot]] = collections.defaultdict(list)
        self._no_refill_until: dict[str, float] = {}
        self._fleet = FleetSnapshot()
        self._senders: dict[str, str] = {}
        self._own: dict[str, tuple[ServerView, ...]] = {}

    def update_fleet(self, fleet: FleetSnapshot) -> None:
        """Replace the fleet snapshot."""
        self._fleet = fleet
        self._senders = {}
        self._own = {}

    def update_candidates(self, candidates: Candidates) -> None:
        """Replace the servers that accept new work."""
        self.candidates = candidates
        self._own = {}

    def acquire_slot(
        self,
        entry_name: str,
        now: float,
        *,
        non_preemptible: bool = False,
        excluded: Collection[str] = (),
    ) -> Slot | None:
        """Return a slot for a batch item, None where none is free.

        Args:
            entry_name: entry of the item.
            now: current time.
            non_preemptible: whether the item must not be preempted; such
                items get only a share of the slots of a server.
            excluded: ids of servers that must not be used.
        """
        free_slots = {
            view.server_id: self._free_slots(view, now)
            for view in self._sending_views(entry_name)
            if view.server_id not in excluded
            and (not non_preemptible or self._may_add_non_preemptible(view))
        }
        emptiest = max(free_slots, key=lambda one: free_slots[one], default='')
        if not emptiest or free_slots[emptiest] < 1:
            return None
        view = self.candidates.views[emptiest]
        slot = Slot(
            view, entry_name, now, batch=True, non_preemptible=non_preemptible
        )
        self._batch[emptiest].append(slot)
        self._router.server(emptiest).add_batch(1, now)
        return slot

    def free_batch_slots(self, entry_name: str, now: float) -> int:
        """Return how many more batch items of an entry may start now."""
        views = self._sending_views(entry_name)
        return sum(max(0, self._free_slots(view, now)) for view in views)

    def sends_batch_items(self, entry_name: str) -> bool:
        """Return whether this host sends any batch items of an entry."""
        return bool(self._sending_views(entry_name))

    def preempt_items(self, now: float) -> Iterator[Slot]:
        """Preempt batch items whose slots online requests need; yield them.

        The newest items go first. A server that lost an item gets no new
        one for a while.
        """
        for server_id, slots in tuple(self._batch.items()):
            held = [slot for slot in slots if not slot.preempted]
            if not held:
                continue
            excess = len(held) - self._batch_limit(held[0].view, now)
            movable = [
                slot for slot in reversed(held) if not slot.non_preemptible
            ]
            for slot in movable[: max(0, excess)]:
                slot.preempted = True
                delay_s = refill_delay_s(self.tail_weight)
                self._no_refill_until[server_id] = now + delay_s
                yield slot

    def counts(self) -> dict[str, int]:
        """Return this host's batch items by server id, zero counts left out."""
        return {
            server_id: len(held)
            for server_id, held in self._batch.items()
            if held
        }

    def remove(self, slot: Slot, now: float) -> None:
        """Release the slot of an item that has ended."""
        server_id = slot.view.server_id
        self._batch[server_id].remove(slot)
        if not self._batch[server_id]:
            self._batch.pop(server_id)
        self._router.server(server_id).add_batch(-1, now)

    def waiting_share(self, view: ServerView) -> int:
        """Return the share of waiting online requests that a server may get.

        Requests of an entry are spread evenly over its servers.
        """
        shares = (
            self._online_queue.length_of(entry_name)
            / len(self.candidates.for_entry(entry_name))
            for entry_name in self._online_queue.entry_names
            if view in self.candidates.for_entry(entry_name)
        )
        return math.ceil(sum(shares))

    def sender(self, view: ServerView) -> str:
        """Return the id of the host that sends batch items to a server."""
        found = self._senders.get(view.server_id)
        if found is None:
            location = self._location
            peers = self._fleet.peers
            found = batch_sender(view, location.host_id, location.zone, peers)
            self._senders[view.server_id] = found
        return found

    def _sending_views(self, entry_name: str) -> tuple[ServerView, ...]:
        """Return the entry's servers that get batch items from this host."""
        own = self._own.get(entry_name)
        if own is None:
            own = tuple(
                view
                for view in self.candidates.for_entry(entry_name)
                if self.sender(view) == self._location.host_id
            )
            self._own[entry_name] = own
        return own

    def _free_slots(self, view: ServerView, now: float) -> int:
        """Return how many more batch items may start at a server."""
        server_id = view.server_id
        if now < self._no_refill_until.get(server_id, now):
            return 0
        if not self._router.available(view) or self._waiting_online(view):
            return 0
        held = len(self._batch.get(server_id, ()))
        elsewhere = self._router.remote_batch.total(server_id, now)
        return self._batch_limit(view, now) - held - elsewhere

    def _may_add_non_preemptible(self, view: ServerView) -> bool:
        """Return whether a server may get one more non-preemptible item."""
        held = self._batch.get(view.server_id, ())
        non_preemptible = sum(slot.non_preemptible for slot in held)
        return non_preemptible < max(
            1, int(view.slots * _NON_PREEMPTIBLE_SHARE)
        )

    def _batch_limit(self, view: ServerView, now: float) -> int:
        """Return the maximum number of batch items at a server now."""
        sender = self.sender(view)
        if sender != self._location.host_id:
            return 0
        server = self._router.server(view.server_id)
        online = self.online_elsewhere.total(view.server_id, now)
        if view.server_id not in self._batch:
            reported = self._router.other_hosts_online(view.server_id, now) or 0
            online = max(online, reported)
        return batch_slots(
            view.slots,
            server.online + online + self._waiting_online(view),
            self.tail_weight,
        )

    def _waiting_online(self, view: ServerView) -> int:
        """Return how many waiting online requests a server could run."""
        return sum(
            self._online_queue.length_of(entry_name)
            for entry_name in self._online_queue.entry_names
            if view in self.candidates.for_entry(entry_name)
        )
