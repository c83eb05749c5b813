"""Filter that keeps owners and entries within their limits."""

from __future__ import annotations

import json

from guavadyke.filters.base import Answer, Exchange, Filter, Handler
from guavadyke.filters.limit_table import LimitedRequest, LimitTable
from guavadyke.filters.response_bodies import EndingBody

_DEFAULT_TOKENS = 256
_TOKEN_KEYS = ('max_completion_tokens', 'max_tokens')
_EVENT_END = b'\n\n'
_EVENTS_WITHOUT_TOKEN = 2


class LimitFilter(Filter):
    """Uses the limits of a request until its answer has ended.

    Args:
        table: limits in force on this host.
    """

    def __init__(self, table: LimitTable) -> None:
        self._table = table

    def apply(self, exchange: Exchange, following: Handler) -> Answer:
        """Handle the exchange if the limits allow it.

        Raises:
            GuavadykeError: ``limit_exceeded``.
        """
        tokens = most_tokens(exchange)
        limits = self._table.take(
            LimitedRequest(exchange.owner, exchange.entry_name, tokens),
        )
        if not limits:
            return following(exchange)
        try:
            answer = following(exchange)
        except BaseException:
            self._table.give_back(limits, tokens)
            raise
        if isinstance(answer.body, bytes):
            unused = max(0, tokens - _tokens_of(answer.body))
            self._table.give_back(limits, unused)
            return answer
        counted = _Counted(answer.body)
        answer.body = EndingBody(
            counted,
            lambda: self._table.give_back(
                limits,
                max(0, tokens - counted.tokens),
            ),
        )
        return answer


class _Counted:
    """Counts the tokens of a stream by its events."""

    def __init__(self, pieces: object) -> None:
        self.tokens = -_EVENTS_WITHOUT_TOKEN
        self._pieces = iter(pieces)  # type: ignore[call-overload]

    def __iter__(self) -> _Counted:
        return self

    def __next__(self) -> bytes:
        piece: bytes = next(self._pieces)
        self.tokens += piece.count(_EVENT_END)
        return piece

    def close(self) -> None:
        """Close what is counted."""
        close = getattr(self._pieces, 'close', None)
        if close is not None:
            close()


def most_tokens(exchange: Exchange) -> int:
    """Return the tokens that a request may use at the most."""
    if not exchange.document:
        return 0
    given = (exchange.document.get(key) for key in _TOKEN_KEYS)
    return next(
        (tokens for tokens in given if isinstance(tokens, int)),
        _DEFAULT_TOKENS,
    )


def _tokens_of(body: bytes) -> int:
    try:
        usage = json.loads(body).get('usage') or {}
    except (ValueError, AttributeError):
        return 0
    return int(usage.get('completion_tokens') or 0)
