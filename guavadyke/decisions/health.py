"""Outlier ejection and slow start of one backend server, on one host."""

from __future__ import annotations

import random

_FAILURES_TO_EJECT = 3
_INITIAL_EJECTION_S = 1.0
_MAX_EJECTION_S = 15.0
_EARLY_PROBE_INTERVAL_S = 0.5
_SLOW_START_S = 5.0
_SLOW_START_SHARE = 0.25


class ServerHealth:
    """Ejects a failing server, then readmits it with a slow start.

    The ejection time doubles with each ejection in a row. All times are
    in seconds of the monotonic clock.

    Args:
        rng: adds jitter, so that hosts don't probe at the same time.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._failures = 0
        self._ejections = 0
        self._ejected_until: float | None = None
        self._readmitted_at: float | None = None
        self._unreachable = False
        self._failed_at = float('-inf')

    @property
    def ejected_until(self) -> float | None:
        """Time from which an ejected server may be probed, else None."""
        return self._ejected_until

    def succeeded(self, now: float) -> None:
        """Record a successful request, which ends an ejection."""
        self._failures = 0
        if self._ejected_until is not None:
            self._ejected_until = None
            self._readmitted_at = now
        elif self._slow_start_share(now) >= 1:
            self._ejections = 0

    def reported(self, now: float) -> None:
        """Record that the server reported its load.

        A report proves only that the server is reachable: it ends an
        ejection that followed a connection failure, but not one that
        followed failed requests.
        """
        if self._ejected_until is not None and self._unreachable:
            self.succeeded(now)

    def failed(self, now: float, *, unreachable: bool) -> bool:
        """Record a failed request.

        Args:
            now: current time.
            unreachable: whether the server could not be reached; it is
                then ejected at once rather than after several failures.

        Returns:
            Whether the server is ejected by this failure.
        """
        self._failures += 1
        self._unreachable = unreachable
        self._failed_at = now
        if not unreachable and self._failures < _FAILURES_TO_EJECT:
            return False
        longest_s = min(
            _MAX_EJECTION_S,
            _INITIAL_EJECTION_S * 2**self._ejections,
        )
        self._ejections = min(self._ejections + 1, 8)
        self._ejected_until = now + self._rng.uniform(longest_s / 2, longest_s)
        self._readmitted_at = None
        return True

    def allow_early_probe(self, now: float) -> bool:
        """Let an ejected server be probed now, if that is allowed.

        It is used where too many servers are ejected at once.

        Returns:
            False shortly after the last failure, so that a server that
            fails fast does not attract most requests of its zone.
        """
        if now - self._failed_at < _EARLY_PROBE_INTERVAL_S:
            return False
        self._ejected_until = now
        return True

    def usable_slots(self, slots: int, now: float) -> int:
        """Return how many slots of the server may be used now.

        An ejected server has none, or one for a probe once the ejection
        time is over. A readmitted server starts with a share of its slots.
        """
        if self._ejected_until is not None:
            return 1 if now >= self._ejected_until else 0
        return max(1, int(slots * self._slow_start_share(now)))

    def _slow_start_share(self, now: float) -> float:
        if self._readmitted_at is None:
            return 1.0
        elapsed_share = (now - self._readmitted_at) / _SLOW_START_S
        return min(1.0, max(_SLOW_START_SHARE, elapsed_share))
