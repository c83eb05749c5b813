"""Filter that enforces the limits of owners and entries."""

from __future__ import annotations

import json

from guavadyke.filters.base import Answer, Exchange, Filter, Handler
from guavadyke.filters.limit_table import LimitedRequest, LimitTable
from guavadyke.filters.response_bodies import BodyWithEndCallback

_DEFAULT_TOKENS = 256
_TOKEN_KEYS = ('max_completion_tokens', 'max_tokens')
_EVENT_END = b'\n\n'
_EVENTS_WITHOUT_TOKEN = 2


class LimitFilter(Filter):
    """Charges a request to its limits until its answer has ended.

    Token limits are charged with the most tokens that the request may use;
    unused tokens are refunded at the end.

    Args:
        table: limits of this host.
    """

    def __init__(self, table: LimitTable) -> None:
        self._table = table

    def apply(self, exchange: Exchange, following: Handler) -> Answer:
        """Pass the exchange on if its limits allow it.

        Raises:
            GuavadykeError: ``limit_exceeded``.
        """
        tokens = max_answer_tokens(exchange)
        limits = self._table.acquire(
            LimitedRequest(exchange.owner, exchange.entry_name, tokens),
        )
        if not limits:
            return following(exchange)
        try:
            answer = following(exchange)
        except BaseException:
            self._table.release(limits, tokens)
            raise
        if isinstance(answer.body, bytes):
            unused = max(0, tokens - _used_tokens(answer.body))
            self._table.release(limits, unused)
            return answer
        counted = _TokenCounter(answer.body)
        answer.body = BodyWithEndCallback(
            counted,
            lambda: self._table.release(
                limits,
                max(0, tokens - counted.tokens),
            ),
        )
        return answer


class _TokenCounter:
    """Counts the tokens of a streamed answer, one per event."""

    def __init__(self, pieces: object) -> None:
        self.tokens = -_EVENTS_WITHOUT_TOKEN
        self._pieces = iter(pieces)  # type: ignore[call-overload]

    def __iter__(self) -> _TokenCounter:
        return self

    def __next__(self) -> bytes:
        piece: bytes = next(self._pieces)
        self.tokens += piece.count(_EVENT_END)
        return piece

    def close(self) -> None:
        """Close the underlying stream."""
        close = getattr(self._pieces, 'close', None)
        if close is not None:
            close()


def max_answer_tokens(exchange: Exchange) -> int:
    """Return the maximum number of tokens of the answer.

    It is 0 for a service, and a default if the request sets no maximum.
    """
    if not exchange.document:
        return 0
    given = (exchange.document.get(key) for key in _TOKEN_KEYS)
    return next(
        (tokens for tokens in given if isinstance(tokens, int)),
        _DEFAULT_TOKENS,
    )


def _used_tokens(body: bytes) -> int:
    try:
        usage = json.loads(body).get('usage') or {}
    except (ValueError, AttributeError):
        return 0
    return int(usage.get('completion_tokens') or 0)
