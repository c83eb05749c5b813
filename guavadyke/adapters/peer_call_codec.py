"""Encodes and decodes calls between entry hosts as Thrift structs."""

from __future__ import annotations

import dataclasses
import functools
from typing import Any

from guavadyke.adapters import peer_calls as calls
from guavadyke.adapters.job_texts_codec import (
    job_texts_from_struct,
    job_texts_to_struct,
)
from guavadyke.adapters.message_authentication import (
    FORMAT_VERSION,
    PeerMessageError,
    RejectionReason,
)
from guavadyke.adapters.peer_datagram_codec import (
    STRUCT_ERRORS,
    leaving_mark_to_struct,
    leaving_marks_from_structs,
    pack_struct,
    record_from_struct,
    record_to_struct,
    unpack_struct,
)
from guavadyke.adapters.ports import ListedHost, ObjectEvent, StoredObject
from guavadyke.decisions.object_versions import ObjectVersion
from guavadyke.decisions.partial_texts import JobTexts
from guavadyke.errors import ErrorCode
from guavadyke.peer.generated.messages import ttypes


@dataclasses.dataclass(frozen=True)
class CallEnvelope:
    """A call with its sender, nonce and send time.

    ``sent_ms`` is milliseconds since the epoch.
    """

    sender: str
    nonce: str
    sent_ms: int
    request: calls.PeerRequest


@dataclasses.dataclass(frozen=True)
class ReplyEnvelope:
    """An answer with the nonce of its call."""

    nonce: str
    reply: calls.PeerReply


def encode_call(envelope: CallEnvelope) -> bytes:
    """Return the serialized call."""
    struct = ttypes.Request(
        format=FORMAT_VERSION,
        sender=envelope.sender,
        sent_ms=envelope.sent_ms,
        nonce=envelope.nonce,
    )
    _set_request(envelope.request, struct)
    return pack_struct(struct)


def decode_call(payload: bytes) -> CallEnvelope:
    """Parse a serialized call.

    Raises:
        PeerMessageError: the payload is not a valid call.
    """
    struct = unpack_struct(ttypes.Request(), payload)
    try:
        return CallEnvelope(
            str(struct.sender),
            str(struct.nonce),
            int(struct.sent_ms),
            _request_from_struct(struct),
        )
    except STRUCT_ERRORS as error:
        raise PeerMessageError(
            RejectionReason.unreadable, repr(error)
        ) from error


def encode_reply(envelope: ReplyEnvelope) -> bytes:
    """Return the serialized answer."""
    reply = envelope.reply
    platform = reply.platform
    struct = ttypes.Reply(
        format=FORMAT_VERSION,
        nonce=envelope.nonce,
        error=None if reply.error is None else _error_to_struct(reply.error),
        versions=[
            ttypes.ObjectVersion(
                name=object_version.name,
                version=object_version.version,
            )
            for object_version in reply.versions
        ],
        copies=[
            ttypes.CatalogueCopy(
                name=catalogue_copy.name,
                body=catalogue_copy.body,
            )
            for catalogue_copy in reply.copies
        ],
        peers=[record_to_struct(record) for record in reply.records],
        leaving=[leaving_mark_to_struct(mark) for mark in reply.leaving],
        platform=ttypes.PlatformReply(
            objects=[
                _stored_object_to_struct(stored_object)
                for stored_object in platform.objects
            ],
            revision=platform.revision,
            more=platform.more,
            hosts=[
                ttypes.ListedHost(**dataclasses.asdict(listed_host))
                for listed_host in platform.hosts
            ],
            events=[_event_to_struct(event) for event in platform.events],
            expired=platform.expired,
        ),
    )
    return pack_struct(struct)


def decode_reply(payload: bytes) -> ReplyEnvelope:
    """Parse a serialized answer.

    Raises:
        PeerMessageError: the payload is not a valid answer.
    """
    struct = unpack_struct(ttypes.Reply(), payload)
    try:
        return ReplyEnvelope(str(struct.nonce), _reply_from_struct(struct))
    except STRUCT_ERRORS as error:
        raise PeerMessageError(
            RejectionReason.unreadable, repr(error)
        ) from error


@functools.singledispatch
def _set_request(request: object, struct: Any) -> None:
    raise TypeError(f'unknown call {request!r}')


@_set_request.register
def _set_catalogue_query(request: calls.CatalogueQuery, struct: Any) -> None:
    struct.catalogue_query = ttypes.CatalogueQuery(
        digests=list(request.digests),
    )


