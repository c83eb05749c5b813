"""Immutable snapshots that controllers publish for request threads."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Mapping
from typing import Generic, TypeVar

from guavadyke.catalogue import (
    BackendServerEntry,
    ModelEntry,
    OwnerEntry,
    PolicyEntry,
    ServiceEntry,
)

Value = TypeVar('Value')
_ALIVE = 'alive'


@dataclasses.dataclass(frozen=True)
class CatalogueSnapshot:
    """The catalogue that this host uses.

    ``versions`` maps object names to versions, ``owners_by_key_hash`` the
    SHA-256 hashes of callers' keys to owner names.
    """

    revision: int = 0
    entries: Mapping[str, ModelEntry | ServiceEntry] = dataclasses.field(
        default_factory=dict,
    )
    owners: Mapping[str, OwnerEntry] = dataclasses.field(default_factory=dict)
    backend_servers: Mapping[str, BackendServerEntry] = dataclasses.field(
        default_factory=dict,
    )
    policy: PolicyEntry = dataclasses.field(default_factory=PolicyEntry)
    versions: Mapping[str, int] = dataclasses.field(default_factory=dict)
    owners_by_key_hash: Mapping[str, str] = dataclasses.field(
        default_factory=dict,
    )


@dataclasses.dataclass(frozen=True)
class PeerView:
    """State of a peer as seen by this host.

    ``state`` is alive, suspect or left.
    """

    host_id: str
    zone: str
    region: str
    address: str
    state: str
    incarnation: int
    age_s: float


@dataclasses.dataclass(frozen=True)
class FleetSnapshot:
    """State of the fleet as seen by this host.

    ``gone`` are the ids of hosts that are known to have left or to be dead;
    ``grown_at`` is when this host last learned of a live one, in seconds of the
    monotonic clock. A host that is in neither ``peers`` nor ``gone`` may live.
    ``leaving`` holds the ids of backend servers that get no new work.
    ``platform_reachable`` is true if this host reaches the platform, either
    directly or through a peer.
    """

    peers: tuple[PeerView, ...] = ()
    gone: frozenset[str] = frozenset()
    grown_at: float = -math.inf
    leaving: frozenset[str] = frozenset()
    platform_reachable: bool = True

    @property
    def alive(self) -> tuple[PeerView, ...]:
        """The other hosts that are alive, neither suspect nor left."""
        return tuple(peer for peer in self.peers if peer.state == _ALIVE)


class SnapshotCell(Generic[Value]):
    """Holds the latest snapshot, for one writer and many readers.

    No lock is needed, since readers get a reference to an immutable object.

    Args:
        initial: snapshot that readers get before the first one is published.
    """

    def __init__(self, initial: Value) -> None:
        self._current = initial

    @property
    def current(self) -> Value:
        """The latest snapshot."""
        return self._current

    def publish(self, snapshot: Value) -> None:
        """Replace the snapshot that readers see."""
        self._current = snapshot
