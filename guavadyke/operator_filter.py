"""Lets operators in by their token."""

from __future__ import annotations

import hmac

from guavadyke.errors import ErrorCode, Finding, GuavadykeError
from guavadyke.filters.base import Answer, Exchange, Filter, Handler

_SCHEME = 'Bearer '


class OperatorFilter(Filter):
    """Refuses requests without the operators' token.

    Args:
        token: token of the operators.
    """

    def __init__(self, token: bytes) -> None:
        self._token = token

    def apply(self, exchange: Exchange, following: Handler) -> Answer:
        """Check the token.

        Raises:
            GuavadykeError: ``unauthenticated`` without a token,
                ``forbidden`` with a wrong one.
        """
        header = exchange.headers.get('authorization', '')
        if not header.startswith(_SCHEME):
            raise GuavadykeError(
                ErrorCode.unauthenticated,
                'the operator port needs a token',
                findings=(Finding('Authorization', 'no bearer token'),),
            )
        given = header.removeprefix(_SCHEME).strip().encode()
        if not hmac.compare_digest(given, self._token):
            raise GuavadykeError(
                ErrorCode.forbidden,
                'the token is not that of the operators',
                findings=(Finding('Authorization', 'wrong token'),),
            )
        return following(exchange)
