"""The platform's object API over HTTP."""

from __future__ import annotations

import base64
from collections.abc import Mapping
from typing import Annotated
from urllib.parse import quote, urlencode

import pydantic

from guavadyke.adapters.platform_calls import (
    GONE_STATUS,
    NOT_FOUND_STATUS,
    PlatformCall,
    PlatformCalls,
    PlatformReply,
    parse_reply,
)
from guavadyke.adapters.ports import (
    ListedHost,
    ObjectEvent,
    ObjectListing,
    StoredObject,
    WatchAnswer,
)
from guavadyke.settings import PlatformSettings

_Body = Annotated[bytes, pydantic.BeforeValidator(base64.b64decode)]


class _ObjectDocument(pydantic.BaseModel):
    name: str
    version: int
    body: _Body | None = None


class _ListDocument(pydantic.BaseModel):
    revision: int
    more: bool
    objects: tuple[_ObjectDocument, ...]


class _WatchDocument(pydantic.BaseModel):
    revision: int
    events: tuple[_ObjectDocument, ...]


class _HostDocument(pydantic.BaseModel):
    host_id: str
    role: str
    zone: str
    address: str
    leaving: bool


class _HostsDocument(pydantic.BaseModel):
    hosts: tuple[_HostDocument, ...]


class HttpPlatformStore:
    """Implements ``PlatformStore`` by HTTP.

    Args:
        settings: where the platform is and how long a call may take.
        host_id: this host's id, which the platform is told.
    """

    def __init__(self, settings: PlatformSettings, host_id: str = '') -> None:
        self._calls = PlatformCalls(settings, host_id)

    def read(self, kind: str, name: str) -> StoredObject | None:
        """Return the object, or None when it is absent."""
        reply = self._get(_object_path(kind, name))
        if reply.status == NOT_FOUND_STATUS:
            return None
        return StoredObject(kind, name, reply.version, reply.body)

    def list_objects(
        self,
        kind: str,
        *,
        prefix: str = '',
        after: str = '',
        limit: int = 500,
        bodies: bool = True,
    ) -> ObjectListing:
        """Return a page of objects by name."""
        query = urlencode({
            'prefix': prefix,
            'after': after,
            'limit': limit,
            'bodies': int(bodies),
        })
        reply = self._get(f'/objects/{quote(kind, safe="")}?{query}')
        document = parse_reply(_ListDocument, reply)
        return ObjectListing(
            document.revision,
            tuple(
                StoredObject(kind, one.name, one.version, one.body or b'')
                for one in document.objects
            ),
            document.more,
        )

    def create(self, kind: str, name: str, body: bytes) -> StoredObject:
        """Create the object.

        Raises:
            ObjectConflictError: it exists already.
        """
        return self._put(kind, name, body, {'If-None-Match': '*'})

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
        return self._put(kind, name, body, {'If-Match': f'"{version}"'})

    def delete(self, kind: str, name: str, version: int) -> None:
        """Delete the object if it still has ``version``.

        Raises:
            ObjectConflictError: it has another version or is absent.
        """
        self._calls.write(
            PlatformCall(
                'DELETE',
                _object_path(kind, name),
                condition={'If-Match': f'"{version}"'},
            ),
        )

    def watch(self, kind: str, revision: int, wait_s: float) -> WatchAnswer:
        """Wait up to ``wait_s`` seconds for changes after ``revision``."""
        query = urlencode({'after': revision, 'wait': wait_s})
        call = PlatformCall('GET', f'/watch/{quote(kind, safe="")}?{query}')
        reply = self._calls.watch(call, wait_s)
        if reply.status == GONE_STATUS:
            return WatchAnswer(revision, (), expired=True)
        document = parse_reply(_WatchDocument, reply)
        return WatchAnswer(
            document.revision,
            tuple(_event(kind, one) for one in document.events),
        )

    def hosts(self) -> tuple[ListedHost, ...]:
        """Return the list of live and leaving hosts; it lags."""
        document = parse_reply(_HostsDocument, self._get('/hosts'))
        return tuple(ListedHost(**host.model_dump()) for host in document.hosts)

    def _get(self, path: str) -> PlatformReply:
        return self._calls.read(PlatformCall('GET', path))

    def _put(
        self,
        kind: str,
        name: str,
        body: bytes,
        condition: Mapping[str, str],
    ) -> StoredObject:
        reply = self._calls.write(
            PlatformCall('PUT', _object_path(kind, name), body, condition),
        )
        return StoredObject(kind, name, reply.version, body)


def _object_path(kind: str, name: str) -> str:
    return f'/objects/{quote(kind, safe="")}/{quote(name, safe="")}'


def _event(kind: str, document: _ObjectDocument) -> ObjectEvent:
    current = (
        None
        if document.body is None
        else StoredObject(
            kind,
            document.name,
            document.version,
            document.body,
        )
    )
    return ObjectEvent(document.name, document.version, current)
