"""Response bodies that run a callback when they end."""

from __future__ import annotations

from collections.abc import Callable, Iterator


class BodyWithEndCallback:
    """Iterates over a response body and calls back once at its end.

    The end is exhaustion, an error, or ``close``.

    Args:
        pieces: chunks of the body.
        ended: called once, also if the body is closed unread.
    """

    def __init__(
        self,
        pieces: Iterator[bytes],
        ended: Callable[[], None],
    ) -> None:
        self._pieces = pieces
        self._ended: Callable[[], None] | None = ended

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        """Return the next chunk; an error closes the body."""
        try:
            return next(self._pieces)
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        """Close the chunks and call back; later calls do nothing."""
        ended = self._ended
        self._ended = None
        if ended is None:
            return
        try:
            close = getattr(self._pieces, 'close', None)
            if close is not None:
                close()
        finally:
            ended()
