"""Encodes and decodes datagrams between entry hosts as Thrift structs."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable
from typing import Any, TypeVar

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

from guavadyke.adapters import ports
from guavadyke.adapters.message_authentication import (
    FORMAT_VERSION,
    PeerMessageError,
    RejectionReason,
)
from guavadyke.adapters.peer_notice_codec import (
    list_or_none,
    notice_fields,
    notice_from_struct,
    parse_all,
)
from guavadyke.adapters.text_fields import checked_text
from guavadyke.decisions import leaving_servers, membership_protocol
from guavadyke.decisions.object_versions import CatalogueMark
from guavadyke.peer.generated.messages import ttypes

STRUCT_ERRORS = (TypeError, ValueError, AttributeError, KeyError)
_PROTOCOL_FACTORY = TCompactProtocolAcceleratedFactory()
_KNOWN_SOURCES = frozenset(leaving_servers.LeavingSource)
_MAX_LIST_LENGTH = 1024
_Struct = TypeVar('_Struct')


@dataclasses.dataclass(frozen=True)
class PeerDatagram:
    """The content of one datagram.

    ``boot`` is a random id of the sender's process and ``number`` counts
    its datagrams. ``sent_ms`` is milliseconds since the epoch.
    ``catalogue_mark`` summarizes the sender's catalogue. The first of
    ``records`` is the sender's own, except in a datagram that only carries
    a notice.
    """

    sender: str
    incarnation: int
    boot: str
    number: int
    sent_ms: int
    catalogue_mark: CatalogueMark
    platform_reachable: bool
    signal: membership_protocol.Signal | None = None
    records: tuple[membership_protocol.PeerRecord, ...] = ()
    leaving: tuple[leaving_servers.LeavingMark, ...] = ()
    notice: ports.PeerNotice | None = None


def pack_struct(struct: object) -> bytes:
    """Serialize the struct in Thrift's compact protocol."""
    return bytes(serialize(struct, _PROTOCOL_FACTORY))


def unpack_struct(struct: _Struct, payload: bytes) -> _Struct:
    """Deserialize the payload into ``struct`` and return it.

    Raises:
        PeerMessageError: the payload is not such a struct.
    """
    try:
        deserialize(struct, payload, _PROTOCOL_FACTORY)
    # The accelerated decoder raises errors of many kinds on malformed input.
    except Exception as error:
        raise PeerMessageError(
            RejectionReason.unreadable, repr(error)
        ) from error
    return struct


def encode_datagram(datagram: PeerDatagram) -> bytes:
    """Return the serialized datagram."""
    notice = datagram.notice or ports.PeerNotice()
    struct = ttypes.Datagram(
        format=FORMAT_VERSION,
        sender=datagram.sender,
        incarnation=datagram.incarnation,
        sequence=datagram.number,
        catalogue_revision=datagram.catalogue_mark.total,
        catalogue_digest=datagram.catalogue_mark.digest,
        platform_reachable=datagram.platform_reachable,
        boot=datagram.boot,
        sent_ms=datagram.sent_ms,
        peers=list_or_none(map(record_to_struct, datagram.records)),
        leaving=list_or_none(map(leaving_mark_to_struct, datagram.leaving)),
        **notice_fields(notice),
    )
    _set_signal(struct, datagram.signal)
    return pack_struct(struct)


def decode_datagram(payload: bytes) -> PeerDatagram:
    """Parse a serialized datagram.

    Raises:
        PeerMessageError: the payload is malformed or has another format
            version.
    """
    struct = unpack_struct(ttypes.Datagram(), payload)
    if struct.format != FORMAT_VERSION:
        raise PeerMessageError(RejectionReason.other_format, f'{struct.format}')
    try:
        return _datagram_from_struct(struct)
    except STRUCT_ERRORS as error:
        raise PeerMessageError(
            RejectionReason.unreadable, repr(error)
        ) from error


def record_to_struct(record: membership_protocol.PeerRecord) -> Any:
    """Return the record as a Thrift struct."""
    return ttypes.PeerRecord(
        host_id=record.host_id,
        zone=record.zone,
        region=record.region,
        address=record.address,
        incarnation=record.incarnation,
        state=ttypes.PeerState[record.state.name],
    )


def record_from_struct(struct: Any) -> membership_protocol.PeerRecord:
    """Return the record that a Thrift struct holds."""
    return membership_protocol.PeerRecord(
        host_id=checked_text(struct.host_id),
        zone=checked_text(struct.zone),
        region=checked_text(struct.region),
        address=checked_text(struct.address),
        incarnation=int(struct.incarnation),
        state=membership_protocol.PeerState[
            ttypes.PeerState(struct.state).name
        ],
    )


def leaving_mark_to_struct(mark: leaving_servers.LeavingMark) -> Any:
    """Return the leaving mark as a Thrift struct."""
    return ttypes.LeavingMark(
        backend_id=mark.backend_id,
        version=mark.version,
        leaving=mark.leaving,
        source=str(mark.source),
    )


def leaving_marks_from_structs(
    structs: Iterable[Any] | None,
) -> tuple[leaving_servers.LeavingMark, ...]:
    """Return the leaving marks, without those of unknown sources.

    Newer versions of the program may add sources.
    """
    return tuple(
        leaving_servers.LeavingMark(
            backend_id=checked_text(struct.backend_id),
            source=leaving_servers.LeavingSource(struct.source),
            version=int(struct.version),
            leaving=bool(struct.leaving),
        )
        for struct in structs or ()
        if struct.source in _KNOWN_SOURCES
    )


def _datagram_from_struct(struct: Any) -> PeerDatagram:
    return PeerDatagram(
        sender=checked_text(struct.sender),
        incarnation=int(struct.incarnation),
        boot=checked_text(struct.boot),
        number=int(struct.sequence),
        sent_ms=int(struct.sent_ms),
        catalogue_mark=CatalogueMark(
            int(struct.catalogue_revision),
            int(struct.catalogue_digest),
        ),
        platform_reachable=bool(struct.platform_reachable),
        signal=_signal_from_struct(struct),
        records=parse_all(record_from_struct, struct.peers),
        leaving=leaving_marks_from_structs(struct.leaving),
        notice=notice_from_struct(struct),
    )


def _set_signal(struct: Any, signal: membership_protocol.Signal | None) -> None:
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


def _signal_from_struct(struct: Any) -> membership_protocol.Signal | None:
    if struct.ping is not None:
        return membership_protocol.Ping(int(struct.ping.sequence))
    if struct.ack is not None:
        return membership_protocol.Ack(
            int(struct.ack.sequence), checked_text(struct.ack.target)
        )
    if struct.ping_request is not None:
        return membership_protocol.PingRequest(
            int(struct.ping_request.sequence),
            checked_text(struct.ping_request.target),
        )
    return None
