"""Stand-ins of the users' platform and engines, and sample documents."""

from __future__ import annotations

import base64
import dataclasses
import json
import re
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable, Mapping

from guavadyke.standins.http import (
    Connection,
    StandinAnswer,
    StandinRequest,
    StandinServer,
    json_answer,
)
from guavadyke.standins.object_table import (
    ConditionFailedError,
    ObjectState,
    ObjectTable,
    RevisionTooOldError,
)

LOOPBACK = '127.0.0.1'
SERVICE = 'huvo11a'
HOST = 'nony24.example'
STREAM_PREFIX = '/lohu930/'
JOB_PREFIX = '/pule252/'
_KIND_PATH = re.compile(r'/api/objects/([^/]+)')
_NAME_PATH = re.compile(r'/api/objects/([^/]+)/([^/]+)')
_STATUS_PATH = re.compile(r'/api/objects/([^/]+)/([^/]+)/status')
_S_PER_MS = 0.001
# Time that a call of a slow host takes in each direction.
_SLOW_S = 0.2
_MAX_REQUEST_BYTES = 65_536
_RAW_MARK = 'raw contents of '
EVENT = b'id: 1\ndata: word 1\n\n'


def route(
    name: str, prefix: str, kind: str, **fields: object
) -> dict[str, object]:
    """Return a route of the operator's configuration."""
    return {
        'Name': name,
        'Host': HOST,
        'PathPrefix': prefix,
        'Kind': kind,
        'TimeoutMs': 5000,
        'TargetLatencyMs': 300,
        'Priority': 0,
        'Service': SERVICE,
        'MaxAttempts': 2,
        **fields,
    }


def configuration(
    *routes: dict[str, object],
    version: int = 1,
) -> dict[str, object]:
    """Return the operator's configuration."""
    return {
        'Version': version,
        'Routes': routes
        or (
            route('replies', STREAM_PREFIX, 'streaming', Resumable=True),
            route('digests', JOB_PREFIX, 'batch', MaxCount=0, MaxWaitS=60),
        ),
        'Services': [],
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 4194304,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
    }


def engine_entry(address: str, **fields: object) -> dict[str, object]:
    """Return the store entry of an engine."""
    return {
        'Service': SERVICE,
        'Address': address,
        'Zone': 'south-a',
        'Version': 'v1',
        'Slots': 8,
        'State': 'ready',
        'ColdLeftMs': 0,
        'Seq': 1,
        'born': 1_700_000_000_000,
        **fields,
    }


