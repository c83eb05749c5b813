"""Rendezvous hashing: which of several names a key falls to."""

from __future__ import annotations

import hashlib
from collections.abc import Collection, Iterable

_SCORE_BYTES = 8


def rendezvous(key: str, names: Collection[str]) -> str:
    """Return the name that a key falls to; empty where there is none."""
    return max(names, key=lambda name: _score(key, name), default='')


def rank_names(key: str, names: Iterable[str]) -> list[str]:
    """Return the names, the one that the key falls to first."""
    return sorted(names, key=lambda name: _score(key, name), reverse=True)


def place(key: str, name: str, names: Iterable[str]) -> int:
    """Return how many of the names come before one of them for a key."""
    own = _score(key, name)
    return sum(_score(key, other) > own for other in names if other != name)


def _score(key: str, name: str) -> bytes:
    text = f'{name}\0{key}'.encode()
    return hashlib.blake2b(text, digest_size=_SCORE_BYTES).digest()
