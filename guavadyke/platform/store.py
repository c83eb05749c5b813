"""Client of the platform's metadata store."""

from __future__ import annotations

import dataclasses
import json
import types
from collections.abc import Mapping
from typing import Any
from urllib.parse import quote, urlencode

import pydantic

from guavadyke.adapters.platform_calls import (
    GONE_STATUS,
    NOT_FOUND_STATUS,
    Document,
    PlatformCall,
    PlatformCalls,
    PlatformReply,
    ReplyParser,
    parse_reply,
)
from guavadyke.adapters.ports import (
    ListedHost,
    ObjectEvent,
    ObjectListing,
    StoredObject,
    WatchAnswer,
)
from guavadyke.errors import PlatformUnavailableError
from guavadyke.log import EventLogger
from guavadyke.platform.odd_objects import AnswerRepair
from guavadyke.settings import PlatformSettings

_OBJECTS_PATH = '/api/objects'
_HTTP_CONFLICT = 409
_MAX_REASON = 300
_JSON_HEADERS = types.MappingProxyType({'Content-Type': 'application/json'})


class _Metadata(pydantic.BaseModel):
    # Rev is the store-wide revision at the last change of the object.
    name: str = pydantic.Field(alias='Name')
    version: int = pydantic.Field(alias='Rev')


class _Object(pydantic.BaseModel):
    metadata: _Metadata = pydantic.Field(alias='Metadata')
    spec: Any = pydantic.Field(alias='Spec', default=None)


class _StatusDocument(pydantic.BaseModel):
    status: dict[str, Any] | None = pydantic.Field(alias='Status', default=None)


class _Listing(pydantic.BaseModel):
    # AsOf is the store-wide revision that the listing reflects.
    objects: tuple[_Object, ...] = pydantic.Field(alias='Items')
    more: bool = pydantic.Field(alias='HasMore')
    revision: int = pydantic.Field(alias='AsOf')


class _Event(pydantic.BaseModel):
    deleted: bool = pydantic.Field(alias='Deleted')
    current: _Object = pydantic.Field(alias='Object')


class _Changes(pydantic.BaseModel):
    events: tuple[_Event, ...]
    revision: int = pydantic.Field(alias='AsOf')


def _is_object(element: bytes) -> bool:
    return _is_valid(_Object, element)


def _is_event(element: bytes) -> bool:
    return _is_valid(_Event, element)


def _is_valid(model: type[pydantic.BaseModel], element: bytes) -> bool:
    try:
        model.model_validate_json(element)
    except pydantic.ValidationError:
        return False
    return True


_LISTED_OBJECTS = AnswerRepair('Items', _is_object)
_CHANGED_OBJECTS = AnswerRepair('events', _is_event)


class ObjectReplyReader(ReplyParser):
    """Reads the object's version from the body of a reply to a write."""

    # The store answers a conditional write to a missing object with 404.
    conflicts = frozenset((_HTTP_CONFLICT, NOT_FOUND_STATUS))

    def version(self, headers: Mapping[str, str], body: bytes) -> int:
        """Return the object's version, 1 if the body holds no object."""
        try:
            return _Object.model_validate_json(body).metadata.version
        except pydantic.ValidationError:
            # Replies to lists, deletions and rejected calls hold no object.
            return 1


