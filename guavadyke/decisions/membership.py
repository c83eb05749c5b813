"""Membership of entry hosts by probes, suspicion and rumours (SWIM)."""

from __future__ import annotations

import random
from collections.abc import Iterable

from guavadyke.decisions.failure_detector import FailureDetector
from guavadyke.decisions.member_list import MemberList
from guavadyke.decisions.membership_protocol import (
    Ack,
    MembershipPolicy,
    OutgoingMessage,
    PeerRecord,
    PeerState,
    Ping,
    PingRequest,
    Signal,
)

_LEAVE_NOTICES = 8
_JOIN_CONTACTS = 3


class Membership:
    """One host's view of its peers, as messages in and out.

    Args:
        me: this host's own record.
        policy: intervals and timeouts.
        rng: chooses probes and contacts.
    """

    def __init__(
        self,
        me: PeerRecord,
        policy: MembershipPolicy,
        rng: random.Random,
    ) -> None:
        self.member_list = MemberList(me, policy)
        self._policy = policy
        self._rng = rng
        self._prober = FailureDetector(self.member_list, policy, rng)
        self._contacts: frozenset[str] = frozenset()
        self._ticked_at: float | None = None
        self._probe_due: float = 0
        self._contact_due: float = 0

    def learn(self, addresses: Iterable[str]) -> None:
        """Take the addresses that may hold peers: the host list, seeds."""
        self._contacts = frozenset(addresses) - {self.member_list.me.address}

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Do what is due; called several times in a probe interval."""
        self._notice_pause(now)
        self.member_list.expire(now)
        outgoing = list(self._prober.results(now))
        if now >= self._probe_due:
            self._probe_due = now + self._policy.probe_interval_s
            outgoing.extend(self._prober.start(now))
        if now >= self._contact_due:
            jitter = self._rng.uniform(0.5, 1)
            self._contact_due = now + jitter * self._policy.contact_interval_s
            outgoing.extend(self._contact())
        return outgoing

    def received(
        self,
        sender: PeerRecord,
        signal: Signal | None,
        records: Iterable[PeerRecord],
        now: float,
    ) -> list[OutgoingMessage]:
        """Take a message from a peer.

        Args:
            sender: the peer's record of itself.
            signal: what it asks or answers.
            records: its rumours.
            now: time in seconds.
        """
        self.member_list.merge((sender, *records), now)
        self.member_list.heard(sender.host_id, now)
        told = self.member_list.correction(sender)
        if isinstance(signal, Ping):
            answer = Ack(signal.sequence, self.member_list.me.host_id)
            return [OutgoingMessage(sender.address, answer, told)]
        outgoing = [OutgoingMessage(sender.address, None, told)] if told else []
        if isinstance(signal, PingRequest):
            outgoing.append(self._prober.relay(sender, signal, now))
        elif isinstance(signal, Ack):
            outgoing.extend(self._prober.acknowledged(signal))
        return outgoing

    def leave(self) -> list[OutgoingMessage]:
        """Say that this host leaves."""
        self.member_list.leave()
        alive = self.member_list.alive()
        chosen = self._rng.sample(alive, min(_LEAVE_NOTICES, len(alive)))
        return [OutgoingMessage(peer.address, None) for peer in chosen]

    def _notice_pause(self, now: float) -> None:
        """After a pause of this host, give the peers their time anew."""
        before = self._ticked_at
        self._ticked_at = now
        if before is None or now - before < self._policy.pause_s:
            return
        self._prober.reset()
        self.member_list.suspicions.postpone(now - before)

    def _contact(self) -> list[OutgoingMessage]:
        """Ping addresses that hold no live peer, so that cuts heal."""
        alive = {peer.address for peer in self.member_list.alive()}
        lost = {
            member.record.address: member.record
            for member in self.member_list.members.values()
            if member.record.state is PeerState.dead
        }
        addresses = sorted((self._contacts | lost.keys()) - alive)
        count = 1 if alive else _JOIN_CONTACTS
        chosen = self._rng.sample(addresses, min(count, len(addresses)))
        return [
            self._prober.ping(
                address,
                (lost[address],) if address in lost else (),
            )
            for address in chosen
        ]
