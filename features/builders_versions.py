"""Engines of several software versions, with daemons as processes."""

from __future__ import annotations

import dataclasses
import itertools
import re
import signal
import time

import urllib3

from features import builders_users_platform as users
from features.builders_forward_processes import (
    STOP_S,
    DaemonProcess,
    UsersFleet,
)
from guavadyke.standins.http import StandinRequest

EVENTS = 20
_PAUSE_S = 0.02
_VERSIONS = re.compile(rb'data: word \d+ of (\S+)')
_IDS = re.compile(rb'id: (\d+)\n')


class VersionedEngine(users.UsersEngine):
    """An engine whose events name the version of its software.

    It breaks new streams off after ``break_after`` events, unless that is 0.
    """

    def __init__(self, name: str, version: str) -> None:
        self.version = version
        self.break_after = 0
        super().__init__(
            name, users.EngineScript(events=EVENTS, pause_s=_PAUSE_S)
        )

    def _stream(self, request: StandinRequest) -> None:
        write = self._start_stream(request)
        resumed_after = int(request.headers.get('last-event-id', '0'))
        for number in range(resumed_after + 1, self.script.events + 1):
            if request.connection.is_disconnected:
                return
            broken = number - 1 == self.break_after and not resumed_after
            if self.break_after and broken:
                request.connection.reset()
                return
            text = f'id: {number}\ndata: word {number} of {self.version}\n\n'
            write(text.encode())
            time.sleep(self.script.pause_s)


@dataclasses.dataclass
class CallerStream:
    """A stream as its caller has it: its request id, answers and events."""

    request_id: str
    received: bytes = b''
    statuses: tuple[int, ...] = ()

    @property
    def last_event(self) -> int:
        """Id of the last event, 0 without any."""
        return max(map(int, _IDS.findall(self.received)), default=0)

    @property
    def versions(self) -> frozenset[bytes]:
        """The software versions that wrote its events."""
        return frozenset(_VERSIONS.findall(self.received))

    @property
    def is_whole(self) -> bool:
        """Whether it has each event once, in order."""
        ids = [int(text) for text in _IDS.findall(self.received)]
        return ids == list(range(1, EVENTS + 1))


class VersionFleet(UsersFleet):
    """Daemons in front of engines of several software versions."""

    def __init__(self) -> None:
        super().__init__()
        self.streams: list[CallerStream] = []
        self._numbers = itertools.count(1)

    def start_engine(self, version: str) -> VersionedEngine:
        """Start an engine of a version and register it."""
        name = f'i-{next(self._numbers)}'
        engine = VersionedEngine(name, version)
        self.engines.append(engine)
        entry = users.engine_entry(engine.address, Version=version)
        self.store.put('servers', name, entry)
        return engine

    def remove_engines(self, version: str) -> None:
        """End the engines of a version."""
        for engine in self.engines:
            if engine.version == version:
                self.store.remove('servers', engine.name)

    def request(self, daemon: DaemonProcess, events: int = EVENTS) -> None:
        """Request a stream, and leave it after some events."""
        stream = CallerStream(f'request-{len(self.streams)}')
        self.streams.append(stream)
        self._receive(daemon, stream, {'Request-Id': stream.request_id}, events)

    def take_up(self, daemon: DaemonProcess, stream: CallerStream) -> None:
        """Request the rest of a stream; the engine that began it is full."""
        for engine in self.engines:
            engine.script.refuse = any(
                request.headers['request-id'] == stream.request_id
                for request in engine.requests
            )
        headers = {
            'Request-Id': f'{stream.request_id}-again',
            'Resumes': stream.request_id,
            'Last-Event-Id': str(stream.last_event),
        }
        self._receive(daemon, stream, headers, EVENTS)

    def kill(self, *daemons: DaemonProcess) -> None:
        """Kill daemons at the same moment."""
        for daemon in daemons:
            daemon.process.send_signal(signal.SIGKILL)
        for killed in daemons:
            killed.process.wait(STOP_S)

    def _receive(
        self,
        daemon: DaemonProcess,
        stream: CallerStream,
        headers: dict[str, str],
        events: int,
    ) -> None:
        answer = daemon.call(
            'POST',
            f'{users.STREAM_PREFIX}1',
            body=stream.request_id.encode(),
            headers={**headers, 'Model': 'm', 'Prompt-Prefix': _prompt(stream)},
            preload=False,
        )
        stream.statuses = (*stream.statuses, answer.status)
        received = b''
        try:
            while piece := answer.read1():
                received += piece
                if received.count(b'\n\n') >= events:
                    break
        except urllib3.exceptions.HTTPError:
            """The answer has broken off."""
        if answer.status == 200:
            stream.received += received[: received.rfind(b'\n\n') + 2]
        answer.close()


def _prompt(stream: CallerStream) -> str:
    """Return a prompt of its own, so that streams are spread over engines."""
    return f'{stream.request_id.encode().hex()}:100,b2:9'
