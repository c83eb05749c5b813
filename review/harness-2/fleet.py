"""Stand-ins of the platform, engines and operator, and daemons on loopback.

The store, the engines and the caller follow PROTOCOL.md and DEPLOY.md. The
daemons run with the commands of the deploy file, as processes of their own.
"""

from __future__ import annotations

import base64
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = pathlib.Path(__file__).resolve().parents[2]
SERVICE = 'llm'
HOST = 'nony24.example'
STREAM_PREFIX = '/lohu930/'
JOB_PREFIX = '/pule252/'
VALUE_BYTES = 1_048_576
PAGE_BYTES = 1_000_000
ZONES = ('south-a', 'south-b', 'south-c', 'south-d')
HELD, BROKEN, NOT_RUN = 0, 1, 2


def free_port(ip: str = '127.0.0.1') -> int:
    with socket.create_server((ip, 0)) as listening:
        return listening.getsockname()[1]


def wait_until(condition, timeout_s: float, pause_s: float = 0.05) -> bool:
    until = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > until:
            return False
        time.sleep(pause_s)
    return True


class Record:
    """The lines of ``record.txt``; each has seconds since the start."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / 'record.txt').open('w', encoding='utf-8')
        self._lock = threading.Lock()
        self.began = time.monotonic()

    def __call__(self, text: str) -> None:
        with self._lock:
            at = time.monotonic() - self.began
            self._file.write(f'{at:8.3f} {text}\n')
            self._file.flush()


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512
    allow_reuse_address = True

    def handle_error(self, request, client_address) -> None:
        """Ignore callers that have left."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True
    wbufsize = -1

    def log_message(self, *_args) -> None:
        """Log nothing."""

    def read_body(self) -> bytes:
        return read_length(self)

    def reply(self, status: int, body: bytes = b'{}', headers=()) -> None:
        self.send_response(status)
        self.send_header('Content-Type', 'application/json')
        self.send_header('Content-Length', str(len(body)))
        for name, text in headers:
            self.send_header(name, text)
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()


def read_length(call: BaseHTTPRequestHandler) -> bytes:
    return call.rfile.read(int(call.headers.get('Content-Length') or 0))


