"""Answers calls of peers from what this host knows."""

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

FETCHED_OBJECTS = 100


@dataclasses.dataclass(frozen=True)
class PeerRequestHandler:
    """What answers are made of.

    Args:
        state: the catalogue in force on this host.
        differing: returns the versions that differ from digests.
        known: returns the peers and marks that this host knows.
        helper: calls the platform for peers.
    """

    state: SnapshotCell[CatalogueState]
    differing: Callable[[tuple[int, ...]], tuple[ObjectVersion, ...]]
    known: Callable[[], FleetState]
    helper: PlatformRelay

    def answer(
        self,
        sender: str,
        request: calls.PeerRequest,
    ) -> calls.PeerReply:
        """Answer a call of the host ``sender``."""
        return _answer(request, self)

    def copies(self, names: tuple[str, ...]) -> tuple[CatalogueObject, ...]:
        """Return the objects in force of these names."""
        objects = self.state.current.objects
        return tuple(
            objects[name] for name in names[:FETCHED_OBJECTS] if name in objects
        )


@functools.singledispatch
def _answer(request: object, answers: PeerRequestHandler) -> calls.PeerReply:
    raise TypeError(f'unknown call {request!r}')


@_answer.register
def _answer_query(
    request: calls.CatalogueQuery,
    answers: PeerRequestHandler,
) -> calls.PeerReply:
    return calls.PeerReply(versions=answers.differing(request.digests))


@_answer.register
def _answer_fetch(
    request: calls.CatalogueFetch,
    answers: PeerRequestHandler,
) -> calls.PeerReply:
    return calls.PeerReply(
        copies=tuple(
            calls.CatalogueCopy(one.name, encode_object(one))
            for one in answers.copies(request.names)
        ),
    )


@_answer.register
def _answer_fleet(
    request: calls.FleetQuery,
    answers: PeerRequestHandler,
) -> calls.PeerReply:
    known = answers.known()
    return calls.PeerReply(records=known.records, leaving=known.leaving)


@_answer.register
def _answer_platform(
    request: calls.PlatformCall,
    answers: PeerRequestHandler,
) -> calls.PeerReply:
    return answers.helper.answer(request)
