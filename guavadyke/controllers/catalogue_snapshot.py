"""Builds the catalogue that request threads read."""

from __future__ import annotations

import itertools
from collections.abc import Mapping

from guavadyke.catalogue import (
    POLICY_NAME,
    BackendServerEntry,
    ModelEntry,
    OwnerEntry,
    PolicyEntry,
    ServiceEntry,
)
from guavadyke.catalogue_objects import CatalogueObject
from guavadyke.snapshots import CatalogueSnapshot


def build_snapshot(
    objects: Mapping[str, CatalogueObject],
    revision: int,
) -> CatalogueSnapshot:
    """Return the snapshot that request threads read."""
    live = {
        name: one.entry
        for name, one in objects.items()
        if one.entry is not None
    }
    owners = {
        name: entry
        for name, entry in live.items()
        if isinstance(entry, OwnerEntry)
    }
    policy = live.get(POLICY_NAME)
    return CatalogueSnapshot(
        revision=revision,
        entries={
            name: entry
            for name, entry in live.items()
            if isinstance(entry, ModelEntry | ServiceEntry)
        },
        owners=owners,
        backend_servers={
            name: entry
            for name, entry in live.items()
            if isinstance(entry, BackendServerEntry)
        },
        policy=policy if isinstance(policy, PolicyEntry) else PolicyEntry(),
        versions={name: objects[name].version for name in live},
        owners_by_key_hash=dict(
            itertools.chain.from_iterable(
                ((key_hash, name) for key_hash in owner.key_hashes)
                for name, owner in owners.items()
            ),
        ),
    )
