"""Member list: newest record of each peer, suspicion and refutation."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterable, Mapping

from guavadyke.decisions.membership_protocol import (
    MembershipPolicy,
    PeerRecord,
    PeerState,
)
from guavadyke.decisions.suspicion_timers import SuspicionTimers


@dataclasses.dataclass
class Member:
    """A peer as this host knows it.

    ``heard_at`` is when the peer itself last sent a message,
    ``changed_at`` when its record last changed; both in seconds.
    """

    record: PeerRecord
    heard_at: float
    changed_at: float


class MemberList:
    """Newest known records of this host and its peers.

    Args:
        me: this host's own record. Its first incarnation is the time of
            its start in milliseconds, so that a restart has a higher one.
        policy: timeouts.
    """

    def __init__(self, me: PeerRecord, policy: MembershipPolicy) -> None:
        self.me = me
        self.suspicions = SuspicionTimers(policy.suspicion_s)
        # When this host last learned of a live peer, as after its own start.
        self.grown_at: float = -math.inf
        self._policy = policy
        self._members: dict[str, Member] = {}
        self._changes: list[PeerRecord] = []

    @property
    def members(self) -> Mapping[str, Member]:
        """All known peers by host id, including those dead or left."""
        return self._members

    def alive(self) -> list[PeerRecord]:
        """Return the records of peers that are alive or suspected."""
        return [
            member.record
            for member in self._members.values()
            if member.record.state.reachable
        ]

    def changes(self) -> tuple[PeerRecord, ...]:
        """Return the records that changed since the last call."""
        changes = tuple(self._changes)
        self._changes.clear()
        return changes

    def merge(self, records: Iterable[PeerRecord], now: float) -> None:
        """Merge received records; a newer one replaces an older one.

        A wrong record of this host itself is refuted.
        """
        for record in records:
            if record.host_id == self.me.host_id:
                self._refute(record)
            else:
                self._merge_one(record, now)

    def record_contact(self, host_id: str, now: float) -> None:
        """Record that a message came from the peer itself."""
        member = self._members.get(host_id)
        if member is not None:
            member.heard_at = now

    def record_to_refute(self, sender: PeerRecord) -> tuple[PeerRecord, ...]:
        """Return this host's record of a sender that has to refute it.

        Args:
            sender: the record that the sender has of itself.

        Returns:
            One record, or none where both agree that the sender is alive.
        """
        member = self._members.get(sender.host_id)
        if member is None or sender.state is PeerState.left:
            return ()
        known = member.record
        stale = known.incarnation > sender.incarnation
        if stale or known.state is not PeerState.alive:
            return (known,)
        return ()

    def suspect(self, host_id: str, now: float) -> None:
        """Mark a peer that did not answer as suspect."""
        if self._members[host_id].record.state is PeerState.alive:
            self._set_state(host_id, PeerState.suspect, now)

    def expire_suspicions(self, now: float) -> None:
        """Mark suspects as dead that have not refuted in time."""
        for host_id in self.suspicions.expired(now):
            self._set_state(host_id, PeerState.dead, now)

    def leave(self) -> None:
        """Mark this host as having left the fleet."""
        self.me = dataclasses.replace(
            self.me,
            incarnation=self.me.incarnation + 1,
            state=PeerState.left,
        )
        self._changes.append(self.me)

    def forget(self, now: float) -> tuple[str, ...]:
        """Remove peers that have long been gone; return their host ids."""
        gone = tuple(
            host_id
            for host_id, member in self._members.items()
            if not member.record.state.reachable
            and now - member.changed_at > self._policy.forget_s
        )
        for host_id in gone:
            self._members.pop(host_id)
        return gone

    def _refute(self, record: PeerRecord) -> None:
        """Raise this host's incarnation where a record of it is wrong."""
        if record.incarnation < self.me.incarnation or record == self.me:
            return
        self.me = dataclasses.replace(
            self.me,
            incarnation=record.incarnation + 1,
        )
        self._changes.append(self.me)

    def _merge_one(self, record: PeerRecord, now: float) -> None:
        member = self._members.get(record.host_id)
        if member is None:
            if record.state.reachable:
                self.grown_at = now
                self._members[record.host_id] = Member(record, now, now)
                self._record_change(record, now)
            return
        if record.rank <= member.record.rank:
            return
        if record.state.reachable and not member.record.state.reachable:
            self.grown_at = now
        member.record = record
        member.changed_at = now
        self._record_change(record, now)

    def _record_change(self, record: PeerRecord, now: float) -> None:
        self._changes.append(record)
        if record.state is PeerState.suspect:
            self.suspicions.start(record.host_id, now, len(self._members))
        else:
            self.suspicions.cancel(record.host_id)
        if record.state is PeerState.alive:
            self._mark_replaced_hosts_dead(record, now)

    def _mark_replaced_hosts_dead(self, record: PeerRecord, now: float) -> None:
        """Mark older hosts with the same address as dead.

        A host that starts at an address has replaced the one before it.
        """
        replaced = [
            host_id
            for host_id, member in self._members.items()
            if member.record.address == record.address
            and member.record.incarnation < record.incarnation
            and member.record.state.reachable
            and host_id != record.host_id
        ]
        for host_id in replaced:
            self._set_state(host_id, PeerState.dead, now)

    def _set_state(self, host_id: str, state: PeerState, now: float) -> None:
        member = self._members[host_id]
        member.record = dataclasses.replace(member.record, state=state)
        member.changed_at = now
        self._record_change(member.record, now)
