"""Fills datagrams with rumours and sends them."""

from __future__ import annotations

import random
from collections.abc import Iterable

from guavadyke.adapters.peer_datagrams import (
    DATAGRAM_HEADER_BYTES,
    MAX_PAYLOAD_BYTES,
    Load,
    PeerDatagrams,
)
from guavadyke.adapters.peer_sockets import DatagramPort
from guavadyke.decisions.gossip_queue import GossipQueue
from guavadyke.decisions.leaving_servers import LeavingMark, LeavingRegistry
from guavadyke.decisions.member_list import MemberList
from guavadyke.decisions.membership_protocol import OutgoingMessage, PeerRecord

_SAMPLED = 2
_FANOUT = 4


class GossipSender:
    """Sends messages, each filled up with rumours.

    Args:
        datagrams: packs them.
        port: sends them.
        member_list: gives recipients and records.
        board: gives marks of leaving backend servers.
        rng: chooses recipients.
    """

    def __init__(
        self,
        datagrams: PeerDatagrams,
        port: DatagramPort,
        member_list: MemberList,
        board: LeavingRegistry,
        rng: random.Random,
    ) -> None:
        self._datagrams = datagrams
        self._port = port
        self._member_list = member_list
        self._board = board
        self._rng = rng
        self._queue: GossipQueue[PeerRecord | LeavingMark] = GossipQueue()

    def put_record(self, record: PeerRecord) -> None:
        """Spread a record from now on."""
        self._queue.put(record.host_id, record, record.size_bytes)

    def put_mark(self, mark: LeavingMark) -> None:
        """Spread a mark from now on."""
        self._queue.put(mark.key, mark, mark.size_bytes)

    def send(self, outgoing: Iterable[OutgoingMessage]) -> None:
        """Send messages."""
        for one in outgoing:
            message = self._datagrams.pack(self._load(one))
            self._port.send(one.address, message)

    def spread(self) -> None:
        """Tell a few peers at once what is new."""
        alive = self._member_list.alive()
        chosen = self._rng.sample(alive, min(_FANOUT, len(alive)))
        self.send(OutgoingMessage(peer.address, None) for peer in chosen)

    def _load(self, outgoing: OutgoingMessage) -> Load:
        room = (
            MAX_PAYLOAD_BYTES
            - DATAGRAM_HEADER_BYTES
            - self._member_list.me.size_bytes
        )
        room -= sum(record.size_bytes for record in outgoing.told)
        rumours = self._queue.take(room, len(self._member_list.members))
        room -= sum(rumour.size_bytes for rumour in rumours)
        sampled = _that_fit(
            (*self._sampled_records(), *self._sampled_marks()),
            room,
        )
        carried = (*outgoing.told, *rumours, *sampled)
        return Load(
            outgoing.signal,
            tuple(one for one in carried if isinstance(one, PeerRecord)),
            tuple(one for one in carried if isinstance(one, LeavingMark)),
        )

    def _sampled_records(self) -> list[PeerRecord]:
        """Return a few records, so that hosts settle in the end."""
        members = self._member_list.members
        chosen = self._rng.sample(list(members), min(_SAMPLED, len(members)))
        return [members[host_id].record for host_id in chosen]

    def _sampled_marks(self) -> list[LeavingMark]:
        marks = self._board.marks
        return self._rng.sample(marks, min(_SAMPLED, len(marks)))


def _that_fit(
    rumours: tuple[PeerRecord | LeavingMark, ...],
    room: int,
) -> tuple[PeerRecord | LeavingMark, ...]:
    total = sum(rumour.size_bytes for rumour in rumours)
    return rumours if total <= room else ()
