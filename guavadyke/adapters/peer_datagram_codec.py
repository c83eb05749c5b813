"""Turns messages between entry hosts into thrift structs and back."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterable
from typing import Any, TypeVar

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

from guavadyke.adapters import ports
from guavadyke.adapters.message_authentication import (
    FORMAT,
    PeerMessageError,
    Refusal,
)
from guavadyke.decisions import leaving_servers, membership_protocol
from guavadyke.decisions.object_versions import CatalogueMark
from guavadyke.peer.generated.messages import ttypes

BAD_STRUCT = (TypeError, ValueError, AttributeError, KeyError)
_FACTORY = TCompactProtocolAcceleratedFactory()
_TEXT_BYTES = 8192
_LIST_LENGTH = 1024
_Struct = TypeVar('_Struct')
_Known = TypeVar('_Known')


@dataclasses.dataclass(frozen=True)
class PeerDatagram:
    """One datagram; ``number`` counts from the start of the sender.

    ``boot`` is drawn at that start, ``sent_ms`` is milliseconds since the
    epoch. The first of ``records`` is the sender's own, unless the
    datagram only carries a notice.
    """

    sender: str
    incarnation: int
    boot: str
    number: int
    sent_ms: int
    mark: CatalogueMark
    platform_reachable: bool
    signal: membership_protocol.Signal | None = None
    records: tuple[membership_protocol.PeerRecord, ...] = ()
    leaving: tuple[leaving_servers.LeavingMark, ...] = ()
    notice: ports.PeerNotice | None = None


def pack_struct(struct: object) -> bytes:
    """Return the struct in thrift's compact protocol."""
    return bytes(serialize(struct, _FACTORY))


def unpack_struct(struct: _Struct, payload: bytes) -> _Struct:
    """Fill the struct from bytes.

    Raises:
        PeerMessageError: the bytes are not such a struct.
    """
    try:
        deserialize(struct, payload, _FACTORY)
    # The accelerated reader raises many kinds of errors on wrong bytes.
    except Exception as error:
        raise PeerMessageError(Refusal.unreadable, repr(error)) from error
    return struct


def encode_datagram(datagram: PeerDatagram) -> bytes:
    """Return the datagram's payload."""
    notice = datagram.notice or ports.PeerNotice()
    struct = ttypes.Datagram(
        format=FORMAT,
        sender=datagram.sender,
        incarnation=datagram.incarnation,
        sequence=datagram.number,
        catalogue_revision=datagram.mark.total,
        catalogue_digest=datagram.mark.digest,
        platform_reachable=datagram.platform_reachable,
        boot=datagram.boot,
        sent_ms=datagram.sent_ms,
        peers=_listed(map(record_struct, datagram.records)),
        leaving=_listed(map(mark_struct, datagram.leaving)),
        demands=_listed(map(_demand_struct, notice.demands)),
        grants=_listed(map(_grant_struct, notice.grants)),
        counts=_listed(map(_count_struct, notice.counts)),
        batch_counts=_listed(map(_batch_struct, notice.batch_counts)),
    )
    _put_signal(struct, datagram.signal)
    return pack_struct(struct)


def decode_datagram(payload: bytes) -> PeerDatagram:
    """Read a payload.

    Raises:
        PeerMessageError: it cannot be read.
    """
    struct = unpack_struct(ttypes.Datagram(), payload)
    if struct.format != FORMAT:
        raise PeerMessageError(Refusal.other_format, f'{struct.format}')
    try:
        return _datagram(struct)
    except BAD_STRUCT as error:
        raise PeerMessageError(Refusal.unreadable, repr(error)) from error


def record_struct(record: membership_protocol.PeerRecord) -> Any:
    """Return the record as a thrift struct."""
    return ttypes.PeerRecord(
        host_id=record.host_id,
        zone=record.zone,
        region=record.region,
        address=record.address,
        incarnation=record.incarnation,
        state=ttypes.PeerState[record.state.name],
    )


def record_of(struct: Any) -> membership_protocol.PeerRecord:
    """Return the record that a thrift struct holds."""
    return membership_protocol.PeerRecord(
        host_id=_text(struct.host_id),
        zone=_text(struct.zone),
        region=_text(struct.region),
        address=_text(struct.address),
        incarnation=int(struct.incarnation),
        state=membership_protocol.PeerState[
            ttypes.PeerState(struct.state).name
        ],
    )


def mark_struct(mark: leaving_servers.LeavingMark) -> Any:
    """Return the mark as a thrift struct."""
    return ttypes.LeavingMark(
        backend_id=mark.backend_id,
        version=mark.version,
        leaving=mark.leaving,
        source=str(mark.source),
    )


