"""The platform's metadata store as the product's ``PlatformStore``."""

from __future__ import annotations

import json
import types
from collections.abc import Mapping
from typing import Any
from urllib.parse import quote, urlencode

import pydantic

from guavadyke.adapters.platform_calls import (
    GONE_STATUS,
    NOT_FOUND_STATUS,
    PlatformCall,
    PlatformCalls,
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
from guavadyke.settings import PlatformSettings

_PATH = '/api/objects'
_CONFLICT = 409
_JSON = types.MappingProxyType({'Content-Type': 'application/json'})


class _Metadata(pydantic.BaseModel):
    # Rev is the store's revision at the object's last change.
    name: str = pydantic.Field(alias='Name')
    version: int = pydantic.Field(alias='Rev')


class _Object(pydantic.BaseModel):
    metadata: _Metadata = pydantic.Field(alias='Metadata')
    spec: Any = pydantic.Field(alias='Spec', default=None)


class _Listing(pydantic.BaseModel):
    # AsOf is the store's revision as of the answer.
    objects: tuple[_Object, ...] = pydantic.Field(alias='Items')
    more: bool = pydantic.Field(alias='HasMore')
    revision: int = pydantic.Field(alias='AsOf')


class _Event(pydantic.BaseModel):
    deleted: bool = pydantic.Field(alias='Deleted')
    current: _Object = pydantic.Field(alias='Object')


class _Changes(pydantic.BaseModel):
    events: tuple[_Event, ...]
    revision: int = pydantic.Field(alias='AsOf')


class ObjectAnswers(ReplyParser):
    """Answers to writes hold the object, with its version in the body."""

    # A write to an object that is absent is answered as one.
    conflicts = frozenset((_CONFLICT, NOT_FOUND_STATUS))

    def version(self, headers: Mapping[str, str], body: bytes) -> int:
        """Return the object's version; 1 where the answer holds none."""
        try:
            return _Object.model_validate_json(body).metadata.version
        except pydantic.ValidationError:
            # Lists, removals and refusals hold no object.
            return 1


class ObjectStore:
    """Implements ``PlatformStore`` on the platform's object calls.

    Bodies of the system's own kinds are stored as text. What others have
    written is given back as JSON.

    Args:
        settings: where the store is and how long a call may take.
        host_id: this host's id.
    """

    def __init__(self, settings: PlatformSettings, host_id: str) -> None:
        self._calls = PlatformCalls(settings, host_id, ObjectAnswers())

    def read(self, kind: str, name: str) -> StoredObject | None:
        """Return the object, or None when it is absent."""
        reply = self._calls.read(PlatformCall('GET', _path(kind, name)))
        if reply.status == NOT_FOUND_STATUS:
            return None
        return _stored(kind, parse_reply(_Object, reply))

    def list_objects(
        self,
        kind: str,
        *,
        prefix: str = '',
        after: str = '',
        limit: int = 500,
        bodies: bool = True,
    ) -> ObjectListing:
        """Return a page of objects by name; the store sets its length."""
        query = f'?{urlencode({"After": after})}' if after else ''
        reply = self._calls.read(PlatformCall('GET', f'{_path(kind)}{query}'))
        if reply.status == NOT_FOUND_STATUS:
            raise PlatformUnavailableError(f'{kind} cannot be listed')
        listing = parse_reply(_Listing, reply)
        return ObjectListing(
            listing.revision,
            tuple(
                _stored(kind, one)
                for one in listing.objects
                if one.metadata.name.startswith(prefix)
            ),
            listing.more,
        )

    def create(self, kind: str, name: str, body: bytes) -> StoredObject:
        """Create the object.

        Raises:
            ObjectConflictError: it exists already.
        """
        document = {'Metadata': {'Name': name}, 'Spec': body.decode()}
        return self._write('POST', _path(kind), kind, name, body, document)

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
        path = _path(kind, name)
        return self._write('PUT', path, kind, name, body, document)

    def delete(self, kind: str, name: str, version: int) -> None:
        """Delete the object if it still has ``version``.

        Raises:
            ObjectConflictError: it has another version or is absent.
        """
        path = f'{_path(kind, name)}?{urlencode({"Rev": version})}'
        self._calls.write(PlatformCall('DELETE', path))

    def write_status(
        self,
        kind: str,
        name: str,
        status: Mapping[str, object],
    ) -> None:
        """Replace the status of an object, whatever its version."""
        self._calls.write(
            PlatformCall(
                'PUT',
                f'{_path(kind, name)}/status',
                json.dumps({
                    'Metadata': {'Name': name},
                    'Status': status,
                }).encode(),
                _JSON,
            ),
        )

    def watch(self, kind: str, revision: int, wait_s: float) -> WatchAnswer:
        """Wait up to ``wait_s`` seconds for changes after ``revision``."""
        query = urlencode({'Watch': revision, 'WaitMs': int(wait_s * 1000)})
        call = PlatformCall('GET', f'{_path(kind)}?{query}')
        reply = self._calls.watch(call, wait_s)
        if reply.status == GONE_STATUS:
            return WatchAnswer(revision, (), expired=True)
        changes = parse_reply(_Changes, reply)
        return WatchAnswer(
            changes.revision,
            tuple(_event(kind, one) for one in changes.events),
        )

    def hosts(self) -> tuple[ListedHost, ...]:
        """Return nothing: the platform lists no hosts of the system."""
        return ()

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
        reply = self._calls.write(PlatformCall(method, path, encoded, _JSON))
        return StoredObject(kind, name, reply.version, body)


def _path(kind: str, name: str = '') -> str:
    parts = (_PATH, quote(kind, safe=''), quote(name, safe=''))
    return '/'.join(filter(None, parts))


def _stored(kind: str, one: _Object) -> StoredObject:
    spec = one.spec
    text = spec if isinstance(spec, str) else json.dumps(spec)
    return StoredObject(
        kind,
        one.metadata.name,
        one.metadata.version,
        text.encode(),
    )


def _event(kind: str, event: _Event) -> ObjectEvent:
    stored = _stored(kind, event.current)
    return ObjectEvent(
        stored.name,
        stored.version,
        None if event.deleted else stored,
    )