class ObjectStore:
    """Implements ``PlatformStore`` with the platform's HTTP API.

    Bodies that Guavadyke writes are stored as JSON strings and returned
    unchanged. Objects that others wrote are returned as JSON text.

    Args:
        settings: URL of the store and timeouts of calls.
        host_id: this host's id.
        logger: logs answers with an object that cannot be read.
    """

    def __init__(
        self, settings: PlatformSettings, host_id: str, logger: EventLogger
    ) -> None:
        self._logger = logger
        self._calls = PlatformCalls(settings, host_id, ObjectReplyReader())

    def read(self, kind: str, name: str) -> StoredObject | None:
        """Return the object, or None when it is absent."""
        reply = self._calls.read(PlatformCall('GET', _object_path(kind, name)))
        if reply.status == NOT_FOUND_STATUS:
            return None
        listed = b'{"Items":[%b],"HasMore":false,"AsOf":0}' % reply.body
        listing = self._parse(
            _Listing, dataclasses.replace(reply, body=listed), _LISTED_OBJECTS
        )
        if not listing.objects:
            raise PlatformUnavailableError(f'{kind} {name} cannot be read')
        return _stored_object(kind, listing.objects[0])

    def list_objects(
        self,
        kind: str,
        *,
        prefix: str = '',
        after: str = '',
        limit: int = 500,
        bodies: bool = True,
    ) -> ObjectListing:
        """Return a page of objects in order of their names.

        ``limit`` and ``bodies`` have no effect: the store chooses the length
        of a page and always sends bodies.
        """
        query = f'?{urlencode({"After": after})}' if after else ''
        reply = self._calls.read(
            PlatformCall('GET', f'{_object_path(kind)}{query}')
        )
        if reply.status == NOT_FOUND_STATUS:
            raise PlatformUnavailableError(f'{kind} cannot be listed')
        listing = self._parse(_Listing, reply, _LISTED_OBJECTS)
        return ObjectListing(
            listing.revision,
            tuple(
                _stored_object(kind, listed)
                for listed in listing.objects
                if listed.metadata.name.startswith(prefix)
            ),
            listing.more,
        )

    def create(self, kind: str, name: str, body: bytes) -> StoredObject:
        """Create the object.

        Raises:
            ObjectConflictError: the object exists already.
        """
        document = {'Metadata': {'Name': name}, 'Spec': body.decode()}
        return self._write(
            'POST', _object_path(kind), kind, name, body, document
        )

    def update(
        self,
        kind: str,
        name: str,
        body: bytes,
        version: int,
    ) -> StoredObject:
        """Replace the object if it still has ``version``.

        Raises:
            ObjectConflictError: it has another version or is absent.
        """
        document = {
            'Metadata': {'Name': name, 'Rev': version},
            'Spec': body.decode(),
        }
        path = _object_path(kind, name)
        return self._write('PUT', path, kind, name, body, document)

    def delete(self, kind: str, name: str, version: int) -> None:
        """Delete the object if it still has ``version``.

        Raises:
            ObjectConflictError: it has another version or is absent.
        """
        path = f'{_object_path(kind, name)}?{urlencode({"Rev": version})}'
        self._calls.write(PlatformCall('DELETE', path))

    def read_status(self, kind: str, name: str) -> Mapping[str, object]:
        """Return the status of an object, empty if it has none."""
        reply = self._calls.read(PlatformCall('GET', _object_path(kind, name)))
        if reply.status == NOT_FOUND_STATUS:
            return {}
        try:
            document = _StatusDocument.model_validate_json(reply.body)
        except pydantic.ValidationError as error:
            raise PlatformUnavailableError(
                f'the status of {kind} {name} cannot be read'
            ) from error
        return document.status or {}

    def write_status(
        self,
        kind: str,
        name: str,
        status: Mapping[str, object],
    ) -> None:
        """Replace the status of an object regardless of its version."""
        self._calls.write(
            PlatformCall(
                'PUT',
                f'{_object_path(kind, name)}/status',
                json.dumps({
                    'Metadata': {'Name': name},
                    'Status': status,
                }).encode(),
                _JSON_HEADERS,
            ),
        )

    def watch(self, kind: str, revision: int, wait_s: float) -> WatchAnswer:
        """Wait up to ``wait_s`` seconds for changes after ``revision``."""
        query = urlencode({'Watch': revision, 'WaitMs': int(wait_s * 1000)})
        call = PlatformCall('GET', f'{_object_path(kind)}?{query}')
        reply = self._calls.watch(call, wait_s)
        if reply.status == GONE_STATUS:
            return WatchAnswer(revision, (), expired=True)
        changes = self._parse(_Changes, reply, _CHANGED_OBJECTS)
        return WatchAnswer(
            changes.revision,
            tuple(_object_event(kind, change) for change in changes.events),
        )

    def hosts(self) -> tuple[ListedHost, ...]:
        """Return no hosts: this platform doesn't list entry hosts."""
        return ()

    def _parse(
        self, model: type[Document], reply: PlatformReply, repair: AnswerRepair
    ) -> Document:
        """Parse a list; an object in it that is unreadable has no contents.

        Raises:
            PlatformUnavailableError: the answer itself is malformed.
        """
        try:
            return parse_reply(model, reply)
        except PlatformUnavailableError as error:
            reason = error.message
        try:
            readable = repair(reply.body)
        except (ValueError, RecursionError) as error:
            raise PlatformUnavailableError(
                f'the platform returned a malformed answer: {error!r}',
            ) from error
        self._logger.warning(
            'platform_objects_unreadable',
            emptied=readable.emptied,
            left_out=readable.left_out,
            reason=reason[:_MAX_REASON],
        )
        return parse_reply(
            model, dataclasses.replace(reply, body=readable.body)
        )

    def _write(
        self,
        method: str,
        path: str,
        kind: str,
        name: str,
        body: bytes,
        document: Mapping[str, object],
    ) -> StoredObject:
        encoded = json.dumps(document).encode()
        reply = self._calls.write(
            PlatformCall(method, path, encoded, _JSON_HEADERS)
        )
        return StoredObject(kind, name, reply.version, body)


def _object_path(kind: str, name: str = '') -> str:
    parts = (_OBJECTS_PATH, quote(kind, safe=''), quote(name, safe=''))
    return '/'.join(filter(None, parts))


def _stored_object(kind: str, wire_object: _Object) -> StoredObject:
    spec = wire_object.spec
    try:
        text = spec if isinstance(spec, str) else json.dumps(spec)
    except (ValueError, RecursionError):
        # A number with thousands of digits; no reader can use the object.
        text = ''
    return StoredObject(
        kind,
        wire_object.metadata.name,
        wire_object.metadata.version,
        text.encode(),
    )


def _object_event(kind: str, event: _Event) -> ObjectEvent:
    stored = _stored_object(kind, event.current)
    return ObjectEvent(
        stored.name,
        stored.version,
        None if event.deleted else stored,
    )
