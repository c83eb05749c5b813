"""A fleet of processes for a soak, and the faults that can be set to it."""

from __future__ import annotations

import itertools
import random
import threading
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Protocol

from features import builders_forward_processes as processes
from features import builders_users_platform as users
from features.soak_bounds import ITEM_PREFIX, LONG_PART_PREFIX
from features.soak_history import EngineEnd, History, Run, Trouble
from features.soak_schedule import Fault
from guavadyke.standins.http import StandinRequest

ONCE_PREFIX = '/once/'
# Requests that may run once and take a second.
SLOW_PATH = f'{ONCE_PREFIX}slow'
_SLOW_PAUSE_S = 0.2
# Items run for about as long as those of the users.
_ITEM_PAUSE_S = 0.15
_LONG_ITEM_PAUSES_S = (0.05, 0.85)
# Time after which the entry of an engine that has ended is removed.
_ENDED_ENTRY_S = 0.5
# Time after which an engine that has ended is back as a new incarnation.
_RESTART_S = 0.4


class EngineObserver(Protocol):
    """Is told what engines do."""

    def began(self, engine: SoakEngine, request: StandinRequest) -> None:
        """Record that an engine began to answer a request."""

    def crashing_name(self, names: Iterable[str]) -> str | None:
        """Return the name in a prompt that crashes engines, if any does."""

    def crash(self, engine: SoakEngine, cause: str) -> None:
        """End an engine."""


class SoakEngine(users.UsersEngine):
    """An engine that writes the id of the request into each event.

    Args:
        name: its id.
        observer: is told of each request that begins to run.
    """

    def __init__(self, name: str, observer: EngineObserver) -> None:
        super().__init__(name)
        self._observer = observer
        # Names in the prompts of the requests that run, by their ids.
        self._running: dict[str, tuple[str, ...]] = {}

    @property
    def running(self) -> dict[str, tuple[str, ...]]:
        """The names in the prompts of the requests that run, by their ids."""
        return self._running.copy()

    def _stream(self, request: StandinRequest) -> None:
        request_id = request.headers['request-id']
        names = prompt_names(request)
        self._running[request_id] = names
        try:
            self._run(request, request_id, names)
        finally:
            self._running.pop(request_id, None)

    def _run(
        self, request: StandinRequest, request_id: str, names: tuple[str, ...]
    ) -> None:
        self._observer.began(self, request)
        write = self._start_stream(request)
        first = int(request.headers.get('last-event-id', '0')) + 1
        cause = self._observer.crashing_name(names)
        if cause is not None:
            write(event(request_id, first)[:4])
            self._observer.crash(self, cause)
            # Until the engine is closed, with all its connections at once.
            request.connection.hang(bool)
        for number in range(first, self.script.events + 1):
            write(event(request_id, number))
            time.sleep(self._pause_s(request))

    def _pause_s(self, request: StandinRequest) -> float:
        if request.path == SLOW_PATH:
            return _SLOW_PAUSE_S
        if prompt_names(request)[0].startswith(LONG_PART_PREFIX):
            rng = random.Random(request.headers['request-id'])
            return rng.uniform(*_LONG_ITEM_PAUSES_S)
        if request.path.startswith(f'{users.JOB_PREFIX}{ITEM_PREFIX}'):
            return _ITEM_PAUSE_S
        return self.script.pause_s


def prompt_names(request: StandinRequest) -> tuple[str, ...]:
    """Return the shared parts of a request's prompt, and its body."""
    *shared, _own = request.headers.get('prompt-prefix', '').split(',')
    parts = (part.partition(':')[0] for part in shared)
    return (*parts, request.body.decode())


def prompt_prefix(*parts: str) -> str:
    """Return the header of a prompt with shared parts and one of its own."""
    return ','.join((*(f'{part}:100' for part in parts), 'own:50'))


def event(request_id: str, number: int) -> bytes:
    """Return an event of the answer to a request."""
    return f'id: {number}\ndata: {request_id} {number}\n\n'.encode()


