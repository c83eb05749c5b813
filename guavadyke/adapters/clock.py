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
