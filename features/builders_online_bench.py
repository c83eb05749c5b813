"""Test bench: online parts of entry hosts with stand-ins, over sockets."""

from __future__ import annotations

import contextlib
import dataclasses
import hashlib
import json
import random
from collections.abc import Callable, Mapping
from types import TracebackType
from typing import Any, TypeAlias

import urllib3

from features import builders
from features.builders_online import CALLER_KEY
from guavadyke.adapters.backend import HttpBackendServers
from guavadyke.adapters.clock import SystemClock
from guavadyke.adapters.platform import HttpPlatformStore
from guavadyke.adapters.ports import PeerNotice
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.catalogue import parse_entry
from guavadyke.http_application import HttpApplication
from guavadyke.http_server import HttpServer, HttpServerSettings
from guavadyke.log import EventLogger
from guavadyke.online_service import OnlineService
from guavadyke.settings import EntrySettings, ListenSettings
from guavadyke.snapshots import (
    CatalogueSnapshot,
    FleetSnapshot,
    PeerView,
    SnapshotCell,
)
from guavadyke.standins.continuous_batching import ContinuousBatchSpec
from guavadyke.standins.engine import EngineSpec, EngineStandin
from guavadyke.standins.platform import PlatformStandin
from guavadyke.standins.service import ServiceStandin

LOOPBACK = '127.0.0.1'
ZONE = 'cali-norte'
CHAT = '/v1/chat/completions'
BOOKING = '/v1/services/booking/reservations'
Receiver: TypeAlias = Callable[[str, PeerNotice], None]
Receivers: TypeAlias = dict[str, Receiver]
_TIMEOUT_S = 30
_FAST_BATCHES = ContinuousBatchSpec(slots=8, step_s=0.002, step_growth_s=0.0001)


@dataclasses.dataclass(frozen=True)
class Reply:
    """A response; ``broken`` means that the connection ended early."""

    status: int
    headers: Mapping[str, str]
    body: bytes
    broken: bool = False

    @property
    def document(self) -> dict[str, Any]:
        """The body as JSON."""
        return dict(json.loads(self.body))


class HubMessenger:
    """A messenger that delivers notices within the process."""

    def __init__(self, host_id: str, receivers: Receivers) -> None:
        self._host_id = host_id
        self._receivers = receivers

    def send(self, host_id: str, notice: PeerNotice) -> None:
        """Deliver a notice if the host has a receiver."""
        receive = self._receivers.get(host_id)
        if receive is not None:
            receive(self._host_id, notice)

    def subscribe(self, receive: Receiver) -> None:
        """Add a receiver for this host's notices."""
        before = self._receivers.get(self._host_id)
        self._receivers[self._host_id] = _both(before, receive)


def _both(first: Receiver | None, second: Receiver) -> Receiver:
    def receive(host_id: str, notice: PeerNotice) -> None:
        if first is not None:
            first(host_id, notice)
        second(host_id, notice)

    return receive


class OnlineHost:
    """The online part of one entry host behind a caller port."""

    def __init__(self, host_id: str, bench: OnlineBench) -> None:
        clock = SystemClock()
        self.settings = EntrySettings.model_validate(
            builders.entry_settings_document()
            | {
                'host_id': host_id,
                'platform': {'url': f'http://{bench.platform.address}'},
                'online': bench.online_settings,
            },
        )
        self.store = WriteConfirmingStore(
            HttpPlatformStore(self.settings.platform, host_id=host_id),
            clock,
            random.Random(host_id),
        )
        logger = EventLogger(entry_host=host_id)
        self.service = OnlineService(
            settings=self.settings,
            clock=clock,
            rng=random.Random(host_id),
            catalogue=bench.catalogue,
            fleet=bench.fleet_of(host_id),
            servers=HttpBackendServers(),
            store=self.store,
            messenger=bench.messenger(host_id),
            logger=logger,
        )
        application = HttpApplication(self.service.routes(), clock, logger)
        listen = ListenSettings.model_validate({'ip': LOOPBACK, 'port': 0})
        self._server = HttpServer(
            application,
            HttpServerSettings(listen=listen, threads=48),
        )
        self._server.start()
        self.service.start()

    @property
    def url(self) -> str:
        """URL of the caller port."""
        return f'http://{LOOPBACK}:{self._server.port}'

    def close(self) -> None:
        """Stop the service and close the port at once."""
        self.service.close()
        self._server.close()


