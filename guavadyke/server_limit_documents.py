"""JSON bodies of the platform objects that hold limits of servers."""

from __future__ import annotations

import pydantic

from guavadyke.decisions.server_limits import ServerLimit
from guavadyke.errors import ErrorCode, GuavadykeError

LIMIT_KIND = 'server-limits'


class _LimitDocument(pydantic.BaseModel):
    born_ms: int
    per_s: float = pydantic.Field(ge=0)
    at: float


def encode_limit(limit: ServerLimit, wall: float) -> bytes:
    """Encode the body of a limit's object, whose name is the server's id.

    Args:
        limit: the limit.
        wall: seconds since the epoch.
    """
    document = _LimitDocument(born_ms=limit.born_ms, per_s=limit.per_s, at=wall)
    return document.model_dump_json().encode()


def decode_limit(name: str, body: bytes) -> tuple[ServerLimit, float]:
    """Return a limit and when it was written, in seconds since the epoch.

    Raises:
        GuavadykeError: the body is not a valid limit.
    """
    try:
        document = _LimitDocument.model_validate_json(body)
    except pydantic.ValidationError as error:
        raise GuavadykeError(
            ErrorCode.internal,
            f'{name} on the platform is not a valid limit: {error}',
        ) from error
    limit = ServerLimit(name, document.born_ms, document.per_s)
    return limit, document.at
