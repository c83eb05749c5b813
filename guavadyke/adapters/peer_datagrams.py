"""Datagrams between entry hosts: authentication, replay checks and notices."""

from __future__ import annotations

import dataclasses
import itertools
import threading
import uuid
from collections.abc import Callable, Collection
from typing import Any

from guavadyke.adapters.message_authentication import (
    AUTHENTICATION_BYTES,
    MessageAuthenticator,
    PeerMessageError,
    RejectionReason,
)
from guavadyke.adapters.peer_datagram_codec import (
    PeerDatagram,
    decode_datagram,
    encode_datagram,
)
from guavadyke.adapters.peer_sockets import DatagramPort
from guavadyke.adapters.ports import Clock, PeerNotice
from guavadyke.decisions.leaving_servers import LeavingMark
from guavadyke.decisions.membership_protocol import PeerRecord, Signal
from guavadyke.decisions.object_versions import CatalogueMark
from guavadyke.decisions.replay_guard import Freshness, ReplayGuard
from guavadyke.log import EventLogger
from guavadyke.snapshots import FleetSnapshot, SnapshotCell

MAX_DATAGRAM_BYTES = 1200
DATAGRAM_HEADER_BYTES = 160
MAX_PAYLOAD_BYTES = MAX_DATAGRAM_BYTES - AUTHENTICATION_BYTES
CLOCK_TOLERANCE_MS = 30_000
_MIN_LOG_INTERVAL_S = 10


def _always_reachable() -> bool:
    return True


@dataclasses.dataclass
class LocalStatus:
    """This host's state, which every datagram carries.

    Each attribute has a single writer, so no lock is needed.
    """

    own_record: PeerRecord
    catalogue_mark: CatalogueMark = dataclasses.field(
        default_factory=CatalogueMark
    )
    reached_directly: Callable[[], bool] = _always_reachable


@dataclasses.dataclass(frozen=True)
class DatagramContent:
    """The content of one datagram besides its sender's state."""

    signal: Signal | None = None
    records: tuple[PeerRecord, ...] = ()
    leaving: tuple[LeavingMark, ...] = ()
    notice: PeerNotice | None = None


class RejectedMessageLog:
    """Counts rejected messages by reason and logs them at a limited rate.

    Args:
        clock: measures the time between two log lines.
        logger: receives the log lines.
    """

    def __init__(self, clock: Clock, logger: EventLogger) -> None:
        self.counts: dict[RejectionReason, int] = {}
        self._clock = clock
        self._logger = logger
        self._logged_at: dict[RejectionReason, float] = {}

    def record(self, error: PeerMessageError, address: str) -> None:
        """Count a rejected message, and log it if the interval has passed."""
        refusal = error.refusal
        self.counts[refusal] = self.counts.get(refusal, 0) + 1
        now = self._clock.monotonic()
        logged_at = self._logged_at.get(refusal)
        if logged_at is not None and now - logged_at < _MIN_LOG_INTERVAL_S:
            return
        self._logged_at[refusal] = now
        self._logger.warning(
            'peer_message_refused',
            refusal=refusal,
            address=address,
            detail=error.detail,
            refused=self.counts[refusal],
        )


