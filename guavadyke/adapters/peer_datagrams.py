"""Datagrams between entry hosts: sealed, numbered, checked, with notices."""

from __future__ import annotations

import dataclasses
import itertools
import threading
import uuid
from collections.abc import Callable

from guavadyke.adapters.message_authentication import (
    SEAL_BYTES,
    MessageAuthenticator,
    PeerMessageError,
    Refusal,
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

DATAGRAM_BYTES = 1200
DATAGRAM_HEADER_BYTES = 160
MAX_PAYLOAD_BYTES = DATAGRAM_BYTES - SEAL_BYTES
TOLERANCE_MS = 30_000
_LOG_INTERVAL_S = 10


def _yes() -> bool:
    return True


@dataclasses.dataclass
class LocalStatus:
    """What every datagram says of its sender; one writer an attribute."""

    me: PeerRecord
    mark: CatalogueMark = dataclasses.field(default_factory=CatalogueMark)
    reached_directly: Callable[[], bool] = _yes


@dataclasses.dataclass(frozen=True)
class Load:
    """What one datagram carries besides its sender's standing."""

    signal: Signal | None = None
    records: tuple[PeerRecord, ...] = ()
    leaving: tuple[LeavingMark, ...] = ()
    notice: PeerNotice | None = None


class RejectedMessageLog:
    """Counts refused messages and logs each reason now and then.

    Args:
        clock: spaces the lines.
        logger: gets the lines.
    """

    def __init__(self, clock: Clock, logger: EventLogger) -> None:
        self.counts: dict[Refusal, int] = {}
        self._clock = clock
        self._logger = logger
        self._logged_at: dict[Refusal, float] = {}

    def note(self, error: PeerMessageError, address: str) -> None:
        """Count a refusal and log it if its reason was not logged lately."""
        refusal = error.refusal
        self.counts[refusal] = self.counts.get(refusal, 0) + 1
        now = self._clock.monotonic()
        logged_at = self._logged_at.get(refusal)
        if logged_at is not None and now - logged_at < _LOG_INTERVAL_S:
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
    """Sends and receives datagrams; any thread may send.

    Args:
        authenticator: the fleet key.
        standing: what every datagram says of this host.
        clock: dates datagrams.
        refusals: notes what is refused.
    """

    def __init__(
        self,
        authenticator: MessageAuthenticator,
        standing: LocalStatus,
        clock: Clock,
        refusals: RejectedMessageLog,
    ) -> None:
        self._seal = authenticator
        self._standing = standing
        self._clock = clock
        self._refusals = refusals
        self._boot = uuid.uuid4().hex[:8]
        self._numbers = itertools.count(1)
        self._guard = ReplayGuard(TOLERANCE_MS)

    def pack(self, load: Load) -> bytes:
        """Return a sealed datagram of this host."""
        standing = self._standing
        me = standing.me
        records = load.records
        if load.notice is None:
            records = (me, *records)
        datagram = PeerDatagram(
            sender=me.host_id,
            incarnation=me.incarnation,
            boot=self._boot,
            number=next(self._numbers),
            sent_ms=self._now_ms(),
            mark=standing.mark,
            platform_reachable=standing.reached_directly(),
            signal=load.signal,
            records=records,
            leaving=load.leaving,
            notice=load.notice,
        )
        return self._seal.close(encode_datagram(datagram))

    def unpack(self, message: bytes, address: str) -> PeerDatagram | None:
        """Return the datagram, or None where it is refused."""
        try:
            datagram = decode_datagram(self._seal.open(message))
            self._check_fresh(datagram)
        except PeerMessageError as error:
            self._refusals.note(error, address)
            return None
        return datagram

    def forget(self, host_id: str) -> None:
        """Drop what is remembered of a sender that has gone."""
        self._guard.forget(host_id)

    def _check_fresh(self, datagram: PeerDatagram) -> None:
        freshness = self._guard.judge(
            datagram.sender,
            datagram.boot,
            datagram.number,
            self._now_ms() - datagram.sent_ms,
        )
        if freshness is not Freshness.fresh:
            raise PeerMessageError(
                Refusal(freshness.value),
                f'number {datagram.number} of {datagram.sender}',
            )

    def _now_ms(self) -> int:
        return int(self._clock.wall() * 1000)


class DatagramMessenger:
    """Notices between entry hosts over datagrams.

    Args:
        datagrams: packs them.
        port: sends them.
        fleet: tells the addresses of peers.
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
        """Send a notice, in several datagrams where it is large."""
        address = self._address(host_id)
        if address is None:
            return
        for part in self._parts(notice):
            self._port.send(address, part)

    def subscribe(self, receive: Callable[[str, PeerNotice], None]) -> None:
        """Call ``receive`` with the sender's host id for each notice."""
        with self._lock:
            self._receivers = (*self._receivers, receive)

    def deliver(self, sender: str, notice: PeerNotice) -> None:
        """Give a notice that has arrived to all receivers."""
        for receive in self._receivers:
            receive(sender, notice)

    def _address(self, host_id: str) -> str | None:
        peers = self._fleet.current.peers
        return next(
            (peer.address for peer in peers if peer.host_id == host_id),
            None,
        )

    def _parts(self, notice: PeerNotice) -> list[bytes]:
        packed = self._datagrams.pack(Load(notice=notice))
        if len(packed) <= DATAGRAM_BYTES:
            return [packed]
        halves = _halves(notice)
        return [part for half in halves for part in self._parts(half)]


def _halves(notice: PeerNotice) -> tuple[PeerNotice, ...]:
    """Split a notice; one that holds a single thing cannot be sent."""
    kinds = (
        PeerNotice(demands=notice.demands),
        PeerNotice(grants=notice.grants),
        PeerNotice(counts=notice.counts),
        PeerNotice(batch_counts=notice.batch_counts),
    )
    filled = tuple(kind for kind in kinds if kind != PeerNotice())
    if len(filled) > 1:
        return filled
    if _length(notice) <= 1:
        return ()
    return (_every_second(notice, 0), _every_second(notice, 1))


def _every_second(notice: PeerNotice, first: int) -> PeerNotice:
    return PeerNotice(
        notice.demands[first::2],
        notice.grants[first::2],
        notice.counts[first::2],
        notice.batch_counts[first::2],
    )


def _length(notice: PeerNotice) -> int:
    listed = (
        notice.demands,
        notice.grants,
        notice.counts,
        notice.batch_counts,
    )
    return sum(map(len, listed))
