"""State machine: hosts lose messages, pause, crash, join and leave."""

from __future__ import annotations

import dataclasses
import itertools
import random

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from guavadyke.adapters.peer_datagrams import DatagramContent
from guavadyke.controllers.membership_gossip import GossipSender
from guavadyke.decisions.leaving_servers import LeavingRegistry
from guavadyke.decisions.membership import Membership
from guavadyke.decisions.membership_protocol import (
    MembershipPolicy,
    PeerRecord,
)

_HOSTS = 6
_STEP_S = 0.1
_CONVERGENCE_S = 60
_POLICY = MembershipPolicy(
    probe_interval_s=0.5,
    probe_timeout_s=0.25,
    suspicion_s=3,
)
_MAX_FALSE_REMOVAL_S = 15

numbers = st.integers(0, _HOSTS - 1)


@dataclasses.dataclass(frozen=True)
class _Message:
    sender: str
    target: str
    me: PeerRecord
    load: DatagramContent


class _PlainPacker:
    """Replaces ``PeerDatagrams``: passes loads on without encoding."""

    def pack(self, load: DatagramContent) -> DatagramContent:
        return load


class _FakeSocket:
    """Replaces the socket of one host."""

    def __init__(self, network: Network, node: Node) -> None:
        self._network = network
        self._node = node

    def send(self, address: str, message: DatagramContent) -> None:
        me = self._node.membership.member_list.me
        self._network.send_message(_Message(me.address, address, me, message))


class Node:
    """One host: its membership, with gossip over the network."""

    def __init__(self, network: Network, number: int, start_ms: int) -> None:
        address = f'10.0.0.{number}:7'
        me = PeerRecord(
            f'host-{number}',
            f'zone-{number % 2}',
            'fi',
            address,
            start_ms,
        )
        rng = random.Random(start_ms)
        self.membership = Membership(me, _POLICY, rng)
        self.membership.set_contact_addresses(network.addresses)
        self.gossip_sender = GossipSender(
            _PlainPacker(),  # type: ignore[arg-type]
            _FakeSocket(network, self),  # type: ignore[arg-type]
            self.membership.member_list,
            LeavingRegistry(2),
            rng,
        )
        self.paused = False
        self.inbox: list[_Message] = []

    @property
    def address(self) -> str:
        return self.membership.member_list.me.address

    def tick(self, now: float) -> None:
        for message in self.inbox:
            outgoing = self.membership.received(
                message.me,
                message.load.signal,
                message.load.records,
                now,
            )
            self.spread_changes()
            self.gossip_sender.send(outgoing)
        self.inbox.clear()
        outgoing = self.membership.tick(now)
        self.spread_changes()
        self.gossip_sender.send(outgoing)

    def spread_changes(self) -> None:
        for record in self.membership.member_list.changes():
            self.gossip_sender.queue_record(record)

    def alive_peers(self) -> set[str]:
        return {peer.host_id for peer in self.membership.member_list.alive()}


class Network:
    """Delivers messages one step later, except for losses and cuts."""

    def __init__(self, seed: int) -> None:
        self.addresses = [f'10.0.0.{number}:7' for number in range(_HOSTS)]
        self.loss: float = 0
        self.cut: frozenset[tuple[str, str]] = frozenset()
        self.in_flight: list[_Message] = []
        self._rng = random.Random(seed)

    def send_message(self, message: _Message) -> None:
        if (message.sender, message.target) in self.cut:
            return
        if self._rng.random() >= self.loss:
            self.in_flight.append(message)