class PeerDatagrams:
    """Encodes and verifies datagrams; any thread may pack one.

    Args:
        authenticator: signs and verifies messages with the fleet key.
        local_status: this host's state, sent in every datagram.
        clock: timestamps datagrams and checks their age.
        rejection_log: counts and logs rejected datagrams.
    """

    def __init__(
        self,
        authenticator: MessageAuthenticator,
        local_status: LocalStatus,
        clock: Clock,
        rejection_log: RejectedMessageLog,
    ) -> None:
        self._authenticator = authenticator
        self._local_status = local_status
        self._clock = clock
        self._rejection_log = rejection_log
        self._boot = uuid.uuid4().hex[:8]
        self._numbers = itertools.count(1)
        self._replay_guard = ReplayGuard(CLOCK_TOLERANCE_MS)

    def pack(self, content: DatagramContent) -> bytes:
        """Return an authenticated datagram of this host as bytes."""
        local_status = self._local_status
        own_record = local_status.own_record
        records = content.records
        if content.notice is None:
            records = (own_record, *records)
        datagram = PeerDatagram(
            sender=own_record.host_id,
            incarnation=own_record.incarnation,
            boot=self._boot,
            number=next(self._numbers),
            sent_ms=self._now_ms(),
            catalogue_mark=local_status.catalogue_mark,
            platform_reachable=local_status.reached_directly(),
            signal=content.signal,
            records=records,
            leaving=content.leaving,
            notice=content.notice,
        )
        return self._authenticator.sign(encode_datagram(datagram))

    def unpack(self, message: bytes, address: str) -> PeerDatagram | None:
        """Decode a datagram, or return None if it is rejected."""
        try:
            datagram = decode_datagram(self._authenticator.verify(message))
            self._check_fresh(datagram)
        except PeerMessageError as error:
            self._rejection_log.record(error, address)
            return None
        return datagram

    def forget(self, host_id: str) -> None:
        """Remove the replay state of a sender that has left the fleet."""
        self._replay_guard.forget(host_id)

    def _check_fresh(self, datagram: PeerDatagram) -> None:
        freshness = self._replay_guard.check_message(
            datagram.sender,
            datagram.boot,
            datagram.number,
            self._now_ms() - datagram.sent_ms,
        )
        if freshness is not Freshness.fresh:
            raise PeerMessageError(
                RejectionReason(freshness.value),
                f'number {datagram.number} of {datagram.sender}',
            )

    def _now_ms(self) -> int:
        return int(self._clock.wall() * 1000)


class DatagramMessenger:
    """Implements ``PeerMessenger`` over datagrams.

    Args:
        datagrams: encodes the datagrams.
        port: sends the datagrams.
        fleet: holds the addresses of peers.
    """

    def __init__(
        self,
        datagrams: PeerDatagrams,
        port: DatagramPort,
        fleet: SnapshotCell[FleetSnapshot],
    ) -> None:
        self._datagrams = datagrams
        self._port = port
        self._fleet = fleet
        self._receivers: tuple[Callable[[str, PeerNotice], None], ...] = ()
        self._lock = threading.Lock()

    def send(self, host_id: str, notice: PeerNotice) -> None:
        """Send a notice, in several datagrams if it does not fit into one."""
        self.send_all((host_id,), notice)

    def send_all(self, host_ids: Collection[str], notice: PeerNotice) -> None:
        """Send a notice to several hosts; it is encoded only once."""
        wanted = frozenset(host_ids)
        addresses = [
            peer.address
            for peer in self._fleet.current.peers
            if peer.host_id in wanted
        ]
        packed_parts = self._split_to_fit(notice) if addresses else ()
        for packed_part, address in itertools.product(packed_parts, addresses):
            self._port.send(address, packed_part)

    def subscribe(self, receive: Callable[[str, PeerNotice], None]) -> None:
        """Call ``receive`` with the sender's host id for each notice."""
        with self._lock:
            self._receivers = (*self._receivers, receive)

    def deliver(self, sender: str, notice: PeerNotice) -> None:
        """Pass a received notice to all subscribers."""
        for receive in self._receivers:
            receive(sender, notice)

    def _split_to_fit(self, notice: PeerNotice) -> list[bytes]:
        packed = self._datagrams.pack(DatagramContent(notice=notice))
        if len(packed) <= MAX_DATAGRAM_BYTES:
            return [packed]
        smaller_notices = _split_notice(notice)
        return [
            packed_part
            for smaller_notice in smaller_notices
            for packed_part in self._split_to_fit(smaller_notice)
        ]


def _split_notice(notice: PeerNotice) -> tuple[PeerNotice, ...]:
    """Split a notice into smaller ones, by kind or else in halves.

    Returns nothing for a notice with a single entry, which cannot be sent.
    """
    by_kind = [{name: entries} for name, entries in _entries(notice) if entries]
    if len(by_kind) > 1:
        return tuple(PeerNotice(**kind) for kind in by_kind)
    if _entry_count(notice) <= 1:
        return ()
    return (_every_second_entry(notice, 0), _every_second_entry(notice, 1))


def _every_second_entry(notice: PeerNotice, first: int) -> PeerNotice:
    return PeerNotice(**{
        name: entries[first::2] for name, entries in _entries(notice)
    })


def _entry_count(notice: PeerNotice) -> int:
    return sum(len(entries) for _name, entries in _entries(notice))


def _entries(notice: PeerNotice) -> list[tuple[str, tuple[Any, ...]]]:
    """Return the lists of a notice by the names of its fields."""
    return [
        (field.name, getattr(notice, field.name))
        for field in dataclasses.fields(notice)
    ]
