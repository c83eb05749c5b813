"""Failure detector: direct probes, indirect probes, then suspicion."""

from __future__ import annotations

import dataclasses
import itertools
import random
from collections.abc import Iterator

from guavadyke.decisions.peers import (
    Ack,
    MembershipPolicy,
    Outgoing,
    PeerRecord,
    PeerState,
    Ping,
    PingRequest,
)
from guavadyke.decisions.roster import Roster

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


class Prober:
    """Outstanding probes of this host, own ones and those for other hosts.

    Args:
        roster: peers to probe.
        policy: intervals and timeouts.
        rng: shuffles the order in which peers are probed.
    """

    def __init__(
        self,
        roster: Roster,
        policy: MembershipPolicy,
        rng: random.Random,
    ) -> None:
        self._roster = roster
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
    ) -> Outgoing:
        """Return a ping without a timeout.

        Args:
            address: where to send it.
            extra_records: records to send with it.
        """
        return Outgoing(address, Ping(next(self._sequences)), extra_records)

    def probe_next(self, now: float) -> list[Outgoing]:
        """Probe the next peer; each is probed once in a round."""
        target = self._next_target()
        if target is None:
            return []
        sequence = next(self._sequences)
        self._probes[sequence] = _Probe(target.host_id, now)
        return [
            Outgoing(target.address, Ping(sequence), _record_to_refute(target))
        ]

    def results(self, now: float) -> Iterator[Outgoing]:
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
    ) -> Outgoing:
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
        return Outgoing(request.target, Ping(sequence))

    def handle_ack(self, ack: Ack) -> list[Outgoing]:
        """Process an ack, and forward it where another host asked for it."""
        probe = self._probes.get(ack.sequence)
        if probe is not None and probe.target == ack.target:
            self._probes.pop(ack.sequence)
        relay = self._relays.pop(ack.sequence, None)
        if relay is None:
            return []
        return [Outgoing(relay.address, Ack(relay.sequence, ack.target))]

    def reset(self) -> None:
        """Drop this host's outstanding probes, as after a pause."""
        self._probes.clear()

    def _target(self, probe: _Probe) -> PeerRecord | None:
        member = self._roster.members.get(probe.target)
        if member is None or not member.record.state.reachable:
            return None
        return member.record

    def _suspect(self, target: PeerRecord, now: float) -> Outgoing:
        self._roster.suspect(target.host_id, now)
        record = self._roster.members[target.host_id].record
        return self.ping(target.address, _record_to_refute(record))

    def _request_indirect_probes(
        self,
        sequence: int,
        target: PeerRecord,
    ) -> Iterator[Outgoing]:
        helpers = [
            peer
            for peer in self._roster.alive()
            if peer.host_id != target.host_id and peer.state is PeerState.alive
        ]
        chosen = self._rng.sample(helpers, min(_INDIRECT_PROBES, len(helpers)))
        return (
            Outgoing(peer.address, PingRequest(sequence, target.address))
            for peer in chosen
        )

    def _next_target(self) -> PeerRecord | None:
        if not self._order:
            self._order = [peer.host_id for peer in self._roster.alive()]
            self._rng.shuffle(self._order)
        while self._order:
            member = self._roster.members.get(self._order.pop())
            if member is not None and member.record.state.reachable:
                return member.record
        return None


def _record_to_refute(record: PeerRecord) -> tuple[PeerRecord, ...]:
    """Return the record unless it is ``alive``, so that the peer refutes."""
    return () if record.state is PeerState.alive else (record,)
