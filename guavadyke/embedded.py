"""A fleet in one process: stand-ins and entry hosts on loopback."""

from __future__ import annotations

import dataclasses
import json
import os
import random
import socket
import time
from collections.abc import Mapping, Sequence

from guavadyke.client import Client
from guavadyke.entry import EntryHost
from guavadyke.settings import EntrySettings
from guavadyke.standins.continuous_batching import ContinuousBatchSpec
from guavadyke.standins.engine import EngineSpec, EngineStandin
from guavadyke.standins.platform import PlatformStandin
from guavadyke.standins.service import ServiceStandin
from guavadyke.trial_catalogue import EnginePlace, TrialFleet, trial_catalogue

LOOPBACK = '127.0.0.1'
CALLER_KEY = 'caller-key'
OPERATOR_TOKEN = 'operator-token'  # ruff: ignore[hardcoded-password-string]
_ENGINE = '-engine-'
_TOKEN_VARIABLE = 'GUAVADYKE_EMBEDDED_OPERATOR_TOKEN'  # ruff: ignore[hardcoded-password-string]
_FLEET_KEY_VARIABLE = 'GUAVADYKE_EMBEDDED_FLEET_KEY'
_FLEET_KEY = 'embedded-fleet-key'
_PORTS = range(10_000, 32_000)
_IN_FORCE_TIMEOUT_S = 30.0
_LOOK_INTERVAL_S = 0.02


@dataclasses.dataclass(frozen=True)
class EmbeddedPlan:
    """What an embedded fleet consists of.

    ``zones`` names the availability zones, each with ``entry_hosts`` entry
    hosts and ``engines`` engines. ``engine`` says how fast these are;
    ``tail_weight`` is the fleet's policy; ``overrides`` are settings of
    each entry host.
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
    """Return a port on loopback that nothing uses for TCP or UDP.

    It is below those that the system gives to outgoing connections, so
    that none of them takes it before it is listened on.

    Raises:
        OSError: there is none.
    """
    for port in random.SystemRandom().sample(_PORTS, len(_PORTS)):
        if _is_free(port, socket.SOCK_STREAM) and _is_free(
            port,
            socket.SOCK_DGRAM,
        ):
            return port
    raise OSError('no port is free')


def _is_free(port: int, kind: socket.SocketKind) -> bool:
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True


class EmbeddedFleet:
    """Stand-ins and entry hosts that talk through loopback sockets.

    Args:
        plan: what the fleet consists of.
    """

    def __init__(self, plan: EmbeddedPlan) -> None:
        os.environ[_TOKEN_VARIABLE] = OPERATOR_TOKEN
        os.environ[_FLEET_KEY_VARIABLE] = _FLEET_KEY
        self._plan = plan
        self.platform = PlatformStandin(ip=LOOPBACK)
        self.service = ServiceStandin(ip=LOOPBACK)
        self.engines = {
            f'{zone}{_ENGINE}{number}': EngineStandin(
                ip=LOOPBACK,
                spec=EngineSpec(batch=plan.engine),
            )
            for zone in plan.zones
            for number in range(1, plan.engines + 1)
        }
        self.hosts: dict[str, EntryHost] = {}

    def __enter__(self) -> EmbeddedFleet:
        """Start the fleet and wait until its configuration is in force."""
        self.start()
        return self

    def __exit__(self, *_exception: object) -> None:
        """End the fleet."""
        self.close()

    def start(self) -> None:
        """Start every part and put the catalogue."""
        self.platform.start()
        self.service.start()
        for engine in self.engines.values():
            engine.start()
        seeds = self._start_hosts()
        self._put_catalogue()
        if not self.wait_in_force(set(self._catalogue())):
            raise TimeoutError(f'the catalogue is not in force on {seeds}')

    def close(self) -> None:
        """End every part at once."""
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
        """Wait until every host has catalogue objects of these names."""
        until = time.monotonic() + _IN_FORCE_TIMEOUT_S
        while time.monotonic() < until:
            if all(
                names <= set(host.fleet.catalogue.current.versions)
                for host in self.hosts.values()
            ):
                return True
            time.sleep(_LOOK_INTERVAL_S)
        return False

    def _start_hosts(self) -> list[str]:
        places = {
            f'{zone}-entry-{number}': (zone, free_port())
            for zone in self._plan.zones
            for number in range(1, self._plan.entry_hosts + 1)
        }
        seeds = [f'{LOOPBACK}:{port}' for _zone, port in places.values()]
        for host_id, (zone, port) in places.items():
            settings = self._settings(host_id, zone, port, seeds)
            self.hosts[host_id] = EntryHost(settings)
        for host in self.hosts.values():
            host.start()
        return list(places)

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
            name: EnginePlace(name.partition(_ENGINE)[0], one.address, slots)
            for name, one in self.engines.items()
        }
        return trial_catalogue(
            TrialFleet(
                engines,
                self.service.address,
                CALLER_KEY,
                self._plan.tail_weight,
            ),
        )

    def _put_catalogue(self) -> None:
        operator = self.operator(next(iter(self.hosts)))
        for name, document in self._catalogue().items():
            operator.expect(
                'PUT',
                f'/operator/catalogue/{name}',
                json.dumps(document).encode(),
                {'If-None-Match': '*'},
            )
