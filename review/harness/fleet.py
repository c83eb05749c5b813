"""Processes of the system on loopback addresses, and their clients."""

from __future__ import annotations

import base64
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import uuid
from collections.abc import Callable
from pathlib import Path

from harness import wire
from harness.platform import PLAIN_PREFIX, Store

ROOT = Path(__file__).resolve().parents[2]
SERVICE = 'huvo11a'
HOST = 'nony24.example'
STREAM_PREFIX = '/lohu930/'
JOB_PREFIX = '/pule252/'
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
READ_TRIES = 10
SLOTS = 8
MEMORY_MB = {'front': 136, 'store': 170}


class Record:
    """Writes ``record.txt`` in the case's folder."""

    def __init__(self, folder: Path) -> None:
        self._began = time.monotonic()
        self._lock = threading.Lock()
        self._file = (folder / 'record.txt').open('w', encoding='utf-8')
        self.line(f'TROUBLE={int(TROUBLE)}')

    def line(self, text: str) -> None:
        at = time.monotonic() - self._began
        with self._lock:
            self._file.write(f'{at:8.3f} {text}\n')
            self._file.flush()

    def say(self, text: str) -> None:
        self.line(text)
        print(text, flush=True)


def route(name: str, prefix: str, kind: str, **fields: object) -> dict:
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


def configuration(version: int = 7, max_count: int = 2_700_000) -> dict:
    """Return the operator's configuration of a small deployment."""
    return {
        'Version': version,
        'Routes': [
            route(
                'r-replies',
                STREAM_PREFIX,
                'streaming',
                Sticky=True,
                Resumable=True,
                TargetGapMs=250,
            ),
            route(
                'r-bookings',
                PLAIN_PREFIX,
                'unsafe',
                MaxAttempts=1,
            ),
            route(
                'r-notes',
                JOB_PREFIX,
                'batch',
                TimeoutMs=15000,
                TargetLatencyMs=400,
                Priority=2,
                MaxAttempts=3,
                TargetCompleteMs=18000,
                MaxWaitS=60,
                MaxCount=max_count,
            ),
        ],
        'Services': [
            {
                'Name': SERVICE,
                'HealthPath': '/healthz',
                'MaxConns': 364,
                'Protocol': 'h1',
                'Tls': False,
                'Engine': {'Slots': 8, 'Models': [{'Name': 'm'}]},
            }
        ],
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 4194304,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
    }


