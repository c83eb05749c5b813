"""Recognizes a request that comes again under another id."""

from __future__ import annotations

import dataclasses
import hashlib

_DIGEST_BYTES = 10


@dataclasses.dataclass(frozen=True)
class RequestIdentity:
    """What a request has in common with its repetitions.

    ``host`` and ``target`` are what it is sent to, ``target`` with its query;
    ``caller`` are the credentials that it was sent with, empty without any.
    """

    host: str
    method: str
    target: str
    caller: str
    body: bytes


def fingerprint(identity: RequestIdentity) -> str:
    """Return a digest that is the same for all repetitions of a request."""
    fields = (
        identity.host,
        identity.method,
        identity.target,
        identity.caller,
    )
    digest = hashlib.blake2b(
        '\0'.join(fields).encode(), digest_size=_DIGEST_BYTES
    )
    digest.update(b'\0%b' % identity.body)
    return digest.hexdigest()
