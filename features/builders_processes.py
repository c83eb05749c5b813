"""A fleet of processes on loopback, which tests kill and pause."""

from __future__ import annotations

import contextlib
import dataclasses
import functools
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from features import builders
from guavadyke.client import Client
from guavadyke.embedded_fleet import free_port
from guavadyke.errors import GuavadykeError
from guavadyke.trial_catalogue import (
    EngineLocation,
    TrialFleet,
    trial_catalogue,
)

LOOPBACK = '127.0.0.1'
ZONES = ('cali-norte', 'cali-sur')
LEASE_S = 4.0
_START_TIMEOUT_S = 30.0
_STOP_TIMEOUT_S = 60.0
_POLL_INTERVAL_S = 0.05
_HTTP_OK = 200
_LOG_END_CHARACTERS = 2000
_KEY = 'caller-key'
_TOKEN = 'operator-token'


def wait_until(condition: Callable[[], bool], timeout_s: float) -> bool:
    """Wait for a condition; return False if it is not met in time."""
    until = time.monotonic() + timeout_s
    while time.monotonic() < until:
        if condition():
            return True
        time.sleep(_POLL_INTERVAL_S)
    return condition()


@dataclasses.dataclass(frozen=True)
class HostPorts:
    """Zone and ports of one entry host."""

    zone: str
    caller: int
    operator: int
    peer: int


class Processes:
    """Processes of the guavadyke command, each with its log file."""

    def __init__(self) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self._processes: dict[str, subprocess.Popen[bytes]] = {}

    def start(self, name: str, *arguments: str) -> None:
        """Start a process."""
        with self.path(f'{name}.log').open('ab') as log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, '-m', 'guavadyke', *arguments],
                stdout=log,
                stderr=log,
                env={
                    **os.environ,
                    'GUAVADYKE_OPERATOR_TOKEN': _TOKEN,
                    'GUAVADYKE_FLEET_KEY': 'fleet-key',
                },
            )

    def path(self, name: str) -> Path:
        """Return the path of a file in the folder."""
        return Path(self._folder.name) / name

    def state(self, name: str) -> str:
        """Return how a process stands and the end of its log."""
        status = self._processes[name].poll()
        log = self.path(f'{name}.log').read_text(encoding='utf-8')
        return f'{name}: exit status {status}; {log[-_LOG_END_CHARACTERS:]}'

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL."""
        self._processes[name].kill()
        self._processes[name].wait()

    def pause(self, name: str) -> None:
        """Pause a process with SIGSTOP."""
        self._processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a paused process."""
        self._processes[name].send_signal(signal.SIGCONT)

    def stop(self, name: str) -> int:
        """Stop a process with SIGTERM; return its exit code."""
        self._processes[name].terminate()
        return self._processes[name].wait(_STOP_TIMEOUT_S)

    def close(self) -> None:
        """Kill what still runs."""
        for name in self._processes:
            self.kill(name)
        self._folder.cleanup()


