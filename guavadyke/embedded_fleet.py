"""A fleet of stand-ins and entry hosts in one process, on loopback."""

from __future__ import annotations

import dataclasses
import json
import os
import random
import socket
import time
from collections.abc import Mapping, Sequence

from guavadyke.client import Client
from guavadyke.entry_host import EntryHost
from guavadyke.settings import EntrySettings
from guavadyke.standins.continuous_batching import ContinuousBatchSpec
from guavadyke.standins.engine import EngineSpec, EngineStandin
from guavadyke.standins.platform import PlatformStandin
from guavadyke.standins.service import ServiceStandin
from guavadyke.trial_catalogue import (
    EngineLocation,
    TrialFleet,
    trial_catalogue,
)

LOOPBACK = '127.0.0.1'
CALLER_KEY = 'caller-key'
OPERATOR_TOKEN = 'operator-token'  # ruff: ignore[hardcoded-password-string]
_ENGINE_INFIX = '-engine-'
_TOKEN_VARIABLE = 'GUAVADYKE_EMBEDDED_OPERATOR_TOKEN'  # ruff: ignore[hardcoded-password-string]
_FLEET_KEY_VARIABLE = 'GUAVADYKE_EMBEDDED_FLEET_KEY'
_FLEET_KEY = 'embedded-fleet-key'
_NON_EPHEMERAL_PORTS = range(10_000, 32_000)
_unused_ports = iter(
    random.SystemRandom().sample(
        _NON_EPHEMERAL_PORTS, len(_NON_EPHEMERAL_PORTS)
    )
)
_IN_FORCE_TIMEOUT_S = 30.0
_POLL_INTERVAL_S = 0.02


@dataclasses.dataclass(frozen=True)
class EmbeddedPlan:
    """Size and settings of an embedded fleet.

    ``zones`` names the availability zones, each with ``entry_hosts`` entry
    hosts and ``engines`` engines. ``engine`` is the performance model of an
    engine, ``tail_weight`` a value of the fleet's policy; ``overrides``
    replace settings of each entry host.
    """

    zones: Sequence[str] = ('cali-norte', 'cali-sur')
    entry_hosts: int = 1
    engines: int = 2
    engine: ContinuousBatchSpec = dataclasses.field(
        default_factory=ContinuousBatchSpec
    )
    tail_weight: float = 0.7
    overrides: Mapping[str, object] = dataclasses.field(default_factory=dict)


def free_port() -> int:
    """Return a port on loopback that is free for TCP and UDP.

    It is below the system's ephemeral ports, so that no outgoing connection
    can occupy it before the caller listens on it. No port is returned twice
    in a process.

    Raises:
        OSError: no port is left.
    """
    for port in _unused_ports:
        if _is_free(port, socket.SOCK_STREAM) and _is_free(
            port,
            socket.SOCK_DGRAM,
        ):
            return port
    raise OSError('no port is left')


def _is_free(port: int, kind: socket.SocketKind) -> bool:
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True


