"""Rendezvous hashing: which host tries a thing first."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

_SCORE_BYTES = 8


def score(key: str, host_id: str) -> int:
    """Return the host's score for the key."""
    text = f'{key}\n{host_id}'.encode()
    digest = hashlib.blake2b(text, digest_size=_SCORE_BYTES).digest()
    return int.from_bytes(digest, 'big')


def first_host(key: str, host_ids: Iterable[str]) -> str:
    """Return the host with the highest score; empty where there is none."""
    return max(
        host_ids,
        key=lambda host_id: (score(key, host_id), host_id),
        default='',
    )