class Store:
    """The platform's store: linearizable objects, lists and watches.

    An object whose encoding is larger than ``ValueBytes`` is refused with
    413 and nothing is done.
    """

    def __init__(self, record: Record, ip: str = '127.0.0.1') -> None:
        self.record = record
        self.objects: dict[tuple[str, str], tuple[int, bytes]] = {}
        self.statuses: dict[tuple[str, str], object] = {}
        self.events: list[tuple[int, str, bool, bytes]] = []
        self.revision = 1
        self.refused_sizes: list[tuple[str, int]] = []
        self.changed = threading.Condition()
        outer = self

        class Handler(_Handler):
            def do_GET(self) -> None:
                time.sleep(0.004)
                outer._get(self)

            def do_POST(self) -> None:
                time.sleep(0.004)
                outer._write(self)

            do_PUT = do_POST
            do_DELETE = do_POST

        self._server = _Server((ip, 0), Handler)
        self.address = '{}:{}'.format(*self._server.server_address)
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def put(self, kind: str, name: str, spec: object) -> int:
        with self.changed:
            return self._set(kind, name, json.dumps(spec).encode())

    def delete(self, kind: str, name: str) -> None:
        with self.changed:
            self._drop(kind, name)

    def names(self, kind: str) -> list[str]:
        with self.changed:
            return sorted(name for k, name in self.objects if k == kind)

    def spec(self, kind: str, name: str):
        with self.changed:
            found = self.objects.get((kind, name))
        return None if found is None else json.loads(found[1])

    def close(self) -> None:
        self._server.shutdown()
        self._server.server_close()

    def _set(self, kind: str, name: str, spec: bytes) -> int:
        before = self.objects.get((kind, name))
        if before is not None and before[1] == spec:
            return before[0]
        self.revision += 1
        self.objects[kind, name] = (self.revision, spec)
        self._event(kind, name, spec, deleted=False)
        return self.revision

    def _drop(self, kind: str, name: str) -> None:
        _version, spec = self.objects.pop((kind, name))
        self.revision += 1
        self._event(kind, name, spec, deleted=True)

    def _event(self, kind: str, name: str, spec: bytes, *, deleted) -> None:
        document = self._document(kind, name, self.revision, spec)
        self.events.append((self.revision, kind, deleted, document))
        self.changed.notify_all()

    def _document(self, kind, name, version, spec: bytes) -> bytes:
        metadata = {
            'Name': name,
            'Rev': version,
            'Created': 1,
            'Finalizers': [],
            'Deleting': False,
        }
        status = self.statuses.get((kind, name))
        return b'{"Metadata":%b,"Spec":%b,"Status":%b}' % (
            json.dumps(metadata).encode(),
            spec,
            json.dumps(status).encode(),
        )

    def _split(self, call: _Handler):
        url = urllib.parse.urlsplit(call.path)
        parts = [urllib.parse.unquote(one) for one in url.path.split('/')[3:]]
        query = dict(urllib.parse.parse_qsl(url.query))
        return parts, query

    def _get(self, call: _Handler) -> None:
        parts, query = self._split(call)
        kind = parts[0]
        if len(parts) > 1:
            with self.changed:
                found = self.objects.get((kind, parts[1]))
                body = found and self._document(kind, parts[1], *found)
            call.reply(200 if found else 404, body or b'{}')
            return
        if 'Watch' in query:
            call.reply(200, self._watch(kind, query))
            return
        after = query.get('After', '')
        with self.changed:
            names = sorted(n for k, n in self.objects if k == kind and n > after)
            items, size, more = [], 0, False
            for name in names:
                if len(items) == 500 or size > PAGE_BYTES:
                    more = True
                    break
                items.append(
                    self._document(kind, name, *self.objects[kind, name])
                )
                size += len(items[-1])
            revision = self.revision
        call.reply(
            200,
            b'{"Items":[%b],"HasMore":%b,"AsOf":%d}'
            % (b','.join(items), b'true' if more else b'false', revision),
        )

    def _watch(self, kind: str, query) -> bytes:
        since = int(query['Watch'])
        until = time.monotonic() + int(query.get('WaitMs', '0')) / 1000
        with self.changed:
            while True:
                found = []
                for revision, of, deleted, document in reversed(self.events):
                    if revision <= since:
                        break
                    if of == kind:
                        found.append((deleted, document))
                left_s = until - time.monotonic()
                if found or left_s <= 0:
                    break
                self.changed.wait(left_s)
            revision = self.revision
        events = (
            b'{"Deleted":%b,"Object":%b}'
            % (b'true' if deleted else b'false', document)
            for deleted, document in reversed(found)
        )
        return b'{"events":[%b],"AsOf":%d}' % (b','.join(events), revision)

    def _write(self, call: _Handler) -> None:
        parts, query = self._split(call)
        raw = call.read_body()
        kind = parts[0]
        document = json.loads(raw) if raw else {}
        metadata = document.get('Metadata') or {}
        name = parts[1] if len(parts) > 1 else metadata.get('Name')
        if len(raw) > VALUE_BYTES:
            self.refused_sizes.append((f'{kind}/{name}', len(raw)))
            self.record(
                f'store refuses {call.command} {kind}/{name}: {len(raw)} bytes, '
                f'ValueBytes is {VALUE_BYTES}'
            )
            call.reply(413)
            return
        wanted = metadata.get('Rev') or int(query.get('Rev', '0'))
        with self.changed:
            found = self.objects.get((kind, name))
            if parts[2:] == ['status']:
                self.statuses[kind, name] = document.get('Status')
                status, body = 200, b'{"Metadata":{"Name":"s","Rev":1}}'
            elif call.command == 'POST' and found is not None:
                status, body = 409, self._document(kind, name, *found)
            elif call.command != 'POST' and found is None:
                status, body = 404, b'{}'
            elif wanted and found is not None and wanted != found[0]:
                status, body = 409, self._document(kind, name, *found)
            elif call.command == 'DELETE':
                self._drop(kind, name)
                status, body = 200, self._document(kind, name, *found)
            else:
                self._set(kind, name, json.dumps(document['Spec']).encode())
                found = self.objects[kind, name]
                status, body = 200, self._document(kind, name, *found)
        call.reply(status, body)