class UsersStore:
    """An HTTP server like the users' metadata store, with objects in memory."""

    def __init__(self) -> None:
        self.table = ObjectTable()
        self.calls: Counter[str] = Counter()
        self.statuses: dict[tuple[str, str], object] = {}
        # Statuses of the next answers; these calls have no effect.
        self.refusals: list[int] = []
        # Hosts whose calls are all answered with 503.
        self.rejected_hosts: frozenset[str] = frozenset()
        # Hosts whose calls get no answer; their connections stay open.
        self.silent_hosts: frozenset[str] = frozenset()
        # Hosts whose calls take some time to arrive and to be answered.
        self.slow_hosts: frozenset[str] = frozenset()
        self._connections: dict[str, Connection] = {}
        self._silent_connections: frozenset[str] = frozenset()
        self._raw_specs: dict[str, str] = {}
        # Number of next writes that take effect without an answer.
        self.lost_answers = 0
        self._server = StandinServer(LOOPBACK, 0, self._answer)
        self._server.start()

    @property
    def address(self) -> str:
        return self._server.address

    def put(self, kind: str, name: str, spec: object) -> int:
        """Write an object regardless of its version."""
        body = json.dumps(spec).encode()
        return self.table.write(kind, name, body, None).version

    def put_raw(self, kind: str, name: str, spec: str) -> None:
        """Write an object whose contents are any text, valid or not."""
        self._raw_specs[name] = spec
        self.put(kind, name, f'{_RAW_MARK}{name}')

    def remove(self, kind: str, name: str) -> None:
        self.table.write(kind, name, None, None)

    def names(self, kind: str) -> list[str]:
        page = self.table.page(kind, '', '', 500)
        return [state.name for state in page.objects]

    def silence_open_connections(self) -> int:
        """Answer no more on the connections open now; return their number.

        Calls on them still take effect, and later connections work.
        """
        self._silent_connections = frozenset(
            name
            for name, connection in tuple(self._connections.items())
            if not connection.is_disconnected
        )
        return len(self._silent_connections)

    def close(self) -> None:
        self._server.close()

    def _answer(self, request: StandinRequest) -> StandinAnswer:
        self.calls[request.method] += 1
        self._connections[request.connection.name] = request.connection
        host = request.headers.get('guavadyke-host')
        if host in self.rejected_hosts:
            return json_answer({}, 503)
        delay_s = _SLOW_S if host in self.slow_hosts else 0
        time.sleep(delay_s)
        answer = self._with_raw_specs(self._result(request))
        time.sleep(delay_s)
        is_silent = request.connection.name in self._silent_connections
        if host in self.silent_hosts or is_silent:
            request.connection.hang(bool)
        return answer

    def _with_raw_specs(self, answer: StandinAnswer) -> StandinAnswer:
        body = answer.body
        for name, spec in self._raw_specs.items():
            mark = json.dumps(f'{_RAW_MARK}{name}')
            body = body.replace(mark.encode(), spec.encode())
        return dataclasses.replace(answer, body=body)

    def _result(self, request: StandinRequest) -> StandinAnswer:
        if self.refusals:
            return json_answer({}, self.refusals.pop(0))
        name_match = _NAME_PATH.fullmatch(request.path)
        if request.method == 'GET':
            return self._read(request, name_match)
        answer = self._write(request, name_match)
        if self.lost_answers and answer.status == 200:
            self.lost_answers -= 1
            request.connection.reset()
        return answer

    def _read(
        self,
        request: StandinRequest,
        name_match: re.Match[str] | None,
    ) -> StandinAnswer:
        if name_match is not None:
            state = self.table.read(name_match[1], name_match[2])
            if state is None:
                return json_answer({}, 404)
            status = self.statuses.get((name_match[1], name_match[2]))
            return json_answer({**_document(state), 'Status': status})
        kind = _KIND_PATH.fullmatch(request.path)[1]
        if 'Watch' in request.query:
            return self._watch(kind, request.query)
        page = self.table.page(kind, '', request.query.get('After', ''), 3)
        return json_answer({
            'Items': [_document(state) for state in page.objects],
            'HasMore': page.more,
            'AsOf': page.revision,
        })

    def _watch(self, kind: str, query: Mapping[str, str]) -> StandinAnswer:
        try:
            changes = self.table.changes(
                kind,
                int(query['Watch']),
                int(query['WaitMs']) * _S_PER_MS,
            )
        except RevisionTooOldError:
            return json_answer({}, 410)
        return json_answer({
            'AsOf': changes.revision,
            'events': [
                {'Deleted': state.body is None, 'Object': _document(state)}
                for state in changes.events
            ],
        })

    def _write(
        self,
        request: StandinRequest,
        name_match: re.Match[str] | None,
    ) -> StandinAnswer:
        if request.method == 'DELETE':
            version = int(request.query.get('Rev', 0)) or None
            return self._change(name_match[1], name_match[2], None, version)
        document = json.loads(request.body)
        status = _STATUS_PATH.fullmatch(request.path)
        if status is not None:
            self.statuses[status[1], status[2]] = document['Status']
            return json_answer({'Metadata': {'Name': status[2], 'Rev': 1}})
        body = json.dumps(document['Spec']).encode()
        if request.method == 'POST':
            kind = _KIND_PATH.fullmatch(request.path)[1]
            return self._change(kind, document['Metadata']['Name'], body, 0)
        version = document['Metadata'].get('Rev')
        return self._change(name_match[1], name_match[2], body, version)

    def _change(
        self,
        kind: str,
        name: str,
        body: bytes | None,
        version: int | None,
    ) -> StandinAnswer:
        try:
            state = self.table.write(kind, name, body, version)
        except ConditionFailedError:
            present = self.table.read(kind, name)
            if present is None:
                return json_answer({}, 404)
            return json_answer(_document(present), 409)
        return json_answer(_document(state))


def _document(state: ObjectState) -> dict[str, object]:
    return {
        'Metadata': {
            'Name': state.name,
            'Rev': state.version,
            'Created': 1,
            'Finalizers': [],
            'Deleting': False,
        },
        'Spec': None if state.body is None else json.loads(state.body),
        'Status': None,
    }


@dataclasses.dataclass
class EngineScript:
    """Behaviour of an engine; ``pause_s`` is the delay between events.

    ``limit`` is the limit of requests a second that it names, if any;
    ``leaving`` is whether its answers say that it leaves.
    """

    events: int = 5
    pause_s: float = 0.01
    refuse: bool = False
    status: int = 200
    limit: float | None = None
    leaving: bool = False


