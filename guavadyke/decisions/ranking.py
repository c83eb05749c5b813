"""Rendezvous hashing that ranks all names for a key."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

_SCORE_BYTES = 8


def rank_names(key: str, names: Iterable[str]) -> list[str]:
    """Return the names, the one that the key falls to first."""
    return sorted(names, key=lambda name: _score(key, name), reverse=True)


def _score(key: str, name: str) -> bytes:
    text = f'{name}\0{key}'.encode()
    return hashlib.blake2b(text, digest_size=_SCORE_BYTES).digest()
