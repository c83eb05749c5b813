"""Turns calls between entry hosts into thrift structs and back."""

from __future__ import annotations

import dataclasses
import functools
from typing import Any

from guavadyke.adapters import peer_calls as calls
from guavadyke.adapters.message_authentication import (
    FORMAT,
    PeerMessageError,
    Refusal,
)
from guavadyke.adapters.peer_datagram_codec import (
    BAD_STRUCT,
    mark_struct,
    marks_of,
    pack_struct,
    record_of,
    record_struct,
    unpack_struct,
)
from guavadyke.adapters.ports import ListedHost, StoredObject
from guavadyke.decisions.object_versions import ObjectVersion
from guavadyke.errors import ErrorCode
from guavadyke.peer.generated.messages import ttypes


@dataclasses.dataclass(frozen=True)
class Envelope:
    """A call on its way; ``sent_ms`` is milliseconds since the epoch."""

    sender: str
    nonce: str
    sent_ms: int
    request: calls.PeerRequest


@dataclasses.dataclass(frozen=True)
class ReplyEnvelope:
    """An answer on its way, with the nonce of its call."""

    nonce: str
    reply: calls.PeerReply


def encode_call(envelope: Envelope) -> bytes:
    """Return the payload of a call."""
    struct = ttypes.Request(
        format=FORMAT,
        sender=envelope.sender,
        sent_ms=envelope.sent_ms,
        nonce=envelope.nonce,
    )
    _put(envelope.request, struct)
    return pack_struct(struct)


def decode_call(payload: bytes) -> Envelope:
    """Read the payload of a call.

    Raises:
        PeerMessageError: it cannot be read.
    """
    struct = unpack_struct(ttypes.Request(), payload)
    try:
        return Envelope(
            str(struct.sender),
            str(struct.nonce),
            int(struct.sent_ms),
            _request(struct),
        )
    except BAD_STRUCT as error:
        raise PeerMessageError(Refusal.unreadable, repr(error)) from error


def encode_reply(envelope: ReplyEnvelope) -> bytes:
    """Return the payload of an answer."""
    reply = envelope.reply
    platform = reply.platform
    struct = ttypes.Reply(
        format=FORMAT,
        nonce=envelope.nonce,
        error=None if reply.error is None else _error_struct(reply.error),
        versions=[
            ttypes.ObjectVersion(name=one.name, version=one.version)
            for one in reply.versions
        ],
        copies=[
            ttypes.CatalogueCopy(name=one.name, body=one.body)
            for one in reply.copies
        ],
        peers=[record_struct(one) for one in reply.records],
        leaving=[mark_struct(one) for one in reply.leaving],
        platform=ttypes.PlatformReply(
            objects=[_stored_struct(one) for one in platform.objects],
            revision=platform.revision,
            more=platform.more,
            hosts=[
                ttypes.ListedHost(**dataclasses.asdict(one))
                for one in platform.hosts
            ],
        ),
    )
    return pack_struct(struct)


def decode_reply(payload: bytes) -> ReplyEnvelope:
    """Read the payload of an answer.

    Raises:
        PeerMessageError: it cannot be read.
    """
    struct = unpack_struct(ttypes.Reply(), payload)
    try:
        return ReplyEnvelope(str(struct.nonce), _reply(struct))
    except BAD_STRUCT as error:
        raise PeerMessageError(Refusal.unreadable, repr(error)) from error


@functools.singledispatch
def _put(request: object, struct: Any) -> None:
    raise TypeError(f'unknown call {request!r}')


@_put.register
def _put_query(request: calls.CatalogueQuery, struct: Any) -> None:
    struct.catalogue_query = ttypes.CatalogueQuery(
        digests=list(request.digests),
    )


@_put.register
def _put_fetch(request: calls.CatalogueFetch, struct: Any) -> None:
    struct.catalogue_fetch = ttypes.CatalogueFetch(names=list(request.names))


@_put.register
def _put_fleet(request: calls.FleetQuery, struct: Any) -> None:
    struct.fleet_query = ttypes.FleetQuery()


@_put.register
def _put_platform(request: calls.PlatformCall, struct: Any) -> None:
    struct.platform_call = ttypes.PlatformCall(
        method=str(request.method),
        kind=request.kind,
        name=request.name,
        body=request.body,
        version=request.version,
        after=request.after,
        limit=request.limit,
        bodies=request.bodies,
    )


def _request(struct: Any) -> calls.PeerRequest:
    if struct.catalogue_query is not None:
        return calls.CatalogueQuery(tuple(struct.catalogue_query.digests))
    if struct.catalogue_fetch is not None:
        return calls.CatalogueFetch(tuple(struct.catalogue_fetch.names))
    if struct.fleet_query is not None:
        return calls.FleetQuery()
    call = struct.platform_call
    return calls.PlatformCall(
        method=calls.PlatformMethod(call.method),
        kind=call.kind,
        name=call.name,
        body=call.body or b'',
        version=call.version or 0,
        after=call.after or '',
        limit=call.limit or 0,
        bodies=bool(call.bodies),
    )


def _reply(struct: Any) -> calls.PeerReply:
    return calls.PeerReply(
        error=None if struct.error is None else _error(struct.error),
        versions=tuple(
            ObjectVersion(one.name, one.version)
            for one in struct.versions or ()
        ),
        copies=tuple(
            calls.CatalogueCopy(one.name, one.body)
            for one in struct.copies or ()
        ),
        records=tuple(record_of(one) for one in struct.peers or ()),
        leaving=marks_of(struct.leaving),
        platform=_platform(struct.platform or ttypes.PlatformReply()),
    )


def _platform(struct: Any) -> calls.PlatformReply:
    return calls.PlatformReply(
        objects=tuple(
            StoredObject(one.kind, one.name, one.version, one.body)
            for one in struct.objects or ()
        ),
        revision=struct.revision or 0,
        more=bool(struct.more),
        hosts=tuple(
            ListedHost(
                one.host_id,
                one.role,
                one.zone,
                one.address,
                bool(one.leaving),
            )
            for one in struct.hosts or ()
        ),
    )


def _error(struct: Any) -> calls.RemoteError:
    return calls.RemoteError(
        ErrorCode(struct.code),
        str(struct.message),
        struct.current_version or 0,
    )


def _error_struct(error: calls.RemoteError) -> Any:
    return ttypes.RemoteError(
        code=str(error.code),
        message=error.message,
        current_version=error.current_version,
    )


def _stored_struct(stored: StoredObject) -> Any:
    return ttypes.StoredObject(
        kind=stored.kind,
        name=stored.name,
        version=stored.version,
        body=stored.body,
    )
