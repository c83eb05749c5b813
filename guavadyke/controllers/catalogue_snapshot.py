"""Builds the immutable catalogue snapshot that request threads read."""

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
    """Return a snapshot of the objects that are not deleted.

    Args:
        objects: objects in force by name, including deleted ones.
        revision: number of the snapshot on this host.
    """
    live_entries = {
        name: catalogue_object.entry
        for name, catalogue_object in objects.items()
        if catalogue_object.entry is not None
    }
    owners = {
        name: entry
        for name, entry in live_entries.items()
        if isinstance(entry, OwnerEntry)
    }
    policy = live_entries.get(POLICY_NAME)
    return CatalogueSnapshot(
        revision=revision,
        entries={
            name: entry
            for name, entry in live_entries.items()
            if isinstance(entry, ModelEntry | ServiceEntry)
        },
        owners=owners,
        backend_servers={
            name: entry
            for name, entry in live_entries.items()
            if isinstance(entry, BackendServerEntry)
        },
        policy=policy if isinstance(policy, PolicyEntry) else PolicyEntry(),
        versions={name: objects[name].version for name in live_entries},
        owners_by_key_hash=dict(
            itertools.chain.from_iterable(
                ((key_hash, name) for key_hash in owner.key_hashes)
                for name, owner in owners.items()
            ),
        ),
    )
