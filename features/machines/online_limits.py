"""Hosts that share one limit; the oracle adds up their use.

Hosts request grants, and grants are lost or late. Coordinators pause, die
and are replaced when their lease has expired.
"""

from __future__ import annotations

import dataclasses

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from guavadyke.decisions.limit_grants import GRANT_S, GrantTracker, HostDemand
from guavadyke.decisions.limits import LimitSpec, LocalLimit, Measure
from guavadyke.decisions.shard_lease import LeaseStep, ShardLease

HOSTS = ('a', 'b', 'c')
_TOTAL = 5
_START_S = 100
_LONG_S = 6.5
_SHORT_S = 1.7

hosts = st.sampled_from(HOSTS)
coordinators = st.sampled_from(('a', 'a', 'a', 'b'))
demand_values = st.sampled_from((0, _TOTAL))


@dataclasses.dataclass
class _LeaseObject:
    """The lease object on the platform, written conditionally."""

    version: int = 0
    holder: str = ''


@dataclasses.dataclass(frozen=True)
class _GrantMessage:
    """A grant that has not been delivered yet."""

    host: str
    share: float
    asked_at: float


class LimitMachine(RuleBasedStateMachine):
    """Checks that the hosts never use more than the shared part."""

    def __init__(self) -> None:
        super().__init__()
        self.now: float = _START_S
        self.spec = LimitSpec('owner/x', Measure.concurrency, _TOTAL)
        self.limits = {host: LocalLimit(self.spec) for host in HOSTS}
        self.leases = {host: ShardLease(host) for host in HOSTS}
        self.grant_trackers = {host: GrantTracker() for host in HOSTS}
        self.object = _LeaseObject()
        self.pending_grants: list[_GrantMessage] = []

    @initialize()
    def a_coordinator_begins(self) -> None:
        for host in HOSTS:
            self.works_on_its_lease(host)
        for host in HOSTS * 2:
            self.works_on_its_lease(host)

    @rule(seconds=st.sampled_from((0.3, _SHORT_S, _LONG_S)))
    def time_passes(self, seconds: float) -> None:
        self.now += seconds

    @rule(host=hosts)
    def works_on_its_lease(self, host: str) -> None:
        lease = self.leases[host]
        step = lease.next_step(self.now)
        if step is LeaseStep.read:
            lease.record_read(self.object.version, self.object.holder, self.now)
        elif step is LeaseStep.write:
            self._write(host, lease, self.now)

    @rule(host=hosts, paused=st.sampled_from((0.5, 4.0, 9.0, 12.0)))
    def pauses_within_a_write(self, host: str, paused: float) -> None:
        lease = self.leases[host]
        if lease.next_step(self.now) is not LeaseStep.write:
            return
        began_at = self.now
        version = lease._version
        self.now += paused
        self._write(host, lease, began_at, version)

    @rule(host=hosts, coordinator=coordinators, wanted=demand_values)
    def asks(self, host: str, coordinator: str, wanted: int) -> None:
        limit = self.limits[host]
        share = self.grant_trackers[coordinator].grant_share(
            self.spec,
            HostDemand(host, wanted, limit.in_use),
            self.now,
            granting=self.leases[coordinator].held(self.now),
        )
        if self.leases[coordinator].held(self.now):
            self.pending_grants.append(_GrantMessage(host, share, self.now))

    @rule(host=hosts, coordinator=coordinators, wanted=demand_values)
    def asks_and_is_answered(
        self,
        host: str,
        coordinator: str,
        wanted: int,
    ) -> None:
        before = len(self.pending_grants)
        self.asks(host, coordinator, wanted)
        for message in self.pending_grants[before:]:
            self._deliver(message)
        self.pending_grants = self.pending_grants[:before]

    @rule(drawn=st.data(), kept=st.booleans())
    def a_grant_arrives(self, drawn: st.DataObject, kept: bool) -> None:
        """Deliver a grant: in any order, late, and sometimes twice."""
        if not self.pending_grants:
            return
        message = drawn.draw(st.sampled_from(self.pending_grants))
        if not kept:
            self.pending_grants.remove(message)
        self._deliver(message)

    @rule(host=hosts, count=st.sampled_from((1, 2, _TOTAL)))
    def requests_begin(self, host: str, count: int) -> None:
        while count and self.limits[host].try_charge(1, self.now):
            count -= 1

    @rule(host=hosts)
    def requests_end(self, host: str) -> None:
        while self.limits[host].in_use:
            self.limits[host].release(1)

    @invariant()
    def never_above_the_limit(self) -> None:
        used = sum(limit.in_use for limit in self.limits.values())
        assert used <= self.spec.shared, used

    @invariant()
    def one_coordinator(self) -> None:
        held = [host for host in HOSTS if self.leases[host].held(self.now)]
        assert len(held) <= 1, held

    def _record_usage(self, coordinator: str) -> None:
        """Report the use of all hosts to a coordinator before it grants.

        Hosts send demands several times a second, so a new coordinator
        receives them while it waits for the old lease to expire.
        """
        for host in HOSTS:
            limit = self.limits[host]
            demand = HostDemand(host, 0, limit.in_use)
            grant_tracker = self.grant_trackers[coordinator]
            grant_tracker.grant_share(
                self.spec, demand, self.now, granting=False
            )

    def _deliver(self, message: _GrantMessage) -> None:
        until = message.asked_at + GRANT_S
        self.limits[message.host].share.grant(message.share, until)

    def _write(
        self,
        host: str,
        lease: ShardLease,
        began_at: float,
        version: int | None = None,
    ) -> None:
        expected = lease._version if version is None else version
        if self.object.version != expected:
            lease.record_conflict()
            return
        if self.object.holder != host:
            self._record_usage(host)
        self.object = _LeaseObject(self.object.version + 1, host)
        lease.record_write(self.object.version, began_at)


def a_smaller_grant_does_not_arrive(machine: LimitMachine) -> None:
    """The host may continue to use the larger grant."""
    machine.asks_and_is_answered('b', 'a', _TOTAL)
    machine.asks('b', 'a', 0)
    machine.asks_and_is_answered('c', 'a', _TOTAL)
    machine.requests_begin('b', _TOTAL)
    machine.requests_begin('c', _TOTAL)


def requests_outlive_their_grant(machine: LimitMachine) -> None:
    """Concurrency is free again only when the requests have ended."""
    machine.asks_and_is_answered('b', 'a', _TOTAL)
    machine.requests_begin('b', _TOTAL)
    machine.asks('b', 'a', _TOTAL)
    machine.time_passes(_LONG_S)
    machine.asks_and_is_answered('c', 'a', _TOTAL)
    machine.requests_begin('c', _TOTAL)


def a_coordinator_dies(machine: LimitMachine) -> None:
    """Its successor waits until the last grants have expired too."""
    machine.time_passes(_LONG_S)
    machine.asks_and_is_answered('b', 'a', _TOTAL)
    machine.time_passes(_SHORT_S)
    machine.works_on_its_lease('c')
    machine.asks_and_is_answered('c', 'c', _TOTAL)
    machine.requests_begin('c', _TOTAL)
    machine.requests_begin('b', _TOTAL)