def _free_port(ip: str) -> int:
    with contextlib.closing(socket.socket()) as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Process:
    """One process of the system, started by its command of the deploy file."""

    def __init__(self, fleet: Fleet, cls: str, zone: str, number: int) -> None:
        self.name = f'{cls}-{zone}-{number}'
        self.cls = cls
        self.zone = zone
        self.ip = f'127.{1 + os.getpid() // 200 % 200}.{20 + os.getpid() % 200}.{number}'
        self._fleet = fleet
        self.front = f'{self.ip}:{_free_port(self.ip)}'
        self.ready = f'{self.ip}:{_free_port(self.ip)}'
        self.settings = fleet.folder / f'{self.name}.conf'
        self.log = fleet.folder / f'{self.name}.log'
        self.running: subprocess.Popen | None = None

    def write_settings(self, seeds: list[str]) -> None:
        fields = {
            'Node': self.name,
            'Role': 'entry' if self.cls == 'front' else 'worker',
            'Class': self.cls,
            'Serves': 'front,control' if self.cls == 'front' else 'store',
            'Ip': self.ip,
            'Zone': self.zone,
            'Region': 'valle-cauca',
            **{f'Zones.{zone}': 'valle-cauca' for zone in self._fleet.zones},
            'PortRange': f'{self._fleet.peer_port},{self._fleet.peer_port}',
            'Seeds': ','.join(f'{ip}:8166' for ip in seeds),
            'Bootstrap': 'true',
            'LossCounts': str(self.cls == 'store').lower(),
            'Limits.CpuShare': '0.731',
            'Limits.Cores': '1',
            'Limits.MemoryMb': str(MEMORY_MB[self.cls]),
            'Limits.MaxFds': '1535',
            'Limits.LinkMbps': '350.0',
            'Discovery': 'platform',
            'Entry': 'vip',
            'HeartbeatMs': '1200',
            'Contracts': 'base,drain,config,cost,recover,batch,stream,'
            'engine,platform',
            'FaultTolerance.Machines': '1',
            'FaultTolerance.Zones': '1',
            'Bounds.SeedLagS': '3',
            'Bounds.AddrReuseS': '2',
            'Bounds.StableMs': '3000',
            'Bounds.AckMs': '4000',
            'Bounds.CatchUpS': '4.6',
            'Bounds.DrainMs': '2000',
            'Bounds.GraceS': '8',
            'Bounds.LostSlackMs': '200',
            'Bounds.ConfigApplyMs': '2000',
            'Bounds.RollbackSlackMs': '250',
            'Bounds.MaxStretchMs': '5000',
            'Bounds.RecoveryS': '12',
            'Bounds.PassMs': '120',
            'Bounds.FinishS': '18',
            'Bounds.StatusS': '120',
            'Bounds.CancelMs': '3000',
            'Bounds.SettleMs': '1000',
            'Bounds.QuotaOverage': '0.1',
            'Provider.Address': self._fleet.store.address,
            'Provider.form': 'objects',
            'Provider.WritesPerS': '400',
            'Provider.ReadsPerS': '2000',
            'Provider.HistoryS': '20',
            'Provider.ValueBytes': '1048576',
            'Provider.TtlMinMs': '1000',
        }
        if self.cls == 'front':
            fields['Listen.Front'] = self.front
            fields['Listen.ReadyAddr'] = self.ready
            fields['Listen.Control'] = f'{self.ip}:8166'
        self.settings.write_text(
            ''.join(f'{key}={text}\n' for key, text in fields.items()),
            encoding='utf-8',
        )

    def start(self, output=None) -> None:
        """Start the process; ``output`` replaces its log file."""
        role = self._fleet.deploy['roles'][
            'entry' if self.cls == 'front' else 'worker'
        ]
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment |= role.get('env', {})
        environment['GUAVADYKE_CONFIG'] = str(self.settings)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with self._fleet.starting, self.log.open('ab') as log:
            if self._fleet.closed:
                return
            self.running = subprocess.Popen(
                role['run'].split(),
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=output or log,
                stderr=output or log,
                env=environment,
            )

    @property
    def alive(self) -> bool:
        return self.running is not None and self.running.poll() is None

    @property
    def memory_mb(self) -> float:
        """Resident memory, 0 once the process has ended."""
        try:
            status = Path(f'/proc/{self.running.pid}/status').read_text()
        except OSError:
            return 0
        found = [x for x in status.splitlines() if x.startswith('VmRSS')]
        return int(found[0].split()[1]) / 1024 if found else 0

    def is_ready(self) -> bool:
        if self.cls != 'front':
            return self.alive
        answer = wire.call(
            self.ready, 'GET', '/api/readyz', {'Host': 'x'}, timeout_s=1
        )
        return answer.status == 200

    def call(
        self,
        method: str,
        target: str,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
        timeout_s: float = 10,
    ) -> wire.Answer:
        stated = {'Host': HOST, **(headers or {})}
        return wire.call(self.front, method, target, stated, body, timeout_s)

    def signal(self, number: int) -> None:
        if self.alive:
            self.running.send_signal(number)


