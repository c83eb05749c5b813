"""Answers calls of peers with this host's catalogue and fleet state."""

from __future__ import annotations

import dataclasses
import functools
from collections.abc import Callable

from guavadyke.adapters import peer_calls as calls
from guavadyke.adapters.platform_relay import PlatformRelay
from guavadyke.catalogue_objects import CatalogueObject, encode_object
from guavadyke.controllers.catalogue import CatalogueState
from guavadyke.controllers.membership_messages import FleetState
from guavadyke.decisions.object_versions import ObjectVersion
from guavadyke.snapshots import SnapshotCell

MAX_FETCHED_OBJECTS = 100


@dataclasses.dataclass(frozen=True)
class PeerRequestHandler:
    """Answers the calls of peers.

    Args:
        state: the catalogue in force on this host.
        differing_versions: returns the versions in the buckets that differ
            from the given digests.
        known_fleet: returns the records and marks that this host knows.
        relay: makes platform calls on behalf of peers.
    """

    state: SnapshotCell[CatalogueState]
    differing_versions: Callable[[tuple[int, ...]], tuple[ObjectVersion, ...]]
    known_fleet: Callable[[], FleetState]
    relay: PlatformRelay

    def answer(
        self,
        sender: str,
        request: calls.PeerRequest,
    ) -> calls.PeerReply:
        """Return the reply to a call of the host ``sender``."""
        return _answer(request, self)

    def objects_in_force(
        self, names: tuple[str, ...]
    ) -> tuple[CatalogueObject, ...]:
        """Return the objects in force of these names.

        Names past the first ``MAX_FETCHED_OBJECTS`` are ignored.
        """
        objects = self.state.current.objects
        return tuple(
            objects[name]
            for name in names[:MAX_FETCHED_OBJECTS]
            if name in objects
        )


@functools.singledispatch
def _answer(request: object, handler: PeerRequestHandler) -> calls.PeerReply:
    raise TypeError(f'unknown call {request!r}')


@_answer.register
def _answer_query(
    request: calls.CatalogueQuery,
    handler: PeerRequestHandler,
) -> calls.PeerReply:
    return calls.PeerReply(versions=handler.differing_versions(request.digests))


@_answer.register
def _answer_fetch(
    request: calls.CatalogueFetch,
    handler: PeerRequestHandler,
) -> calls.PeerReply:
    return calls.PeerReply(
        copies=tuple(
            calls.CatalogueCopy(
                catalogue_object.name, encode_object(catalogue_object)
            )
            for catalogue_object in handler.objects_in_force(request.names)
        ),
    )


@_answer.register
def _answer_fleet(
    request: calls.FleetQuery,
    handler: PeerRequestHandler,
) -> calls.PeerReply:
    known_fleet = handler.known_fleet()
    return calls.PeerReply(
        records=known_fleet.records, leaving=known_fleet.leaving
    )


@_answer.register
def _answer_platform(
    request: calls.PlatformCall,
    handler: PeerRequestHandler,
) -> calls.PeerReply:
    return handler.relay.answer(request)
