"""Versions of catalogue objects: the highest version is in force."""

from __future__ import annotations

import dataclasses
import enum
import hashlib
import itertools
from collections.abc import Iterable, Mapping, Sequence

from guavadyke.catalogue_objects import CatalogueObject

BUCKETS = 64
_DIGEST_BYTES = 8


class OfferResult(enum.Enum):
    """How the version of an offered copy compares with the one in force."""

    newer = 'newer'
    same = 'same'
    older = 'older'


@dataclasses.dataclass(frozen=True)
class CatalogueMark:
    """Summary by which hosts detect that their catalogues differ.

    ``total`` is the sum of all versions; ``digest`` is a hash of the
    names and versions of all objects, so it differs, hash collisions
    aside, where any version differs.
    """

    total: int = 0
    digest: int = 0

    def behind(self, other: CatalogueMark) -> bool:
        """Return whether to ask the other host for its newer objects.

        Of two hosts that differ, the one with the lower total asks; with
        equal totals both do.
        """
        return self.digest != other.digest and self.total <= other.total


@dataclasses.dataclass(frozen=True)
class ObjectVersion:
    """Name and version of a catalogue object."""

    name: str
    version: int


class VersionedObjects:
    """Objects in force by name; a version is never replaced by a lower one.

    Digests of names and versions, one for each bucket of names, let two
    hosts exchange only the versions in buckets that differ.
    """

    def __init__(self) -> None:
        self._objects: dict[str, CatalogueObject] = {}
        self._digests = list(itertools.repeat(0, BUCKETS))
        self._total = 0

    @property
    def objects(self) -> Mapping[str, CatalogueObject]:
        """Objects in force by name, including deleted ones."""
        return self._objects

    @property
    def mark(self) -> CatalogueMark:
        """Summary to compare with other hosts."""
        digest = 0
        for bucket in self._digests:
            digest ^= bucket
        return CatalogueMark(self._total, digest)

    @property
    def digests(self) -> tuple[int, ...]:
        """Digest of each bucket of names, in the order of the buckets."""
        return tuple(self._digests)

    def store_if_newer(self, candidate: CatalogueObject) -> OfferResult:
        """Store a copy if it is newer than the one in force."""
        held = self._objects.get(candidate.name)
        if held is None:
            self._store(candidate, 0)
            return OfferResult.newer
        if candidate.version > held.version:
            self._store(candidate, held.version)
            return OfferResult.newer
        if candidate.version < held.version:
            return OfferResult.older
        return OfferResult.same

    def differing(self, digests: Sequence[int]) -> tuple[ObjectVersion, ...]:
        """Return the versions in the buckets whose digests differ.

        Args:
            digests: digest of each bucket on another host.
        """
        buckets = {
            index
            for index, (mine, theirs) in enumerate(
                itertools.zip_longest(self._digests, digests),
            )
            if mine != theirs
        }
        return tuple(
            ObjectVersion(one.name, one.version)
            for one in self._objects.values()
            if _bucket(one.name) in buckets
        )

    def newer_names(self, offered: Iterable[ObjectVersion]) -> tuple[str, ...]:
        """Return the names whose offered version is newer than ours."""
        return tuple(
            one.name for one in offered if one.version > self.version(one.name)
        )

    def version(self, name: str) -> int:
        """Return the version of an object in force; 0 where there is none."""
        held = self._objects.get(name)
        return 0 if held is None else held.version

    def _store(self, candidate: CatalogueObject, before: int) -> None:
        name = candidate.name
        change = _digest(name, candidate.version)
        if before:
            change ^= _digest(name, before)
        self._digests[_bucket(name)] ^= change
        self._total += candidate.version - before
        self._objects[name] = candidate


def _bucket(name: str) -> int:
    return hashlib.blake2b(name.encode(), digest_size=1).digest()[0] % BUCKETS


def _digest(name: str, version: int) -> int:
    text = f'{name}:{version}'.encode()
    digest = hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest, 'big', signed=True)
