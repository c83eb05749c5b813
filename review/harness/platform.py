"""Stand-ins of the platform's store and of engines."""

from __future__ import annotations

import collections
import copy
import itertools
import json
import re
import threading
import time
from collections.abc import Callable

from harness.wire import Channel, Closed, Request, Server

HISTORY = 50_000
PAGE = 500
# Requests that are answered as a whole.
PLAIN_PREFIX = '/pufi791/'
_PATH = re.compile(r'/api/objects/([^/]+)(?:/([^/]+))?(/status)?')


class Store:
    """The platform's metadata store, with all objects in memory."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._revision = 100
        self._objects: dict[tuple[str, str], dict] = {}
        self._events: collections.deque = collections.deque(maxlen=HISTORY)
        self.server = Server(self._answer)
        self.calls: collections.Counter[str] = collections.Counter()

    @property
    def address(self) -> str:
        return self.server.address

    def put(self, kind: str, name: str, spec: object) -> None:
        """Write as the operator or an engine does."""
        with self._changed:
            self._write(kind, name, spec, [])

    def remove(self, kind: str, name: str) -> None:
        with self._changed:
            if (kind, name) in self._objects:
                self._delete(kind, name)

    def spec(self, kind: str, name: str) -> object:
        with self._changed:
            found = self._objects.get((kind, name))
            return None if found is None else copy.deepcopy(found['Spec'])

    def _answer(self, request: Request) -> None:
        match = _PATH.fullmatch(request.path)
        if match is None:
            request.channel.answer(404)
            return
        kind, name, status = match.groups()
        self.calls[request.method] += 1
        time.sleep(0.004)
        if request.method == 'GET' and name is None:
            watch = 'Watch' in request.query
            (self._watch if watch else self._list)(request, kind)
            return
        with self._changed:
            answer = self._single(request, kind, name, status)
        request.channel.answer(*answer)

    def _single(
        self, request: Request, kind: str, name: str | None, status: str | None
    ) -> tuple[int, object]:
        if request.method == 'POST':
            document = json.loads(request.body)
            name = document['Metadata']['Name']
            found = self._objects.get((kind, name))
            if found is not None:
                return 409, found
            return 200, self._write(kind, name, document.get('Spec'), [])
        found = self._objects.get((kind, name))
        if found is None:
            return 404, {}
        if request.method == 'GET':
            return 200, found
        document = json.loads(request.body) if request.body else {}
        stated = document.get('Metadata', {}).get('Rev') or int(
            request.query.get('Rev', '0')
        )
        if stated and stated != found['Metadata']['Rev']:
            return 409, found
        if request.method == 'DELETE':
            return 200, self._delete(kind, name)
        if status:
            return 200, self._write(
                kind, name, found['Spec'], [], document['Status']
            )
        return 200, self._write(
            kind, name, document.get('Spec'), [], found['Status']
        )

    def _write(
        self, kind: str, name: str, spec: object, finalizers: list, status=None
    ) -> dict:
        found = self._objects.get((kind, name))
        if (
            found is not None
            and found['Spec'] == spec
            and found['Status'] == status
        ):
            return found
        self._revision += 1
        written = {
            'Metadata': {
                'Name': name,
                'Rev': self._revision,
                'Created': 1,
                'Finalizers': finalizers,
                'Deleting': False,
            },
            'Spec': spec,
            'Status': status,
        }
        self._objects[kind, name] = written
        self._events.append((self._revision, kind, written, False))
        self._changed.notify_all()
        return written

    def _delete(self, kind: str, name: str) -> dict:
        gone = copy.deepcopy(self._objects.pop((kind, name)))
        self._revision += 1
        gone['Metadata']['Rev'] = self._revision
        self._events.append((self._revision, kind, gone, True))
        self._changed.notify_all()
        return gone

    def _list(self, request: Request, kind: str) -> None:
        after = request.query.get('After', '')
        with self._changed:
            names = sorted(
                name
                for known, name in self._objects
                if known == kind and name > after
            )
            answer = {
                'Items': [self._objects[kind, name] for name in names[:PAGE]],
                'HasMore': len(names) > PAGE,
                'AsOf': self._revision,
            }
        request.channel.answer(200, answer)

    def _watch(self, request: Request, kind: str) -> None:
        since = int(request.query['Watch'])
        until = time.monotonic() + int(request.query['WaitMs']) / 1000
        with self._changed:
            while True:
                events = [
                    {'Object': found, 'Deleted': deleted}
                    for revision, of_kind, found, deleted in self._events
                    if revision > since and of_kind == kind
                ]
                left_s = until - time.monotonic()
                if events or left_s <= 0:
                    break
                self._changed.wait(left_s)
            answer = {'events': events, 'AsOf': self._revision}
        request.channel.answer(200, answer)


class Run:
    """One request at an engine, with what became of it."""

    def __init__(self, request: Request, engine_id: str) -> None:
        self.request_id = request.headers.get('request-id', '')
        self.engine_id = engine_id
        self.at = time.monotonic()
        self.after = int(request.headers.get('last-event-id', '0'))
        self.began_at: float | None = None
        self.events = 0
        self.end = 'open'
        self.ended_at: float | None = None


class Engine:
    """A model engine that streams events and admits in order of arrival.

    Args:
        store: where it registers.
        service: its service.
        zone: its zone.
        number: part of its id.
        slots: requests at once.
        event_s: time between events.
        events_of: number of events of a request, from its headers.
        first_s: time to the first event.
        plain_s: time to a whole answer, for requests under ``PLAIN_PREFIX``.
    """

    _boots = itertools.count(1)

    def __init__(
        self,
        store: Store,
        service: str,
        zone: str,
        slots: int = 8,
        event_s: float = 0.027,
        events_of: Callable[[dict[str, str]], int] = lambda _headers: 41,
        first_s: float = 0.02,
        plain_s: float = 1.0,
    ) -> None:
        self._store = store
        self._slots = threading.Semaphore(slots)
        self._event_s = event_s
        self._first_s = first_s
        self._plain_s = plain_s
        self._events_of = events_of
        self._entry = {
            'Service': service,
            'Zone': zone,
            'Version': 'v1',
            'Slots': slots,
            'State': 'ready',
            'ColdLeftMs': 0,
            'Stage': 'both',
            'Models': [{'Name': 'm', 'Version': 1, 'Adapters': []}],
            'born': int(time.time() * 1000),
        }
        self.engine_id = f'i-{next(self._boots):08x}'
        self.runs: list[Run] = []
        # Called with each request that is to run; true if it has answered.
        self.spoil: Callable[[Request, Run], bool] = lambda _request, _run: False
        self.server = Server(self._answer)
        self._entry['Address'] = self.server.address
        self._sequence = 0
        threading.Thread(target=self._beat, daemon=True).start()

    def _beat(self) -> None:
        while True:
            self._sequence += 1
            self._store.put(
                'servers',
                self.engine_id,
                {**self._entry, 'Seq': 1},
            )
            time.sleep(1.2)

    def _answer(self, request: Request) -> None:
        channel = request.channel
        if request.path == '/healthz':
            channel.answer(200, {}, {'Instance-Id': self.engine_id})
            return
        expected = request.headers.get('expect-instance', self.engine_id)
        if expected != self.engine_id:
            channel.answer(421, {}, {'Instance-Id': self.engine_id})
            return
        run = Run(request, self.engine_id)
        self.runs.append(run)
        with self._slots:
            try:
                run.end = self._run(request, run)
            except (Closed, OSError):
                run.end = 'caller left'
                raise
            finally:
                run.ended_at = time.monotonic()
        if run.end != 'complete':
            raise Closed(run.end)

    def _run(self, request: Request, run: Run) -> str:
        channel = request.channel
        if channel.left:
            return 'caller left before it ran'
        run.began_at = time.monotonic()
        if self.spoil(request, run):
            return 'spoiled'
        if request.path.startswith(PLAIN_PREFIX):
            return self._answer_whole(channel, run)
        time.sleep(self._first_s)
        self._head(channel, run)
        for number in range(run.after + 1, self._events_of(request.headers) + 1):
            if channel.left:
                return 'caller left'
            event = event_of(run.request_id, number)
            channel.send(b'%x\r\n%b\r\n' % (len(event), event))
            run.events += 1
            time.sleep(self._event_s)
        channel.send(b'0\r\n\r\n')
        return 'complete'

    def _answer_whole(self, channel: Channel, run: Run) -> str:
        until = time.monotonic() + self._plain_s
        while time.monotonic() < until:
            time.sleep(0.02)
            if channel.left:
                return 'caller left'
        channel.answer(
            200,
            {'text': data_of(run.request_id, 1)},
            {
                'Request-Id': run.request_id,
                'Response-Signature': f'signed.{self.engine_id}',
            },
        )
        return 'complete'

    def _head(self, channel: Channel, run: Run) -> None:
        channel.send(
            (
                'HTTP/1.1 200 OK\r\n'
                'Content-Type: text/event-stream\r\n'
                f'Request-Id: {run.request_id}\r\n'
                f'Response-Signature: signed.{self.engine_id}\r\n'
                'Weight-Versions: 1\r\n'
                'Transfer-Encoding: chunked\r\n\r\n'
            ).encode()
        )


def data_of(request_id: str, number: int) -> str:
    """Return the data of an event; it depends on the request alone."""
    return f'{request_id} word {number} of the answer'


def event_of(request_id: str, number: int) -> bytes:
    return f'id: {number}\ndata: {data_of(request_id, number)}\n\n'.encode()
