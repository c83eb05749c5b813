"""The roster: newest record of each peer, suspicion and refutation."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Mapping

from guavadyke.decisions.membership_protocol import (
    MembershipPolicy,
    PeerRecord,
    PeerState,
)
from guavadyke.decisions.suspicion_timers import Suspicions


@dataclasses.dataclass
class Member:
    """A peer and what this host knows of it, times in seconds."""

    record: PeerRecord
    heard_at: float
    changed_at: float


class MemberList:
    """Records of this host and its peers.

    Args:
        me: this host's own record; its incarnation is the time of its
            start in milliseconds, so that a later start is the newer.
        policy: timeouts.
    """

    def __init__(self, me: PeerRecord, policy: MembershipPolicy) -> None:
        self.me = me
        self.suspicions = Suspicions(policy.suspicion_s)
        self._policy = policy
        self._members: dict[str, Member] = {}
        self._changes: list[PeerRecord] = []

    @property
    def members(self) -> Mapping[str, Member]:
        """Every peer that is remembered, by host id."""
        return self._members

    def alive(self) -> list[PeerRecord]:
        """Return peers that are alive or only suspected."""
        return [
            member.record
            for member in self._members.values()
            if member.record.state.reachable
        ]

    def changes(self) -> tuple[PeerRecord, ...]:
        """Return records that changed since the last call."""
        changes = tuple(self._changes)
        self._changes.clear()
        return changes

    def merge(self, records: Iterable[PeerRecord], now: float) -> None:
        """Take records; a newer one replaces an older one."""
        for record in records:
            if record.host_id == self.me.host_id:
                self._refute(record)
            else:
                self._merge_one(record, now)

    def heard(self, host_id: str, now: float) -> None:
        """Note that a peer was heard itself."""
        member = self._members.get(host_id)
        if member is not None:
            member.heard_at = now

    def correction(self, sender: PeerRecord) -> tuple[PeerRecord, ...]:
        """Return what the sender has to refute, if anything."""
        member = self._members.get(sender.host_id)
        if member is None or sender.state is PeerState.left:
            return ()
        known = member.record
        stale = known.incarnation > sender.incarnation
        if stale or known.state is not PeerState.alive:
            return (known,)
        return ()

    def suspect(self, host_id: str, now: float) -> None:
        """Suspect a peer that did not answer."""
        if self._members[host_id].record.state is PeerState.alive:
            self._set_state(host_id, PeerState.suspect, now)

    def expire(self, now: float) -> None:
        """Take suspects for dead that have not refuted in time."""
        for host_id in self.suspicions.expired(now):
            self._set_state(host_id, PeerState.dead, now)

    def leave(self) -> None:
        """Record that this host leaves."""
        self.me = dataclasses.replace(
            self.me,
            incarnation=self.me.incarnation + 1,
            state=PeerState.left,
        )
        self._changes.append(self.me)

    def forget(self, now: float) -> tuple[str, ...]:
        """Drop peers that have been gone for long; return their ids."""
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
        """Answer a rumour about this host that is wrong."""
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
                self._members[record.host_id] = Member(record, now, now)
                self._note(record, now)
            return
        if record.rank <= member.record.rank:
            return
        member.record = record
        member.changed_at = now
        self._note(record, now)

    def _note(self, record: PeerRecord, now: float) -> None:
        self._changes.append(record)
        if record.state is PeerState.suspect:
            self.suspicions.begin(record.host_id, now, len(self._members))
        else:
            self.suspicions.end(record.host_id)
        if record.state is PeerState.alive:
            self._replace_at_address(record, now)

    def _replace_at_address(self, record: PeerRecord, now: float) -> None:
        """A newer host under an address means that the older has gone."""
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
        self._note(member.record, now)
