"""Makes calls to the platform for peers that do not reach it."""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Iterable

from guavadyke.adapters import peer_calls as calls
from guavadyke.adapters.ports import PlatformStore, StoredObject
from guavadyke.errors import GuavadykeError, ObjectConflictError

_PAGE_BYTES = 1_500_000
_LONGEST_PAGE = 500


class PlatformRelay:
    """Answers a peer's platform calls, within this host's own budget.

    Args:
        direct: the platform; no other peer is asked.
    """

    def __init__(self, direct: PlatformStore) -> None:
        self._direct = direct
        self.calls_through_peers = 0

    def answer(self, call: calls.PlatformCall) -> calls.PeerReply:
        """Make the call and return what the platform answered."""
        self.calls_through_peers += 1
        try:
            return calls.PeerReply(platform=self._made(call))
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

    def _made(self, call: calls.PlatformCall) -> calls.PlatformReply:
        if call.method is calls.PlatformMethod.list_objects:
            return self._listed(call)
        if call.method is calls.PlatformMethod.hosts:
            return calls.PlatformReply(hosts=self._direct.hosts())
        stored = self._object(call)
        return calls.PlatformReply(
            objects=() if stored is None else (stored,),
        )

    def _object(self, call: calls.PlatformCall) -> StoredObject | None:
        kind, name = call.kind, call.name
        if call.method is calls.PlatformMethod.read:
            return self._direct.read(kind, name)
        if call.method is calls.PlatformMethod.create:
            return self._direct.create(kind, name, call.body)
        if call.method is calls.PlatformMethod.update:
            return self._direct.update(kind, name, call.body, call.version)
        self._direct.delete(kind, name, call.version)
        return None

    def _listed(self, call: calls.PlatformCall) -> calls.PlatformReply:
        page = self._direct.list_objects(
            call.kind,
            prefix=call.name,
            after=call.after,
            limit=min(call.limit, _LONGEST_PAGE),
            bodies=call.bodies,
        )
        listed = page.objects
        if not call.bodies:
            # A platform may list bodies all the same; the peer needs none.
            listed = tuple(dataclasses.replace(one, body=b'') for one in listed)
        kept = _that_fit(listed)
        return calls.PlatformReply(
            objects=kept,
            revision=page.revision,
            more=page.more or len(kept) < len(page.objects),
        )


def _that_fit(objects: Iterable[StoredObject]) -> tuple[StoredObject, ...]:
    """Return the first objects, at least one, that fit into an answer."""
    found = tuple(objects)
    sizes = itertools.accumulate(len(one.body) for one in found)
    fitting = sum(1 for size in sizes if size <= _PAGE_BYTES)
    return found[: max(1, fitting)]