class ProcessFleet:
    """Stand-ins and entry hosts, each a process of its own.

    Two availability zones, each with two entry hosts and two engines, and
    one plain service. Every process is ended by ``close``.
    """

    def __init__(self) -> None:
        self.processes = Processes()
        self._standins: dict[str, int] = {}
        self.hosts = {
            f'{zone}-{number}': HostPorts(
                zone,
                free_port(),
                free_port(),
                free_port(),
            )
            for zone in ZONES
            for number in (1, 2)
        }

    @property
    def engines(self) -> list[str]:
        """Names of the engines."""
        return [name for name in self._standins if '-engine-' in name]

    def start(self) -> None:
        """Start every process and write the catalogue."""
        self._start_standin('platform', 'platform')
        self._start_standin('service', 'service')
        for zone in ZONES:
            for number in (1, 2):
                self._start_standin(f'{zone}-engine-{number}', 'engine')
        for host_id in self.hosts:
            self.start_host(host_id)
        for host_id, ports in self.hosts.items():
            listening = functools.partial(_accepts_connections, ports.operator)
            assert wait_until(listening, _START_TIMEOUT_S), (
                self.processes.state(host_id)
            )
        self._write_catalogue()

    def close(self) -> None:
        """Kill what still runs."""
        self.processes.close()

    def start_host(self, host_id: str) -> None:
        """Start the daemon of an entry host."""
        settings = _host_settings(
            self.hosts,
            host_id,
            self._standins['platform'],
        )
        path = self.processes.path(f'{host_id}.json')
        path.write_text(json.dumps(settings), encoding='utf-8')
        self.processes.start(host_id, 'entry', '--settings', str(path))

    def ready(self, host_id: str) -> bool:
        """Return whether a host passes its readiness check."""
        with contextlib.suppress(GuavadykeError):
            answer = self.caller(host_id).call('GET', '/health/ready')
            return answer.status == _HTTP_OK
        return False

    def caller(self, host_id: str) -> Client:
        """Return a client of a host's caller port."""
        url = f'http://{LOOPBACK}:{self.hosts[host_id].caller}'
        return Client(url, _KEY)

    def operator(self, host_id: str) -> Client:
        """Return a client of a host's operator port."""
        url = f'http://{LOOPBACK}:{self.hosts[host_id].operator}'
        return Client(url, _TOKEN)

    def set_faults(self, standin: str, **faults: object) -> None:
        """Replace the faults that a stand-in injects."""
        self._standin(standin).expect(
            'PUT',
            '/standin/faults',
            json.dumps(faults).encode(),
        )

    def history(self, standin: str) -> list[dict[str, Any]]:
        """Return the records of the calls to a stand-in, in order."""
        answer = self._standin(standin).expect('GET', '/standin/history')
        document = answer.document()
        records: list[dict[str, Any]] = document['records']
        return records

    def _standin(self, name: str) -> Client:
        return Client(f'http://{LOOPBACK}:{self._standins[name]}', '')

    def _start_standin(self, name: str, kind: str) -> None:
        port = free_port()
        self._standins[name] = port
        self.processes.start(name, 'standin', kind, '--port', str(port))
        assert wait_until(
            lambda: _accepts_connections(port), _START_TIMEOUT_S
        ), self.processes.state(name)

    def _write_catalogue(self) -> None:
        operator = self.operator(next(iter(self.hosts)))
        for name, document in self._catalogue().items():
            operator.expect(
                'PUT',
                f'/operator/catalogue/{name}',
                json.dumps(document).encode(),
                {'If-None-Match': '*'},
            )
        names = set(self._catalogue())
        for host_id in self.hosts:
            assert wait_until(
                functools.partial(self._has_catalogue, host_id, names),
                _START_TIMEOUT_S,
            ), self.processes.state(host_id)

    def _has_catalogue(self, host_id: str, names: set[str]) -> bool:
        answer = self.operator(host_id).expect('GET', '/operator/catalogue')
        return names <= {
            found['name'] for found in answer.document()['objects']
        }

    def _catalogue(self) -> dict[str, dict[str, object]]:
        engines = {
            name: EngineLocation(name.partition('-engine-')[0], address)
            for name, address in zip(
                self.engines,
                map(self._address, self.engines),
                strict=True,
            )
        }
        return trial_catalogue(
            TrialFleet(engines, self._address('service'), _KEY),
        )

    def _address(self, name: str) -> str:
        return f'{LOOPBACK}:{self._standins[name]}'


def _listen(port: int) -> dict[str, object]:
    return {'ip': LOOPBACK, 'port': port}


def _accepts_connections(port: int) -> bool:
    with contextlib.suppress(OSError):
        socket.create_connection((LOOPBACK, port), timeout=1).close()
        return True
    return False


def _host_settings(
    hosts: Mapping[str, HostPorts],
    host_id: str,
    platform_port: int,
) -> Mapping[str, object]:
    ports = hosts[host_id]
    document = builders.entry_settings_document()
    document['host_id'] = host_id
    document['zone'] = ports.zone
    document['caller'] = {'listen': _listen(ports.caller)}
    document['operator'] = {
        'listen': _listen(ports.operator),
        'token': {'environment': 'GUAVADYKE_OPERATOR_TOKEN'},
    }
    document['peer'] = {
        'listen': _listen(ports.peer),
        'fleet_key': {'environment': 'GUAVADYKE_FLEET_KEY'},
        'seeds': [f'{LOOPBACK}:{other.peer}' for other in hosts.values()],
    }
    url = f'http://{LOOPBACK}:{platform_port}'
    document['platform'] = {'url': url, 'call_timeout_s': 1}
    document['batch'] = {
        'lease_s': LEASE_S,
        'lease_renewal_s': 1,
        'lease_margin_s': 1,
        'chunk_items': 25,
        'poll_interval_s': 0.5,
    }
    document['stop'] = {'balancer_delay_s': 1}
    return document