class EmbeddedFleet:
    """Stand-ins and entry hosts that communicate over loopback sockets.

    Args:
        plan: size and settings of the fleet.
    """

    def __init__(self, plan: EmbeddedPlan) -> None:
        os.environ[_TOKEN_VARIABLE] = OPERATOR_TOKEN
        os.environ[_FLEET_KEY_VARIABLE] = _FLEET_KEY
        self._plan = plan
        self.platform = PlatformStandin(ip=LOOPBACK)
        self.service = ServiceStandin(ip=LOOPBACK)
        self.engines = {
            f'{zone}{_ENGINE_INFIX}{number}': EngineStandin(
                ip=LOOPBACK,
                spec=EngineSpec(batch=plan.engine),
            )
            for zone in plan.zones
            for number in range(1, plan.engines + 1)
        }
        self.hosts: dict[str, EntryHost] = {}

    def __enter__(self) -> EmbeddedFleet:
        """Start the fleet and wait until its catalogue is in force."""
        self.start()
        return self

    def __exit__(self, *_exception: object) -> None:
        """Stop the fleet."""
        self.close()

    def start(self) -> None:
        """Start all servers, write the catalogue and wait until it is in force.

        Raises:
            TimeoutError: a host has not received the catalogue in time.
        """
        self.platform.start()
        self.service.start()
        for engine in self.engines.values():
            engine.start()
        host_ids = self._start_hosts()
        self._write_catalogue()
        if not self.wait_in_force(set(self._catalogue())):
            raise TimeoutError(
                f'the catalogue is not in force on all of {host_ids}'
            )

    def close(self) -> None:
        """Stop all servers at once, without waiting for requests."""
        for host in self.hosts.values():
            host.close()
        for engine in self.engines.values():
            engine.close()
        self.service.close()
        self.platform.close()

    def caller(self, host_id: str) -> Client:
        """Return a client of a host's caller port."""
        return Client(self.hosts[host_id].caller_url, CALLER_KEY)

    def operator(self, host_id: str) -> Client:
        """Return a client of a host's operator port."""
        return Client(self.hosts[host_id].operator_url, OPERATOR_TOKEN)

    def wait_in_force(self, names: set[str]) -> bool:
        """Wait until every host has the named catalogue objects in force.

        Returns:
            False after a timeout of 30 seconds.
        """
        until = time.monotonic() + _IN_FORCE_TIMEOUT_S
        while time.monotonic() < until:
            if all(
                names <= set(host.fleet.catalogue.current.versions)
                for host in self.hosts.values()
            ):
                return True
            time.sleep(_POLL_INTERVAL_S)
        return False

    def _start_hosts(self) -> list[str]:
        zones_and_ports = {
            f'{zone}-entry-{number}': (zone, free_port())
            for zone in self._plan.zones
            for number in range(1, self._plan.entry_hosts + 1)
        }
        seeds = [
            f'{LOOPBACK}:{port}' for _zone, port in zones_and_ports.values()
        ]
        for host_id, (zone, port) in zones_and_ports.items():
            settings = self._settings(host_id, zone, port, seeds)
            self.hosts[host_id] = EntryHost(settings)
        for host in self.hosts.values():
            host.start()
        return list(zones_and_ports)

    def _settings(
        self,
        host_id: str,
        zone: str,
        peer_port: int,
        seeds: list[str],
    ) -> EntrySettings:
        any_port = {'ip': LOOPBACK, 'port': 0}
        document = {
            'host_id': host_id,
            'zone': zone,
            'caller': {'listen': any_port},
            'operator': {
                'listen': any_port,
                'token': {'environment': _TOKEN_VARIABLE},
            },
            'peer': {
                'listen': {'ip': LOOPBACK, 'port': peer_port},
                'fleet_key': {'environment': _FLEET_KEY_VARIABLE},
                'seeds': seeds,
            },
            'platform': {'url': f'http://{self.platform.address}'},
            'stop': {'balancer_delay_s': 0.5},
            **self._plan.overrides,
        }
        return EntrySettings.model_validate(document)

    def _catalogue(self) -> dict[str, dict[str, object]]:
        slots = self._plan.engine.slots
        engines = {
            name: EngineLocation(
                name.partition(_ENGINE_INFIX)[0],
                engine.address,
                slots,
            )
            for name, engine in self.engines.items()
        }
        return trial_catalogue(
            TrialFleet(
                engines,
                self.service.address,
                CALLER_KEY,
                self._plan.tail_weight,
            ),
        )

    def _write_catalogue(self) -> None:
        operator = self.operator(next(iter(self.hosts)))
        for name, document in self._catalogue().items():
            operator.expect(
                'PUT',
                f'/operator/catalogue/{name}',
                json.dumps(document).encode(),
                {'If-None-Match': '*'},
            )
