"""A host process whose configuration changes while it serves callers."""

from __future__ import annotations

import dataclasses
import time
import types
from collections.abc import Iterable

from features import builders_forward_processes as processes
from features import builders_users_platform as users
from features.builders_kept_connections import KeptAnswer, KeptConnection
from features.builders_processes import wait_until

ROUTE = 'replies'
OTHER_SERVICE = 'other'
EVENTS = 5
WHOLE = b''.join(
    b'id: %d\ndata: word %d\n\n' % (number, number)
    for number in range(1, EVENTS + 1)
)
_WAIT_S = 5.0
_HEADERS = types.MappingProxyType({
    'Host': users.HOST,
    'Deadline-Ms': '30000',
})


@dataclasses.dataclass(frozen=True)
class Settings:
    """What the operator sets for the route and for idle connections."""

    kind: str
    timeout_s: float = 5
    idle_s: float = 15
    service: str = users.SERVICE
    present: bool = True

    def document(self, version: int) -> dict[str, object]:
        """Return the operator's configuration."""
        route = users.route(
            ROUTE,
            users.STREAM_PREFIX,
            self.kind,
            TimeoutMs=self.timeout_s * 1000,
            Service=self.service,
            Resumable=self.kind == 'streaming',
        )
        kept = users.route('kept', '/kept/', 'safe')
        routes = (route, kept) if self.present else (kept,)
        document = users.configuration(*routes, version=version)
        limits = document['Limits']
        assert isinstance(limits, dict)
        return {
            **document,
            'Limits': {**limits, 'IdleTimeoutMs': self.idle_s * 1000},
        }


class ChangingHost:
    """A host process with two engines at each of two services.

    Args:
        settings: the first settings.
        answer_s: how long an engine takes for an answer.
    """

    def __init__(self, settings: Settings, answer_s: float) -> None:
        self.settings = settings
        self._version = 0
        self.fleet = processes.UsersFleet()
        self._configure()
        self.engines = tuple(self._add_engine(answer_s) for _ in range(2))
        self.others = tuple(self._add_engine(answer_s) for _ in range(2))
        for engine in self.others:
            self.fleet.store.put(
                'servers',
                engine.name,
                users.engine_entry(engine.address, Service=OTHER_SERVICE),
            )
        self.daemon = self.fleet.start_daemon()
        self.fleet.wait_ready()

    def change(self, **fields: object) -> None:
        """Change settings, and wait until they are in force."""
        self.settings = dataclasses.replace(self.settings, **fields)
        self._configure()
        in_force = f'version={self._version} '
        assert wait_until(
            lambda: any(
                'routes_in_force' in line and in_force in line
                for line in self.daemon.log.splitlines()
            ),
            _WAIT_S,
        ), self.daemon.log

    def connect(self) -> KeptConnection:
        """Open a connection to the caller port."""
        return KeptConnection(self.daemon.ip, self.daemon.front)

    def wait_for_request(self, request_id: str) -> None:
        """Wait until an engine has got a request."""
        assert wait_until(
            lambda: self.at(self.all_engines, request_id), _WAIT_S
        )

    @property
    def all_engines(self) -> tuple[users.UsersEngine, ...]:
        """The engines of both services."""
        return self.engines + self.others

    def at(
        self, engines: Iterable[users.UsersEngine], request_id: str
    ) -> list[users.UsersEngine]:
        """Return the engines that have got a request, once for each time."""
        return [
            engine
            for engine in engines
            for request in engine.requests
            if request.headers['request-id'] == request_id
        ]

    def close(self) -> None:
        """Stop everything."""
        self.fleet.close()

    def _add_engine(self, answer_s: float) -> users.UsersEngine:
        engine = self.fleet.add_engine()
        engine.script.events = EVENTS
        engine.script.pause_s = answer_s / EVENTS
        return engine

    def _configure(self) -> None:
        self._version += 1
        self.fleet.store.put(
            'config', 'main', self.settings.document(self._version)
        )


def call(connection: KeptConnection, request_id: str) -> KeptAnswer:
    """Send a request of the route."""
    target = f'{users.STREAM_PREFIX}2f'
    return connection.call(target, request_id, _HEADERS)


def timed_call(
    connection: KeptConnection, request_id: str
) -> tuple[KeptAnswer, float]:
    """Send a request of the route; return also its time in seconds."""
    began = time.monotonic()
    answer = call(connection, request_id)
    return answer, time.monotonic() - began
