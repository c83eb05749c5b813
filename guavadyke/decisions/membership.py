"""Fleet membership by the SWIM protocol: probes, suspicion and gossip."""

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

_LEAVE_FANOUT = 8
_JOIN_CONTACTS = 3


class Membership:
    """The membership protocol of one host, without clock and sockets.

    Its methods take the current time in seconds and return the messages
    to send.

    Args:
        me: this host's own record.
        policy: intervals and timeouts.
        rng: chooses the peers to probe and the addresses to contact.
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
        self._failure_detector = FailureDetector(self.member_list, policy, rng)
        self._contacts: frozenset[str] = frozenset()
        self._ticked_at: float | None = None
        self._probe_due: float = 0
        self._contact_due: float = 0

    def set_contact_addresses(self, addresses: Iterable[str]) -> None:
        """Replace the contact addresses: those of the host list and the seeds.

        Addresses without a live peer are pinged now and then.
        """
        self._contacts = frozenset(addresses) - {self.member_list.me.address}

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Run the timers; call it several times in each probe interval.

        Returns:
            Probes, follow-up probes and pings of contact addresses.
        """
        self._handle_pause(now)
        self.member_list.expire_suspicions(now)
        outgoing = list(self._failure_detector.results(now))
        if now >= self._probe_due:
            self._probe_due = now + self._policy.probe_interval_s
            outgoing.extend(self._failure_detector.probe_next(now))
        if now >= self._contact_due:
            jitter = self._rng.uniform(0.5, 1)
            self._contact_due = now + jitter * self._policy.contact_interval_s
            outgoing.extend(self._ping_contacts())
        return outgoing

    def received(
        self,
        sender: PeerRecord,
        signal: Signal | None,
        records: Iterable[PeerRecord],
        now: float,
    ) -> list[OutgoingMessage]:
        """Process a message from a peer and return the replies.

        Args:
            sender: the peer's record of itself.
            signal: the probe or the answer, None for gossip only.
            records: records of other peers that came with the message.
            now: time in seconds.
        """
        self.member_list.merge((sender, *records), now)
        self.member_list.record_contact(sender.host_id, now)
        corrections = self.member_list.record_to_refute(sender)
        if isinstance(signal, Ping):
            answer = Ack(signal.sequence, self.member_list.me.host_id)
            return [OutgoingMessage(sender.address, answer, corrections)]
        outgoing = (
            [OutgoingMessage(sender.address, None, corrections)]
            if corrections
            else []
        )
        if isinstance(signal, PingRequest):
            outgoing.append(self._failure_detector.relay(sender, signal, now))
        elif isinstance(signal, Ack):
            outgoing.extend(self._failure_detector.handle_ack(signal))
        return outgoing

    def leave(self) -> list[OutgoingMessage]:
        """Mark this host as having left; return messages to some peers."""
        self.member_list.leave()
        alive = self.member_list.alive()
        chosen = self._rng.sample(alive, min(_LEAVE_FANOUT, len(alive)))
        return [OutgoingMessage(peer.address, None) for peer in chosen]

    def _handle_pause(self, now: float) -> None:
        """Restart the timeouts of peers after a pause of this host.

        Peers could not be heard during the pause, so it must not count
        as their silence.
        """
        before = self._ticked_at
        self._ticked_at = now
        if before is None or now - before < self._policy.pause_s:
            return
        self._failure_detector.reset()
        self.member_list.suspicions.postpone(now - before)

    def _ping_contacts(self) -> list[OutgoingMessage]:
        """Ping addresses without a live peer, so that partitions heal."""
        alive = {peer.address for peer in self.member_list.alive()}
        dead_peers = {
            member.record.address: member.record
            for member in self.member_list.members.values()
            if member.record.state is PeerState.dead
        }
        addresses = sorted((self._contacts | dead_peers.keys()) - alive)
        count = 1 if alive else _JOIN_CONTACTS
        chosen = self._rng.sample(addresses, min(count, len(addresses)))
        return [
            self._failure_detector.ping(
                address,
                (dead_peers[address],) if address in dead_peers else (),
            )
            for address in chosen
        ]
