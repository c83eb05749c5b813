"""Clocks of the operating system."""

import time


class SystemClock:
    """Clock that stops while the machine is suspended."""

    def monotonic(self) -> float:
        """Return monotonic seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the epoch."""
        return time.time()

    def sleep(self, seconds: float) -> None:
        """Block the calling thread."""
        time.sleep(seconds)


class SuspendAwareClock(SystemClock):
    """Clock that keeps running while the machine is suspended.

    After a resume, a host sees at once that deadlines have passed and that
    its data is out of date.
    """

    def monotonic(self) -> float:
        """Return seconds since boot, including time spent suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
