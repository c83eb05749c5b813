"""Requests, replies and errors of calls between entry hosts."""

from __future__ import annotations

import dataclasses
import enum
from typing import TypeAlias

from guavadyke.adapters.ports import ListedHost, ObjectEvent, StoredObject
from guavadyke.decisions.leaving_servers import LeavingMark
from guavadyke.decisions.membership_protocol import PeerRecord
from guavadyke.decisions.object_versions import ObjectVersion
from guavadyke.decisions.partial_texts import JobTexts
from guavadyke.errors import ErrorCode


@dataclasses.dataclass(frozen=True)
class CatalogueQuery:
    """Requests object versions of the buckets whose digests differ."""

    digests: tuple[int, ...]


@dataclasses.dataclass(frozen=True)
class CatalogueFetch:
    """Requests catalogue objects by name."""

    names: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class FleetQuery:
    """Requests the peers and leaving marks that the receiver knows."""


class PlatformMethod(enum.StrEnum):
    """Platform methods that a peer can call on a host's behalf."""

    read = 'read'
    list_objects = 'list_objects'
    create = 'create'
    update = 'update'
    delete = 'delete'
    hosts = 'hosts'

    @property
    def writes(self) -> bool:
        """Whether the outcome is unknown if the answer is lost."""
        return self in _WRITES


_WRITES = frozenset((
    PlatformMethod.create,
    PlatformMethod.update,
    PlatformMethod.delete,
))


@dataclasses.dataclass(frozen=True)
class PlatformCall:
    """A platform call that the receiver makes on the sender's behalf.

    For a list, ``name`` is the prefix.
    """

    method: PlatformMethod
    kind: str = ''
    name: str = ''
    body: bytes = b''
    version: int = 0
    after: str = ''
    limit: int = 0
    bodies: bool = True


@dataclasses.dataclass(frozen=True)
class WatchQuery:
    """Requests the changes of a kind after a revision of the platform.

    The receiver waits up to ``wait_s`` seconds for a change.
    """

    kind: str
    revision: int
    wait_s: float

    def with_wait(self, longest_s: float) -> WatchQuery:
        """Return the query with a wait of at most ``longest_s`` seconds."""
        return dataclasses.replace(self, wait_s=min(self.wait_s, longest_s))


@dataclasses.dataclass(frozen=True)
class TunnelCall:
    """Requests a connection to a backend server at an IP:PORT.

    After an answer without error the connection carries its bytes.
    """

    address: str


PeerRequest: TypeAlias = (
    CatalogueQuery
    | CatalogueFetch
    | FleetQuery
    | PlatformCall
    | WatchQuery
    | TunnelCall
    | JobTexts
)


@dataclasses.dataclass(frozen=True)
class CatalogueCopy:
    """A catalogue object without its history."""

    name: str
    body: bytes


@dataclasses.dataclass(frozen=True)
class PlatformReply:
    """The platform's answer to a ``PlatformCall`` or a ``WatchQuery``.

    ``events`` and ``expired`` answer a ``WatchQuery``; the latter says that
    the receiver does not know all changes since the revision.
    """

    objects: tuple[StoredObject, ...] = ()
    revision: int = 0
    more: bool = False
    hosts: tuple[ListedHost, ...] = ()
    events: tuple[ObjectEvent, ...] = ()
    expired: bool = False


@dataclasses.dataclass(frozen=True)
class RemoteError:
    """An error of the receiver, or of the platform that it called."""

    code: ErrorCode
    message: str
    current_version: int = 0


@dataclasses.dataclass(frozen=True)
class PeerReply:
    """The answer to any request; fields that do not apply are empty."""

    error: RemoteError | None = None
    versions: tuple[ObjectVersion, ...] = ()
    copies: tuple[CatalogueCopy, ...] = ()
    records: tuple[PeerRecord, ...] = ()
    leaving: tuple[LeavingMark, ...] = ()
    platform: PlatformReply = dataclasses.field(
        default_factory=PlatformReply,
    )


class PeerNotReachedError(Exception):
    """No connection to the peer was made, so the call had no effect."""


class PeerAnswerLostError(Exception):
    """The call was sent but its answer was lost; it may have taken effect."""
