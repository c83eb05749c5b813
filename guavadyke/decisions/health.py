"""Health of one backend server as one host sees it: ejection, slow start."""

from __future__ import annotations

import random

_FAILURES_TO_EJECT = 3
_FIRST_EJECTION_S = 1.0
_LONGEST_EJECTION_S = 15.0
_READMISSION_S = 0.5
_SLOW_START_S = 5.0
_SLOW_START_SHARE = 0.25


class ServerHealth:
    """Ejects a server that fails and lets it back slowly.

    Args:
        rng: spreads the ends of ejections.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._failures = 0
        self._ejections = 0
        self._ejected_until: float | None = None
        self._back_since: float | None = None
        self._unreachable = False
        self._failed_at = float('-inf')

    @property
    def ejected_until(self) -> float | None:
        """When the server may be probed; None where it is not ejected."""
        return self._ejected_until

    def succeeded(self, now: float) -> None:
        """Take a success, which ends an ejection."""
        self._failures = 0
        if self._ejected_until is not None:
            self._ejected_until = None
            self._back_since = now
        elif self._share(now) >= 1:
            self._ejections = 0

    def reported(self, now: float) -> None:
        """Take a report of load; it shows only that the server is reached.

        A server that is reached and fails requests stays ejected.
        """
        if self._ejected_until is not None and self._unreachable:
            self.succeeded(now)

    def failed(self, now: float, *, unreachable: bool) -> None:
        """Take a failure; one that cannot be reached is ejected at once."""
        self._failures += 1
        self._unreachable = unreachable
        self._failed_at = now
        if not unreachable and self._failures < _FAILURES_TO_EJECT:
            return
        longest_s = min(
            _LONGEST_EJECTION_S,
            _FIRST_EJECTION_S * 2**self._ejections,
        )
        self._ejections = min(self._ejections + 1, 8)
        self._ejected_until = now + self._rng.uniform(longest_s / 2, longest_s)
        self._back_since = None

    def readmit(self, now: float) -> bool:
        """Allow a probe before its time, since many servers are ejected.

        Returns:
            False where the last failure was just now, so that a server that
            fails fast does not take most requests of its zone.
        """
        if now - self._failed_at < _READMISSION_S:
            return False
        self._ejected_until = now
        return True

    def usable_slots(self, slots: int, now: float) -> int:
        """Return how many of the slots may be used now.

        An ejected server gets none, and one as a probe after its time.
        """
        if self._ejected_until is not None:
            return 1 if now >= self._ejected_until else 0
        return max(1, int(slots * self._share(now)))

    def _share(self, now: float) -> float:
        if self._back_since is None:
            return 1.0
        grown = (now - self._back_since) / _SLOW_START_S
        return min(1.0, max(_SLOW_START_SHARE, grown))