def route(name: str, prefix: str, kind: str, **fields) -> dict[str, object]:
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


def batch_route(**fields) -> dict[str, object]:
    return route(
        'digests',
        JOB_PREFIX,
        'batch',
        **{
            'TimeoutMs': 15000,
            'TargetLatencyMs': 500,
            'TargetCompleteMs': 18000,
            'MaxAttempts': 3,
            'MaxCount': 2_200_000,
            'MaxWaitS': 120,
            'Priority': 2,
            **fields,
        },
    )


def configuration(*routes, version: int = 7) -> dict[str, object]:
    return {
        'Version': version,
        'Routes': list(routes),
        'Services': [
            {
                'Name': SERVICE,
                'HealthPath': '/healthz',
                'MaxConns': 822,
                'Protocol': 'h1',
                'Tls': False,
                'Engine': {'Slots': 8, 'KvTokens': 106377},
            }
        ],
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 4194304,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
    }


class Engine:
    """An engine: streams events in chunks, ``Slots`` requests at once.

    ``event_data`` returns the data of an event from the request's id and the
    event's number. The number of events is the second of ``Token-Counts``.
    """

    def __init__(
        self, name: str, record: Record, event_data, step_s=0.003, zone=ZONES[0]
    ) -> None:
        self.name = name
        self.zone = zone
        self.record = record
        self.runs: list[tuple[float, str, int]] = []
        self.completed: set[str] = set()
        self._slots = threading.Semaphore(8)
        self._queued = threading.Semaphore(8 + 24)
        outer = self

        class Handler(_Handler):
            def do_POST(self) -> None:
                outer._post(self)

            def do_GET(self) -> None:
                self.reply(200, b'{}', [('Instance-Id', outer.name)])

        self.event_data = event_data
        self.step_s = step_s
        self._server = _Server(('127.0.0.1', 0), Handler)
        self.address = '{}:{}'.format(*self._server.server_address)
        self.born = int(time.time() * 1000)
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def entry(self, **fields) -> dict[str, object]:
        return {
            'Service': SERVICE,
            'Address': self.address,
            'Zone': self.zone,
            'Version': 'v1',
            'Slots': 8,
            'State': 'ready',
            'ColdLeftMs': 0,
            'Seq': 1,
            'born': self.born,
            **fields,
        }

    def close(self) -> None:
        self._server.shutdown()
        self._server.server_close()

    def _post(self, call: _Handler) -> None:
        request_id = call.headers.get('Request-Id', '')
        call.read_body()
        if call.headers.get('Expect-Instance') not in {None, self.name}:
            call.reply(421, b'{}', [('Instance-Id', self.name)])
            return
        named = [('Request-Id', request_id)]
        if not self._queued.acquire(blocking=False):
            call.reply(503, b'{}', [('Not-Executed', '1'), *named])
            return
        try:
            with self._slots:
                self._run(call, request_id)
        finally:
            self._queued.release()

    def _run(self, call: _Handler, request_id: str) -> None:
        count = int(call.headers['Token-Counts'].split(',')[1])
        after = int(call.headers.get('Last-Event-Id') or 0)
        self.runs.append((time.monotonic(), request_id, after))
        self.record(f'engine {self.name} runs {request_id} after {after}')
        call.send_response(200)
        call.send_header('Content-Type', 'text/event-stream')
        call.send_header('Request-Id', request_id)
        call.send_header('Response-Signature', f'{self.name}.{request_id}')
        call.send_header('Transfer-Encoding', 'chunked')
        call.end_headers()
        for number in range(after + 1, count + 1):
            event = b'id: %d\ndata: %b\n\n' % (
                number,
                self.event_data(request_id, number),
            )
            call.wfile.write(b'%x\r\n%b\r\n' % (len(event), event))
            call.wfile.flush()
            if self.step_s:
                time.sleep(self.step_s)
        call.wfile.write(b'0\r\n\r\n')
        call.wfile.flush()
        self.completed.add(request_id)
        self.record(f'engine {self.name} has completed {request_id}')


