"""Hosts that share one limit; the oracle adds up what they may use.

Hosts ask, answers are lost or late, coordinators pause, die and are
replaced under the rules of the lease.
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
wishes = st.sampled_from((0, _TOTAL))


@dataclasses.dataclass
class _LeaseObject:
    """The platform's object; only conditional writes change it."""

    version: int = 0
    holder: str = ''


@dataclasses.dataclass(frozen=True)
class _Letter:
    """A grant on its way."""

    host: str
    share: float
    asked_at: float


class LimitMachine(RuleBasedStateMachine):
    """Never do the hosts use more than the shared part."""

    def __init__(self) -> None:
        super().__init__()
        self.now: float = _START_S
        self.spec = LimitSpec('owner/x', Measure.concurrency, _TOTAL)
        self.limits = {host: LocalLimit(self.spec) for host in HOSTS}
        self.leases = {host: ShardLease(host) for host in HOSTS}
        self.ledgers = {host: GrantTracker() for host in HOSTS}
        self.object = _LeaseObject()
        self.letters: list[_Letter] = []

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
            lease.seen(self.object.version, self.object.holder, self.now)
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

    @rule(host=hosts, coordinator=coordinators, wanted=wishes)
    def asks(self, host: str, coordinator: str, wanted: int) -> None:
        limit = self.limits[host]
        share = self.ledgers[coordinator].ask(
            self.spec,
            HostDemand(host, wanted, limit.in_use),
            self.now,
            granting=self.leases[coordinator].held(self.now),
        )
        if self.leases[coordinator].held(self.now):
            self.letters.append(_Letter(host, share, self.now))

    @rule(host=hosts, coordinator=coordinators, wanted=wishes)
    def asks_and_is_answered(
        self,
        host: str,
        coordinator: str,
        wanted: int,
    ) -> None:
        before = len(self.letters)
        self.asks(host, coordinator, wanted)
        for letter in self.letters[before:]:
            self._deliver(letter)
        self.letters = self.letters[:before]

    @rule(drawn=st.data(), kept=st.booleans())
    def a_grant_arrives(self, drawn: st.DataObject, kept: bool) -> None:
        """In any order, late, and sometimes twice."""
        if not self.letters:
            return
        letter = drawn.draw(st.sampled_from(self.letters))
        if not kept:
            self.letters.remove(letter)
        self._deliver(letter)

    @rule(host=hosts, count=st.sampled_from((1, 2, _TOTAL)))
    def requests_begin(self, host: str, count: int) -> None:
        while count and self.limits[host].take(1, self.now):
            count -= 1

    @rule(host=hosts)
    def requests_end(self, host: str) -> None:
        while self.limits[host].in_use:
            self.limits[host].give_back(1)

    @invariant()
    def never_above_the_limit(self) -> None:
        used = sum(limit.in_use for limit in self.limits.values())
        assert used <= self.spec.shared, used

    @invariant()
    def one_coordinator(self) -> None:
        held = [host for host in HOSTS if self.leases[host].held(self.now)]
        assert len(held) <= 1, held

    def _hear_all(self, coordinator: str) -> None:
        """Hosts ask several times a second while a taker waits."""
        for host in HOSTS:
            limit = self.limits[host]
            demand = HostDemand(host, 0, limit.in_use)
            ledger = self.ledgers[coordinator]
            ledger.ask(self.spec, demand, self.now, granting=False)

    def _deliver(self, letter: _Letter) -> None:
        until = letter.asked_at + GRANT_S
        self.limits[letter.host].share.grant(letter.share, until)

    def _write(
        self,
        host: str,
        lease: ShardLease,
        began_at: float,
        version: int | None = None,
    ) -> None:
        expected = lease._version if version is None else version
        if self.object.version != expected:
            lease.lost()
            return
        if self.object.holder != host:
            self._hear_all(host)
        self.object = _LeaseObject(self.object.version + 1, host)
        lease.written(self.object.version, began_at)


def a_smaller_grant_does_not_arrive(machine: LimitMachine) -> None:
    """The host may go on using the larger grant."""
    machine.asks_and_is_answered('b', 'a', _TOTAL)
    machine.asks('b', 'a', 0)
    machine.asks_and_is_answered('c', 'a', _TOTAL)
    machine.requests_begin('b', _TOTAL)
    machine.requests_begin('c', _TOTAL)


def requests_outlive_their_grant(machine: LimitMachine) -> None:
    """The places are free again only when the requests have ended."""
    machine.asks_and_is_answered('b', 'a', _TOTAL)
    machine.requests_begin('b', _TOTAL)
    machine.asks('b', 'a', _TOTAL)
    machine.time_passes(_LONG_S)
    machine.asks_and_is_answered('c', 'a', _TOTAL)
    machine.requests_begin('c', _TOTAL)


def a_coordinator_dies(machine: LimitMachine) -> None:
    """Its successor waits for the end of its last grants too."""
    machine.time_passes(_LONG_S)
    machine.asks_and_is_answered('b', 'a', _TOTAL)
    machine.time_passes(_SHORT_S)
    machine.works_on_its_lease('c')
    machine.asks_and_is_answered('c', 'c', _TOTAL)
    machine.requests_begin('c', _TOTAL)
    machine.requests_begin('b', _TOTAL)
