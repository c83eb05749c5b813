"""Batch items beside online requests: which may start, which yield."""

from __future__ import annotations

import collections
import math
from collections.abc import Iterator

from guavadyke.decisions.candidates import Candidates
from guavadyke.decisions.remote_counts import RemoteCounts
from guavadyke.decisions.request_queue import WaitingLine
from guavadyke.decisions.routing import Router, ServerView
from guavadyke.decisions.slot import HostLocation, Slot
from guavadyke.decisions.slot_shares import (
    batch_sender,
    batch_slots,
    refill_delay_s,
)
from guavadyke.snapshots import FleetSnapshot

_KEPT_SHARE = 0.25


class BatchShare:
    """Decides over the slots that batch items of one host may use.

    Args:
        place: this host.
        router: knows what is in flight at each server.
        line: online requests that wait.
    """

    def __init__(
        self,
        place: HostLocation,
        router: Router,
        line: WaitingLine,
    ) -> None:
        self.online_elsewhere = RemoteCounts()
        self.candidates = Candidates({}, {})
        self.tail_weight: float = 1
        self._place = place
        self._router = router
        self._line = line
        self._batch: dict[str, list[Slot]] = collections.defaultdict(list)
        self._no_refill_until: dict[str, float] = {}
        self._fleet = FleetSnapshot()
        self._senders: dict[str, str] = {}
        self._own: dict[str, tuple[ServerView, ...]] = {}

    def take_fleet(self, fleet: FleetSnapshot) -> None:
        """Take the newest view of the fleet."""
        self._fleet = fleet
        self._senders = {}
        self._own = {}

    def take_candidates(self, candidates: Candidates) -> None:
        """Take the servers that may take new work."""
        self.candidates = candidates
        self._own = {}

    def take(
        self,
        entry_name: str,
        now: float,
        *,
        kept: bool = False,
    ) -> Slot | None:
        """Return a slot for a batch item, None where none is idle."""
        room = {
            view.server_id: self._room(view, now)
            for view in self._own_views(entry_name)
            if not kept or self._keeps(view)
        }
        roomiest = max(room, key=lambda one: room[one], default='')
        if not roomiest or room[roomiest] < 1:
            return None
        view = self.candidates.views[roomiest]
        slot = Slot(view, entry_name, now, batch=True, kept=kept)
        self._batch[roomiest].append(slot)
        self._router.server(roomiest).add_batch(1, now)
        return slot

    def room(self, entry_name: str, now: float) -> int:
        """Return how many more batch items of an entry may start."""
        views = self._own_views(entry_name)
        return sum(max(0, self._room(view, now)) for view in views)

    def sends(self, entry_name: str) -> bool:
        """Return whether this host sends batch items of an entry."""
        return bool(self._own_views(entry_name))

    def yielding(self, now: float) -> Iterator[Slot]:
        """Yield the batch slots that online requests need now."""
        for server_id, slots in tuple(self._batch.items()):
            held = [slot for slot in slots if not slot.preempted]
            if not held:
                continue
            excess = len(held) - self._allowed(held[0].view, now)
            movable = [slot for slot in reversed(held) if not slot.kept]
            for slot in movable[: max(0, excess)]:
                slot.preempted = True
                delay_s = refill_delay_s(self.tail_weight)
                self._no_refill_until[server_id] = now + delay_s
                yield slot

    def counts(self) -> dict[str, int]:
        """Return how many batch items this host has at each server."""
        return {
            server_id: len(held)
            for server_id, held in self._batch.items()
            if held
        }

    def remove(self, slot: Slot, now: float) -> None:
        """Take the slot of an item back that has ended."""
        server_id = slot.view.server_id
        self._batch[server_id].remove(slot)
        if not self._batch[server_id]:
            self._batch.pop(server_id)
        self._router.server(server_id).add_batch(-1, now)

    def waiting_share(self, view: ServerView) -> int:
        """Return a server's part of the online requests that wait here."""
        shares = (
            self._line.length_of(entry_name)
            / len(self.candidates.of(entry_name))
            for entry_name in self._line.entry_names
            if view in self.candidates.of(entry_name)
        )
        return math.ceil(sum(shares))

    def sender(self, view: ServerView) -> str:
        """Return the host that sends batch items to a server."""
        found = self._senders.get(view.server_id)
        if found is None:
            place = self._place
            peers = self._fleet.peers
            found = batch_sender(view, place.host_id, place.zone, peers)
            self._senders[view.server_id] = found
        return found

    def _own_views(self, entry_name: str) -> tuple[ServerView, ...]:
        """Return the servers of an entry that this host sends batch to."""
        own = self._own.get(entry_name)
        if own is None:
            own = tuple(
                view
                for view in self.candidates.of(entry_name)
                if self.sender(view) == self._place.host_id
            )
            self._own[entry_name] = own
        return own

    def _room(self, view: ServerView, now: float) -> int:
        """Return the batch items that may start at a server."""
        server_id = view.server_id
        if now < self._no_refill_until.get(server_id, now):
            return 0
        if not self._router.available(view) or self._waiting_for(view):
            return 0
        held = len(self._batch.get(server_id, ()))
        elsewhere = self._router.remote_batch.total(server_id, now)
        return self._allowed(view, now) - held - elsewhere

    def _keeps(self, view: ServerView) -> bool:
        """Return whether one more item that cannot yield may start."""
        held = self._batch.get(view.server_id, ())
        kept = sum(slot.kept for slot in held)
        return kept < max(1, int(view.slots * _KEPT_SHARE))

    def _allowed(self, view: ServerView, now: float) -> int:
        """Return the batch items that a server may hold."""
        sender = self.sender(view)
        if sender != self._place.host_id:
            return 0
        server = self._router.server(view.server_id)
        online = self.online_elsewhere.total(view.server_id, now)
        if view.server_id not in self._batch:
            reported = self._router.others(view.server_id, now) or 0
            online = max(online, reported)
        return batch_slots(
            view.slots,
            server.online + online + self._waiting_for(view),
            self.tail_weight,
        )

    def _waiting_for(self, view: ServerView) -> int:
        """Return the online requests that wait and that a server serves."""
        return sum(
            self._line.length_of(entry_name)
            for entry_name in self._line.entry_names
            if view in self.candidates.of(entry_name)
        )