class Fleet:
    """The store, the configuration and the processes of one trial."""

    def __init__(self, zones: tuple[str, ...] = ('cali-norte', 'cali-sur', 'palmira')) -> None:
        self.zones = zones
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.store = Store()
        self.deploy = tomllib.loads(
            (ROOT / 'deploy' / 'system.toml').read_text(encoding='utf-8')
        )
        self.processes: list[Process] = []
        self.peer_port = _free_port('127.0.0.1')
        self.starting = threading.Lock()
        self.closed = False

    def add(self, cls: str, count: int) -> list[Process]:
        """Lay out processes, spread over the zones."""
        added = []
        for index in range(count):
            zone = self.zones[index % len(self.zones)]
            added.append(Process(self, cls, zone, len(self.processes) + 1))
            self.processes.append(added[-1])
        return added

    def start(self, within_s: float = 40) -> bool:
        """Start all processes; return whether all get ready in time."""
        seeds = [process.ip for process in self.processes[:3]]
        for process in self.processes:
            process.write_settings(seeds)
            process.start()
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            if all(process.is_ready() for process in self.processes):
                return True
            time.sleep(0.2)
        return False

    def close(self) -> None:
        """End all processes that were started and remove their files."""
        with self.starting:
            self.closed = True
        for process in self.processes:
            if process.alive:
                process.running.send_signal(signal.SIGCONT)
                process.running.kill()
        for process in self.processes:
            if process.running is not None:
                process.running.wait()
        kept = os.environ.get('KEEP_LOGS')
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def new_id() -> str:
    return uuid.uuid4().hex[:16]


def stream_headers(request_id: str, deadline_ms: int = 5000) -> dict[str, str]:
    return {
        'Host': HOST,
        'Request-Id': request_id,
        'Model': 'm',
        'Token-Counts': '450,225',
        'Prompt-Prefix': f'5c1e07a2:100,91bd3f06:100,{request_id[:8]}:250',
        'Deadline-Ms': str(deadline_ms),
    }


def job_body(item_ids: list[str], tokens: int = 940) -> bytes:
    return json.dumps({
        'Items': [
            {
                'Id': item_id,
                'Path': f'{JOB_PREFIX}3/{item_id[:4]}',
                'Headers': {
                    'Model': 'm',
                    'Token-Counts': '350,590',
                    'Prompt-Prefix': f'9c2e41:100,{item_id[:8]}:250',
                },
                'Body': base64.b64encode(b'a note to write up').decode(),
                'Tokens': tokens,
            }
            for item_id in item_ids
        ]
    }).encode()


def submit(process: Process, job_id: str, item_ids: list[str]) -> wire.Answer:
    return process.call(
        'POST',
        f'{JOB_PREFIX}{job_id}',
        job_body(item_ids),
        {'Request-Id': job_id, 'Content-Type': 'application/json'},
    )


def results(process: Process, job_id: str) -> list[dict] | None:
    """Return all results that are listed, None if they can't be read.

    A read that fails is repeated for a few seconds, as clients do.
    """
    found: list[dict] = []
    failures = 0
    while failures < READ_TRIES:
        answer = process.call('GET', f'/api/lots/{job_id}?After={len(found)}')
        if answer.status != 200 or not answer.whole:
            failures += 1
            time.sleep(0.5)
            continue
        page = answer.json()
        found += page['Results']
        if not page['Results']:
            return found
    return None


def excused(
    record: Record, engines: list, items: set[str], unlisted: set[str], at: float
) -> bool:
    """Return whether unlisted items are excused at a moment.

    They are while engines had one of them in the last 5 s or were half full,
    where one failed in the last 20 s, or where an item ended in the last 3 s.
    """
    runs = [run for engine in engines for run in engine.runs]
    of_items = [run for run in runs if run.request_id in items]
    recent = [
        run for run in runs if run.ended_at is None or run.ended_at > at - 5
    ]
    had = sum(run.request_id in unlisted for run in recent)
    failed = sum(
        run.request_id in unlisted
        and run.end != 'complete'
        and run.at > at - 20
        for run in of_items
    )
    finished = sum(
        run.end == 'complete' and run.ended_at > at - 3 for run in of_items
    )
    half_full = 2 * len(recent) >= SLOTS * len(engines)
    record.say(
        f'unlisted items at engines in the last 5 s: {had}, failed in the last '
        f'20 s: {failed}, items finished in the last 3 s: {finished}, requests '
        f'at engines in the last 5 s: {len(recent)}'
    )
    return bool(had or failed or finished or half_full)


def run_case(folder: Path, play: Callable[[Record], int]) -> None:
    """Play a case and exit; an error or a stop is no result."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    record = Record(folder)
    try:
        code = play(record)
    except Exception as error:
        record.say(f'the case could not run: {error!r}')
        code = COULD_NOT_RUN
    sys.exit(code)
