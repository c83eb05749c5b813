"""A fleet of processes for a soak, and the faults that can be set to it."""

from __future__ import annotations

import functools
import itertools
import time
from collections.abc import Callable, Iterable

from features import builders_forward_processes as processes
from features import builders_users_platform as users
from features.soak_checker import History, Run, Trouble
from features.soak_schedule import Fault

ONCE_PREFIX = '/once/'
# Requests that may run once and take a second.
SLOW_PATH = f'{ONCE_PREFIX}slow'
_SLOW_PAUSE_S = 0.2


class SoakEngine(users.UsersEngine):
    """An engine that writes the id of the request into each event.

    Args:
        name: its id.
        on_run: is told the id of each request that begins to run.
    """

    def __init__(self, name: str, on_run: Callable[[str], None]) -> None:
        super().__init__(name)
        self._on_run = on_run

    def _stream(self, request: users.StandinRequest) -> None:
        request_id = request.headers['request-id']
        self._on_run(request_id)
        write = self._start_stream(request)
        first = int(request.headers.get('last-event-id', '0')) + 1
        slow = request.path == SLOW_PATH
        pause_s = _SLOW_PAUSE_S if slow else self.script.pause_s
        for number in range(first, self.script.events + 1):
            write(event(request_id, number))
            time.sleep(pause_s)


def event(request_id: str, number: int) -> bytes:
    """Return an event of the answer to a request."""
    return f'id: {number}\ndata: {request_id} {number}\n\n'.encode()


def whole_body(request_id: str) -> bytes:
    """Return the whole answer to a request."""
    return b''.join(event(request_id, number) for number in range(1, 6))


class SoakFleet(processes.UsersFleet):
    """Daemons as processes, and faults that begin and end.

    ``history`` gets what engines run and each fault with its times, which
    are in seconds from ``begin_time``.
    """

    def __init__(self, hosts: int) -> None:
        super().__init__()
        self.history = History(hosts)
        self._began_at = time.monotonic()
        self._engine_numbers = itertools.count(1)
        self._versions = itertools.count(1)

    def begin_time(self) -> None:
        """Count seconds from now on."""
        self._began_at = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since ``begin_time``."""
        return time.monotonic() - self._began_at

    def add_engine(self) -> SoakEngine:
        """Start an engine and register it."""
        name = f'i-{next(self._engine_numbers)}'
        engine = SoakEngine(name, functools.partial(self._record_run, name))
        self.engines.append(engine)
        self.store.put('servers', name, users.engine_entry(engine.address))
        return engine

    def configure(self) -> None:
        """Write the configuration with all routes that were added."""
        base = users.configuration()['Routes']
        added = [
            users.route(f'added-{number}', path, 'streaming', Resumable=True)
            for number, path in enumerate(self.history.routes)
        ]
        once = users.route('once', ONCE_PREFIX, 'unsafe')
        version = next(self._versions)
        self.store.put(
            'config',
            'main',
            users.configuration(*base, once, *added, version=version),
        )

    def record(
        self, fault: Fault, began_s: float, hosts: Iterable[int]
    ) -> None:
        """Add a fault that ends now to the history."""
        self.history.troubles.append(
            Trouble(fault.kind, began_s, self.now_s(), frozenset(hosts))
        )

    def _record_run(self, engine: str, request_id: str) -> None:
        self.history.runs.append(Run(request_id, engine, self.now_s()))
