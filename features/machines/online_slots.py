"""Allocation of two engines' slots to online requests and batch items.

The oracle counts the slots in use and tracks the waiting requests.
"""

from __future__ import annotations

import itertools
import random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from features import builders_online as online
from guavadyke.adapters.ports import BackendFault, ReportedLoad
from guavadyke.catalogue import PolicyEntry
from guavadyke.decisions.request_queue import PendingRequest
from guavadyke.decisions.slot import HostLocation, Slot
from guavadyke.decisions.slot_scheduler import SlotScheduler
from guavadyke.decisions.slot_shares import reserved_slots
from guavadyke.errors import GuavadykeError, RunStatus
from guavadyke.snapshots import FleetSnapshot, PeerView

_QUEUE_LENGTH = 5
_START_S = 100
_SLOTS = 4
_ENGINES = ('engine-0', 'engine-1')

engines = st.sampled_from(_ENGINES)


class SlotMachine(RuleBasedStateMachine):
    """Online requests and batch items of one host that uses all engines."""

    def __init__(self) -> None:
        super().__init__()
        self.now: float = _START_S
        self.numbers = itertools.count()
        self.table = SlotScheduler(
            HostLocation('entry-1', 'cali-norte'),
            random.Random(7),
            _QUEUE_LENGTH,
        )
        self.weight = 0.7
        self._refresh()
        self.online: list[Slot] = []
        self.batch: list[Slot] = []
        self.waiting: list[PendingRequest] = []

    @rule(seconds=st.sampled_from((0.01, 0.3, 1.0, 6.0)))
    def time_passes(self, seconds: float) -> None:
        self.now += seconds
        self._settle()

    @rule(weight=st.sampled_from((0, 0.5, 1)))
    def the_policy_changes(self, weight: float) -> None:
        self.weight = weight
        self._refresh()
        self._settle()

    @rule(patience=st.sampled_from((0.5, 5.0, 60.0)))
    def a_request_comes(self, patience: float) -> None:
        key = str(next(self.numbers)).encode()
        pending_request = PendingRequest('desk', key, self.now + patience)
        before = len(self.waiting)
        try:
            slot = self.table.request(pending_request, self.now)
        except GuavadykeError as error:
            assert error.run is RunStatus.not_run
            assert len(self.waiting) == before
            return
        if slot is None:
            self.waiting.append(pending_request)
        else:
            assert not self.waiting, 'overtook waiting requests'
            self.online.append(slot)
        self._settle()

    @rule(drawn=st.data())
    def a_caller_leaves_the_line(self, drawn: st.DataObject) -> None:
        if self.waiting:
            pending_request = drawn.draw(st.sampled_from(self.waiting))
            self.waiting.remove(pending_request)
            self.table.line.withdraw(pending_request)

    @rule(drawn=st.data(), failed=st.booleans())
    def a_request_ends(self, drawn: st.DataObject, failed: bool) -> None:
        if self.online:
            slot = drawn.draw(st.sampled_from(self.online))
            self.online.remove(slot)
            fault = BackendFault.broken if failed else None
            self.table.release(slot, self.now, fault)
            self._settle()

    @rule(kept=st.booleans())
    def an_item_comes(self, kept: bool) -> None:
        slot = self.table.batch.acquire_slot(
            'desk', self.now, non_preemptible=kept
        )
        if slot is None:
            return
        assert not self.waiting, 'an item began while a request waits'
        server_id = slot.view.server_id
        self.batch.append(slot)
        used = self._online_at(server_id) + self._batch_at(server_id)
        assert used <= _SLOTS - reserved_slots(_SLOTS, self.weight), used

    @rule(drawn=st.data())
    def an_item_ends(self, drawn: st.DataObject) -> None:
        if self.batch:
            slot = drawn.draw(st.sampled_from(self.batch))
            self.batch.remove(slot)
            self.table.release(slot, self.now)
            self._settle()

    @rule(engine=engines, foreign=st.integers(0, 4), leaving=st.booleans())
    def an_engine_reports(
        self,
        engine: str,
        foreign: int,
        leaving: bool,
    ) -> None:
        running = self._online_at(engine) + self._batch_at(engine) + foreign
        load = ReportedLoad(running, 0, _SLOTS, leaving, 0)
        self.table.report(engine, load, self.now)
        self._settle()
        served = {
            view.server_id for view in self.table.candidates.for_entry('desk')
        }
        assert (engine in served) is not leaving

    @invariant()
    def online_stays_within_slots(self) -> None:
        for engine in _ENGINES:
            assert self._online_at(engine) <= _SLOTS

    @invariant()
    def the_line_is_bounded_and_counted(self) -> None:
        assert self.table.line.length == len(self.waiting)
        assert len(self.waiting) <= _QUEUE_LENGTH

    @invariant()
    def items_that_can_yield_have_yielded(self) -> None:
        for engine in _ENGINES:
            preemptible = sum(
                not slot.non_preemptible and not slot.preempted
                for slot in self.batch
                if slot.view.server_id == engine
            )
            free_slots = _SLOTS - self._online_at(engine)
            assert preemptible <= max(0, free_slots), (
                engine,
                preemptible,
                free_slots,
            )

    def _settle(self) -> None:
        for grant in self.table.assign_free_slots(self.now):
            earliest = min(
                pending_request.deadline for pending_request in self.waiting
            )
            assert grant.pending_request.deadline == earliest, (
                'not the earliest deadline'
            )
            self.waiting.remove(grant.pending_request)
            self.online.append(grant.slot)
        for slot in self.table.batch.preempt_items(self.now):
            assert not slot.non_preemptible

    def _refresh(self) -> None:
        policy = PolicyEntry(tail_weight=self.weight)
        peer = PeerView('entry-2', 'cali-norte', 'r', '', 'alive', 1, 0)
        fleet = FleetSnapshot(peers=(peer,))
        self.table.refresh(online.catalogue(policy=policy), fleet)

    def _online_at(self, engine: str) -> int:
        return sum(slot.view.server_id == engine for slot in self.online)

    def _batch_at(self, engine: str) -> int:
        return sum(slot.view.server_id == engine for slot in self.batch)
