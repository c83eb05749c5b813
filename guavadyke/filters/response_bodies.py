"""Bodies of answers that must be closed whatever happens."""

from __future__ import annotations

from collections.abc import Callable, Iterator


class EndingBody:
    """Passes pieces on and tells once when they have ended.

    Args:
        pieces: pieces of the body.
        ended: called once, also where nothing was ever read.
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
        """Return the next piece."""
        try:
            return next(self._pieces)
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        """End the body; a second time does nothing."""
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
