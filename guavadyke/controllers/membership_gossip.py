"""Sends datagrams, with gossip updates in the remaining space."""

from __future__ import annotations

import random
from collections.abc import Iterable

from guavadyke.adapters.peer_datagrams import (
    DATAGRAM_HEADER_BYTES,
    MAX_PAYLOAD_BYTES,
    DatagramContent,
    PeerDatagrams,
)
from guavadyke.adapters.peer_sockets import DatagramPort
from guavadyke.decisions.gossip_queue import GossipQueue
from guavadyke.decisions.leaving_servers import LeavingMark, LeavingRegistry
from guavadyke.decisions.member_list import MemberList
from guavadyke.decisions.membership_protocol import OutgoingMessage, PeerRecord

_SAMPLED_UPDATES = 2
_GOSSIP_FANOUT = 4


class GossipSender:
    """Sends datagrams and adds gossip updates to each of them.

    Updates that were queued come first. A random sample of known records
    and marks follows if all of it fits, so that a host that missed an
    update gets it later.

    Args:
        datagrams: encodes and signs datagrams.
        port: sends datagrams.
        member_list: the peers and their records.
        leaving_registry: marks of leaving backend servers.
        rng: chooses recipients and samples.
    """

    def __init__(
        self,
        datagrams: PeerDatagrams,
        port: DatagramPort,
        member_list: MemberList,
        leaving_registry: LeavingRegistry,
        rng: random.Random,
    ) -> None:
        self._datagrams = datagrams
        self._port = port
        self._member_list = member_list
        self._leaving_registry = leaving_registry
        self._rng = rng
        self._queue: GossipQueue[PeerRecord | LeavingMark] = GossipQueue()

    def queue_record(self, record: PeerRecord) -> None:
        """Queue a peer record for the next datagrams."""
        self._queue.put(record.host_id, record, record.size_bytes)

    def queue_mark(self, mark: LeavingMark) -> None:
        """Queue a mark for the next datagrams."""
        self._queue.put(mark.key, mark, mark.size_bytes)

    def send(self, outgoing: Iterable[OutgoingMessage]) -> None:
        """Send each message, with updates added up to the datagram size."""
        for target in outgoing:
            message = self._datagrams.pack(self._build_content(target))
            self._port.send(target.address, message)

    def gossip(self) -> None:
        """Send the pending updates to a few random live peers now."""
        alive = self._member_list.alive()
        chosen = self._rng.sample(alive, min(_GOSSIP_FANOUT, len(alive)))
        self.send(OutgoingMessage(peer.address, None) for peer in chosen)

    def _build_content(self, outgoing: OutgoingMessage) -> DatagramContent:
        free_bytes = (
            MAX_PAYLOAD_BYTES
            - DATAGRAM_HEADER_BYTES
            - self._member_list.me.size_bytes
        )
        free_bytes -= sum(
            record.size_bytes for record in outgoing.extra_records
        )
        updates = self._queue.take_for_datagram(
            free_bytes, len(self._member_list.members)
        )
        free_bytes -= sum(update.size_bytes for update in updates)
        sampled = _if_all_fit(
            (*self._sample_records(), *self._sample_marks()),
            free_bytes,
        )
        carried = (*outgoing.extra_records, *updates, *sampled)
        return DatagramContent(
            outgoing.signal,
            tuple(
                update for update in carried if isinstance(update, PeerRecord)
            ),
            tuple(
                update for update in carried if isinstance(update, LeavingMark)
            ),
        )

    def _sample_records(self) -> list[PeerRecord]:
        """Return a few random records, so that all hosts converge."""
        members = self._member_list.members
        chosen = self._rng.sample(
            list(members), min(_SAMPLED_UPDATES, len(members))
        )
        return [members[host_id].record for host_id in chosen]

    def _sample_marks(self) -> list[LeavingMark]:
        marks = self._leaving_registry.marks
        return self._rng.sample(marks, min(_SAMPLED_UPDATES, len(marks)))


def _if_all_fit(
    updates: tuple[PeerRecord | LeavingMark, ...],
    free_bytes: int,
) -> tuple[PeerRecord | LeavingMark, ...]:
    total = sum(update.size_bytes for update in updates)
    return updates if total <= free_bytes else ()