@_set_request.register
def _set_catalogue_fetch(request: calls.CatalogueFetch, struct: Any) -> None:
    struct.catalogue_fetch = ttypes.CatalogueFetch(names=list(request.names))


@_set_request.register
def _set_fleet_query(request: calls.FleetQuery, struct: Any) -> None:
    struct.fleet_query = ttypes.FleetQuery()


@_set_request.register
def _set_platform_call(request: calls.PlatformCall, struct: Any) -> None:
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


@_set_request.register
def _set_watch_query(request: calls.WatchQuery, struct: Any) -> None:
    struct.watch_query = ttypes.WatchQuery(
        kind=request.kind,
        revision=request.revision,
        wait_ms=int(request.wait_s * 1000),
    )


@_set_request.register
def _set_tunnel_call(request: calls.TunnelCall, struct: Any) -> None:
    struct.tunnel_call = ttypes.TunnelCall(address=request.address)


@_set_request.register
def _set_job_texts(request: JobTexts, struct: Any) -> None:
    struct.partial_texts = job_texts_to_struct(request)


def _request_from_struct(struct: Any) -> calls.PeerRequest:
    if struct.catalogue_query is not None:
        return calls.CatalogueQuery(tuple(struct.catalogue_query.digests))
    if struct.catalogue_fetch is not None:
        return calls.CatalogueFetch(tuple(struct.catalogue_fetch.names))
    if struct.fleet_query is not None:
        return calls.FleetQuery()
    if struct.watch_query is not None:
        return calls.WatchQuery(
            struct.watch_query.kind,
            struct.watch_query.revision,
            struct.watch_query.wait_ms / 1000,
        )
    if struct.tunnel_call is not None:
        return calls.TunnelCall(str(struct.tunnel_call.address))
    return (
        _platform_call_from_struct(struct.platform_call)
        if struct.partial_texts is None
        else job_texts_from_struct(struct.partial_texts)
    )


def _platform_call_from_struct(call: Any) -> calls.PlatformCall:
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


def _reply_from_struct(struct: Any) -> calls.PeerReply:
    return calls.PeerReply(
        error=None
        if struct.error is None
        else _error_from_struct(struct.error),
        versions=tuple(
            ObjectVersion(object_version.name, object_version.version)
            for object_version in struct.versions or ()
        ),
        copies=tuple(
            calls.CatalogueCopy(catalogue_copy.name, catalogue_copy.body)
            for catalogue_copy in struct.copies or ()
        ),
        records=tuple(
            record_from_struct(record) for record in struct.peers or ()
        ),
        leaving=leaving_marks_from_structs(struct.leaving),
        platform=_platform_reply_from_struct(
            struct.platform or ttypes.PlatformReply()
        ),
    )


def _platform_reply_from_struct(struct: Any) -> calls.PlatformReply:
    return calls.PlatformReply(
        events=tuple(map(_event_from_struct, struct.events or ())),
        expired=bool(struct.expired),
        objects=tuple(
            _stored_object_from_struct(stored_object)
            for stored_object in struct.objects or ()
        ),
        revision=struct.revision or 0,
        more=bool(struct.more),
        hosts=tuple(
            ListedHost(
                listed_host.host_id,
                listed_host.role,
                listed_host.zone,
                listed_host.address,
                bool(listed_host.leaving),
            )
            for listed_host in struct.hosts or ()
        ),
    )


def _error_from_struct(struct: Any) -> calls.RemoteError:
    return calls.RemoteError(
        ErrorCode(struct.code),
        str(struct.message),
        struct.current_version or 0,
    )


def _error_to_struct(error: calls.RemoteError) -> Any:
    return ttypes.RemoteError(
        code=str(error.code),
        message=error.message,
        current_version=error.current_version,
    )


def _stored_object_from_struct(struct: Any) -> StoredObject:
    return StoredObject(struct.kind, struct.name, struct.version, struct.body)


def _stored_object_to_struct(stored: StoredObject) -> Any:
    return ttypes.StoredObject(
        kind=stored.kind,
        name=stored.name,
        version=stored.version,
        body=stored.body,
    )


def _event_to_struct(event: ObjectEvent) -> Any:
    return ttypes.ObjectEvent(
        name=event.name,
        version=event.version,
        current=None
        if event.current is None
        else _stored_object_to_struct(event.current),
    )


def _event_from_struct(struct: Any) -> ObjectEvent:
    return ObjectEvent(
        struct.name,
        struct.version,
        None
        if struct.current is None
        else _stored_object_from_struct(struct.current),
    )
