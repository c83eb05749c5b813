"""Rendezvous hashing: assigns a key to one of several names."""

from __future__ import annotations

import hashlib
from collections.abc import Collection, Iterable

_SCORE_BYTES = 8


def rendezvous(key: str, names: Collection[str]) -> str:
    """Return the highest ranked name for a key, empty without names."""
    return max(names, key=lambda name: _score(key, name), default='')


def rank_names(key: str, names: Iterable[str]) -> list[str]:
    """Return the names in descending rank for a key."""
    return sorted(names, key=lambda name: _score(key, name), reverse=True)


def place(key: str, name: str, names: Iterable[str]) -> int:
    """Return the rank of ``name`` for a key; 0 is the highest."""
    own = _score(key, name)
    return sum(_score(key, other) > own for other in names if other != name)


def _score(key: str, name: str) -> bytes:
    text = f'{name}\0{key}'.encode()
    return hashlib.blake2b(text, digest_size=_SCORE_BYTES).digest()
