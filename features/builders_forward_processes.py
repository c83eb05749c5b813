"""Daemons of the users' platform as processes on loopback."""

from __future__ import annotations

import dataclasses
import json
import os
import signal
import subprocess
import sys
import tempfile
from collections.abc import Mapping
from pathlib import Path
from typing import BinaryIO

import urllib3

from features import builders_users_platform as users
from features.builders_processes import wait_until
from guavadyke.embedded_fleet import free_port

ROOT = Path(__file__).resolve().parents[1]
START_S = 20.0
STOP_S = 12.0
_CALL_S = 10.0


@dataclasses.dataclass
class DaemonProcess:
    """One daemon with its settings file and log.

    ``root`` is the checkout whose product it runs.
    """

    name: str
    ip: str
    front: int
    ready: int
    folder: Path
    root: Path = ROOT
    process: subprocess.Popen[bytes] | None = None
    module: str = 'guavadyke.platform'
    # Headers of all calls that do not state others of these names.
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)

    @property
    def settings_path(self) -> Path:
        return self.folder / f'{self.name}.conf'

    @property
    def log(self) -> str:
        return (self.folder / f'{self.name}.log').read_text(encoding='utf-8')

    def start(self) -> None:
        """Start the process."""
        with (self.folder / f'{self.name}.log').open('ab') as log:
            self._start(log)

    def start_unread(self) -> None:
        """Start the process with a log that nobody reads."""
        self._start(subprocess.PIPE)

    def is_ready(self) -> bool:
        """Return whether the readiness check of the load balancer passes."""
        try:
            answer = urllib3.request(
                'GET',
                f'http://{self.ip}:{self.ready}/api/readyz',
                retries=False,
                timeout=1,
            )
        except urllib3.exceptions.HTTPError:
            return False
        return answer.status == 200

    def call(
        self,
        method: str,
        target: str,
        *,
        body: bytes = b'',
        headers: Mapping[str, str] | None = None,
        preload: bool = True,
    ) -> urllib3.BaseHTTPResponse:
        """Make a client's call on a new connection."""
        pool = urllib3.HTTPConnectionPool(self.ip, self.front)
        return pool.urlopen(
            method,
            target,
            body=body,
            headers={'Host': users.HOST, **self.headers, **(headers or {})},
            retries=False,
            timeout=_CALL_S,
            preload_content=preload,
        )

    def _start(self, log: BinaryIO | int) -> None:
        self.process = subprocess.Popen(
            [sys.executable, '-m', self.module, 'entry'],
            cwd=self.root,
            stdout=log,
            stderr=log,
            env={
                **os.environ,
                'GUAVADYKE_CONFIG': str(self.settings_path),
                'GUAVADYKE_FLEET_KEY': 'fleet-key',
            },
        )


class UsersFleet:
    """A platform store, engines and daemons, stopped by ``close``.

    Args:
        root: the checkout whose product the daemons run at first.
        module: the module that the daemons run.
    """

    def __init__(
        self, root: Path = ROOT, module: str = 'guavadyke.platform'
    ) -> None:
        self._root = root
        self.store = users.UsersStore()
        # Changes of the settings of daemons that are started.
        self.settings: dict[str, str] = {}
        # Headers of all calls of daemons that are started.
        self.headers: dict[str, str] = {}
        self.engines: list[users.UsersEngine] = []
        self.daemons: list[DaemonProcess] = []
        self._module = module
        self._folder = tempfile.TemporaryDirectory()
        # All hosts have the same peer port, as on the users' machines.
        self._peer_port = free_port()

    def add_engine(self) -> users.UsersEngine:
        """Start an engine and register it."""
        engine = users.UsersEngine(f'i-{len(self.engines) + 1}')
        self.engines.append(engine)
        self.store.put(
            'servers',
            engine.name,
            users.engine_entry(engine.address),
        )
        return engine

    def configure(self) -> None:
        """Write the configuration to the store."""
        self.store.put('config', 'main', users.configuration())

    def start(self, daemons: int, engines: int) -> None:
        """Configure and start a fleet; wait until every daemon is ready."""
        self.configure()
        for _ in range(engines):
            self.add_engine()
        for _ in range(daemons):
            self.start_daemon()
        self.wait_ready()

    def start_daemon(self, *, unread: bool = False) -> DaemonProcess:
        """Start a daemon, with a log that nobody reads if ``unread``."""
        number = len(self.daemons) + 1
        daemon = DaemonProcess(
            f'front-{number}',
            f'127.0.0.{number}',
            free_port(),
            free_port(),
            Path(self._folder.name),
            self._root,
            module=self._module,
            headers=self.headers,
        )
        daemon.settings_path.write_text(
            users.settings_lines(
                Node=daemon.name,
                Ip=daemon.ip,
                Listen__Front=f'{daemon.ip}:{daemon.front}',
                Listen__ReadyAddr=f'{daemon.ip}:{daemon.ready}',
                PortRange=str(self._peer_port),
                Seeds='127.0.0.1:1,127.0.0.2:1',
                Provider__Address=self.store.address,
                **self.settings,
            ),
            encoding='utf-8',
        )
        if unread:
            daemon.start_unread()
        else:
            daemon.start()
        self.daemons.append(daemon)
        return daemon

    def wait_ready(self) -> None:
        """Wait until every daemon is ready."""
        for daemon in self.daemons:
            assert wait_until(daemon.is_ready, START_S), daemon.log

    def submit(
        self, items: int, job_id: str = 'job-1', prefix: str = 'item'
    ) -> None:
        """Submit a job at the first daemon; ids of items have the prefix."""
        answer = self.daemons[0].call(
            'POST',
            f'{users.JOB_PREFIX}1',
            body=json.dumps(users.job_document(items, prefix)).encode(),
            headers={'Request-Id': job_id},
        )
        assert answer.status == 202, answer.data

    def close(self) -> None:
        """Stop everything that was started."""
        for daemon in self.daemons:
            if daemon.process.poll() is None:
                daemon.process.send_signal(signal.SIGKILL)
                daemon.process.wait(STOP_S)
        for engine in self.engines:
            engine.close()
        self.store.close()
        self._folder.cleanup()


def results(
    daemon: DaemonProcess, after: int = 0, job_id: str = 'job-1'
) -> list[dict[str, str]]:
    """Read the results of a job from a position."""
    answer = daemon.call('GET', f'/api/lots/{job_id}?After={after}')
    if answer.status != 200:
        return []
    return list(answer.json()['Results'])