class UsersEngine:
    """An HTTP server like the users' engines, which streams events.

    ``requests`` has the requests received and ``arrivals`` their times;
    ``caller_disconnected`` is set when a caller has disconnected during a
    stream.
    """

    def __init__(self, name: str, script: EngineScript | None = None) -> None:
        self.name = name
        self.script = script or EngineScript()
        self.requests: list[StandinRequest] = []
        self.arrivals: list[float] = []
        self.caller_disconnected = threading.Event()
        self._server = StandinServer(LOOPBACK, 0, self._answer)
        self._server.start()

    @property
    def address(self) -> str:
        return self._server.address

    def close(self) -> None:
        self._server.close()

    @property
    def _own_headers(self) -> dict[str, str]:
        limit = self.script.limit
        limits = {} if limit is None else {'Server-Limit': str(limit)}
        leaving = {'Server-Leaving': '1'} if self.script.leaving else {}
        return {**limits, **leaving}

    def _answer(self, request: StandinRequest) -> StandinAnswer | None:
        self.requests.append(request)
        self.arrivals.append(time.monotonic())
        if request.headers.get('expect-instance') != self.name:
            return json_answer(
                {}, 421, {'Instance-Id': self.name, **self._own_headers}
            )
        if self.script.refuse:
            return json_answer(
                {}, 503, {'Not-Executed': '1', **self._own_headers}
            )
        if self.script.status != 200:
            return json_answer({}, self.script.status)
        self._stream(request)
        return None

    def _start_stream(
        self, request: StandinRequest
    ) -> Callable[[bytes], object]:
        """Send the head of a stream; return what sends its events."""
        return request.connection.start_answer(
            200,
            {
                'Content-Type': 'text/event-stream',
                'Request-Id': request.headers['request-id'],
                'Response-Signature': f'signed by {self.name}',
                **self._own_headers,
            },
        )

    def _stream(self, request: StandinRequest) -> None:
        write = self._start_stream(request)
        first = int(request.headers.get('last-event-id', '0')) + 1
        for number in range(first, self.script.events + 1):
            if request.connection.is_disconnected:
                self.caller_disconnected.set()
                return
            write(f'id: {number}\ndata: word {number}\n\n'.encode())
            time.sleep(self.script.pause_s)


def job_document(items: int = 3, prefix: str = 'item') -> dict[str, object]:
    """Return the body of a job submission; ids of items have the prefix."""
    return {
        'Items': [
            {
                'Id': f'{prefix}-{number}',
                'Path': f'{JOB_PREFIX}3/{number}',
                'Headers': {'Model': 'm', 'Token-Counts': '540,400'},
                'Body': base64.b64encode(b'text').decode(),
                'Tokens': 940,
            }
            for number in range(items)
        ],
    }


def settings_lines(**changes: str) -> str:
    """Return the text of a settings file."""
    values = {
        'Node': 'front-south-a-1',
        'Role': 'entry',
        'Class': 'front',
        'Ip': LOOPBACK,
        'Zone': 'south-a',
        'Region': 'south',
        'Listen.Front': f'{LOOPBACK}:8161',
        'Listen.ReadyAddr': f'{LOOPBACK}:8167',
        'PortRange': '7720,7735',
        'Seeds': '10.1.0.10:8166,10.2.0.40:8166',
        'Limits.MemoryMb': '222',
        'Bounds.GraceS': '8',
        'Bounds.StatusS': '120',
        'Provider.Address': f'{LOOPBACK}:8169',
        'Provider.WritesPerS': '400',
        'Provider.ReadsPerS': '2000',
        'SomethingNew': 'of tomorrow',
    } | {key.replace('__', '.'): text for key, text in changes.items()}
    return ''.join(f'{key}={text}\n' for key, text in values.items() if text)


def answer_parts(framing: str) -> tuple[bytes, bytes]:
    """Return head and body of an engine's answer with the given framing."""
    head = (
        b'HTTP/1.1 200 OK\r\n'
        b'Request-Id: r-1\r\n'
        b'Content-Type: text/event-stream\r\n'
        b'Response-Signature: 3e1b.07\r\n'
    )
    text = EVENT
    if framing == 'with a length':
        return b'%bContent-Length: %d\r\n\r\n' % (head, len(text)), text
    if framing == 'in chunks':
        chunk = b'%x\r\n%b\r\n0\r\n\r\n' % (len(text), text)
        return b'%bTransfer-Encoding: chunked\r\n\r\n' % head, chunk
    return b'%b\r\n' % head, text


class TruncatingServer:
    """Server that closes after the first ``length`` bytes of its answer."""

    def __init__(self, whole: bytes) -> None:
        self.length = 0
        self._whole = whole
        self._listening = socket.create_server((LOOPBACK, 0))
        self._thread = threading.Thread(target=self._serve, daemon=True)

    @property
    def address(self) -> str:
        ip, port = self._listening.getsockname()
        return f'{ip}:{port}'

    def __enter__(self) -> TruncatingServer:
        self._thread.start()
        return self

    def __exit__(self, *_error: object) -> None:
        self._listening.close()

    def _serve(self) -> None:
        while True:
            try:
                connection, _address = self._listening.accept()
            except OSError:
                return
            with connection:
                connection.recv(_MAX_REQUEST_BYTES)
                connection.sendall(self._whole[: self.length])
