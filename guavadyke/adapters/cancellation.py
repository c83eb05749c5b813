"""Cancellation of calls from another thread."""

from __future__ import annotations

import threading
from collections.abc import Callable


class CallCancellation:
    """Lets another thread end a call, also before its answer begins."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._close: Callable[[], None] | None = None
        self._cancelled = False

    @property
    def cancelled(self) -> bool:
        """Whether the call has been ended from outside."""
        return self._cancelled

    def bind(self, close: Callable[[], None]) -> None:
        """Name what closes the connection that the call uses now.

        ``close`` may run in another thread, and runs at once where the
        call has been cancelled already.
        """
        with self._lock:
            self._close = close
            cancelled = self._cancelled
        if cancelled:
            close()

    def cancel(self) -> None:
        """End the call: its reader sees a broken connection."""
        with self._lock:
            self._cancelled = True
            close = self._close
        if close is not None:
            close()
