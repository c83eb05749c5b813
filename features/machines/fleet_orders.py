"""State machines: fencing tokens, order leases and leaving marks."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from guavadyke.decisions.leaving_servers import (
    LeavingMark,
    LeavingObservation,
    LeavingRegistry,
    LeavingSource,
)
from guavadyke.decisions.order_lease import (
    OrderLease,
    OrderLeasePolicy,
    OrderObject,
)

_HOSTS = 2
_LEASE_S = 15
_MARGIN_S = 5
_DELIVERY_S = 4
_LAG_S = 2
_FLAPPING_S = 5
_POLL_S = 0.7

hosts = st.integers(0, _HOSTS - 1)


class OrderMachine(RuleBasedStateMachine):
    """Hosts order one engine; checks the orders that the engine accepts."""

    fenced = True

    @initialize()
    def begin(self) -> None:
        self.now: float = 0
        self.stored = OrderObject(0, '')
        self.leases = [self._lease(number) for number in range(_HOSTS)]
        self.paused: list[tuple[int, int, float]] = []
        self.pending: list[tuple[int, int, float]] = []
        self.engine_fencing = 0
        self.effective: list[tuple[int, int, float]] = []

    @rule(
        seconds=st.sampled_from((0, 1, 3, 8, 16)),
        arriving=st.sampled_from(('newest', 'oldest', '')),
    )
    def wait(self, seconds: float, arriving: str) -> None:
        """Advance the clock and possibly deliver an order.

        Without fencing, orders arrive within their timeout or never.
        """
        self.now += seconds
        self._resume_paused()
        self.pending = [
            order
            for order in self.pending
            if self.now - order[2] <= _DELIVERY_S or self.fenced
        ]
        if arriving and self.pending:
            self._deliver(self.pending.pop(-1 if arriving == 'newest' else 0))

    @rule(
        number=hosts,
        blind=st.booleans(),
        paused_s=st.sampled_from((0, 0, 3, 12, 20)),
    )
    def order(self, number: int, blind: bool, paused_s: float) -> None:
        """Acquire the lease, pause, and send if the lease still allows it."""
        lease = self.leases[number]
        if not blind:
            lease.observe(self.stored, self.now)
        if not lease.may_acquire(self.now):
            return
        asked_at = self.now
        version = self._update_order_object(number)
        if version is None:
            return
        lease.acquired(version, asked_at)
        self.paused.append((number, version, self.now + paused_s))
        self._resume_paused()

    @rule(number=hosts)
    def restart(self, number: int) -> None:
        self.leases[number] = self._lease(number)

    @invariant()
    def each_number_has_one_effective_order(self) -> None:
        sent = {(order[0], order[1]) for order in self.effective}
        assert len({pair[1] for pair in sent}) == len(sent)

    @invariant()
    def numbers_rise_where_engines_check_them(self) -> None:
        if self.fenced:
            versions = [order[1] for order in self.effective]
            assert versions == sorted(versions), versions

    @invariant()
    def hosts_do_not_interleave_without_fencing(self) -> None:
        """Once another host has ordered, the previous one sends no more."""
        if self.fenced:
            return
        senders = [order[0] for order in self.effective]
        versions = [order[1] for order in self.effective]
        changes = [
            index
            for index in range(1, len(senders))
            if senders[index] != senders[index - 1]
        ]
        for index in changes:
            assert versions[index] > versions[index - 1], self.effective

    def _lease(self, number: int) -> OrderLease:
        policy = OrderLeasePolicy(_LEASE_S, _MARGIN_S)
        return OrderLease(f'host-{number}', policy, fenced=self.fenced)

    def _resume_paused(self) -> None:
        """Let hosts whose pause has ended send their orders."""
        resumed = [order for order in self.paused if order[2] <= self.now]
        self.paused = [order for order in self.paused if order[2] > self.now]
        self.pending.extend(
            (number, version, self.now)
            for number, version, _until in resumed
            if self.leases[number].may_send(version, self.now)
        )

    def _update_order_object(self, number: int) -> int | None:
        """Update the order object unless it changed since it was read."""
        seen = self.leases[number].seen
        if seen != self.stored:
            return None
        version = self.stored.version + 1
        self.stored = OrderObject(version, f'host-{number}')
        return version

    def _deliver(self, order: tuple[int, int, float]) -> None:
        _host, version, _sent_at = order
        if self.fenced and version < self.engine_fencing:
            return
        self.engine_fencing = max(self.engine_fencing, version)
        self.effective.append(order)


class LeaseMachine(OrderMachine):
    """The same rules with an engine that ignores fencing tokens."""

    fenced = False


class LeavingMachine(RuleBasedStateMachine):
    """One engine reports late; checks marks against its true states."""

    @initialize()
    def begin(self) -> None:
        self.now: float = 0
        self.true_states: list[tuple[float, bool]] = [(-9, False)]
        self.observed = False
        self.registries = [LeavingRegistry(_LAG_S) for _number in range(_HOSTS)]
        self.marks_in_flight: list[LeavingMark] = []
        self.all_hosts_have_mark = False

    @rule(seconds=st.sampled_from((0.3, 1, 3, 6)))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @rule(leaving=st.booleans())
    def engine_turns(self, leaving: bool) -> None:
        """Set whether the engine is leaving, at most once in 5 seconds."""
        since, before = self.true_states[-1]
        if leaving != before and self.now - since > _FLAPPING_S:
            self.true_states.append((self.now, leaving))
            self.observed = False
            self.all_hosts_have_mark = False

    @rule(
        number=hosts,
        age_s=st.sampled_from((0, 0.5, 2)),
        skew_s=st.sampled_from((-5, 0, 5)),
    )
    def poll(self, number: int, age_s: float, skew_s: float) -> None:
        """Poll the engine; its report may be old, and clocks may differ."""
        self.now += _POLL_S
        observed_at = self.now - age_s
        leaving = self._leaving_at(observed_at)
        mark = self.registries[number].process_observation(
            LeavingObservation(
                'engine-1',
                LeavingSource.report,
                leaving,
                observed_at,
                int((self.now + 100 + skew_s) * 1000),
            ),
            self.now,
        )
        if mark is not None:
            self.marks_in_flight.append(mark)
            if mark.leaving and observed_at >= self.true_states[-1][0]:
                self.observed = True

    @rule(
        number=hosts,
        choice=st.integers(0, 3),
        everyone=st.booleans(),
    )
    def hear(self, number: int, choice: int, everyone: bool) -> None:
        """Deliver a mark, in any order, late, twice or never.

        A mark reaches all hosts in less than two seconds.
        """
        if everyone:
            self._merge_all()
        elif self.marks_in_flight:
            mark = self.marks_in_flight[choice % len(self.marks_in_flight)]
            self.registries[number].merge([mark], self.now)

    @invariant()
    def mark_holds_once_all_hosts_have_it(self) -> None:
        """No older mark undoes the mark while the engine is leaving."""
        if self.all_hosts_have_mark:
            assert all(
                'engine-1' in registry.leaving for registry in self.registries
            )

    def _merge_all(self) -> None:
        marks = [
            mark for registry in self.registries for mark in registry.marks
        ]
        for registry in self.registries:
            registry.merge(marks, self.now)
        if self.true_states[-1][1] and self.observed:
            self.all_hosts_have_mark = True

    def _leaving_at(self, moment: float) -> bool:
        return [
            leaving for since, leaving in self.true_states if since <= moment
        ][-1:] == [True]
