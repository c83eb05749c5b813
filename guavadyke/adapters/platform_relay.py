"""Relays platform calls for peers that cannot reach the platform."""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Callable, Iterable

from guavadyke.adapters import peer_calls as calls
from guavadyke.adapters.ports import PlatformStore, StoredObject
from guavadyke.errors import ErrorCode, GuavadykeError, ObjectConflictError

_MAX_PAGE_BYTES = 1_500_000
_MAX_PAGE_OBJECTS = 500


class PlatformRelay:
    """Makes platform calls for peers, within this host's rate limit.

    Args:
        direct: store that calls the platform directly, never through
            another peer.
        reaches_platform: whether this host's own calls succeed.
    """

    def __init__(
        self, direct: PlatformStore, reaches_platform: Callable[[], bool]
    ) -> None:
        self._direct = direct
        self._reaches_platform = reaches_platform
        self.relayed_calls = 0

    def answer(self, call: calls.PlatformCall) -> calls.PeerReply:
        """Make the call and return the platform's answer or error.

        A host that does not reach the platform itself refuses at once, so
        that its threads stay free for the time when it does.
        """
        if not self._reaches_platform():
            return calls.PeerReply(
                error=calls.RemoteError(
                    ErrorCode.platform_unavailable,
                    'this host does not reach the platform either',
                ),
            )
        self.relayed_calls += 1
        try:
            return calls.PeerReply(platform=self._call(call))
        except ObjectConflictError as error:
            return calls.PeerReply(
                error=calls.RemoteError(
                    error.code,
                    error.message,
                    error.current_version,
                ),
            )
        except GuavadykeError as error:
            return calls.PeerReply(
                error=calls.RemoteError(error.code, error.message),
            )

    def _call(self, call: calls.PlatformCall) -> calls.PlatformReply:
        if call.method is calls.PlatformMethod.list_objects:
            return self._list_objects(call)
        if call.method is calls.PlatformMethod.hosts:
            return calls.PlatformReply(hosts=self._direct.hosts())
        stored = self._call_for_object(call)
        return calls.PlatformReply(
            objects=() if stored is None else (stored,),
        )

    def _call_for_object(self, call: calls.PlatformCall) -> StoredObject | None:
        kind, name = call.kind, call.name
        if call.method is calls.PlatformMethod.read:
            return self._direct.read(kind, name)
        if call.method is calls.PlatformMethod.create:
            return self._direct.create(kind, name, call.body)
        if call.method is calls.PlatformMethod.update:
            return self._direct.update(kind, name, call.body, call.version)
        self._direct.delete(kind, name, call.version)
        return None

    def _list_objects(self, call: calls.PlatformCall) -> calls.PlatformReply:
        page = self._direct.list_objects(
            call.kind,
            prefix=call.name,
            after=call.after,
            limit=min(call.limit, _MAX_PAGE_OBJECTS),
            bodies=call.bodies,
        )
        page_objects = page.objects
        if not call.bodies:
            # Some platforms return bodies anyway; the peer does not need them.
            page_objects = tuple(
                dataclasses.replace(stored_object, body=b'')
                for stored_object in page_objects
            )
        fitting_objects = _objects_that_fit(page_objects)
        return calls.PlatformReply(
            objects=fitting_objects,
            revision=page.revision,
            more=page.more or len(fitting_objects) < len(page.objects),
        )


def _objects_that_fit(
    objects: Iterable[StoredObject],
) -> tuple[StoredObject, ...]:
    """Return the leading objects, at least one, that fit into one answer."""
    all_objects = tuple(objects)
    sizes = itertools.accumulate(len(each.body) for each in all_objects)
    fitting_count = sum(1 for size in sizes if size <= _MAX_PAGE_BYTES)
    return all_objects[: max(1, fitting_count)]