def marks_of(
    structs: Iterable[Any] | None,
) -> tuple[leaving_servers.LeavingMark, ...]:
    """Return the marks whose sources this version knows."""
    known = frozenset(leaving_servers.LeavingSource)
    return tuple(
        leaving_servers.LeavingMark(
            backend_id=_text(struct.backend_id),
            source=leaving_servers.LeavingSource(struct.source),
            version=int(struct.version),
            leaving=bool(struct.leaving),
        )
        for struct in structs or ()
        if struct.source in known
    )


def _datagram(struct: Any) -> PeerDatagram:
    return PeerDatagram(
        sender=_text(struct.sender),
        incarnation=int(struct.incarnation),
        boot=_text(struct.boot),
        number=int(struct.sequence),
        sent_ms=int(struct.sent_ms),
        mark=CatalogueMark(
            int(struct.catalogue_revision),
            int(struct.catalogue_digest),
        ),
        platform_reachable=bool(struct.platform_reachable),
        signal=_signal(struct),
        records=_all(record_of, struct.peers),
        leaving=marks_of(struct.leaving),
        notice=_notice(struct),
    )


def _put_signal(struct: Any, signal: membership_protocol.Signal | None) -> None:
    if isinstance(signal, membership_protocol.Ping):
        struct.ping = ttypes.Ping(sequence=signal.sequence)
    elif isinstance(signal, membership_protocol.Ack):
        struct.ack = ttypes.Ack(
            sequence=signal.sequence,
            target=signal.target,
        )
    elif signal is not None:
        struct.ping_request = ttypes.PingRequest(
            sequence=signal.sequence,
            target=signal.target,
        )


def _signal(struct: Any) -> membership_protocol.Signal | None:
    if struct.ping is not None:
        return membership_protocol.Ping(int(struct.ping.sequence))
    if struct.ack is not None:
        return membership_protocol.Ack(
            int(struct.ack.sequence), _text(struct.ack.target)
        )
    if struct.ping_request is not None:
        return membership_protocol.PingRequest(
            int(struct.ping_request.sequence),
            _text(struct.ping_request.target),
        )
    return None


def _notice(struct: Any) -> ports.PeerNotice | None:
    notice = ports.PeerNotice(
        demands=_all(_demand_of, struct.demands),
        grants=_all(_grant_of, struct.grants),
        counts=_all(_count_of, struct.counts),
        batch_counts=_all(_batch_of, struct.batch_counts),
    )
    return None if notice == ports.PeerNotice() else notice


def _demand_struct(demand: ports.LimitDemand) -> Any:
    return ttypes.LimitDemand(
        limit_name=demand.limit_name,
        demand=float(demand.demand),
        sequence=demand.sequence,
        in_use=float(demand.in_use),
    )


def _demand_of(struct: Any) -> ports.LimitDemand:
    return ports.LimitDemand(
        _text(struct.limit_name),
        float(struct.demand),
        int(struct.sequence or 0),
        float(struct.in_use or 0),
    )


def _grant_struct(grant: ports.LimitGrant) -> Any:
    return ttypes.LimitGrant(
        limit_name=grant.limit_name,
        share=float(grant.share),
        valid_s=float(grant.valid_s),
        sequence=grant.sequence,
    )


def _grant_of(struct: Any) -> ports.LimitGrant:
    return ports.LimitGrant(
        _text(struct.limit_name),
        float(struct.share),
        float(struct.valid_s),
        int(struct.sequence or 0),
    )


def _count_struct(count: ports.OnlineCount) -> Any:
    return ttypes.OnlineCount(
        backend_id=count.backend_id,
        in_flight=count.in_flight,
        queued=count.queued,
    )


def _count_of(struct: Any) -> ports.OnlineCount:
    return ports.OnlineCount(
        _text(struct.backend_id),
        int(struct.in_flight),
        int(struct.queued),
    )


def _batch_struct(count: ports.BatchCount) -> Any:
    return ttypes.BatchCount(
        backend_id=count.backend_id,
        in_flight=count.in_flight,
    )


def _batch_of(struct: Any) -> ports.BatchCount:
    return ports.BatchCount(_text(struct.backend_id), int(struct.in_flight))


def _all(
    read: Callable[[Any], _Known],
    structs: Iterable[Any] | None,
) -> tuple[_Known, ...]:
    return tuple(read(struct) for struct in structs or ())


def _listed(structs: Iterable[Any]) -> list[Any] | None:
    return list(structs) or None


def _text(text: object) -> str:
    if isinstance(text, str) and len(text) <= _TEXT_BYTES:
        return text
    raise ValueError('a text is missing or too long')
