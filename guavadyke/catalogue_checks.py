"""Checks of an edit against the objects that it refers to."""

from __future__ import annotations

import functools
import itertools
from collections.abc import Iterator

from guavadyke.catalogue import (
    POLICY_NAME,
    BackendServerEntry,
    CatalogueEntry,
    ModelEntry,
    OwnerEntry,
    PolicyEntry,
    ServiceEntry,
)
from guavadyke.errors import Finding
from guavadyke.snapshots import CatalogueSnapshot


def check_put(
    name: str,
    entry: CatalogueEntry,
    snapshot: CatalogueSnapshot,
) -> tuple[Finding, ...]:
    """Return what is wrong with putting the entry under this name."""
    return tuple(
        itertools.chain(
            _name_findings(name, entry, snapshot),
            _references(entry, name, snapshot),
        ),
    )


def check_delete(
    name: str,
    snapshot: CatalogueSnapshot,
) -> tuple[Finding, ...]:
    """Return the objects that still refer to the one to be deleted."""
    owned = (
        Finding(f'{other}.owner', f'{other} is owned by {name}')
        for other, entry in snapshot.entries.items()
        if entry.owner == name
    )
    serving = (
        Finding(f'{server_id}.serves', f'{server_id} serves {name}')
        for server_id, server in snapshot.backend_servers.items()
        if name in server.serves
    )
    return tuple(itertools.chain(owned, serving))


def _name_findings(
    name: str,
    entry: CatalogueEntry,
    snapshot: CatalogueSnapshot,
) -> Iterator[Finding]:
    if (name == POLICY_NAME) != isinstance(entry, PolicyEntry):
        yield Finding(
            '$.kind',
            f'the policy object, and no other, is named {POLICY_NAME!r}',
        )
    kind = _kind_in_force(name, snapshot)
    if kind not in {'', entry.kind}:
        yield Finding('$.kind', f'{name} is a {kind}; delete that first')


def _kind_in_force(name: str, snapshot: CatalogueSnapshot) -> str:
    held = (
        snapshot.entries.get(name)
        or snapshot.owners.get(name)
        or snapshot.backend_servers.get(name)
    )
    return '' if held is None else held.kind


@functools.singledispatch
def _references(
    entry: CatalogueEntry,
    name: str,
    snapshot: CatalogueSnapshot,
) -> tuple[Finding, ...]:
    return ()


@_references.register
def _entry_references(
    entry: ModelEntry | ServiceEntry,
    name: str,
    snapshot: CatalogueSnapshot,
) -> tuple[Finding, ...]:
    if entry.owner in snapshot.owners:
        return ()
    return (Finding('$.owner', f'there is no owner {entry.owner}'),)


@_references.register
def _server_references(
    entry: BackendServerEntry,
    name: str,
    snapshot: CatalogueSnapshot,
) -> tuple[Finding, ...]:
    unknown = (
        Finding(f'$.serves[{index}]', f'there is no entry {served}')
        for index, served in enumerate(entry.serves)
        if served not in snapshot.entries
    )
    taken = (
        Finding('$.address', f'{other_id} has this address')
        for other_id, other in snapshot.backend_servers.items()
        if other_id != name and other.address == entry.address
    )
    return tuple(itertools.chain(unknown, taken))


@_references.register
def _owner_references(
    entry: OwnerEntry,
    name: str,
    snapshot: CatalogueSnapshot,
) -> tuple[Finding, ...]:
    return tuple(
        Finding(f'$.key_hashes[{index}]', 'another owner has this key')
        for index, key_hash in enumerate(entry.key_hashes)
        if snapshot.owners_by_key_hash.get(key_hash, name) != name
    )
