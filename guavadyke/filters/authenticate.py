"""Filter that authenticates callers by their API keys."""

from __future__ import annotations

import hashlib

from guavadyke.errors import ErrorCode, Finding, GuavadykeError
from guavadyke.filters.base import Answer, Exchange, Filter, Handler
from guavadyke.snapshots import CatalogueSnapshot, SnapshotCell

_SCHEME = 'bearer'


class Authenticate(Filter):
    """Sets the owner of the caller's API key on the exchange.

    The catalogue holds only SHA-256 hashes of keys.

    Args:
        catalogue: current configuration.
    """

    def __init__(self, catalogue: SnapshotCell[CatalogueSnapshot]) -> None:
        self._catalogue = catalogue

    def apply(self, exchange: Exchange, following: Handler) -> Answer:
        """Authenticate the caller and pass the exchange on.

        Raises:
            GuavadykeError: ``unauthenticated``: no bearer token, or an
                unknown key.
        """
        header = exchange.headers.get('authorization', '')
        scheme, _space, key = header.partition(' ')
        if scheme.lower() != _SCHEME or not key.strip():
            raise _unauthenticated('the header "Bearer KEY" is missing')
        hashed = hashlib.sha256(key.strip().encode()).hexdigest()
        owner = self._catalogue.current.owners_by_key_hash.get(hashed)
        if owner is None:
            raise _unauthenticated('the API key is not known')
        exchange.owner = owner
        return following(exchange)


def _unauthenticated(message: str) -> GuavadykeError:
    return GuavadykeError(
        ErrorCode.unauthenticated,
        message,
        findings=(Finding('headers.authorization', message),),
    )
