"""Engines that crash on some requests, with daemons as processes."""

from __future__ import annotations

import itertools
import json
import threading

import urllib3

from features import builders_users_platform as users
from features.builders_forward_processes import (
    DaemonProcess,
    UsersFleet,
    results,
)
from guavadyke.standins.http import StandinAnswer, StandinRequest

SHARED_PART = 'aa01'
SESSION_PART = 'cc02'
CRASHING_PART = 'bad0'
SOUND_BODY = b'text'
CRASHING_BODY = b'text that crashes engines'


class CrashingEngine(users.UsersEngine):
    """An engine that ends when it begins to answer on one prompt part or body.

    It is back at once under another id. It answers all requests once
    ``crashing`` is false.

    Args:
        number: number of the engine in its fleet.
        store: the store that lists the engine.
    """

    def __init__(self, number: int, store: users.UsersStore) -> None:
        self.crashes = 0
        self.crashing = True
        self._number = number
        self._store = store
        self._ended = threading.Event()
        self._crash_lock = threading.Lock()
        super().__init__(f'i-{number}.0')
        self._register()

    def _register(self) -> None:
        entry = users.engine_entry(self.address)
        self._store.put('servers', self.name, entry)

    def _answer(self, request: StandinRequest) -> StandinAnswer | None:
        served = request.headers.get('expect-instance') == self.name
        if served and self.crashing and _crashes(request):
            self.requests.append(request)
            self._crash(request)
        return super()._answer(request)

    def _crash(self, request: StandinRequest) -> None:
        write = self._start_stream(request)
        write(users.EVENT[:4])
        with self._crash_lock:
            self._store.remove('servers', self.name)
            self.crashes += 1
            self.name = f'i-{self._number}.{self.crashes}'
            self._register()
        request.connection.reset()


def _crashes(request: StandinRequest) -> bool:
    parts = request.headers.get('prompt-prefix', '')
    return CRASHING_PART in parts or request.body == CRASHING_BODY


class CrashingFleet(UsersFleet):
    """Daemons in front of engines that crash on a prompt part or a body."""

    def __init__(self) -> None:
        super().__init__()
        self._numbers = itertools.count()

    @property
    def crashing_requests(self) -> int:
        """Requests with the crashing part or body that have reached engines."""
        return sum(
            _crashes(request)
            for engine in self.engines
            for request in engine.requests
        )

    def add_engine(self) -> CrashingEngine:
        """Start an engine, which registers itself."""
        engine = CrashingEngine(len(self.engines) + 1, self.store)
        self.engines.append(engine)
        return engine

    def send(
        self, daemon: DaemonProcess, *parts: str, body: bytes = SOUND_BODY
    ) -> urllib3.BaseHTTPResponse:
        """Send a request whose prompt has these parts and one of its own."""
        number = next(self._numbers)
        own = f'{number:x}0f'
        return daemon.call(
            'POST',
            f'{users.STREAM_PREFIX}1',
            body=body,
            headers={
                'Request-Id': f'request-{number}',
                'Model': 'm',
                'Prompt-Prefix': ','.join(
                    f'{part}:100' for part in (*parts, own)
                ),
            },
        )

    def submit_to_each(self, items: int, *parts: str) -> None:
        """Submit a job to each daemon whose items have these prompt parts."""
        prefix = ','.join(f'{part}:100' for part in (*parts, 'own0f'))
        for number, daemon in enumerate(self.daemons):
            document = users.job_document(items, f'crash-{number}')
            for one in document['Items']:
                one['Headers']['Prompt-Prefix'] = prefix
            answer = daemon.call(
                'POST',
                f'{users.JOB_PREFIX}1',
                body=json.dumps(document).encode(),
                headers={'Request-Id': f'crash-job-{number}'},
            )
            assert answer.status == 202, answer.data

    def completed(self) -> list[int]:
        """Return how many items of the job of each daemon are completed."""
        return [
            sum(
                listed['State'] == 'completed'
                for listed in results(daemon, job_id=f'crash-job-{number}')
            )
            for number, daemon in enumerate(self.daemons)
        ]

    def send_to_each(
        self, count: int, *parts: str, body: bytes = SOUND_BODY
    ) -> list[int]:
        """Send requests to the daemons in turn; return the statuses."""
        turns = itertools.islice(itertools.cycle(self.daemons), count)
        return [self.send(daemon, *parts, body=body).status for daemon in turns]
