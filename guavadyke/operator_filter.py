"""Authentication of operators by a bearer token."""

from __future__ import annotations

import hmac

from guavadyke.errors import ErrorCode, Finding, GuavadykeError
from guavadyke.filters.base import Answer, Exchange, Filter, Handler

_SCHEME = 'Bearer '


class OperatorFilter(Filter):
    """Rejects requests without the operators' token.

    Args:
        token: the operators' token.
    """

    def __init__(self, token: bytes) -> None:
        self._token = token

    def apply(self, exchange: Exchange, following: Handler) -> Answer:
        """Check the token, then call the next handler.

        Raises:
            GuavadykeError: ``unauthenticated`` if there is no bearer token,
                ``forbidden`` if it is wrong.
        """
        header = exchange.headers.get('authorization', '')
        if not header.startswith(_SCHEME):
            raise GuavadykeError(
                ErrorCode.unauthenticated,
                'the operator port requires a bearer token',
                findings=(Finding('Authorization', 'no bearer token'),),
            )
        given_token = header.removeprefix(_SCHEME).strip().encode()
        if not hmac.compare_digest(given_token, self._token):
            raise GuavadykeError(
                ErrorCode.forbidden,
                'the operator token is wrong',
                findings=(Finding('Authorization', 'wrong token'),),
            )
        return following(exchange)