class Daemon:
    """One process of the system, started with a command of the deploy file."""

    def __init__(self, fleet: Fleet, number: int, role: str, **settings) -> None:
        self.fleet = fleet
        self.role = role
        self.ip = f'127.0.1.{number}'
        on = 'front' if role == 'entry' else 'store'
        zone = ZONES[(number - 1) % len(ZONES)]
        self.name = f'{on}-{zone}-{number}'
        self.front = free_port(self.ip)
        self.ready = free_port(self.ip)
        self.process: subprocess.Popen | None = None
        self.ends = 0
        lines = {
            'Node': self.name,
            'Role': role,
            'Class': on,
            'Serves': 'front,control' if on == 'front' else 'store',
            'Ip': self.ip,
            'Zone': zone,
            'Region': 'south',
            **{f'Zones.{one}': 'south' for one in ZONES},
            'PortRange': f'{fleet.peer_port},{fleet.peer_port + 15}',
            'Seeds': ','.join(f'127.0.1.{n}:8166' for n in (1, 2, 3)),
            'Bootstrap': 'true',
            'LossCounts': 'false' if on == 'front' else 'true',
            'Limits.CpuShare': '0.731',
            'Limits.Cores': '1',
            'Limits.MemoryMb': '222' if on == 'front' else '330',
            'Limits.MaxFds': '1535',
            'HeartbeatMs': '1200',
            'Contracts': 'base,drain,config,cost,recover,batch,stream,engine,'
            'platform',
            'Bounds.StableMs': '3000',
            'Bounds.DrainMs': '2000',
            'Bounds.GraceS': '8',
            'Bounds.ConfigApplyMs': '2000',
            'Bounds.FinishS': '18',
            'Bounds.StatusS': '120',
            'Bounds.CancelMs': '3000',
            'Bounds.SettleMs': '1000',
            'Provider.Address': fleet.store.address,
            'Provider.form': 'objects',
            'Provider.WritesPerS': '400',
            'Provider.ReadsPerS': '2000',
            'Provider.HistoryS': '20',
            'Provider.ValueBytes': str(VALUE_BYTES),
            **settings,
        }
        if on == 'front':
            lines['Listen.Front'] = f'{self.ip}:{self.front}'
            lines['Listen.ReadyAddr'] = f'{self.ip}:{self.ready}'
        self.path = fleet.folder / f'{self.name}.conf'
        self.log_path = fleet.folder / f'{self.name}.log'
        self.path.write_text(
            ''.join(f'{key}={text}\n' for key, text in lines.items())
        )

    def start(self) -> None:
        if self.fleet.closing:
            return
        role = self.fleet.deploy['roles'][self.role]
        command = role['run'].split()
        if command[0] == 'python3':
            command[0] = sys.executable
        with self.log_path.open('ab') as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    'PATH': os.environ['PATH'],
                    'HOME': os.environ.get('HOME', '/'),
                    'LANG': os.environ.get('LANG', 'C.UTF-8'),
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'MALLOC_ARENA_MAX': '1',
                    'GUAVADYKE_CONFIG': str(self.path),
                    **role.get('env', {}),
                },
            )

    @property
    def alive(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def kill(self, number: int = signal.SIGKILL) -> None:
        if self.alive:
            self.process.send_signal(number)

    def log(self) -> str:
        return self.log_path.read_text(errors='replace')

    def is_ready(self) -> bool:
        try:
            return self.get_ready() == 200
        except OSError:
            return False

    def get_ready(self) -> int:
        connection = http.client.HTTPConnection(self.ip, self.ready, timeout=1)
        try:
            connection.request('GET', '/api/readyz')
            return connection.getresponse().status
        except http.client.HTTPException:
            return 0
        finally:
            connection.close()

    def memory_mb(self) -> float:
        """Resident memory of the process and its open temporary files."""
        pid = self.process.pid
        try:
            status = pathlib.Path(f'/proc/{pid}/status').read_text()
        except OSError:
            return 0
        rss = [line for line in status.splitlines() if line.startswith('VmRSS')]
        return int(rss[0].split()[1]) / 1024 if rss else 0

    def call(
        self, method, target, *, body=None, headers=None, timeout_s=10.0
    ) -> tuple[int, bytes]:
        """Make a call on a new channel; status 0 is no answer."""
        connection = http.client.HTTPConnection(
            self.ip, self.front, timeout=timeout_s
        )
        try:
            connection.request(
                method, target, body=body, headers={'Host': HOST, **(headers or {})}
            )
            answer = connection.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            return 0, b''
        finally:
            connection.close()


class Fleet:
    """The stand-ins and daemons of one case; ``close`` ends them all."""

    def __init__(self, case: pathlib.Path, trouble: bool) -> None:
        self.folder_holder = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.folder_holder.name)
        self.record = Record(case)
        self.trouble = trouble
        self.record(f'trouble: {"on" if trouble else "off"}')
        self.deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self.store = Store(self.record)
        self.peer_port = free_port('127.0.1.1')
        self.daemons: list[Daemon] = []
        self.engines: list[Engine] = []
        # No process is started any more.
        self.closing = False

    @property
    def fronts(self) -> list[Daemon]:
        return [one for one in self.daemons if one.role == 'entry']

    def add_engines(self, count: int, event_data, step_s: float = 0.003) -> None:
        for number in range(count):
            zone = ZONES[number % len(ZONES)]
            engine = Engine(
                f'i-{number + 1}', self.record, event_data, step_s, zone
            )
            self.engines.append(engine)
            self.store.put('servers', engine.name, engine.entry())

    def start(self, fronts: int, workers: int, **settings) -> bool:
        """Start the daemons; return whether all fronts become ready."""
        roles = ['entry'] * fronts + ['worker'] * workers
        self.daemons = [
            Daemon(self, number, role, **settings)
            for number, role in enumerate(roles, 1)
        ]
        for daemon in self.daemons:
            daemon.start()
        ready = wait_until(
            lambda: all(one.is_ready() for one in self.fronts), 30
        )
        self.record(f'fronts ready: {ready}')
        return ready

    def close(self) -> None:
        for daemon in self.daemons:
            if daemon.alive:
                daemon.process.send_signal(signal.SIGCONT)
                daemon.process.kill()
            if daemon.process is not None:
                daemon.process.wait()
        for engine in self.engines:
            engine.close()
        self.store.close()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            for path in self.folder.iterdir():
                pathlib.Path(keep, path.name).write_bytes(path.read_bytes())
        self.folder_holder.cleanup()


