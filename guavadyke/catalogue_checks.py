"""Validation of catalogue edits against the objects they refer to."""

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
    """Return why the entry can't be stored under this name; empty if it can."""
    return tuple(
        itertools.chain(
            _name_findings(name, entry, snapshot),
            _reference_findings(entry, name, snapshot),
        ),
    )


def check_delete(
    name: str,
    snapshot: CatalogueSnapshot,
) -> tuple[Finding, ...]:
    """Return the references that prevent this object from being deleted."""
    owned = (
        Finding(f'{entry_name}.owner', f'{entry_name} is owned by {name}')
        for entry_name, entry in snapshot.entries.items()
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
    kind = _current_kind(name, snapshot)
    if kind not in {'', entry.kind}:
        yield Finding('$.kind', f'{name} is a {kind}; delete it first')


def _current_kind(name: str, snapshot: CatalogueSnapshot) -> str:
    held = (
        snapshot.entries.get(name)
        or snapshot.owners.get(name)
        or snapshot.backend_servers.get(name)
    )
    return '' if held is None else held.kind


@functools.singledispatch
def _reference_findings(
    entry: CatalogueEntry,
    name: str,
    snapshot: CatalogueSnapshot,
) -> tuple[Finding, ...]:
    return ()


@_reference_findings.register
def _entry_reference_findings(
    entry: ModelEntry | ServiceEntry,
    name: str,
    snapshot: CatalogueSnapshot,
) -> tuple[Finding, ...]:
    if entry.owner in snapshot.owners:
        return ()
    return (Finding('$.owner', f'unknown owner: {entry.owner}'),)


@_reference_findings.register
def _server_reference_findings(
    entry: BackendServerEntry,
    name: str,
    snapshot: CatalogueSnapshot,
) -> tuple[Finding, ...]:
    unknown = (
        Finding(f'$.serves[{index}]', f'unknown entry: {entry_name}')
        for index, entry_name in enumerate(entry.serves)
        if entry_name not in snapshot.entries
    )
    address_conflicts = (
        Finding('$.address', f'{other_id} already has this address')
        for other_id, other in snapshot.backend_servers.items()
        if other_id != name and other.address == entry.address
    )
    return tuple(itertools.chain(unknown, address_conflicts))


@_reference_findings.register
def _owner_reference_findings(
    entry: OwnerEntry,
    name: str,
    snapshot: CatalogueSnapshot,
) -> tuple[Finding, ...]:
    return tuple(
        Finding(f'$.key_hashes[{index}]', 'the key belongs to another owner')
        for index, key_hash in enumerate(entry.key_hashes)
        if snapshot.owners_by_key_hash.get(key_hash, name) != name
    )
