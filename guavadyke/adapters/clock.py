"""The machine's clock."""

import time


class SystemClock:
    """Time of this machine."""

    def monotonic(self) -> float:
        """Return seconds that never go back."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the epoch."""
        return time.time()

    def sleep(self, seconds: float) -> None:
        """Block the calling thread."""
        time.sleep(seconds)


class SuspendAwareClock(SystemClock):
    """Time of this machine that goes on while the machine is suspended.

    A host that wakes then sees at once that deadlines are over and that
    what it knows is old.
    """

    def monotonic(self) -> float:
        """Return seconds since the machine's start, suspension included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