def item(
    item_id: str, prompt: int, output: int, body: bytes = b'text', **headers
) -> dict[str, object]:
    return {
        'Id': item_id,
        'Path': f'{JOB_PREFIX}3/{item_id}',
        'Headers': {
            'Model': 'm',
            'Token-Counts': f'{prompt},{output}',
            'Prompt-Prefix': f'9c2e41:100,{item_id}:{prompt - 100}',
            **headers,
        },
        'Body': base64.b64encode(body).decode(),
        'Tokens': prompt + output,
    }


def submit(daemon: Daemon, job_id: str, items: list) -> int:
    status, _body = daemon.call(
        'POST',
        f'{JOB_PREFIX}{job_id[:6]}',
        body=json.dumps({'Items': items}).encode(),
        headers={'Request-Id': job_id, 'Content-Type': 'application/json'},
    )
    daemon.fleet.record(f'{daemon.name} answers {status} to job {job_id}')
    return status


def read_results(daemon: Daemon, job_id: str, after: int = 0):
    """Return the status and the document of one page of results."""
    status, body = daemon.call(
        'GET', f'/api/lots/{job_id}?After={after}', headers={'Wait-Ms': '1000'}
    )
    return status, json.loads(body) if status == 200 else None


def run_case(case_file: str, main) -> None:
    """Run a case and exit with its verdict."""
    trouble = os.environ.get('TROUBLE', '1') != '0'
    # Ends all processes also when the time of the script is over.
    signal.signal(signal.SIGTERM, lambda *_args: sys.exit(NOT_RUN))
    fleet = Fleet(pathlib.Path(case_file).resolve().parent, trouble)
    try:
        verdict = main(fleet)
    except Exception as error:
        fleet.record(f'the case could not run: {error!r}')
        verdict = NOT_RUN
    finally:
        fleet.closing = True
        fleet.close()
    fleet.record(f'verdict: {verdict}')
    print(('held', 'BROKEN', 'not run')[verdict])
    sys.exit(verdict)
