"""Immutable snapshots that controllers publish and request threads read."""

from __future__ import annotations

import dataclasses
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


@dataclasses.dataclass(frozen=True)
class CatalogueSnapshot:
    """The configuration in force on this host.

    ``versions`` gives the platform's version of each object by name;
    ``owners_by_key_hash`` names the owner of each caller key.
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
    """A peer as this host sees it; ``state`` is alive, suspect or left."""

    host_id: str
    zone: str
    region: str
    address: str
    state: str
    incarnation: int
    age_s: float


@dataclasses.dataclass(frozen=True)
class FleetSnapshot:
    """Peers and leaving backend servers as this host sees them.

    ``leaving`` holds the ids of backend servers that get no new work;
    ``platform_reachable`` tells whether this host reaches the platform,
    itself or through a peer.
    """

    peers: tuple[PeerView, ...] = ()
    leaving: frozenset[str] = frozenset()
    platform_reachable: bool = True


class SnapshotCell(Generic[Value]):
    """Holds the newest snapshot; one writer, many readers, no locks.

    Args:
        first: snapshot that readers see before anything is published.
    """

    def __init__(self, first: Value) -> None:
        self._current = first

    @property
    def current(self) -> Value:
        """The newest snapshot."""
        return self._current

    def publish(self, snapshot: Value) -> None:
        """Replace the snapshot that readers see."""
        self._current = snapshot
