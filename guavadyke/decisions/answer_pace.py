"""Since when an answer makes no progress."""

from __future__ import annotations

# A part of an event that is smaller is no progress, however often one comes.
_PART_BYTES = 1024


class AnswerPace:
    """Tells a server that works from one that is silent or sends a trickle.

    Of a stream, a whole event is progress, or a KiB of one that is not whole
    yet; of any other answer each byte is. Times are in seconds of the
    monotonic clock.

    Args:
        now: when the answer was asked for.
        streamed: whether the answer is a stream of events.
    """

    def __init__(self, now: float, *, streamed: bool) -> None:
        self._streamed = streamed
        self._progress_at = now
        self._part_bytes = 0
        self._is_held = False

    def idle_s(self, now: float) -> float:
        """Return for how many seconds there has been no progress."""
        return 0 if self._is_held else now - self._progress_at

    def record_bytes(self, count: int, now: float) -> None:
        """Record that so many bytes have arrived."""
        self._part_bytes += count
        if not self._streamed or self._part_bytes >= _PART_BYTES:
            self.record_event(now)

    def hold(self) -> None:
        """Count no time until ``record_event``, as the caller is waited for."""
        self._is_held = True

    def record_event(self, now: float) -> None:
        """Record that the answer has begun or an event has become whole."""
        self._is_held = False
        self._part_bytes = 0
        self._progress_at = now
