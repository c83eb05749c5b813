"""Cancellation of a backend call from another thread."""

from __future__ import annotations

import threading
from collections.abc import Callable


class CallCancellation:
    """Lets another thread cancel a call, even before its answer begins."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._close: Callable[[], None] | None = None
        self._cancelled = False

    @property
    def cancelled(self) -> bool:
        """Whether the call has been cancelled."""
        return self._cancelled

    def bind(self, close: Callable[[], None]) -> None:
        """Set the callback that closes the call's current connection.

        ``close`` may run in another thread. It runs immediately if the call
        has been cancelled already.
        """
        with self._lock:
            self._close = close
            cancelled = self._cancelled
        if cancelled:
            close()

    def cancel(self) -> None:
        """Cancel the call; its reader sees a broken connection."""
        with self._lock:
            self._cancelled = True
            close = self._close
        if close is not None:
            close()
