"""Load on daemons as processes whose engines name limits."""

from __future__ import annotations

import itertools
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import urllib3

from features import builders_users_platform as users
from features.builders_forward_processes import DaemonProcess, UsersFleet

# Time in which a limit may be exceeded, and what it allows beyond its rate;
# from the users' rules.
_WINDOW_S = 4.0
_ALLOWED_SHARE = 1.5
_ALLOWED_REQUESTS = 5
SETTLED_S = 3.0


class SteadyLoad:
    """Requests to each daemon of a fleet at a steady rate.

    Args:
        fleet: the daemons.
        per_s: requests a second to each daemon.
    """

    def __init__(self, fleet: UsersFleet, per_s: float) -> None:
        self.statuses: list[int] = []
        self._fleet = fleet
        self._interval_s = 1 / per_s
        self._numbers = itertools.count()
        self._callers = ThreadPoolExecutor(64)

    def run(self, seconds: float) -> None:
        """Send requests for some time and wait for their answers."""
        until = time.monotonic() + seconds
        due = time.monotonic()
        while due < until:
            time.sleep(max(0, due - time.monotonic()))
            for daemon in self._fleet.daemons:
                self._callers.submit(self._call, daemon)
            due += self._interval_s
        self._callers.shutdown()
        self._callers = ThreadPoolExecutor(64)

    def _call(self, daemon: DaemonProcess) -> None:
        number = next(self._numbers)
        try:
            answer = daemon.call(
                'POST',
                f'{users.STREAM_PREFIX}1',
                body=b'text',
                headers={
                    'Request-Id': f'load-{number}-{threading.get_ident()}',
                    'Model': 'm',
                },
            )
        except urllib3.exceptions.HTTPError:
            self.statuses.append(0)
            return
        self.statuses.append(answer.status)


def most_in_window(arrivals: list[float], since: float) -> int:
    """Return the most arrivals within a window after a time."""
    times = [at for at in arrivals if at >= since]
    return max(
        (sum(at <= other < at + _WINDOW_S for other in times) for at in times),
        default=0,
    )


def allowed_in_window(limit: float) -> float:
    """Return how many requests an engine with a limit may get in a window."""
    return _ALLOWED_SHARE * limit * _WINDOW_S + _ALLOWED_REQUESTS