class OnlineBench:
    """Entry hosts, and stand-ins of a platform, engines and a service."""

    def __init__(
        self,
        *,
        engines: int = 2,
        hosts: int = 2,
        online: Mapping[str, object] | None = None,
        batch: ContinuousBatchSpec = _FAST_BATCHES,
    ) -> None:
        self.online_settings = dict(online or {})
        self.platform = PlatformStandin(ip=LOOPBACK)
        self.engines = [
            EngineStandin(ip=LOOPBACK, spec=EngineSpec(batch=batch))
            for _number in range(engines)
        ]
        self.service = ServiceStandin(ip=LOOPBACK)
        self._closing = contextlib.ExitStack()
        for standin in (self.platform, self.service, *self.engines):
            standin.start()
            self._closing.callback(standin.close)
        self.catalogue = SnapshotCell(self._catalogue(batch.slots))
        self.host_ids = tuple(f'entry-{number}' for number in range(hosts))
        self._receivers: Receivers = {}
        self.hosts = [
            self._closing.enter_context(
                contextlib.closing(OnlineHost(host_id, self)),
            )
            for host_id in self.host_ids
        ]

    def __enter__(self) -> OnlineBench:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()

    def close(self) -> None:
        """Stop all hosts and stand-ins."""
        self._closing.close()

    def messenger(self, host_id: str) -> HubMessenger:
        """Return the messenger of a host."""
        return HubMessenger(host_id, self._receivers)

    def lose_notices(self) -> None:
        """Drop every notice from now on."""
        self._receivers.clear()

    def fleet_of(self, host_id: str) -> SnapshotCell[FleetSnapshot]:
        """Return a host's view of the other hosts."""
        peers = tuple(
            PeerView(name, ZONE, 'valle-cauca', LOOPBACK, 'alive', 1, 0)
            for name in self.host_ids
            if name != host_id
        )
        return SnapshotCell(FleetSnapshot(peers=peers))

    def _catalogue(self, slots: int) -> CatalogueSnapshot:
        documents: dict[str, dict[str, object]] = {
            'desk': {'kind': 'model', 'owner': 'pesebres', 'model': 'desk'},
            'booking': {
                'kind': 'service',
                'owner': 'pesebres',
                'idempotent': False,
            },
        }
        servers: dict[str, dict[str, object]] = {
            f'engine-{number}': {
                'kind': 'backend_server',
                'zone': ZONE,
                'address': engine.address,
                'serves': ['desk'],
                'slots': slots,
            }
            for number, engine in enumerate(self.engines)
        }
        servers['service-0'] = {
            'kind': 'backend_server',
            'role': 'service',
            'zone': ZONE,
            'address': self.service.address,
            'serves': ['booking'],
            'slots': 64,
        }
        parsed = {
            name: parse_entry(json.dumps(document).encode())
            for name, document in (documents | servers).items()
        }
        hashed = hashlib.sha256(CALLER_KEY.encode()).hexdigest()
        return CatalogueSnapshot(
            revision=1,
            entries={name: parsed[name] for name in documents},
            backend_servers={name: parsed[name] for name in servers},
            owners_by_key_hash={hashed: 'pesebres'},
        )


def call(
    host: OnlineHost,
    path: str,
    document: object,
    *,
    method: str = 'POST',
    **headers: str,
) -> Reply:
    """Send one request as a caller and read the complete response."""
    named = {name.replace('_', '-'): text for name, text in headers.items()}
    pool = urllib3.PoolManager(retries=False)
    response = pool.request(
        method,
        f'{host.url}{path}',
        body=json.dumps(document).encode(),
        headers={'Authorization': f'Bearer {CALLER_KEY}', **named},
        timeout=_TIMEOUT_S,
        preload_content=False,
    )
    pieces: list[bytes] = []
    broken = False
    try:
        pieces.extend(response.stream())
    except urllib3.exceptions.HTTPError:
        broken = True
    pool.clear()
    return Reply(response.status, response.headers, b''.join(pieces), broken)
