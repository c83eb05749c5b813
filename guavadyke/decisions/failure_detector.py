"""Failure detector: direct probes, indirect probes, then suspicion."""

from __future__ import annotations

import dataclasses
import itertools
import random
from collections.abc import Iterator

from guavadyke.decisions.member_list import MemberList
from guavadyke.decisions.membership_protocol import (
    Ack,
    MembershipPolicy,
    OutgoingMessage,
    PeerRecord,
    PeerState,
    Ping,
    PingRequest,
)

_INDIRECT_PROBES = 3
_TIMEOUTS_TO_SUSPICION = 3


@dataclasses.dataclass
class _Probe:
    target: str
    started_at: float
    indirect: bool = False


@dataclasses.dataclass(frozen=True)
class _Relay:
    address: str
    sequence: int
    until: float


class FailureDetector:
    """Outstanding probes of this host, own ones and those for other hosts.

    Args:
        member_list: peers to probe.
        policy: intervals and timeouts.
        rng: shuffles the order in which peers are probed.
    """

    def __init__(
        self,
        member_list: MemberList,
        policy: MembershipPolicy,
        rng: random.Random,
    ) -> None:
        self._member_list = member_list
        self._policy = policy
        self._rng = rng
        self._order: list[str] = []
        self._probes: dict[int, _Probe] = {}
        self._relays: dict[int, _Relay] = {}
        self._sequences = itertools.count(1)

    def ping(
        self,
        address: str,
        extra_records: tuple[PeerRecord, ...] = (),
    ) -> OutgoingMessage:
        """Return a ping without a timeout.

        Args:
            address: where to send it.
            extra_records: records to send with it.
        """
        return OutgoingMessage(
            address, Ping(next(self._sequences)), extra_records
        )

    def probe_next(self, now: float) -> list[OutgoingMessage]:
        """Probe the next peer; each is probed once in a round."""
        target = self._next_target()
        if target is None:
            return []
        sequence = next(self._sequences)
        self._probes[sequence] = _Probe(target.host_id, now)
        return [
            OutgoingMessage(
                target.address, Ping(sequence), _record_to_refute(target)
            )
        ]

    def results(self, now: float) -> Iterator[OutgoingMessage]:
        """Handle probes that were not answered in time.

        After one timeout other peers are asked to probe the target; after
        several it becomes a suspect.
        """
        timeout_s = self._policy.probe_timeout_s
        for sequence, probe in tuple(self._probes.items()):
            target = self._target(probe)
            waited_s = now - probe.started_at
            if target is None:
                self._probes.pop(sequence)
            elif waited_s >= _TIMEOUTS_TO_SUSPICION * timeout_s:
                self._probes.pop(sequence)
                yield self._suspect(target, now)
            elif waited_s >= timeout_s and not probe.indirect:
                probe.indirect = True
                yield from self._request_indirect_probes(sequence, target)

    def relay(
        self,
        sender: PeerRecord,
        request: PingRequest,
        now: float,
    ) -> OutgoingMessage:
        """Ping a host on behalf of the sender of an indirect probe."""
        self._relays = {
            sequence: relay
            for sequence, relay in self._relays.items()
            if relay.until > now
        }
        sequence = next(self._sequences)
        self._relays[sequence] = _Relay(
            sender.address,
            request.sequence,
            now + _TIMEOUTS_TO_SUSPICION * self._policy.probe_timeout_s,
        )
        return OutgoingMessage(request.target, Ping(sequence))

    def handle_ack(self, ack: Ack) -> list[OutgoingMessage]:
        """Process an ack, and forward it where another host asked for it."""
        probe = self._probes.get(ack.sequence)
        if probe is not None and probe.target == ack.target:
            self._probes.pop(ack.sequence)
        relay = self._relays.pop(ack.sequence, None)
        if relay is None:
            return []
        return [OutgoingMessage(relay.address, Ack(relay.sequence, ack.target))]

    def reset(self) -> None:
        """Drop this host's outstanding probes, as after a pause."""
        self._probes.clear()

    def _target(self, probe: _Probe) -> PeerRecord | None:
        member = self._member_list.members.get(probe.target)
        if member is None or not member.record.state.reachable:
            return None
        return member.record

    def _suspect(self, target: PeerRecord, now: float) -> OutgoingMessage:
        self._member_list.suspect(target.host_id, now)
        record = self._member_list.members[target.host_id].record
        return self.ping(target.address, _record_to_refute(record))

    def _request_indirect_probes(
        self,
        sequence: int,
        target: PeerRecord,
    ) -> Iterator[OutgoingMessage]:
        relay_addresses = [
            peer
            for peer in self._member_list.alive()
            if peer.host_id != target.host_id and peer.state is PeerState.alive
        ]
        chosen = self._rng.sample(
            relay_addresses, min(_INDIRECT_PROBES, len(relay_addresses))
        )
        return (
            OutgoingMessage(peer.address, PingRequest(sequence, target.address))
            for peer in chosen
        )

    def _next_target(self) -> PeerRecord | None:
        if not self._order:
            self._order = [peer.host_id for peer in self._member_list.alive()]
            self._rng.shuffle(self._order)
        while self._order:
            member = self._member_list.members.get(self._order.pop())
            if member is not None and member.record.state.reachable:
                return member.record
        return None


def _record_to_refute(record: PeerRecord) -> tuple[PeerRecord, ...]:
    """Return the record unless it is ``alive``, so that the peer refutes."""
    return () if record.state is PeerState.alive else (record,)