def whole_body(request_id: str) -> bytes:
    """Return the whole answer to a request."""
    return b''.join(event(request_id, number) for number in range(1, 6))


class SoakFleet(processes.UsersFleet):
    """Daemons as processes, and faults that begin and end.

    ``history`` gets what engines run and each fault with its times, which
    are in seconds from ``begin_time``. ``deadly`` are the names in prompts
    that crash engines.

    Args:
        hosts: number of daemons.
        root: the checkout whose product the daemons run at first.
    """

    def __init__(self, hosts: int, root: Path = processes.ROOT) -> None:
        super().__init__(root)
        self.history = History(hosts)
        self.deadly: set[str] = set()
        # The teams of the configuration, as they are written there.
        self.team_specs: list[dict[str, object]] = []
        self._began_at = time.monotonic()
        self._engine_numbers = itertools.count(1)
        self._versions = itertools.count(1)
        self._engines_lock = threading.Lock()
        self._ended: set[SoakEngine] = set()
        self._timers: list[threading.Timer] = []
        self._closed = False

    def begin_time(self) -> None:
        """Count seconds from now on."""
        self._began_at = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since ``begin_time``."""
        return time.monotonic() - self._began_at

    def add_engine(self) -> SoakEngine:
        """Start an engine and register it."""
        with self._engines_lock:
            name = f'i-{next(self._engine_numbers)}'
            engine = SoakEngine(name, self)
            self.engines.append(engine)
        self.store.put('servers', name, users.engine_entry(engine.address))
        return engine

    def take_engine(self) -> SoakEngine:
        """Add an engine and return the oldest one, which is to go."""
        self.add_engine()
        with self._engines_lock:
            return self.engines.pop(0)

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
            {
                **users.configuration(*base, once, *added, version=version),
                'Tenants': self.team_specs,
            },
        )

    def record(
        self, fault: Fault, began_s: float, hosts: Iterable[int]
    ) -> None:
        """Add a fault that ends now to the history."""
        self.history.troubles.append(
            Trouble(fault.kind, began_s, self.now_s(), frozenset(hosts))
        )

    def began(self, engine: SoakEngine, request: StandinRequest) -> None:
        """Record that an engine began to answer a request."""
        self.history.runs.append(
            Run(
                request.headers['request-id'],
                engine.name,
                self.now_s(),
                request.headers.get('tenant-id', ''),
                'authorization' in request.headers,
            )
        )

    def crashing_name(self, names: Iterable[str]) -> str | None:
        """Return the name in a prompt that crashes engines, if any does."""
        return next(filter(self.deadly.__contains__, names), None)

    def crash(self, engine: SoakEngine, cause: str = '') -> None:
        """End an engine; it comes back as another incarnation.

        One that is leaving has been replaced already.
        """
        with self._engines_lock:
            is_listed = engine in self.engines
            if is_listed:
                self.engines.remove(engine)
        self.end_engine(engine, cause)
        if is_listed:
            self.later(
                _ENDED_ENTRY_S, self.store.remove, 'servers', engine.name
            )
            self.later(_RESTART_S, self.add_engine)

    def end_engine(self, engine: SoakEngine, cause: str = '') -> None:
        """Close an engine, with all requests that it is answering."""
        with self._engines_lock:
            if engine in self._ended:
                return
            self._ended.add(engine)
        running = engine.running
        self.history.ends.append(
            EngineEnd(
                engine.name,
                self.now_s(),
                cause,
                frozenset(itertools.chain.from_iterable(running.values())),
                frozenset(running),
            )
        )
        self.later(0, engine.close)

    def later(
        self, after_s: float, act: Callable[..., object], *args: object
    ) -> None:
        """Do something after a time, unless the fleet is closed by then."""

        def act_if_open() -> None:
            if not self._closed:
                act(*args)

        timer = threading.Timer(after_s, act_if_open)
        self._timers.append(timer)
        timer.start()

    def close(self) -> None:
        """Stop everything that was started."""
        self._closed = True
        for timer in self._timers:
            timer.cancel()
            timer.join()
        super().close()