class MembershipMachine(RuleBasedStateMachine):
    """Checks what hosts see against the set of running hosts."""

    @initialize(seed=st.integers(0, 1000))
    def begin(self, seed: int) -> None:
        self.now: float = 0
        self.network = Network(seed)
        self.nodes = {
            number: Node(self.network, number, 1000 + number)
            for number in range(_HOSTS)
        }
        self.missing_since: dict[tuple[int, int], float] = {}
        self.disturbed_at: float = 0
        self.settle()

    @rule(seconds=st.integers(1, 8))
    def run(self, seconds: int) -> None:
        until = self.now + seconds
        while self.now < until:
            self.step()

    @rule(loss=st.sampled_from((0.1, 0.25)))
    def lose(self, loss: float) -> None:
        self.network.loss = loss
        self.run(_MAX_FALSE_REMOVAL_S)
        self.network.loss = 0

    @rule(first=numbers, second=numbers)
    def cut_one_way(self, first: int, second: int) -> None:
        if first != second and not self.network.cut:
            pair = (
                self.network.addresses[first],
                self.network.addresses[second],
            )
            self.network.cut = frozenset((pair,))

    @rule()
    def cut_zones(self) -> None:
        addresses = enumerate(self.network.addresses)
        even = {one for number, one in addresses if not number % 2}
        odd = set(self.network.addresses) - even
        self.network.cut = frozenset((
            *itertools.product(even, odd),
            *itertools.product(odd, even),
        ))
        self.disturbed_at = self.now
        self.run(8)

    @rule()
    def heal(self) -> None:
        if len(self.network.cut) > 1:
            self.disturbed_at = self.now
        self.network.cut = frozenset()

    @rule(number=numbers)
    def pause(self, number: int) -> None:
        node = self.nodes.get(number)
        if node is not None:
            node.paused = True
            self.disturbed_at = self.now

    @rule(number=numbers)
    def wake(self, number: int) -> None:
        node = self.nodes.get(number)
        if node is not None and node.paused:
            node.paused = False
            node.inbox.clear()
            self.disturbed_at = self.now

    @rule(number=numbers)
    def die(self, number: int) -> None:
        if len(self.nodes) > 2:
            self.nodes.pop(number, None)

    @rule(number=numbers)
    def start_again(self, number: int) -> None:
        if number not in self.nodes:
            start_ms = 2000 + int(self.now * 1000)
            self.nodes[number] = Node(self.network, number, start_ms)
            self.disturbed_at = self.now

    @rule(number=numbers)
    def leave(self, number: int) -> None:
        if number in self.nodes and len(self.nodes) > 2:
            node = self.nodes.pop(number)
            outgoing = node.membership.leave()
            node.spread_changes()
            node.gossip_sender.send(outgoing)

    @rule()
    def settle(self) -> None:
        """Without faults, every host soon sees exactly the running hosts."""
        self.network.loss = 0
        self.heal()
        for paused in tuple(self.nodes):
            self.wake(paused)
        self.run(_CONVERGENCE_S)
        running = {f'host-{number}' for number in self.nodes}
        for number, node in self.nodes.items():
            expected = running - {f'host-{number}'}
            assert node.alive_peers() == expected, (
                number,
                node.alive_peers(),
                expected,
            )

    @invariant()
    def no_running_host_is_removed_for_long(self) -> None:
        """Loss and one-way cuts alone remove no running host for long."""
        for pair, since in self.missing_since.items():
            undisturbed_since = max(since, self.disturbed_at)
            assert self.now - undisturbed_since < _MAX_FALSE_REMOVAL_S, pair

    def step(self) -> None:
        self.now += _STEP_S
        arriving = tuple(self.network.in_flight)
        self.network.in_flight.clear()
        by_address = {node.address: node for node in self.nodes.values()}
        for message in arriving:
            node = by_address.get(message.target)
            if node is not None:
                node.inbox.append(message)
        for node in self.nodes.values():
            if not node.paused:
                node.tick(self.now)
        self._record_missing()

    def _record_missing(self) -> None:
        zones_cut = len(self.network.cut) > 1
        active = {
            number: node
            for number, node in self.nodes.items()
            if not node.paused
        }
        missing = {
            (number, other)
            for number, node in active.items()
            for other in active
            if other != number
            and f'host-{other}' not in node.alive_peers()
            and not zones_cut
        }
        self.missing_since = {
            pair: self.missing_since.get(pair, self.now) for pair in missing
        }
