"""When a whole service has paused."""

from __future__ import annotations


class CommonPause:
    """Remembers when all servers were silent at the same moment.

    Servers that pause together do not all go on at the same moment, so the
    ones that are still silent get some time before they are left.

    Args:
        settle_s: seconds that they get.
    """

    def __init__(self, settle_s: float) -> None:
        self._settle_s = settle_s
        self._seen_at = float('-inf')

    def is_over(self, now: float, *, all_silent: bool) -> bool:
        """Return whether a silent server may be left.

        Args:
            now: seconds of the monotonic clock.
            all_silent: whether all servers are silent now.
        """
        if all_silent:
            self._seen_at = now
        return now - self._seen_at >= self._settle_s
